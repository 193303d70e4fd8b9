"""How long a connection to a worker may take."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from reedspoke.data_plane.connect_patience import LEAST_S, MOST_S, ConnectPatience
from tests.data_plane.plane import Plane, answer
from tests.data_plane.world import AGAIN, ONCE


def after(*took_s: float) -> float:
    patience = ConnectPatience()
    for took in took_s:
        patience.learn(took)
    return patience.limit_s


def test_at_first_it_waits_long() -> None:
    assert after() == MOST_S


def test_quick_connections_make_it_impatient() -> None:
    assert after(*[0.003] * 20) == LEAST_S


def test_slow_ones_make_it_patient_again() -> None:
    assert after(*[0.003] * 20, *[0.2] * 20) > 0.5


def test_one_that_was_late_is_no_rule() -> None:
    assert after(*[0.02] * 50, 0.1, *[0.02] * 10) < MOST_S / 2


@given(st.lists(st.floats(0, 10)))
def test_it_stays_in_its_bounds(took_s: list[float]) -> None:
    assert LEAST_S <= after(*took_s) <= MOST_S


def test_a_connection_that_came_up_while_the_process_stood_still_counts(plane: Plane) -> None:
    """Seen in CI beside load: the time limit and the connection came in the same pass of the event loop."""
    plane.learn()
    plane.network.plan.append("slow")
    client = plane.asked(ONCE)
    assert plane.network.arrivals == []
    plane.loop._virtual.now += 5.0  # less than the request may take
    plane.loop.settle()
    plane.arrival().worker.say(plane.arrival().whole())
    assert answer(client).status == 200


def test_a_connection_that_never_comes_up_is_given_up(plane: Plane) -> None:
    plane.learn()
    plane.network.plan.append("hang")
    plane.asked(AGAIN)
    plane.loop.run_for(MOST_S * 0.9)
    assert plane.plane._forwarder._exchanges[1].worker() is not None
    plane.loop.run_for(MOST_S * 0.2)
    assert plane.plane._forwarder._exchanges.get(1) is None or (
        plane.plane._forwarder._exchanges[1].worker() is None
    )
