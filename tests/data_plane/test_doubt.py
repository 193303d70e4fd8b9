"""What clients and the platform are told while it is not certain that the configuration is the newest."""

from __future__ import annotations

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.common.messages import ConfigurationSnapshot
from reedspoke.data_plane.confirmation import MAX_AGE_FRACTION
from tests.data_plane.plane import Plane, answer, settings
from tests.data_plane.world import LIMITS, ONCE, document, request_bytes

UNKNOWN = "/nowhere/"
HELD = (1, 0)  # what `Plane.learn` tells
DOUBT_S = MAX_AGE_FRACTION * settings().bounds.apply_ms / 1000


def confirm(plane: Plane) -> None:
    plane.plane._confirmation.record_report(HELD, plane.loop.time())


def test_without_a_route_a_request_is_refused_for_a_moment_only(plane: Plane) -> None:
    plane.learn()
    plane.loop.run_for(DOUBT_S + 0.01)
    refused = answer(plane.asked(UNKNOWN))
    assert refused.status == 503
    assert 0 < float(refused.get("retry-after") or 0) <= 1
    assert f'"code":{int(ErrorCode.CONFIGURATION_IN_DOUBT)}'.encode() in refused.body
    assert plane.network.arrivals == []


def test_it_is_final_again_when_a_majority_confirms_again(plane: Plane) -> None:
    plane.learn()
    assert answer(plane.asked(UNKNOWN)).status == 404
    plane.loop.run_for(20)
    assert answer(plane.asked(UNKNOWN)).status == 503
    confirm(plane)
    assert answer(plane.asked(UNKNOWN)).status == 404


def test_known_routes_are_served_all_the_time(plane: Plane) -> None:
    plane.learn()
    plane.loop.run_for(20)
    client = plane.asked(ONCE)
    plane.arrival().worker.say(plane.arrival().whole())
    assert answer(client).status == 200


def test_a_newer_version_that_has_not_come_yet_is_doubt_enough(plane: Plane) -> None:
    plane.learn()
    plane.plane._confirmation.record_report((1, 1), plane.loop.time())
    assert answer(plane.asked(UNKNOWN)).status == 503
    plane.plane._subscription.apply(ConfigurationSnapshot((1, 1), document(3, LIMITS)))
    assert answer(plane.asked(UNKNOWN)).status == 404


def test_a_ready_process_stays_ready_in_doubt(plane: Plane) -> None:
    plane.learn()
    plane.loop.run_for(60)
    assert plane.plane.is_ready()


def test_a_process_that_was_stopped_refuses_for_a_moment_when_it_wakes(plane: Plane) -> None:
    """The requests that came meanwhile are read before anything that control schedulers have sent."""
    plane.learn()
    client = plane.connect()
    plane.loop._virtual.now += 7.0
    client.arrive(request_bytes(UNKNOWN))
    plane.loop.settle()
    assert answer(client).status == 503


@pytest.mark.parametrize("jump", [-3.0, 1e6])
def test_steps_of_the_calendar_clock_are_of_no_account(
    plane: Plane, jump: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    import time

    real = time.time
    monkeypatch.setattr(time, "time", lambda: real() + jump)
    plane.learn()
    assert answer(plane.asked(UNKNOWN)).status == 404


def test_a_start_that_knows_only_what_nobody_confirms_is_ready_and_in_doubt(plane: Plane) -> None:
    """As after `UNCONFIRMED_FALLBACK_S` without any majority."""
    plane.learn()
    plane.plane._confirmation._as_of = None  # nobody has ever confirmed it
    assert plane.plane.is_ready()
    assert answer(plane.asked(UNKNOWN)).status == 503
    plane.asked(ONCE)
    assert len(plane.network.arrivals) == 1
