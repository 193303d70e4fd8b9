"""A complete data plane without listening sockets, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from msgspec import Struct

from reedspoke.common.messages import ConfigurationSnapshot, WorkerEntry, WorkerList
from reedspoke.common.node_settings import Bounds, NodeSettings
from reedspoke.data_plane.client_connection import ClientConnection
from reedspoke.data_plane.process import DataPlane
from tests.data_plane.virtual_loop import VirtualLoop
from tests.data_plane.wire import SeenAnswer, TransportStandIn, read_answers
from tests.data_plane.world import LIMITS, Arrival, Network, document, request_bytes

GRACE_S = 8.0
WORKER = WorkerEntry("i-1", "u1", "10.0.0.1:80", "za", "v1", 1, False)


class ServerStandIn:
    """The server that accepts connections."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.closed_at = 0.0

    def close(self) -> None:
        self.closed_at = self.closed_at or self.loop.time()


class Plane(Struct, eq=False):
    """A data plane without listening sockets."""

    loop: VirtualLoop
    network: Network
    plane: DataPlane
    server: ServerStandIn

    def receive_state(self, workers: tuple[WorkerEntry, ...] = (WORKER,)) -> None:
        """Delivers a configuration and workers, as from a control scheduler that a majority confirms."""
        self.network.names |= {worker.address: worker.instance_id for worker in workers}
        self.plane._confirmation.record_report((1, 0), self.loop.time())
        self.plane._subscription.apply(ConfigurationSnapshot((1, 0), document(2, LIMITS)))
        self.plane._subscription.apply(WorkerList((1, 1), workers))

    def connect(self) -> TransportStandIn:
        transport = TransportStandIn(self.loop, ClientConnection(self.plane, self.loop))
        self.network.transports.append(transport)
        return transport

    def new_request(self, path: str, attempt_id: str = "a1") -> TransportStandIn:
        transport = self.connect()
        transport.arrive(request_bytes(path, attempt_id))
        self.loop.settle()
        return transport

    def arrival(self) -> Arrival:
        return self.network.arrivals[-1]

    def shut_down(self) -> asyncio.Task[None]:
        """Starts the shutdown, as after SIGTERM."""
        task = self.loop.create_task(self.plane._drain(self.server))  # type: ignore[arg-type]
        self.loop.settle()
        return task


def settings() -> NodeSettings:
    return NodeSettings("edge-1", "127.0.0.1", "za", bounds=Bounds(grace_s=GRACE_S))


@contextmanager
def fresh_plane() -> Iterator[Plane]:
    """A data plane in virtual time, until the block ends."""
    loop = VirtualLoop()
    network = Network(loop)
    loop.connector = network.connect

    async def make() -> DataPlane:
        return DataPlane(settings())

    yield Plane(loop, network, loop.run_until_complete(make()), ServerStandIn(loop))
    for transport in network.transports:
        transport.abort()
    loop.run_for(1)
    for transport in network.transports:
        transport.socket.close()
    loop.close()
    assert loop.errors == []


def answer(transport: TransportStandIn) -> SeenAnswer:
    """The only answer that was written to a client."""
    (only_answer,) = read_answers(bytes(transport.written))
    return only_answer
