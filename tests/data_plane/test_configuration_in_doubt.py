"""Responses to clients and the platform while the configuration is in doubt."""

from __future__ import annotations

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.common.messages import ConfigurationSnapshot
from reedspoke.data_plane.confirmation import MAX_AGE_FRACTION
from tests.data_plane.plane import Plane, answer, settings
from tests.data_plane.world import LIMITS, NON_IDEMPOTENT, document, request_bytes

UNKNOWN = "/nowhere/"
VERSION = (1, 0)  # of the configuration that `Plane.learn` applies
MAX_AGE_S = MAX_AGE_FRACTION * settings().bounds.apply_ms / 1000


def confirm(plane: Plane) -> None:
    plane.plane._confirmation.record_report(VERSION, plane.loop.time())


def test_request_without_a_route_gets_503_in_doubt(plane: Plane) -> None:
    plane.receive_state()
    plane.loop.run_for(MAX_AGE_S + 0.01)
    refused = answer(plane.new_request(UNKNOWN))
    assert refused.status == 503
    assert 0 < float(refused.get("retry-after") or 0) <= 1
    assert f'"code":{int(ErrorCode.CONFIGURATION_IN_DOUBT)}'.encode() in refused.body
    assert plane.network.arrivals == []


def test_404_is_sent_again_after_a_new_confirmation(plane: Plane) -> None:
    plane.receive_state()
    assert answer(plane.new_request(UNKNOWN)).status == 404
    plane.loop.run_for(20)
    assert answer(plane.new_request(UNKNOWN)).status == 503
    confirm(plane)
    assert answer(plane.new_request(UNKNOWN)).status == 404


def test_known_routes_are_served_in_doubt(plane: Plane) -> None:
    plane.receive_state()
    plane.loop.run_for(20)
    client = plane.new_request(NON_IDEMPOTENT)
    plane.arrival().worker.send(plane.arrival().complete_answer())
    assert answer(client).status == 200


def test_newer_version_not_received_yet_means_in_doubt(plane: Plane) -> None:
    plane.receive_state()
    plane.plane._confirmation.record_report((1, 1), plane.loop.time())
    assert answer(plane.new_request(UNKNOWN)).status == 503
    plane.plane._subscription.apply(ConfigurationSnapshot((1, 1), document(3, LIMITS)))
    assert answer(plane.new_request(UNKNOWN)).status == 404


def test_process_stays_ready_in_doubt(plane: Plane) -> None:
    plane.receive_state()
    plane.loop.run_for(60)
    assert plane.plane.is_ready()


def test_suspended_process_answers_503_when_it_resumes(plane: Plane) -> None:
    """Requests received during the suspension are read before messages of control plane nodes."""
    plane.receive_state()
    client = plane.connect()
    plane.loop._virtual.now += 7.0
    client.arrive(request_bytes(UNKNOWN))
    plane.loop.settle()
    assert answer(client).status == 503


@pytest.mark.parametrize("jump", [-3.0, 1e6])
def test_steps_of_the_wall_clock_have_no_effect(
    plane: Plane, jump: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    import time

    real = time.time
    monkeypatch.setattr(time, "time", lambda: real() + jump)
    plane.receive_state()
    assert answer(plane.new_request(UNKNOWN)).status == 404


def test_start_with_an_unconfirmed_configuration_is_ready_and_in_doubt(plane: Plane) -> None:
    """The state after `UNCONFIRMED_FALLBACK_S` without any majority."""
    plane.receive_state()
    plane.plane._confirmation._as_of = None  # it was never confirmed
    assert plane.plane.is_ready()
    assert answer(plane.new_request(UNKNOWN)).status == 503
    plane.new_request(NON_IDEMPOTENT)
    assert len(plane.network.arrivals) == 1
