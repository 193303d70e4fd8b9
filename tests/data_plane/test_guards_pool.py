"""Guards of the idle connections to workers, one at a time."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from reedspoke.data_plane.upstream_connection import UpstreamConnection
from reedspoke.data_plane.upstream_pool import UpstreamPool
from tests.data_plane.virtual_loop import VirtualLoop
from tests.data_plane.wire import TransportStandIn
from tests.data_plane.world import NON_IDEMPOTENT, World

INSTANCE = "i-1"


class Connections:
    """A pool and established connections."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.pool = UpstreamPool(self.loop)
        self._transports: list[TransportStandIn] = []

    def establish(self) -> UpstreamConnection:
        """Establishes one more connection."""
        connection = UpstreamConnection(self.loop)
        self._transports.append(TransportStandIn(self.loop, connection))
        return connection

    def close(self) -> None:
        """Closes everything."""
        for transport in self._transports:
            transport.socket.close()
        self.loop.close()


@pytest.fixture
def connections() -> Iterator[Connections]:
    pool_with_connections = Connections()
    yield pool_with_connections
    pool_with_connections.close()


def test_a_closed_connection_is_not_kept_among_the_idle(connections: Connections) -> None:
    pool = connections.pool
    pool.max_idle = {INSTANCE: 1}
    ended, idle = connections.establish(), connections.establish()
    ended.close()
    pool.release(INSTANCE, ended)
    pool.release(INSTANCE, idle)
    assert pool.take_idle(INSTANCE) is idle
    assert pool.take_idle(INSTANCE) is None


def test_no_more_connections_are_kept_than_the_share(connections: Connections) -> None:
    pool = connections.pool
    pool.max_idle = {INSTANCE: 1}
    first, second = connections.establish(), connections.establish()
    for connection in (first, second):
        pool.release(INSTANCE, connection)
    assert pool.take_idle(INSTANCE) is first
    assert not second.is_open


def test_an_expired_connection_is_not_used(connections: Connections) -> None:
    pool = connections.pool
    connection = connections.establish()
    pool.release(INSTANCE, connection)
    connections.loop.run_for(connection.usable_until - connections.loop.time())
    assert pool.take_idle(INSTANCE) is None
    assert not connection.is_open


def test_a_connection_that_its_worker_will_close_carries_no_further_request(world: World) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    arrival = world.arrival()
    arrival.worker.send(arrival.complete_answer(Connection="close"))
    assert client.answer().status == 200
    assert arrival.worker.is_closed
