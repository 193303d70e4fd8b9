"""A data plane without sockets: the modules are real, the test acts as clients and workers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any

from msgspec import Struct, field

from reedspoke.common.configuration import RequestLimits
from reedspoke.common.configuration_parsing import parse_configuration
from reedspoke.common.errors import ErrorCode
from reedspoke.common.messages import WorkerEntry, WorkerList
from reedspoke.data_plane.answers import error_answer
from reedspoke.data_plane.client_connection import ClientConnection, ClientRequest, RequestHandler
from reedspoke.data_plane.forwarder import Forwarder
from reedspoke.data_plane.headers import ATTEMPT_ID, field_text
from reedspoke.data_plane.request_admission import NullExchange
from reedspoke.data_plane.route_table import RouteTable
from reedspoke.data_plane.upstream_pool import UpstreamPool
from reedspoke.decision.dispatcher import Dispatcher, RetryBudgetRule
from tests.data_plane.virtual_loop import TICK_S, VirtualLoop
from tests.data_plane.wire import (
    SeenAnswer,
    SeenRequest,
    TransportStandIn,
    read_answers,
    read_requests,
)

HOST = "a.example"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
TIMEOUT_S = 20.0  # Timeout of every route.
LATENCY_TARGET_S = 2.0
SLOW_CONNECT_S = 0.5  # Delay of a connection that is established slowly.
NON_IDEMPOTENT, IDEMPOTENT, STREAMING, RESUMABLE = "/once/", "/again/", "/stream/", "/resume/"
NEVER_REPEATED = (NON_IDEMPOTENT, STREAMING)
ROUTE_FIELDS: dict[str, dict[str, object]] = {
    NON_IDEMPOTENT: {"route_type": "non_idempotent"},
    IDEMPOTENT: {"route_type": "idempotent"},
    STREAMING: {"route_type": "streaming"},
    RESUMABLE: {"route_type": "streaming", "stream_resume": True},
}
ENGINE = {"capacity": 8, "kv_tokens": 200_000}
LIMITS = {
    "max_header_bytes": 2048,
    "max_body_bytes": 8192,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def document(
    attempts: int, limits: dict[str, int], most_connections: int = 100, *, engine: bool = False
) -> bytes:
    """A configuration with a route of each kind."""
    routes = [
        {
            "name": f"r{prefix.strip('/')}",
            "hostname": HOST,
            "path_prefix": prefix,
            "timeout_ms": TIMEOUT_S * 1000,
            "target_ms": LATENCY_TARGET_S * 1000,
            "upstream": "u1",
            "max_attempts": attempts,
        }
        | kind
        for prefix, kind in ROUTE_FIELDS.items()
    ]
    upstreams: list[dict[str, object]] = [{"name": "u1", "max_connections": most_connections}]
    if engine:
        upstreams[0]["engine"] = ENGINE
    return json.dumps({"generation": 1, "routes": routes, "upstreams": upstreams, "limits": limits}).encode()


class WorkerEnd(Struct, eq=False):
    """A connection as its worker sees it."""

    instance_id: str
    transport: TransportStandIn

    def send(self, data: bytes) -> None:
        self.transport.arrive(data)
        self.transport.loop.settle()

    def end(self) -> None:
        self.transport.arrive_end()
        self.transport.loop.settle()

    def reset(self) -> None:
        self.transport.arrive_reset()
        self.transport.loop.settle()

    def requests(self) -> list[SeenRequest]:
        return read_requests(bytes(self.transport.written))

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self.transport.is_closing()


class Arrival(Struct, eq=False):
    """A request that arrived at a worker."""

    worker: WorkerEnd
    request: SeenRequest

    @property
    def attempt_id(self) -> str:
        attempt_id = self.request.get("reedspoke-attempt-id")
        assert attempt_id is not None
        return attempt_id

    def fields(self, **extra_fields: str) -> bytes:
        """The header lines of the worker's answer: the attempt id and the seal."""
        fields = {"Reedspoke-Attempt-Id": self.attempt_id, "Reedspoke-Response-Seal": SEAL}
        fields |= {name.replace("_", "-"): value for name, value in extra_fields.items()}
        return "".join(f"{name}: {value}\r\n" for name, value in fields.items()).encode()

    def complete_answer(
        self, body: bytes = b"the answer", status: str = "200 OK", **extra_fields: str
    ) -> bytes:
        """A complete answer with a Content-Length."""
        length = f"Content-Length: {len(body)}\r\n".encode()
        return b"HTTP/1.1 %b\r\n" % status.encode() + self.fields(**extra_fields) + length + b"\r\n" + body

    def stream_head(self, **extra_fields: str) -> bytes:
        coding = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        return b"HTTP/1.1 200 OK\r\n" + self.fields(**extra_fields) + coding

    def overload_answer(self, **extra_fields: str) -> bytes:
        """The answer of a worker that has no free capacity."""
        extra_fields |= {"Reedspoke_Not_Executed": "1", "Retry_After": "1"}
        return self.complete_answer(b"", "503 Service Unavailable", **extra_fields)

    def wrong_instance_answer(self) -> bytes:
        return self.complete_answer(b"", "421 Misdirected Request", Reedspoke_Not_Executed="1")


