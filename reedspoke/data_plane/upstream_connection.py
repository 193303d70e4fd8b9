"""The transport of one connection to a worker, which carries one request at a time."""

from __future__ import annotations

import asyncio
import select
import socket
from enum import Enum
from typing import Protocol

from reedspoke.data_plane.answer_reader import AnswerEnd, AnswerHead, AnswerReader, Effect, Reason
from reedspoke.net.http import Head

USER_TIMEOUT_MS = 4000  # bytes that are not acknowledged for so long end the connection
KEEP_ALIVE_MARGIN_S = 0.5  # a connection is not used in the last part of the idle time that the worker grants
USUAL_KEEP_ALIVE_S = 30.0  # where the worker does not tell


class Failure(Enum):
    """Why an answer did not come whole."""

    CLOSED = "closed"  # the connection ended or was reset
    MALFORMED = "malformed"  # what came is no answer, or not surely the one to this request


class AnswerListener(Protocol):
    """Who sent the request on a connection, and is told of its answer."""

    def on_head(self, head: Head) -> None: ...

    def on_body(self, piece: memoryview) -> None: ...

    def on_end(self, *, framed: bool) -> None: ...

    def on_failure(self, failure: Failure) -> None: ...


class UpstreamConnection(asyncio.BufferedProtocol):
    """Sends requests, and tells the listener of the request that is out what the `AnswerReader` finds."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._reader = AnswerReader()
        self._transport: asyncio.Transport | None = None
        self._listener: AnswerListener | None = None
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
        return self._reader.room()

    def buffer_updated(self, nbytes: int) -> None:
        for effect in self._reader.received(nbytes):
            if self._listener is not None and isinstance(effect, memoryview):
                self._listener.on_body(effect)
            else:
                self._apply(effect)
            if not self.open:
                return

    def eof_received(self) -> bool:
        self._over(orderly=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self._over(orderly=False)

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
        self._reader.begin(attempt_id, head_only=head_only)
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

    def _over(self, *, orderly: bool) -> None:
        effect = self._reader.ended(orderly=orderly)
        if effect is not None:
            self._apply(effect)

    def _apply(self, effect: Effect) -> None:
        listener = self._listener
        if listener is None:
            self.close()  # nobody waits for what came
        elif isinstance(effect, memoryview):
            listener.on_body(effect)
        elif isinstance(effect, AnswerHead):
            self._note_keep_alive(effect.head)
            listener.on_head(effect.head)
        elif isinstance(effect, AnswerEnd):
            self._answered(listener, effect)
        else:
            self.close()
            listener.on_failure(Failure.CLOSED if effect.reason is Reason.ENDED else Failure.MALFORMED)

    def _note_keep_alive(self, head: Head) -> None:
        granted = USUAL_KEEP_ALIVE_S
        for token in head.tokens(b"keep-alive"):
            name, _, value = token.partition(b"=")
            if name.strip() == b"timeout" and value.strip().isdigit():
                granted = float(value)
        self.usable_until = self._loop.time() + granted - KEEP_ALIVE_MARGIN_S

    def _answered(self, listener: AnswerListener, end: AnswerEnd) -> None:
        self._listener = None
        if end.reusable and not self._is_sending():
            self.resume()  # a full client may have paused it; the next request is another client's
        else:
            self.close()
        listener.on_end(framed=end.framed)

    def _is_sending(self) -> bool:
        """Whether a part of the request has not left: its worker answered early, and may want the rest."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0
