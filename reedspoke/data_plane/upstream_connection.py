"""One connection to a worker, which carries one request at a time."""

from __future__ import annotations

import asyncio
import select
import socket
from enum import Enum
from typing import Protocol

from reedspoke.data_plane.answer_reader import AnswerEnd, AnswerHead, AnswerReader, Effect, Reason
from reedspoke.net.http import Head

TCP_USER_TIMEOUT_MS = 4000  # The kernel ends a connection whose data is not acknowledged for so long.
KEEP_ALIVE_MARGIN_S = 0.5  # No request is sent in the last part of the worker's idle time-out.
DEFAULT_KEEP_ALIVE_S = 30.0  # The idle time-out of a worker that sends no Keep-Alive field.


class Failure(Enum):
    """Why an answer is incomplete."""

    CLOSED = "closed"  # The connection was closed or reset.
    MALFORMED = "malformed"  # The bytes are no valid answer, or it may belong to another request.


class AnswerListener(Protocol):
    """Receives the answer to the request that it sent on a connection."""

    def on_head(self, head: Head) -> None:
        """The head of the answer arrived."""

    def on_body(self, piece: memoryview) -> None:
        """A piece of the body arrived; it is valid only during the call."""

    def on_end(self, *, framed: bool) -> None:
        """The answer is complete. `framed` is false if the end of the connection delimits its body."""

    def on_failure(self, failure: Failure) -> None:
        """The answer will not be completed; the connection is closed."""


class UpstreamConnection(asyncio.BufferedProtocol):
    """Sends requests, and passes what the `AnswerReader` parses to the listener of the request in flight."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._reader = AnswerReader()
        self._transport: asyncio.Transport | None = None
        self._listener: AnswerListener | None = None
        self.usable_until = 0.0  # On the loop's clock.
        self.is_open = False

    # ---- asyncio ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the options of the socket and the default idle time-out."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.is_open = True
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        self.usable_until = self._loop.time() + DEFAULT_KEEP_ALIVE_S

    def get_buffer(self, sizehint: int) -> memoryview:
        """The space for the next received bytes."""
        return self._reader.room()

    def buffer_updated(self, nbytes: int) -> None:
        """Parses the received bytes."""
        for effect in self._reader.received(nbytes):
            if self._listener is not None and isinstance(effect, memoryview):
                self._listener.on_body(effect)
            else:
                self._apply(effect)
            if not self.is_open:
                return

    def eof_received(self) -> bool:
        """Handles a worker that closed its side of the connection."""
        self._handle_connection_end(orderly=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        self.is_open = False
        self._handle_connection_end(orderly=False)

    # ---- use ----

    def is_healthy(self) -> bool:
        """Whether the connection is open, without unread bytes and without an unnoticed end."""
        if not self.is_open or self._transport is None or self._transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        return not poll.poll(0)

    def send(
        self, request: bytes, attempt_id: str, listener: AnswerListener, *, head_only: bool = False
    ) -> None:
        """Sends a request; its answer goes to `listener`. `head_only`: the answer has no body (HEAD)."""
        assert self._transport is not None
        assert self._listener is None
        self._listener = listener
        self._reader.expect_answer(attempt_id, head_only=head_only)
        self._transport.write(request)

    def pause(self) -> None:
        """Stops reading, as the receiver of the answer is slower than the worker."""
        if self._transport is not None and self.is_open:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resumes reading."""
        if self._transport is not None and self.is_open:
            self._transport.resume_reading()

    def close(self) -> None:
        """Aborts the connection; a request in flight is cancelled, and its listener gets no further call."""
        self._listener = None
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    # ---- the answer ----

    def _handle_connection_end(self, *, orderly: bool) -> None:
        effect = self._reader.ended(orderly=orderly)
        if effect is not None:
            self._apply(effect)

    def _apply(self, effect: Effect) -> None:
        listener = self._listener
        if listener is None:
            self.close()  # No request is in flight.
        elif isinstance(effect, memoryview):
            listener.on_body(effect)
        elif isinstance(effect, AnswerHead):
            self._update_usable_until(effect.head)
            listener.on_head(effect.head)
        elif isinstance(effect, AnswerEnd):
            self._complete_answer(listener, effect)
        else:
            self.close()
            listener.on_failure(
                Failure.CLOSED if effect.reason is Reason.CONNECTION_ENDED else Failure.MALFORMED
            )

    def _update_usable_until(self, head: Head) -> None:
        granted = DEFAULT_KEEP_ALIVE_S
        for token in head.tokens(b"keep-alive"):
            name, _, value = token.partition(b"=")
            if name.strip() == b"timeout" and value.strip().isdigit():
                granted = float(value)
        self.usable_until = self._loop.time() + granted - KEEP_ALIVE_MARGIN_S

    def _complete_answer(self, listener: AnswerListener, end: AnswerEnd) -> None:
        self._listener = None
        if end.reusable and not self._is_sending():
            self.resume()  # A slow client may have paused it, and the next request is another client's.
        else:
            self.close()
        listener.on_end(framed=end.framed)

    def _is_sending(self) -> bool:
        """Whether a part of the request is still unsent.

        The worker answered early and may still read the rest, so the connection cannot carry another request.
        """
        return self._transport is not None and self._transport.get_write_buffer_size() > 0
