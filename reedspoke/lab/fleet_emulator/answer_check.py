"""Verifies the answers that clients get, and follows the events of a stream."""

from __future__ import annotations

import zlib

from msgspec import Struct, field

from reedspoke.errors import ReedspokeError
from reedspoke.lab.fleet_emulator import http_messages as http
from reedspoke.lab.fleet_emulator.answers import StreamEvent, checksum_of, parse_event, seal_run
from reedspoke.lab.fleet_emulator.http_messages import AnswerHead

EVENT_END = b"\n\n"


class MixedAnswerError(ReedspokeError):
    """The answer is not one that its worker gave to this request."""

    code = "lab-mixed-answer"
    remedy = "a defect of the data plane: keep the seed that the run names"


class StreamState(Struct):
    """Events of one request so far, over all its tries."""

    last_id: int = 0
    total: int | None = None
    runs: list[str] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    attempts: set[str] = field(default_factory=set)

    @property
    def complete(self) -> bool:
        return self.total is not None and self.last_id == self.total


def check_head(head: AnswerHead, attempt_id: str) -> str:
    """The run that a success belongs to."""
    if head.get(http.ATTEMPT_ID) != attempt_id:
        raise MixedAnswerError(f"answer to {head.get(http.ATTEMPT_ID)!r} given to {attempt_id}")
    seal = head.get(http.RESPONSE_SEAL)
    if not seal:
        raise MixedAnswerError(f"{attempt_id}: a success without a seal")
    return seal_run(seal)


def check_body(head: AnswerHead, attempt_id: str, body: bytes) -> None:
    """A plain answer's body is the one that its seal was made for."""
    _, length, checksum = head.get(http.RESPONSE_SEAL).split(".")
    if int(length) != len(body) or checksum != f"{zlib.crc32(body):08x}":
        raise MixedAnswerError(f"{attempt_id}: the body does not fit its seal")
    if not body.startswith(attempt_id.encode()):
        raise MixedAnswerError(f"{attempt_id}: the body of another request")


class EventReader:
    """Cuts a body into events."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        *whole, self._pending = (self._pending + data).split(EVENT_END)
        try:
            return [parse_event(raw) for raw in whole]
        except (ValueError, KeyError) as error:
            raise MixedAnswerError(f"malformed event: {error}") from error

    @property
    def pending(self) -> bool:
        """Whether half an event has come."""
        return bool(self._pending)


def follow_event(state: StreamState, event: StreamEvent, resumable: bool, now: float) -> None:
    """Take the next event of a stream. Raises MixedAnswerError where it is not the next one."""
    if event.event_id != state.last_id + 1:
        raise MixedAnswerError(f"event {event.event_id} after {state.last_id}")
    if state.total is not None and event.total != state.total:
        raise MixedAnswerError(f"a stream of {event.total} events joined to one of {state.total}")
    if state.runs and event.run_id != state.runs[-1] and not resumable:
        raise MixedAnswerError(f"events of run {event.run_id} joined to those of {state.runs[-1]}")
    known = {
        checksum_of(event.event_id, event.run_id, event.total, attempt_id) for attempt_id in state.attempts
    }
    if event.checksum not in known:
        raise MixedAnswerError(f"event {event.event_id} of another request")
    if not state.runs or event.run_id != state.runs[-1]:
        state.runs.append(event.run_id)
    state.total = event.total
    state.last_id = event.event_id
    state.times.append(now)
