"""One connection of a client: reads one request at a time and writes its answer."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from msgspec import Struct

from reedspoke.common.configuration import RequestLimits
from reedspoke.common.errors import ErrorCode
from reedspoke.common.lingering_close import LingeringClose
from reedspoke.data_plane.answers import CompleteAnswer, error_answer
from reedspoke.net.http import Buffer, Head, MalformedError, RequestParser
from reedspoke.telemetry.invariants import Invariant, check

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
STATUSES_WITHOUT_BODY = (b"204", b"304")
DEFAULT_HEADER_BYTES = 16 * 1024
DEFAULT_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_MS = 10_000.0
DEFAULT_IDLE_TIMEOUT_MS = 60_000.0
BODY_TIMEOUT_S = 30.0
MAX_PIPELINED_BYTES = 64 * 1024  # Beyond so many bytes after a request, reading pauses until its answer ends.
# After the last answer, what the client still sends is read and discarded up to these limits: an immediate
# reset could destroy that answer.
LINGER_S = 1.0
MAX_DISCARDED_BYTES = 16 * 1024 * 1024


class ClientRequest(Struct, frozen=True):
    """A complete request."""

    head: Head
    body: bytes
    first_byte_at: float  # On the loop's clock; the time limits of the request start here.


class RequestHandler(Protocol):
    """Handles a request that was read completely."""

    def client_disconnected(self) -> None:
        """The client has disconnected before the end of the answer."""

    def set_writable(self, writable: bool) -> None:
        """The write buffer of the connection is full, or has space again."""


class Frontend(Protocol):
    """The owner of all client connections."""

    def limits(self) -> RequestLimits:
        """The limits of requests in the configuration in force."""

    def is_shutting_down(self) -> bool:
        """Whether the process is shutting down, so that connections close after their answer."""

    def handle_request(self, request: ClientRequest, connection: ClientConnection) -> RequestHandler:
        """Starts to handle a complete request."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """A client has connected."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """The connection has ended."""

    def request_unreadable(self, status: int, message: str, peer: str) -> None:
        """A request was refused with `status` before it was read completely."""


class ClientConnection(asyncio.BufferedProtocol):
    """A connection of a client.

    It waits for a request, reads it, answers it, and starts again. If unread bytes follow the last request,
    it discards them before it closes. Bytes of pipelined requests stay in the buffer until the answer ends.
    """

    def __init__(self, frontend: Frontend, loop: asyncio.AbstractEventLoop) -> None:
        self._frontend = frontend
        self._loop = loop
        self._buffer = Buffer()
        self._requests = RequestParser(self._buffer, DEFAULT_BODY_BYTES)
        self._transport: asyncio.Transport | None = None
        self._head: Head | None = None
        self._handler: RequestHandler | None = None
        self._keep_alive = True
        self._chunked = False
        self._streaming = False  # The head of a stream was written, but not its end.
        self._answering = False
        self._is_http_1_0 = False  # A client that does not support chunked coding.
        self._head_only = False  # A HEAD request: its answer has no body.
        self._first_byte_at = loop.time()  # Of the request being read, or pipelined after it.
        self._head_started = False  # Whether the time limit of the head has started.
        self._request_unread = False  # A request was refused before it was read completely.
        self._closing: LingeringClose | None = None  # Set once the last answer is written.
        self._timer: asyncio.TimerHandle | None = None

    # ---- asyncio ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the options of the socket, and waits for the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._frontend.connection_opened(self)
        self._start_timer(self._idle_timeout())

    def get_buffer(self, sizehint: int) -> memoryview:
        """The space for the next received bytes."""
        if self._head is not None and not self._answering:
            return self._buffer.room(self._requests.wanted())
        return self._buffer.room()

    def buffer_updated(self, nbytes: int) -> None:
        """Parses the received bytes. While an answer is being written, they stay in the buffer."""
        if self._closing is not None:
            self._closing.discard(nbytes)
            return
        if self._head is None and not len(self._buffer):
            self._first_byte_at = self._loop.time()
        self._buffer.filled(nbytes)
        if self._answering:
            if len(self._buffer) > MAX_PIPELINED_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        self._read()

    def eof_received(self) -> bool:
        """Closes the connection, as a client that closed its side counts as disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        self._stop_timer()
        handler = self._handler
        self._handler = None
        self._transport = None
        if handler is not None:
            handler.client_disconnected()
        self._frontend.connection_closed(self)

    def pause_writing(self) -> None:
        """Notifies the request handler that the write buffer is full."""
        if self._handler is not None:
            self._handler.set_writable(False)

    def resume_writing(self) -> None:
        """Notifies the request handler that the write buffer has space again."""
        if self._handler is not None:
            self._handler.set_writable(True)

    # ---- requests ----

    def is_idle(self) -> bool:
        """Whether the connection waits for a request of which nothing was read yet."""
        reading = self._head is not None or len(self._buffer) > 0
        return not (reading or self._answering or self._closing is not None)

    def _read(self) -> None:
        try:
            self._read_request()
        except MalformedError as error:
            self._refuse_malformed(error)

    def _read_request(self) -> None:
        if self._head is None:
            self._read_head()
        if self._head is None:
            return
        body = self._requests.body()
        if body is None:
            return
        request = ClientRequest(self._head, bytes(body), self._first_byte_at)
        self._first_byte_at = self._loop.time()  # Bytes left in the buffer have just arrived.
        self._stop_timer()
        self._head = None
        self._answering = True
        self._keep_alive = request.head.keeps_alive()
        self._is_http_1_0 = request.head.version == 0
        self._head_only = request.head.method == b"HEAD"
        handler = self._frontend.handle_request(request, self)
        if self._answering:
            self._handler = handler

    def _read_head(self) -> None:
        limit = self._frontend.limits().get("max_header_bytes", DEFAULT_HEADER_BYTES)
        self._requests.max_head_bytes = limit
        unread_bytes = len(self._buffer)
        head = self._requests.head()
        if head is None:
            if unread_bytes > limit:
                raise MalformedError(431, "the head is too large")
            if unread_bytes and not self._head_started:
                self._head_started = True
                self._start_timer(self._header_timeout())
            return
        self._head_started = False
        if unread_bytes - len(self._buffer) > limit:
            raise MalformedError(431, "the head is too large")
        if head.get(b"host") is None:
            raise MalformedError(400, "the Host field is missing")
        length = head.length()
        self._requests.max_body_bytes = self._frontend.limits().get("max_body_bytes", DEFAULT_BODY_BYTES)
        self._requests.expect(0 if length is None else length)
        self._head = head
        self._start_timer(BODY_TIMEOUT_S)
        if head.tokens(b"expect") == [b"100-continue"] and self._transport is not None:
            self._transport.write(CONTINUE)

    def _refuse_malformed(self, error: MalformedError) -> None:
        self._answering = self._request_unread = True
        self._keep_alive = self._head_only = False
        too_large = error.status in (413, 431)
        code = ErrorCode.REQUEST_TOO_LARGE if too_large else ErrorCode.MALFORMED_REQUEST
        self._frontend.request_unreadable(error.status, str(error), self._peer_address())
        self.send_answer(error_answer(error.status, code, str(error)))

    # ---- answers ----

    def send_answer(self, answer: CompleteAnswer) -> None:
        """Writes a complete answer."""
        self._check_answered_once("whole")
        fields, body = answer.fields, answer.body
        if self._head_only or answer.status_line[9:12] in STATUSES_WITHOUT_BODY:
            body = b""
        else:
            fields += b"Content-Length: %d\r\n" % len(body)
        self._write(answer.status_line + fields + self._connection_field() + b"\r\n" + body)
        self._finish_answer()

    def start_stream(self, status_line: bytes, fields: bytes, first: bytes) -> None:
        """Writes the head of an answer whose body follows in pieces, and the first piece."""
        self._check_answered_once("stream")
        self._streaming = True
        self._chunked = not (self._is_http_1_0 or self._head_only)
        if self._is_http_1_0:
            self._keep_alive = False  # The end of the connection delimits the body.
        coding = b"Transfer-Encoding: chunked\r\n" if self._chunked else b""
        self._write(
            status_line + fields + coding + self._connection_field() + b"\r\n" + self._encode_piece(first)
        )

    def write_piece(self, piece: bytes) -> None:
        """Writes a piece of the body."""
        self._write(self._encode_piece(piece))

    def end_stream(self) -> None:
        """Ends the body of a stream that is complete."""
        if self._chunked:
            self._write(LAST_CHUNK)
        self._finish_answer()

    def _encode_piece(self, piece: bytes) -> bytes:
        if self._head_only or not piece:
            return b""
        return chunk(piece) if self._chunked else piece

    def abort(self) -> None:
        """Resets the connection, so that the client sees that a started answer is incomplete."""
        self._handler = None
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection at process shutdown, unless a request is being read or answered."""
        if self.is_idle() and self._transport is not None:
            self._transport.close()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _connection_field(self) -> bytes:
        if self._keep_alive and not self._frontend.is_shutting_down():
            return b"Connection: keep-alive\r\n" if self._is_http_1_0 else b""
        self._keep_alive = False
        return b"Connection: close\r\n"

    def _check_answered_once(self, form: str) -> None:
        once = self._answering and not self._streaming
        check(Invariant.ONE_FINAL_ANSWER, once, form=form, answering=self._answering)

    def _peer_address(self) -> str:
        """The address of the client; empty if unknown."""
        peername = None if self._transport is None else self._transport.get_extra_info("peername")
        return "" if peername is None else f"{peername[0]}:{peername[1]}"

    def _finish_answer(self) -> None:
        self._streaming = False
        self._handler = None
        self._answering = False
        self._chunked = False
        if self._transport is None:
            return
        if not self._keep_alive or (self._frontend.is_shutting_down() and not len(self._buffer)):
            self._close()
            return
        self._transport.resume_reading()
        self._buffer.recycle()
        self._start_timer(self._idle_timeout())
        if len(self._buffer):
            self._loop.call_soon(self._read_next)

    def _close(self) -> None:
        """Closes the connection so that the client can read its answer, whatever it still sends."""
        assert self._transport is not None
        if not (self._request_unread or len(self._buffer)):
            self._transport.close()
            return
        self._start_timer(LINGER_S)
        self._closing = LingeringClose(self._transport, MAX_DISCARDED_BYTES)
        self._closing.begin()

    def _read_next(self) -> None:
        if self._transport is not None and not self._answering and self._head is None:
            self._read()

    # ---- time limits ----

    def _idle_timeout(self) -> float:
        return self._frontend.limits().get("idle_timeout_ms", DEFAULT_IDLE_TIMEOUT_MS) / 1000

    def _header_timeout(self) -> float:
        return self._frontend.limits().get("header_timeout_ms", DEFAULT_HEADER_TIMEOUT_MS) / 1000

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, self._timed_out)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _timed_out(self) -> None:
        self._timer = None
        if self._answering or self._transport is None:
            return
        if self.is_idle() or self._closing is not None:
            self._transport.close()
            return
        self._answering = self._request_unread = True
        self._keep_alive = False
        message = "the request was not received in time"
        self._frontend.request_unreadable(408, message, self._peer_address())
        self.send_answer(error_answer(408, ErrorCode.MALFORMED_REQUEST, message))


def chunk(piece: bytes) -> bytes:
    """Encodes a piece of a body in the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(piece), piece)
