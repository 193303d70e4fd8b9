"""How long a connection to a worker may take."""

from __future__ import annotations

import asyncio

import pytest

from reedspoke.data_plane import upstream_pool
from reedspoke.data_plane.upstream_connection import UpstreamConnection
from reedspoke.data_plane.upstream_pool import (
    CONNECT_TIMEOUT_S,
    ConnectFailure,
    ConnectResult,
    UpstreamPool,
)
from tests.data_plane.plane import Plane, answer
from tests.data_plane.world import IDEMPOTENT, NON_IDEMPOTENT


def test_a_connection_that_came_up_while_the_process_stood_still_counts(plane: Plane) -> None:
    """Seen in CI beside load: the time limit and the connection came in the same pass of the event loop."""
    plane.receive_state()
    plane.network.plan.append("slow")
    client = plane.new_request(NON_IDEMPOTENT)
    assert plane.network.arrivals == []
    plane.loop._virtual.now += 5.0  # less than the request may take
    plane.loop.settle()
    plane.arrival().worker.send(plane.arrival().complete_answer())
    assert answer(client).status == 200


class PoolOfPasses(UpstreamPool):
    """Its connections come up after so many passes of the event loop."""

    passes = 0

    async def _create(self, address: str) -> ConnectResult:
        for _ in range(self.passes):
            await asyncio.sleep(0)
        return UpstreamConnection(self._loop)


@pytest.mark.parametrize(("passes", "comes_up"), [(5, True), (60, False)])
def test_a_connection_that_is_nearly_up_at_the_time_limit_is_waited_for(
    monkeypatch: pytest.MonkeyPatch, passes: int, comes_up: bool
) -> None:
    monkeypatch.setattr(upstream_pool, "CONNECT_TIMEOUT_S", 0.0)
    monkeypatch.setattr(PoolOfPasses, "passes", passes)

    async def play() -> ConnectResult:
        pool = PoolOfPasses(asyncio.get_running_loop())
        result: asyncio.Future[ConnectResult] = asyncio.get_running_loop().create_future()
        pool.connect("127.0.0.1:1", result.set_result)
        return await result

    assert isinstance(asyncio.run(play()), ConnectFailure) is not comes_up


def test_a_connection_that_never_comes_up_is_given_up(plane: Plane) -> None:
    plane.receive_state()
    plane.network.plan.append("hang")
    plane.new_request(IDEMPOTENT)
    plane.loop.run_for(CONNECT_TIMEOUT_S * 0.9)
    assert plane.plane._forwarder._exchanges[1].worker() is not None
    plane.loop.run_for(CONNECT_TIMEOUT_S * 0.2)
    assert plane.plane._forwarder._exchanges.get(1) is None or (
        plane.plane._forwarder._exchanges[1].worker() is None
    )
