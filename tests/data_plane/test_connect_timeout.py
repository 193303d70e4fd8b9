"""How long a connection to a worker may take."""

from __future__ import annotations

from reedspoke.data_plane.upstream_pool import CONNECT_TIMEOUT_S
from tests.data_plane.plane import Plane, answer
from tests.data_plane.world import AGAIN, ONCE


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
    plane.loop.run_for(CONNECT_TIMEOUT_S * 0.9)
    assert plane.plane._forwarder._exchanges[1].worker() is not None
    plane.loop.run_for(CONNECT_TIMEOUT_S * 0.2)
    assert plane.plane._forwarder._exchanges.get(1) is None or (
        plane.plane._forwarder._exchanges[1].worker() is None
    )
