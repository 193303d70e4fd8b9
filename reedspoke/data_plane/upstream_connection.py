"""One connection to a worker, which carries one request at a time."""

from __future__ import annotations

import asyncio
import select
import socket
from enum import Enum
from typing import Protocol

from reedspoke.data_plane.headers import ATTEMPT_ID, text_of
from reedspoke.net.http import Answers, Buffer, End, Head, MalformedError

USER_TIMEOUT_MS = 4000  # bytes that are not acknowledged for so long end the connection
KEEP_ALIVE_MARGIN_S = 0.5  # a connection is not used in the last part of the idle time that the worker grants
USUAL_KEEP_ALIVE_S = 30.0  # where the worker does not tell
ANSWER_START = b"HTTP/1."
SUCCESS_STATUS = range(200, 300)


class Failure(Enum):
    """Why an answer did not come whole."""

    CLOSED = "closed"  # the connection ended or was reset
    MALFORMED = "malformed"  # what came is no answer


class AnswerListener(Protocol):
    """Who sent the request on a connection, and is told of its answer."""

    def on_head(self, head: Head) -> None: ...

    def on_body(self, piece: memoryview) -> None: ...

    def on_end(self) -> None: ...

    def on_failure(self, failure: Failure) -> None: ...


class UpstreamConnection(asyncio.BufferedProtocol):
    """Passes answers on to the request that is out; anything unasked ends the connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._buffer = Buffer()
        self._answers = Answers(self._buffer)
        self._transport: asyncio.Transport | None = None
        self._listener: AnswerListener | None = None
        self._expected_id = ""
        self._foreign = False  # the answer that comes belongs to an earlier request
        self._in_answer = False  # its head has come
        self._to_close = False  # the worker closes it after the answer
        self.usable_until = 0.0  # seconds of the loop's clock
        self.open = False

    # ---- asyncio ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.open = True
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self.usable_until = self._loop.time() + USUAL_KEEP_ALIVE_S

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._buffer.room()

    def buffer_updated(self, nbytes: int) -> None:
        self._buffer.filled(nbytes)
        if self._listener is None:
            self.close()  # nothing was asked: these bytes belong to no request
            return
        try:
            self._read_answer()
        except MalformedError:
            self._fail(Failure.MALFORMED)
        self._buffer.recycle()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self._fail(Failure.CLOSED)

    # ---- use ----

    def is_quiet(self) -> bool:
        """Whether nothing has come, no byte and no end, that is still unread."""
        if not self.open or self._transport is None or self._transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        return not poll.poll(0)

    def send(
        self, request: bytes, attempt_id: str, listener: AnswerListener, *, head_only: bool = False
    ) -> None:
        """Send a request; its answer goes to `listener`. `head_only`: the answer has no body (HEAD)."""
        assert self._transport is not None
        assert self._listener is None
        self._listener = listener
        self._expected_id = attempt_id
        self._foreign = False
        self._answers.head_only = head_only
        self._transport.write(request)

    def pause(self) -> None:
        """Stop reading: who takes the answer is slower than the worker."""
        if self._transport is not None and self.open:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read again."""
        if self._transport is not None and self.open:
            self._transport.resume_reading()

    def close(self) -> None:
        """End the connection now; a request that is out is called off, and its listener hears no more."""
        self._listener = None
        self.open = False
        if self._transport is not None:
            self._transport.abort()

    # ---- the answer ----

    def _read_answer(self) -> None:
        self._check_start()
        for part in self._answers.feed():
            if self._listener is None:
                return
            if isinstance(part, Head):
                self._take_head(part)
            elif isinstance(part, End):
                self._take_end(part)
            elif not self._foreign:
                self._listener.on_body(part)

    def _check_start(self) -> None:
        """Bytes that are no answer are told at once: their sender may never end a head."""
        if self._in_answer:
            return
        begun = bytes(self._buffer.data[self._buffer.start : self._buffer.end][: len(ANSWER_START)])
        if not ANSWER_START.startswith(begun):
            raise MalformedError(502, "these bytes begin no answer")

    def _take_head(self, head: Head) -> None:
        assert self._listener is not None
        self._in_answer = True
        self._foreign = not self._is_ours(head)
        self._note_keep_alive(head)
        if self._foreign:
            self._to_close = True
            return
        self._listener.on_head(head)

    def _is_ours(self, head: Head) -> bool:
        echoed = text_of(head, ATTEMPT_ID)
        if not echoed:
            return head.status not in SUCCESS_STATUS
        return echoed == self._expected_id

    def _note_keep_alive(self, head: Head) -> None:
        granted = USUAL_KEEP_ALIVE_S
        for token in head.tokens(b"keep-alive"):
            name, _, value = token.partition(b"=")
            if name.strip() == b"timeout" and value.strip().isdigit():
                granted = float(value)
        self.usable_until = self._loop.time() + granted - KEEP_ALIVE_MARGIN_S

    def _take_end(self, end: End) -> None:
        self._in_answer = False
        if not end.reusable:
            self._to_close = True
        if self._foreign:
            self._foreign = False
            return
        listener = self._listener
        self._listener = None
        if self._to_close or len(self._buffer):
            self.close()  # bytes behind a whole answer belong to no request
        self.resume()  # a full client may have paused it; the next request is another client's
        assert listener is not None
        listener.on_end()

    def _fail(self, failure: Failure) -> None:
        listener = self._listener
        self.close()
        if listener is not None:
            listener.on_failure(failure)
