"""One connection of a client: reads requests one after another and writes their answers."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from msgspec import Struct

from reedspoke.common.configuration import RequestLimits
from reedspoke.common.errors import ErrorCode
from reedspoke.common.lingering_close import LingeringClose
from reedspoke.data_plane.answers import WholeAnswer, own_answer
from reedspoke.net.http import Buffer, Head, MalformedError, RequestParser
from reedspoke.telemetry.invariants import Invariant, check

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
WITHOUT_BODY = (b"204", b"304")  # statuses
DEFAULT_HEADER_BYTES = 16 * 1024
DEFAULT_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_MS = 10_000.0
DEFAULT_IDLE_TIMEOUT_MS = 60_000.0
BODY_TIMEOUT_S = 30.0
MOST_UNREAD_BEHIND = 64 * 1024  # bytes that may come behind a request before its answer has ended
LINGER_S = 1.0  # what a client still sends after its last answer is read and forgotten for so long,
MOST_DISCARDED = 16 * 1024 * 1024  # and so much of it: a reset at once could destroy that answer


class ClientRequest(Struct, frozen=True):
    """A whole request, as it was read."""

    head: Head
    body: bytes
    began: float  # when its first bytes came, on the loop's clock: its time limits run from there


class Exchange(Protocol):
    """What handles a request, from the moment it was read."""

    def client_gone(self) -> None: ...

    def writable(self, on: bool) -> None: ...


class Frontend(Protocol):
    """What the connections of clients belong to."""

    def limits(self) -> RequestLimits: ...

    def closing(self) -> bool: ...

    def begin(self, request: ClientRequest, connection: ClientConnection) -> Exchange: ...

    def opened(self, connection: ClientConnection) -> None: ...

    def closed(self, connection: ClientConnection) -> None: ...

    def unreadable(self, status: int, message: str, peer: str) -> None: ...


class ClientConnection(asyncio.BufferedProtocol):
    """States: waiting for a request, reading one, answering one, and, where unread bytes are left behind the
    last answer, discarding them. What comes behind a request waits in the buffer."""

    def __init__(self, frontend: Frontend, loop: asyncio.AbstractEventLoop) -> None:
        self._frontend = frontend
        self._loop = loop
        self._buffer = Buffer()
        self._requests = RequestParser(self._buffer, DEFAULT_BODY_BYTES)
        self._transport: asyncio.Transport | None = None
        self._head: Head | None = None
        self._exchange: Exchange | None = None
        self._keep_alive = True
        self._chunked = False
        self._streaming = False  # the head of a stream has been written, and its end has not
        self._answering = False
        self._older = False  # the request is of HTTP/1.0: its client knows no chunks
        self._head_only = False  # it is a HEAD: its answer has no body
        self._first_byte_at = loop.time()  # of the request that is read, or that waits behind an answer
        self._head_begun = False  # the time limit for a head runs from its first bytes
        self._refused = False  # the rest of the request that was refused is still on its way
        self._closing: LingeringClose | None = None  # the last answer is written
        self._timer: asyncio.TimerHandle | None = None

    # ---- asyncio ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._frontend.opened(self)
        self._wait(self._idle_timeout())

    def get_buffer(self, sizehint: int) -> memoryview:
        if self._head is not None and not self._answering:
            return self._buffer.room(self._requests.wanted())
        return self._buffer.room()

    def buffer_updated(self, nbytes: int) -> None:
        if self._closing is not None:
            self._closing.discard(nbytes)
            return
        if self._head is None and not len(self._buffer):
            self._first_byte_at = self._loop.time()
        self._buffer.filled(nbytes)
        if self._answering:
            if len(self._buffer) > MOST_UNREAD_BEHIND and self._transport is not None:
                self._transport.pause_reading()
            return
        self._read()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_timer()
        exchange = self._exchange
        self._exchange = None
        self._transport = None
        if exchange is not None:
            exchange.client_gone()
        self._frontend.closed(self)

    def pause_writing(self) -> None:
        if self._exchange is not None:
            self._exchange.writable(False)

    def resume_writing(self) -> None:
        if self._exchange is not None:
            self._exchange.writable(True)

    # ---- requests ----

    def is_idle(self) -> bool:
        """Whether nothing of a request has been read."""
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
        self._first_byte_at = self._loop.time()  # what is left in the buffer came just now
        self._stop_timer()
        self._head = None
        self._answering = True
        self._keep_alive = request.head.keeps_alive()
        self._older = request.head.version == 0
        self._head_only = request.head.method == b"HEAD"
        exchange = self._frontend.begin(request, self)
        if self._answering:
            self._exchange = exchange

    def _read_head(self) -> None:
        limit = self._frontend.limits().get("max_header_bytes", DEFAULT_HEADER_BYTES)
        self._requests.max_head_bytes = limit
        first_bytes = len(self._buffer)
        head = self._requests.head()
        if head is None:
            if first_bytes > limit:
                raise MalformedError(431, "the head is too large")
            if first_bytes and not self._head_begun:
                self._head_begun = True
                self._wait(self._header_timeout())
            return
        self._head_begun = False
        if first_bytes - len(self._buffer) > limit:
            raise MalformedError(431, "the head is too large")
        if head.get(b"host") is None:
            raise MalformedError(400, "there is no host field")
        length = head.length()
        self._requests.max_body_bytes = self._frontend.limits().get("max_body_bytes", DEFAULT_BODY_BYTES)
        self._requests.expect(0 if length is None else length)
        self._head = head
        self._wait(BODY_TIMEOUT_S)
        if head.tokens(b"expect") == [b"100-continue"] and self._transport is not None:
            self._transport.write(CONTINUE)

    def _refuse_malformed(self, error: MalformedError) -> None:
        self._answering = self._refused = True
        self._keep_alive = self._head_only = False
        too_large = error.status in (413, 431)
        code = ErrorCode.REQUEST_TOO_LARGE if too_large else ErrorCode.MALFORMED_REQUEST
        self._frontend.unreadable(error.status, str(error), self._peer())
        self.answer_whole(own_answer(error.status, code, str(error)))

    # ---- answers ----

    def answer_whole(self, answer: WholeAnswer) -> None:
        """Write an answer with its whole body."""
        self._check_answered_once("whole")
        fields, body = answer.fields, answer.body
        if self._head_only or answer.status_line[9:12] in WITHOUT_BODY:
            body = b""
        else:
            fields += b"Content-Length: %d\r\n" % len(body)
        self._write(answer.status_line + fields + self._connection_field() + b"\r\n" + body)
        self._end_answer()

    def begin_stream(self, status_line: bytes, fields: bytes, first: bytes) -> None:
        """Write the head of an answer whose body comes in pieces, with its first piece."""
        self._check_answered_once("stream")
        self._streaming = True
        self._chunked = not (self._older or self._head_only)
        if self._older:
            self._keep_alive = False  # its body ends with the connection
        coding = b"Transfer-Encoding: chunked\r\n" if self._chunked else b""
        self._write(status_line + fields + coding + self._connection_field() + b"\r\n" + self._coded(first))

    def write_piece(self, piece: bytes) -> None:
        """Write a piece of the body."""
        self._write(self._coded(piece))

    def end_stream(self) -> None:
        """The body is whole."""
        if self._chunked:
            self._write(LAST_CHUNK)
        self._end_answer()

    def _coded(self, piece: bytes) -> bytes:
        if self._head_only or not piece:
            return b""
        return chunk(piece) if self._chunked else piece

    def abort(self) -> None:
        """Break the connection off: an answer that has begun is seen to be not whole."""
        self._exchange = None
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """For the end of the process: close where no request has been read."""
        if self.is_idle() and self._transport is not None:
            self._transport.close()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _connection_field(self) -> bytes:
        if self._keep_alive and not self._frontend.closing():
            return b"Connection: keep-alive\r\n" if self._older else b""
        self._keep_alive = False
        return b"Connection: close\r\n"

    def _check_answered_once(self, form: str) -> None:
        once = self._answering and not self._streaming
        check(Invariant.ONE_FINAL_ANSWER, once, form=form, answering=self._answering)

    def _peer(self) -> str:
        """Address of the client, as far as it is known."""
        found = None if self._transport is None else self._transport.get_extra_info("peername")
        return "" if found is None else f"{found[0]}:{found[1]}"

    def _end_answer(self) -> None:
        self._streaming = False
        self._exchange = None
        self._answering = False
        self._chunked = False
        if self._transport is None:
            return
        if not self._keep_alive or (self._frontend.closing() and not len(self._buffer)):
            self._close()
            return
        self._transport.resume_reading()
        self._buffer.recycle()
        self._wait(self._idle_timeout())
        if len(self._buffer):
            self._loop.call_soon(self._read_next)

    def _close(self) -> None:
        """End the connection so that the client can read its answer, whatever it still sends."""
        assert self._transport is not None
        if not (self._refused or len(self._buffer)):
            self._transport.close()
            return
        self._wait(LINGER_S)
        self._closing = LingeringClose(self._transport, MOST_DISCARDED)
        self._closing.begin()

    def _read_next(self) -> None:
        if self._transport is not None and not self._answering and self._head is None:
            self._read()

    # ---- time limits ----

    def _idle_timeout(self) -> float:
        return self._frontend.limits().get("idle_timeout_ms", DEFAULT_IDLE_TIMEOUT_MS) / 1000

    def _header_timeout(self) -> float:
        return self._frontend.limits().get("header_timeout_ms", DEFAULT_HEADER_TIMEOUT_MS) / 1000

    def _wait(self, seconds: float) -> None:
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
        self._answering = self._refused = True
        self._keep_alive = False
        message = "the request came too slowly"
        self._frontend.unreadable(408, message, self._peer())
        self.answer_whole(own_answer(408, ErrorCode.MALFORMED_REQUEST, message))


def chunk(piece: bytes) -> bytes:
    """A piece of a body in the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(piece), piece)