class Network:
    """Opens connections to workers. `plan` has the outcomes of the next ones; all others are accepted."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.names: dict[str, str] = {}  # Instance ids by address.
        self.plan: list[str] = []  # Of accept, slow, refuse, refuse slowly, hang, reset at once.
        self.connections: list[WorkerEnd] = []
        self.arrivals: list[Arrival] = []
        self.transports: list[TransportStandIn] = []

    async def connect(self, protocol: asyncio.BaseProtocol, address: str) -> asyncio.Transport:
        behaviour = self.plan.pop(0) if self.plan else "accept"
        if behaviour == "hang":
            await self.loop.create_future()
        if "slow" in behaviour:
            await asyncio.sleep(SLOW_CONNECT_S)
        if behaviour.startswith("refuse"):
            raise ConnectionRefusedError
        assert isinstance(protocol, asyncio.BufferedProtocol)
        transport = TransportStandIn(self.loop, protocol)
        self.transports.append(transport)
        end = WorkerEnd(self.names[address], transport)
        self.connections.append(end)
        transport.on_write = lambda: self._written(end)
        if behaviour == "reset at once":
            transport.arrive_reset()
            await asyncio.sleep(0)
        return transport

    def _written(self, end: WorkerEnd) -> None:
        arrived_count = sum(arrival.worker is end for arrival in self.arrivals)
        self.arrivals += [Arrival(end, request) for request in end.requests()[arrived_count:]]


class Frontend:
    """The owner of client connections, in place of the process."""

    def __init__(self, forwarder: Forwarder) -> None:
        self.forwarder = forwarder
        self.routes = RouteTable()
        self.is_closing = False
        self.requests: list[ClientRequest] = []
        self.connections: set[ClientConnection] = set()

    def limits(self) -> RequestLimits:
        configuration = self.routes.configuration
        return RequestLimits() if configuration is None else configuration.limits

    def is_shutting_down(self) -> bool:
        return self.is_closing

    def connection_opened(self, connection: ClientConnection) -> None:
        self.connections.add(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)

    def request_unreadable(self, status: int, message: str, peer: str) -> None:
        """Does nothing: tests check what the client receives."""

    def handle_request(self, request: ClientRequest, connection: ClientConnection) -> RequestHandler:
        self.requests.append(request)
        target = bytes(request.head.target).decode("latin-1")
        route = self.routes.find(field_text(request.head, b"host"), target)
        if route is None:
            connection.send_answer(error_answer(404, ErrorCode.NO_ROUTE, "no route"))
            return NullExchange()
        upstream = route.upstream_for(request.head.get(ATTEMPT_ID) or b"")
        return self.forwarder.forward(request, connection, route, upstream)


class Client:
    """A client with one connection."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.connection = ClientConnection(world.frontend, world.loop)
        self.transport = TransportStandIn(world.loop, self.connection)
        world.network.transports.append(self.transport)

    def send(self, data: bytes) -> None:
        self.transport.arrive(data)
        self.world.loop.settle()

    def send_request(
        self, path: str, attempt_id: str = "a1", body: bytes = b"the question", **extra_fields: str
    ) -> None:
        """Sends a request."""
        self.send(request_bytes(path, attempt_id, body, **extra_fields))

    def disconnect(self) -> None:
        self.transport.arrive_reset()
        self.world.loop.settle()

    def answers(self) -> list[SeenAnswer]:
        return read_answers(bytes(self.transport.written))

    def answer(self) -> SeenAnswer:
        """The only answer that was received."""
        (answer,) = self.answers()
        return answer

    @property
    def was_reset(self) -> bool:
        """Whether the data plane aborted the connection, so that the client sees a reset."""
        return self.transport.aborted


