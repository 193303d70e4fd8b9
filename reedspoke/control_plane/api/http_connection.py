"""One connection of an HTTP client: keep-alive, bodies by length or in chunks, one request at a time.

A connection reads a request, pauses reading while the handler runs, writes the response and goes on with what
has come meanwhile. After its last response it lingers: the write side is closed, and what still comes is
discarded.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol, cast

from reedspoke.common.json_log import ERROR, log
from reedspoke.common.lingering_close import LingeringClose
from reedspoke.control_plane.api.http_messages import Request, Response, build_request, encode_response
from reedspoke.net.http import Buffer, Head, MalformedError, Requests

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_ALLOCATION_BYTES = 256 * 1024  # made ready at once for a body that may never come
IDLE_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_S = 10.0  # from the first byte of a request to its last
LINGER_TIMEOUT_S = 2.0  # what a client still sends after its last response is discarded for so long,
MAX_DISCARDED_BYTES = 2 * MAX_BODY_BYTES  # and so much of it: a reset at once could destroy that response

Handler = Callable[[Request], Awaitable[Response]]
ErrorBody = Callable[[int, str], bytes]  # by status and message of a request that is no proper HTTP


class ConnectionOwner(Protocol):
    """What a connection needs of its server."""

    handler: Handler
    error_body: ErrorBody
    closing: bool

    def connection_opened(self, connection: HttpConnection) -> bool:
        """Register a connection; False where there are too many."""

    def request_malformed(self, status: int, message: str) -> None:
        """Take note of a request that is no proper HTTP, and of its status."""

    def connection_closed(self, connection: HttpConnection) -> None:
        """Remove a connection that is over."""


class HttpConnection(asyncio.BufferedProtocol):
    """The protocol of one connection; asyncio calls its first methods."""

    def __init__(self, server: ConnectionOwner) -> None:
        self._server = server
        self._buffer = Buffer()
        self._requests = Requests(self._buffer, MAX_BODY_BYTES)
        self._head: Head | None = None  # of the request whose body is coming in
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None  # the handler's
        self._loop = asyncio.get_running_loop()
        self._lingering: LingeringClose | None = None  # the last response is written
        self._active_at = self._loop.time()  # the first byte of a request, or the last response

    # ---- called by asyncio ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server."""
        self._transport = cast(asyncio.Transport, transport)
        if not self._server.connection_opened(self):
            self._transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Room for the next bytes."""
        return self._buffer.room(min(self._requests.wanted(), MAX_ALLOCATION_BYTES))

    def buffer_updated(self, nbytes: int) -> None:
        """Read on with `nbytes` more bytes in the buffer."""
        if self._lingering is not None:
            self._lingering.discard(nbytes)
            return
        if len(self._buffer) == 0 and self._head is None:
            self._active_at = self._loop.time()
        self._buffer.filled(nbytes)
        self._advance()

    def eof_received(self) -> bool:
        """Close the connection."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the handler: nobody waits for its response, nor for those of requests that are in the
        buffer.
        """
        self._server.connection_closed(self)
        self._transport = None
        if self._task is not None:
            self._task.cancel()

    # ---- called by the server ----

    def is_overdue(self, now: float) -> bool:
        """Whether the connection has been idle, or a request incomplete, for too long."""
        if self._task is not None:
            return False
        return now - self._active_at > self._timeout_s()

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    # ---- inside ----

    def _timeout_s(self) -> float:
        if self._lingering is not None:
            return LINGER_TIMEOUT_S
        incomplete = self._head is not None or len(self._buffer) > 0
        return REQUEST_TIMEOUT_S if incomplete else IDLE_TIMEOUT_S

    def _advance(self) -> None:
        """Start the handler if the bytes in the buffer complete a request."""
        if self._task is not None or self._transport is None:
            return
        try:
            request = self._next_request()
        except MalformedError as error:
            self._reject(error)
            return
        if request is None:
            return
        self._transport.pause_reading()
        keep_alive = self._head is not None and self._head.keeps_alive()
        self._head = None
        self._requests.expect(0)
        self._task = self._loop.create_task(self._handle(request, keep_alive))

    def _next_request(self) -> Request | None:
        if self._head is None:
            self._head = self._requests.head()
            if self._head is None:
                return None
            self._requests.expect(self._head.length() or 0)
            self._send_continue(self._head)
        body = self._requests.body()
        return None if body is None else build_request(self._head, bytes(body))

    def _send_continue(self, head: Head) -> None:
        if self._transport is not None and b"100-continue" in head.tokens(b"expect"):
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _handle(self, request: Request, keep_alive: bool) -> None:
        try:
            response = await self._server.handler(request)
        except Exception as error:  # one request must not end the process
            log(ERROR, "operator call failed", error=repr(error), path=request.path)
            response = Response(500, self._server.error_body(500, "internal error"))
        self._task = None
        self._write(response, keep_alive and not self._server.closing)

    def _write(self, response: Response, keep_alive: bool) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(encode_response(response, keep_alive))
        self._active_at = self._loop.time()
        if not keep_alive:
            self._linger(transport)
            return
        self._buffer.recycle()
        transport.resume_reading()
        if len(self._buffer):
            self._loop.call_soon(self._advance)

    def _linger(self, transport: asyncio.Transport) -> None:
        """Leave the end of the connection to the client, which has read its response by then."""
        self._lingering = LingeringClose(transport, MAX_DISCARDED_BYTES)
        self._lingering.begin()

    def _reject(self, error: MalformedError) -> None:
        self._server.request_malformed(error.status, str(error))
        response = Response(error.status, self._server.error_body(error.status, str(error)))
        self._write(response, keep_alive=False)
