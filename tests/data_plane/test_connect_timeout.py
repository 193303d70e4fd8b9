"""The timeout of connections to workers."""

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


def test_a_connection_established_while_the_process_stalled_is_used(plane: Plane) -> None:
    """Seen in CI under load: the timeout and the connection came in the same iteration of the event loop."""
    plane.receive_state()
    plane.network.plan.append("slow")
    client = plane.new_request(NON_IDEMPOTENT)
    assert plane.network.arrivals == []
    plane.loop._virtual.now += 5.0  # Less than the timeout of the request.
    plane.loop.settle()
    plane.arrival().worker.send(plane.arrival().complete_answer())
    assert answer(client).status == 200


class SlowPool(UpstreamPool):
    """Its connections are established after `iterations` iterations of the event loop."""

    iterations = 0

    async def _create(self, address: str) -> ConnectResult:
        for _ in range(self.iterations):
            await asyncio.sleep(0)
        return UpstreamConnection(self._loop)


@pytest.mark.parametrize(("iterations", "is_established"), [(5, True), (60, False)])
def test_a_connection_nearly_established_at_the_timeout_is_awaited(
    monkeypatch: pytest.MonkeyPatch, iterations: int, is_established: bool
) -> None:
    monkeypatch.setattr(upstream_pool, "CONNECT_TIMEOUT_S", 0.0)
    monkeypatch.setattr(SlowPool, "iterations", iterations)

    async def play() -> ConnectResult:
        pool = SlowPool(asyncio.get_running_loop())
        result: asyncio.Future[ConnectResult] = asyncio.get_running_loop().create_future()
        pool.connect("127.0.0.1:1", result.set_result)
        return await result

    assert isinstance(asyncio.run(play()), ConnectFailure) is not is_established


def test_a_connection_that_is_never_established_times_out(plane: Plane) -> None:
    plane.receive_state()
    plane.network.plan.append("hang")
    plane.new_request(IDEMPOTENT)
    plane.loop.run_for(CONNECT_TIMEOUT_S * 0.9)
    assert plane.plane._forwarder._exchanges[1].worker() is not None
    plane.loop.run_for(CONNECT_TIMEOUT_S * 0.2)
    assert plane.plane._forwarder._exchanges.get(1) is None or (
        plane.plane._forwarder._exchanges[1].worker() is None
    )