def request_bytes(
    path: str, attempt_id: str = "a1", body: bytes = b"the question", **extra_fields: str
) -> bytes:
    """The bytes of a request."""
    fields = {"Host": HOST, "Reedspoke-Attempt-Id": attempt_id, "Content-Length": str(len(body))}
    fields |= {name.replace("_", "-"): value for name, value in extra_fields.items()}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


class World(Struct, eq=False):
    """A data plane with its network and its clients."""

    loop: VirtualLoop
    network: Network
    forwarder: Forwarder
    frontend: Frontend
    dispatcher: Dispatcher
    pool: UpstreamPool
    clients: list[Client] = field(default_factory=list)

    def client(self) -> Client:
        made = Client(self)
        self.clients.append(made)
        return made

    def new_request(
        self, path: str, attempt_id: str = "a1", body: bytes = b"the question", **extra_fields: str
    ) -> Client:
        """Creates a client that sends a request."""
        made = self.client()
        made.send_request(path, attempt_id, body, **extra_fields)
        return made

    @property
    def arrivals(self) -> list[Arrival]:
        return self.network.arrivals

    def arrival(self) -> Arrival:
        """The latest request that arrived at a worker."""
        return self.network.arrivals[-1]

    def run_for(self, seconds: float) -> None:
        self.loop.run_for(seconds)

    def set_workers(self, names: Iterable[str], capacity: int = 8) -> None:
        """Replaces the list of workers."""
        entries = [
            WorkerEntry(name, "u1", f"10.0.0.{name.rpartition('-')[2]}:80", "za", "v1", capacity, False)
            for name in names
        ]
        self.network.names |= {entry.address: entry.instance_id for entry in entries}
        self.forwarder.set_workers(WorkerList((1, len(self.arrivals)), tuple(entries)))

    def is_idle(self) -> bool:
        """Whether no request holds any resource."""
        return (
            self.forwarder.open_exchange_count() == 0
            and self.dispatcher.job_count == 0
            and not self.forwarder.own_load()
        )

    def close(self) -> None:
        for transport in self.network.transports:
            transport.abort()
        self.loop.run_for(TICK_S)
        for transport in self.network.transports:
            transport.socket.close()
        self.loop.close()


def make_world(
    *,
    workers: int = 3,
    attempts: int = 3,
    capacity: int = 8,
    slack: float = 50.0,
    limits: dict[str, int] = LIMITS,
    most_connections: int = 100,
    engine: bool = False,
) -> World:
    """A data plane that has been running for some time, with a configuration and workers."""
    loop = VirtualLoop()
    network = Network(loop)
    loop.connector = network.connect
    started = loop.time() - 500
    dispatcher = Dispatcher(
        zone="za", budget=RetryBudgetRule(window_s=10, ratio=0.2, slack=slack), started=started
    )
    dispatcher.set_fleet_size(1, started)
    pool = UpstreamPool(loop)
    forwarder = Forwarder(loop, pool, dispatcher)
    world = World(loop, network, forwarder, Frontend(forwarder), dispatcher, pool)
    configuration = parse_configuration(document(attempts, limits, most_connections, engine=engine))
    world.frontend.routes = RouteTable(configuration, (1, 0))
    forwarder.configure(configuration)
    world.set_workers([f"i-{number}" for number in range(1, workers + 1)], capacity)
    return world


@contextmanager
def fresh_world(**settings: Any) -> Iterator[World]:
    """A data plane until the block ends; then no error may be unhandled."""
    world = make_world(**settings)
    try:
        yield world
    finally:
        world.close()
    assert world.loop.errors == []
