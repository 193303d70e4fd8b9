"""A small HTTP/1.1 server on asyncio: keep-alive, bodies by length or in chunks, one request at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

from msgspec import Struct, field

from reedspoke.common.json_log import ERROR, log
from reedspoke.common.lingering_close import LingeringClose
from reedspoke.common.node_settings import split_address
from reedspoke.net.http import Buffer, Head, MalformedError, Requests

MOST_BODY = 8 * 1024 * 1024
MOST_CONNECTIONS = 64
MOST_ROOM = 256 * 1024  # bytes made ready at once for a body that may never come
IDLE_S = 30.0
REQUEST_S = 10.0  # a request has to be whole by then
SWEEP_S = 2.0
LINGER_S = 2.0  # what a client still sends after its last answer is read and forgotten for so long,
MOST_DISCARDED = 2 * MOST_BODY  # and so much of it: a reset at once could destroy that answer

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    412: "Precondition Failed",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}


class Request(Struct):
    """A whole request; header names are in small letters."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Response(Struct):
    """An answer; Content-Length is added."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=lambda: {"Content-Type": "application/json"})


Handler = Callable[[Request], Awaitable[Response]]
ErrorBody = Callable[[int, str], bytes]  # status and message of a request that is no proper HTTP


class HttpServer:
    """Listens, and hands whole requests to the handler."""

    def __init__(self, handler: Handler, error_body: ErrorBody) -> None:
        self.handler = handler
        self.error_body = error_body
        self.closing = False  # every answer ends its connection
        self._connections: set[HttpConnection] = set()
        self._server: asyncio.Server | None = None
        self._loop = asyncio.get_running_loop()
        self._next_sweep: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> None:
        """Open the port at `ip:port`."""
        host, port = split_address(address)
        self._server = await self._loop.create_server(lambda: HttpConnection(self), host, port)
        self._sweep()

    def close(self) -> None:
        """End the server and all connections."""
        if self._server is not None:
            self._server.close()
        if self._next_sweep is not None:
            self._next_sweep.cancel()
        for connection in list(self._connections):
            connection.abort()

    def arrived(self, connection: HttpConnection) -> bool:
        """False where there are too many connections."""
        if len(self._connections) >= MOST_CONNECTIONS:
            return False
        self._connections.add(connection)
        return True

    def ended(self, connection: HttpConnection) -> None:
        """The connection is over."""
        self._connections.discard(connection)

    def _sweep(self) -> None:
        self._next_sweep = self._loop.call_later(SWEEP_S, self._sweep)
        now = self._loop.time()
        for connection in list(self._connections):
            if connection.overdue(now):
                connection.abort()


class HttpConnection(asyncio.BufferedProtocol):
    """One connection of a client."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._buffer = Buffer()
        self._requests = Requests(self._buffer, MOST_BODY)
        self._head: Head | None = None
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._loop = asyncio.get_running_loop()
        self._closing: LingeringClose | None = None  # the last answer is written
        self._since = self._loop.time()  # of the request that is coming in, or of the last answer

    # ---- called by asyncio ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if not self._server.arrived(self):
            self._transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer.room(min(self._requests.wanted(), MOST_ROOM))

    def buffer_updated(self, nbytes: int) -> None:
        if self._closing is not None:
            self._closing.discard(nbytes)
            return
        if len(self._buffer) == 0 and self._head is None:
            self._since = self._loop.time()
        self._buffer.filled(nbytes)
        self._advance()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._server.ended(self)
        self._transport = None  # requests that came behind are not run: nobody waits for their answers
        if self._task is not None:
            self._task.cancel()

    # ---- called by the server ----

    def overdue(self, now: float) -> bool:
        """Whether the connection has been idle, or a request incomplete, for too long."""
        if self._task is not None:
            return False
        return now - self._since > self._patience()

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # ---- inside ----

    def _patience(self) -> float:
        if self._closing is not None:
            return LINGER_S
        incomplete = self._head is not None or len(self._buffer) > 0
        return REQUEST_S if incomplete else IDLE_S

    def _advance(self) -> None:
        """Go on with the bytes at hand until a request is whole."""
        if self._task is not None or self._transport is None:
            return
        try:
            request = self._next_request()
        except MalformedError as error:
            self._refuse(error)
            return
        if request is None:
            return
        self._transport.pause_reading()
        keep = self._head is not None and self._head.keeps_alive()
        self._head = None
        self._requests.expect(0)
        self._task = self._loop.create_task(self._answer(request, keep))

    def _next_request(self) -> Request | None:
        if self._head is None:
            self._head = self._requests.head()
            if self._head is None:
                return None
            self._requests.expect(self._head.length() or 0)
            self._say_continue(self._head)
        body = self._requests.body()
        return None if body is None else _request(self._head, bytes(body))

    def _say_continue(self, head: Head) -> None:
        if self._transport is not None and b"100-continue" in head.tokens(b"expect"):
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _answer(self, request: Request, keep: bool) -> None:
        try:
            response = await self._server.handler(request)
        except Exception as error:  # one request must not end the process
            log(ERROR, "operator call failed", error=repr(error), path=request.path)
            response = Response(500, self._server.error_body(500, "internal error"))
        self._task = None
        self._write(response, keep and not self._server.closing)

    def _write(self, response: Response, keep: bool) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(_head_bytes(response, keep) + response.body)
        self._since = self._loop.time()
        if not keep:
            self._end_writing(transport)
            return
        self._buffer.recycle()
        transport.resume_reading()
        if len(self._buffer):
            self._loop.call_soon(self._advance)

    def _end_writing(self, transport: asyncio.Transport) -> None:
        """The client ends the connection when it has read its answer."""
        self._closing = LingeringClose(transport, MOST_DISCARDED)
        self._closing.begin()

    def _refuse(self, error: MalformedError) -> None:
        self._write(Response(error.status, self._server.error_body(error.status, str(error))), keep=False)


def _request(head: Head, body: bytes) -> Request:
    path, _, _ = bytes(head.target).decode("ascii").partition("?")
    headers = {name.decode("ascii"): bytes(value).decode("latin-1") for name, value in head.fields}
    return Request(head.method.decode("ascii"), path, headers, body)


def _head_bytes(response: Response, keep: bool) -> bytes:
    lines = [f"HTTP/1.1 {response.status} {REASONS.get(response.status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines.append(f"Content-Length: {len(response.body)}")
    if not keep:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")
