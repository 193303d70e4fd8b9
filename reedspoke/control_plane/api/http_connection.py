"""One HTTP server connection with keep-alive, Content-Length and chunked bodies, and one request at a time.

A connection reads a request, pauses reading while the handler runs, writes the response, and continues with
the bytes received meanwhile. After the last response it uses a lingering close: the write side is shut down,
and received bytes are discarded.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Awaitable, Callable
from typing import Protocol, cast

from reedspoke.common.json_log import ERROR, log
from reedspoke.common.lingering_close import LingeringClose
from reedspoke.control_plane.api.http_messages import Request, Response, build_request, encode_response
from reedspoke.net.http import Buffer, Head, MalformedError, RequestParser

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_ALLOCATION_BYTES = 256 * 1024  # the most buffer space allocated ahead for a body that may never arrive
IDLE_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_S = 10.0  # from the first byte of a request to its last
# After the last response, data of the client is discarded up to these limits. An immediate reset could
# destroy the response before the client has read it.
LINGER_TIMEOUT_S = 2.0
MAX_DISCARDED_BYTES = 2 * MAX_BODY_BYTES

Handler = Callable[[Request], Awaitable[Response]]
ErrorBody = Callable[[int, str], bytes]  # builds a response body from a status and an error message


class ConnectionOwner(Protocol):
    """The interface of the server that a connection belongs to."""

    handler: Handler
    error_body: ErrorBody
    closing: bool

    def connection_opened(self, connection: HttpConnection) -> bool:
        """Register a connection. Returns False if too many are open."""

    def request_malformed(self, status: int, message: str) -> None:
        """Record a malformed HTTP request and the status of its response."""

    def connection_closed(self, connection: HttpConnection) -> None:
        """Remove a closed connection."""


class HttpConnection(asyncio.BufferedProtocol):
    """The asyncio protocol of one connection."""

    def __init__(self, server: ConnectionOwner) -> None:
        self._server = server
        self._buffer = Buffer()
        self._requests = RequestParser(self._buffer, MAX_BODY_BYTES)
        self._head: Head | None = None  # of the request whose body is being received
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None  # runs the handler
        self._loop = asyncio.get_running_loop()
        self._lingering: LingeringClose | None = None  # set once the last response is written
        self._active_at = self._loop.time()  # time of a request's first byte or of the last response

    # ---- called by asyncio ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server, or abort if it has too many connections."""
        self._transport = cast(asyncio.Transport, transport)
        if not self._server.connection_opened(self):
            self._transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return buffer space for the next bytes."""
        return self._buffer.room(min(self._requests.wanted(), MAX_ALLOCATION_BYTES))

    def buffer_updated(self, nbytes: int) -> None:
        """Process `nbytes` more bytes in the buffer."""
        if self._lingering is not None:
            self._lingering.discard(nbytes)
            return
        if len(self._buffer) == 0 and self._head is None:
            self._active_at = self._loop.time()
        self._buffer.filled(nbytes)
        self._advance()

    def eof_received(self) -> bool:
        """Close the connection when the client shuts down its write side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the handler, because no client waits for its response any more.

        Pipelined requests in the buffer are not run for the same reason.
        """
        self._server.connection_closed(self)
        self._transport = None
        if self._task is not None:
            self._task.cancel()

    # ---- called by handlers ----

    def is_closed_by_client(self) -> bool:
        """Return whether the client has closed the connection, or its side of it.

        While a handler runs the connection is not read, so the end of the stream is looked for directly.
        """
        if self._transport is None or self._transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket"), select.POLLRDHUP)
        return bool(poll.poll(0))

    # ---- called by the server ----

    def is_overdue(self, now: float) -> bool:
        """Return whether the connection has been idle, or a request incomplete, for too long."""
        if self._task is not None:
            return False
        return now - self._active_at > self._timeout_s()

    def abort(self) -> None:
        """Abort the connection without sending buffered data."""
        if self._transport is not None:
            self._transport.abort()

    # ---- internal ----

    def _timeout_s(self) -> float:
        if self._lingering is not None:
            return LINGER_TIMEOUT_S
        incomplete = self._head is not None or len(self._buffer) > 0
        return REQUEST_TIMEOUT_S if incomplete else IDLE_TIMEOUT_S

    def _advance(self) -> None:
        """Start the handler if the buffer contains a complete request."""
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
        return None if body is None else build_request(self._head, bytes(body), self.is_closed_by_client)

    def _send_continue(self, head: Head) -> None:
        if self._transport is not None and b"100-continue" in head.tokens(b"expect"):
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    async def _handle(self, request: Request, keep_alive: bool) -> None:
        try:
            response = await self._server.handler(request)
        except Exception as error:  # An unexpected error in one request must not end the process.
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
        """Wait for the client to close the connection, which it does after it has read the response."""
        self._lingering = LingeringClose(transport, MAX_DISCARDED_BYTES)
        self._lingering.begin()

    def _reject(self, error: MalformedError) -> None:
        self._server.request_malformed(error.status, str(error))
        response = Response(error.status, self._server.error_body(error.status, str(error)))
        self._write(response, keep_alive=False)
