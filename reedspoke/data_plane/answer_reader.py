"""State machine of the answers on one connection to a worker: bytes go in, effects come out. No I/O.

It says which answer belongs to the request that is out, and whether the connection may carry another one.
Once it has said that the connection may not, no further effect comes.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum, auto

from msgspec import Struct

from reedspoke.data_plane.headers import ATTEMPT_ID, text_of
from reedspoke.net.http import STATUS_LINE, Buffer, Head, MalformedError, ResponseEnd, ResponseParser

ANSWER_START = b"HTTP/1."
SUCCESS_STATUS = range(200, 300)
WITHOUT_BODY = (204, 304)  # statuses
FRAMING_FIELDS = (b"content-length", b"transfer-encoding")


class State(Enum):
    """What the connection is doing."""

    IDLE = auto()  # no request is out
    WAITING = auto()  # the head of an answer comes next
    ANSWER = auto()  # inside the answer to the request that is out
    FOREIGN = auto()  # inside an answer that belongs to an earlier request
    UNUSABLE = auto()  # nothing more is read from it


class Reason(Enum):
    """Why a connection is of no further use."""

    SURPLUS = auto()  # bytes came that nobody asked for
    MALFORMED = auto()  # what came is no answer
    UNNAMED = auto()  # an answer that names no request, where it may belong to an earlier one
    ENDED = auto()  # it ended, or was reset, before the answer was whole


class AnswerHead(Struct, frozen=True):
    """The head of the answer to the request that is out has come."""

    head: Head


class AnswerEnd(Struct, frozen=True):
    """That answer is whole."""

    reusable: bool  # whether the connection may carry another request
    framed: bool = True  # its own bytes told where it ends; else the end of the connection did


class Unusable(Struct, frozen=True):
    """The connection is to be closed. A request that is out gets no answer on it."""

    reason: Reason


Effect = AnswerHead | memoryview | AnswerEnd | Unusable  # a memoryview is a piece of the answer's body


class AnswerReader:
    """Reads what comes on one connection."""

    def __init__(self) -> None:
        self.state = State.IDLE
        self._buffer = Buffer()
        self._answers = ResponseParser(self._buffer)
        self._expected_id = ""
        self._requests = 0  # sent on this connection, the one that is out included
        self._closes = False  # the worker ends the connection, or is not to be believed any further
        self._unframed = False  # the answer ends with the connection

    def begin(self, attempt_id: str, *, head_only: bool = False) -> None:
        """A request goes out. `head_only`: its answer has no body (HEAD)."""
        assert self.state is State.IDLE
        self.state = State.WAITING
        self._expected_id = attempt_id
        self._requests += 1
        self._answers.head_only = head_only

    def room(self) -> memoryview:
        """Where the next bytes are to be written."""
        return self._buffer.room()

    def received(self, count: int) -> Iterator[Effect]:
        """So many bytes were written to `room`. A piece of a body holds until the next step."""
        self._buffer.filled(count)
        if self.state is State.IDLE:
            yield self._give_up(Reason.SURPLUS)
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
            yield self._give_up(Reason.MALFORMED)
        self._buffer.recycle()

    def ended(self, *, orderly: bool) -> Effect | None:
        """The connection is over; `orderly` where the worker ended it and did not reset it."""
        state = self.state
        if orderly and state is State.ANSWER and self._unframed:
            self.state = State.UNUSABLE
            return AnswerEnd(reusable=False, framed=False)
        ended = self._give_up(Reason.ENDED)
        return ended if state not in (State.IDLE, State.UNUSABLE) else None

    def _give_up(self, reason: Reason) -> Unusable:
        self.state = State.UNUSABLE
        return Unusable(reason)

    def _check_start(self) -> None:
        """Bytes that begin no answer are told at once: their sender may never end a head."""
        buffer = self._buffer
        begun = bytes(buffer.data[buffer.start : min(buffer.end, buffer.start + len(ANSWER_START))])
        if not ANSWER_START.startswith(begun):
            raise MalformedError(502, "these bytes begin no answer")
        line_is_whole = buffer.data.find(b"\n", buffer.start, buffer.end) >= 0
        if line_is_whole and STATUS_LINE.match(buffer.data, buffer.start, buffer.end) is None:
            raise MalformedError(502, "the first line is malformed")

    def _take_head(self, head: Head) -> Effect | None:
        named = text_of(head, ATTEMPT_ID)
        if not named and head.status not in SUCCESS_STATUS:
            if self._requests > 1:  # its proof of not having run may be about an earlier request
                return self._give_up(Reason.UNNAMED)
        elif not named or named != self._expected_id:
            self.state = State.FOREIGN
            self._closes = True  # who sends answers that belong to nobody may send more
            return None
        self.state = State.ANSWER
        self._unframed = not self._has_length(head)
        return AnswerHead(head)

    def _has_length(self, head: Head) -> bool:
        if head.status in WITHOUT_BODY or self._answers.head_only:
            return True
        return any(name in FRAMING_FIELDS for name, _ in head.fields)

    def _take_end(self, end: ResponseEnd) -> AnswerEnd | None:
        self._closes = self._closes or not end.reusable
        if self.state is State.FOREIGN:
            self.state = State.WAITING
            return None
        reusable = not (self._closes or len(self._buffer))  # bytes behind a whole answer belong to no request
        self.state = State.IDLE if reusable else State.UNUSABLE
        return AnswerEnd(reusable)
