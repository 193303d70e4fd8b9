"""A data plane in this process with real sockets: scripted workers and a client."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable

from msgspec import Struct, field

from reedspoke.common.configuration_parsing import parse_configuration
from reedspoke.common.messages import WorkerEntry, WorkerList
from reedspoke.common.node_settings import split_address
from reedspoke.data_plane.client_connection import ClientConnection
from reedspoke.data_plane.forwarder import Forwarder
from reedspoke.data_plane.route_table import RouteTable
from reedspoke.data_plane.upstream_pool import ConnectResult, UpstreamPool
from reedspoke.decision.dispatcher import Dispatcher, RetryBudgetRule
from tests.data_plane.wire import SeenAnswer, SeenRequest, chunked, events, read_answers, read_requests
from tests.data_plane.world import HOST, ROUTE_FIELDS, SEAL, Frontend, request_bytes

LATENCY_TARGET_MS = 100
LAST_EVENT = 3  # The last event of every complete stream.
CLIENT_TIMEOUT_S = 8.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, with a time-out of 0.
STREAM_PREFIXES = ("/stream/", "/resume/")


class WorkerSide:
    """A connection as its worker sees it, with the request that arrived on it."""

    def __init__(self, writer: asyncio.StreamWriter, request: SeenRequest) -> None:
        self._writer = writer
        self.request = request
        self.attempt_id = request.get("reedspoke-attempt-id") or ""
        self.streaming = request.target.startswith(STREAM_PREFIXES)

    def send(self, data: bytes) -> None:
        self._writer.write(data)

    def close(self) -> None:
        """Closes the connection after the written data."""
        self._writer.close()

    def half_close(self) -> None:
        """Closes the write side only."""
        self._writer.write_eof()

    def reset(self) -> None:
        raw = self._writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._writer.transport.abort()

    def head(self, status: str = "200 OK", *extra_lines: str, seal: bool = True) -> bytes:
        """A head without the fields that delimit the body."""
        lines = [f"HTTP/1.1 {status}", f"Reedspoke-Attempt-Id: {self.attempt_id}", *extra_lines]
        if seal:
            lines.append(f"Reedspoke-Response-Seal: {SEAL}")
        return "\r\n".join([*lines, ""]).encode()

    def complete_answer(
        self, status: str = "200 OK", body: bytes = b"why", *extra_lines: str, seal: bool = True
    ) -> bytes:
        return self.head(status, *extra_lines, seal=seal) + b"Content-Length: %d\r\n\r\n" % len(body) + body

    def success_answer(self) -> bytes:
        """The complete expected answer to this request: a stream continues after the last event id."""
        if not self.streaming:
            return self.complete_answer(body=b"the answer")
        first = int(self.request.get("last-event-id") or 0) + 1
        return self.head() + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(events(first, LAST_EVENT))

    def body(self) -> bytes:
        """The complete body of a first answer."""
        return events(1, LAST_EVENT) if self.streaming else b"the answer"


Script = Callable[[WorkerSide], Awaitable[None]]


class RedirectedPool(UpstreamPool):
    """Opens the next connection to `first_address` if set; calls `on_connected` before each one is used."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.first_address: str | None = None
        self.on_connected: Callable[[], None] = lambda: None

    async def _open(self, address: str) -> ConnectResult:
        address, self.first_address = self.first_address or address, None
        result = await super()._open(address)
        self.on_connected()
        return result


class Loopback(Struct, eq=False):
    """A data plane with workers. The script handles the first request; all others get a success."""

    pool: RedirectedPool
    forwarder: Forwarder
    frontend: Frontend
    script: Script
    requests: list[SeenRequest] = field(default_factory=list)
    servers: list[asyncio.Server] = field(default_factory=list)
    address: tuple[str, int] = ("", 0)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def serve_worker(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raw, request_count = b"", 0
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while piece := await reader.read(65536):
                raw += piece
                for request in read_requests(raw)[request_count:]:
                    request_count += 1
                    await self.answer(WorkerSide(writer, request))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def answer(self, side: WorkerSide) -> None:
        self.requests.append(side.request)
        if len(self.requests) == 1:
            await self.script(side)
        else:
            side.send(side.success_answer())

    async def request(
        self, path: str, attempt_id: str = "a1", body: bytes = b"the question", **extra_fields: str
    ) -> SeenAnswer | None:
        """The answer that a new client receives; None if its connection ends without any byte."""
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(request_bytes(path, attempt_id, body, Connection="close", **extra_fields))
        raw = b""
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                while piece := await reader.read(65536):
                    raw += piece
        except ConnectionError:
            pass
        writer.transport.abort()
        answers = read_answers(raw)
        assert len(answers) <= 1, answers
        return answers[0] if answers else None

    def close(self) -> None:
        self.forwarder.abort_all()
        for server in self.servers:
            server.close()
        for task in self.tasks:
            task.cancel()


def configuration() -> bytes:
    routes = [
        {
            "name": f"r{prefix.strip('/')}",
            "hostname": HOST,
            "path_prefix": prefix,
            "timeout_ms": 20_000,
            "target_ms": LATENCY_TARGET_MS,
            "upstream": "u1",
            "max_attempts": 3,
        }
        | kind
        for prefix, kind in ROUTE_FIELDS.items()
    ]
    return json.dumps({"generation": 1, "routes": routes, "upstreams": [{"name": "u1"}]}).encode()


async def start(script: Script, workers: int) -> Loopback:
    """Starts a data plane that counts as running for some time, and its workers."""
    loop = asyncio.get_running_loop()
    started = loop.time() - 500
    budget = RetryBudgetRule(window_s=10, ratio=0.2, slack=50)
    dispatcher = Dispatcher(zone="za", budget=budget, started=started)
    dispatcher.set_fleet_size(1, started)
    pool = RedirectedPool(loop)
    forwarder = Forwarder(loop, pool, dispatcher)
    loopback = Loopback(pool, forwarder, Frontend(forwarder), script)
    parsed = parse_configuration(configuration())
    loopback.frontend.routes = RouteTable(parsed, (1, 0))
    forwarder.configure(parsed)
    entries = []
    for number in range(workers):
        server = await asyncio.start_server(loopback.serve_worker, "127.0.0.1", 0)
        loopback.servers.append(server)
        port = server.sockets[0].getsockname()[1]
        entries.append(WorkerEntry(f"i-{number}", "u1", f"127.0.0.1:{port}", "za", "v1", 8, False))
    forwarder.set_workers(WorkerList((1, 0), tuple(entries)))
    frontend_server = await loop.create_server(
        lambda: ClientConnection(loopback.frontend, loop), "127.0.0.1", 0
    )
    loopback.servers.append(frontend_server)
    loopback.address = frontend_server.sockets[0].getsockname()
    return loopback


class UnreadListener:
    """A port whose connections are established but never read, or with `full` never established."""

    def __init__(self, *, full: bool = False) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0 if full else 8)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._waiting = [self._connection() for _ in range(3)] if full else []

    def _connection(self) -> socket.socket:
        client = socket.socket()
        client.setblocking(False)
        client.connect_ex(split_address(self.address))
        return client

    def close(self) -> None:
        """Closes the port; connections that were not accepted are reset."""
        self._listener.close()
        for client in self._waiting:
            client.close()
