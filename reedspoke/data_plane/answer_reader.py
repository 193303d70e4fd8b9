"""State machine that parses the answers on one connection to a worker: bytes in, effects out. No I/O.

It decides which answer belongs to the request in flight, and whether the connection may carry another
request. Once the connection is unusable, it returns no further effect.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum, auto

from msgspec import Struct

from reedspoke.data_plane.headers import ATTEMPT_ID, field_text
from reedspoke.net.http import STATUS_LINE, Buffer, Head, MalformedError, ResponseEnd, ResponseParser

ANSWER_START = b"HTTP/1."
SUCCESS_STATUS = range(200, 300)
STATUSES_WITHOUT_BODY = (204, 304)
FRAMING_FIELDS = (b"content-length", b"transfer-encoding")


class State(Enum):
    """The state of the connection."""

    IDLE = auto()  # No request is in flight.
    WAITING = auto()  # The head of an answer is expected.
    ANSWER = auto()  # Inside the answer to the request in flight.
    FOREIGN = auto()  # Inside an answer to another request, which is discarded.
    UNUSABLE = auto()  # Nothing more is read from the connection.


class Reason(Enum):
    """Why a connection became unusable."""

    UNSOLICITED = auto()  # Bytes arrived while no request was in flight.
    MALFORMED = auto()  # The bytes are no valid answer.
    UNIDENTIFIED = auto()  # An error without an attempt id, which may answer an earlier request.
    CONNECTION_ENDED = auto()  # The connection was closed or reset before the answer was complete.


class AnswerHead(Struct, frozen=True):
    """The head of the answer to the request in flight."""

    head: Head


class AnswerEnd(Struct, frozen=True):
    """The end of the answer to the request in flight."""

    reusable: bool  # Whether the connection may carry another request.
    framed: bool = True  # Whether the answer delimits its body itself; if not, the connection's end does.


class Unusable(Struct, frozen=True):
    """The connection has to be closed; a request in flight gets no answer on it."""

    reason: Reason


Effect = AnswerHead | memoryview | AnswerEnd | Unusable  # A memoryview is a piece of the body.


class AnswerReader:
    """Parses what arrives on one connection."""

    def __init__(self) -> None:
        self.state = State.IDLE
        self._buffer = Buffer()
        self._answers = ResponseParser(self._buffer)
        self._expected_id = ""
        self._request_count = 0  # Requests sent on this connection, including the one in flight.
        self._must_close = False  # The worker will close the connection, or sent a foreign answer.
        self._ends_with_connection = False  # The end of the connection delimits the answer.

    def expect_answer(self, attempt_id: str, *, head_only: bool = False) -> None:
        """Expects the answer to a request that is being sent. `head_only`: it has no body (HEAD)."""
        assert self.state is State.IDLE
        self.state = State.WAITING
        self._expected_id = attempt_id
        self._request_count += 1
        self._answers.head_only = head_only

    def room(self) -> memoryview:
        """The buffer space for the next received bytes."""
        return self._buffer.room()

    def received(self, count: int) -> Iterator[Effect]:
        """Parses `count` bytes that were written to `room`.

        A piece of a body is valid until the next step of the iterator.
        """
        self._buffer.filled(count)
        if self.state is State.IDLE:
            yield self._mark_unusable(Reason.UNSOLICITED)
            return
        try:
            for part in self._answers.feed():
                if isinstance(part, memoryview):
                    if self.state is State.ANSWER:
                        yield part
                    continue
                effect = self._take_head(part) if isinstance(part, Head) else self._take_end(part)
                if effect is not None:
                    yield effect
                if self.state is State.UNUSABLE:
                    return
            if self.state is State.WAITING and len(self._buffer):
                self._check_start()
        except MalformedError:
            yield self._mark_unusable(Reason.MALFORMED)
        self._buffer.recycle()

    def ended(self, *, orderly: bool) -> Effect | None:
        """Handles the end of the connection. `orderly`: the worker closed it and did not reset it."""
        state = self.state
        if orderly and state is State.ANSWER and self._ends_with_connection:
            self.state = State.UNUSABLE
            return AnswerEnd(reusable=False, framed=False)
        ended = self._mark_unusable(Reason.CONNECTION_ENDED)
        return ended if state not in (State.IDLE, State.UNUSABLE) else None

    def _mark_unusable(self, reason: Reason) -> Unusable:
        self.state = State.UNUSABLE
        return Unusable(reason)

    def _check_start(self) -> None:
        """Detects bytes that start no answer early, as their sender may never complete a head."""
        buffer = self._buffer
        first_bytes = bytes(buffer.data[buffer.start : min(buffer.end, buffer.start + len(ANSWER_START))])
        if not ANSWER_START.startswith(first_bytes):
            raise MalformedError(502, "the bytes do not start with an HTTP version")
        line_is_complete = buffer.data.find(b"\n", buffer.start, buffer.end) >= 0
        if line_is_complete and STATUS_LINE.match(buffer.data, buffer.start, buffer.end) is None:
            raise MalformedError(502, "the status line is malformed")

    def _take_head(self, head: Head) -> Effect | None:
        attempt_id = field_text(head, ATTEMPT_ID)
        if not attempt_id and head.status not in SUCCESS_STATUS:
            if self._request_count > 1:  # Its claim not to have run may be about an earlier request.
                return self._mark_unusable(Reason.UNIDENTIFIED)
        elif not attempt_id or attempt_id != self._expected_id:
            self.state = State.FOREIGN
            self._must_close = True  # More foreign answers may follow.
            return None
        self.state = State.ANSWER
        self._ends_with_connection = not self._has_length(head)
        return AnswerHead(head)

    def _has_length(self, head: Head) -> bool:
        if head.status in STATUSES_WITHOUT_BODY or self._answers.head_only:
            return True
        return any(name in FRAMING_FIELDS for name, _ in head.fields)

    def _take_end(self, end: ResponseEnd) -> AnswerEnd | None:
        self._must_close = self._must_close or not end.reusable
        if self.state is State.FOREIGN:
            self.state = State.WAITING
            return None
        # Bytes after a complete answer belong to no request.
        reusable = not (self._must_close or len(self._buffer))
        self.state = State.IDLE if reusable else State.UNUSABLE
        return AnswerEnd(reusable)
