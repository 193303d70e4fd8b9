"""One try of an emulated client: sends the request, reads the answer and verifies it."""

from __future__ import annotations

import asyncio
import time

from msgspec import Struct, field

from reedspoke.lab.fleet_emulator import http_messages as http
from reedspoke.lab.fleet_emulator.answer_check import (
    EventReader,
    MixedAnswerError,
    StreamState,
    check_body,
    check_head,
    follow_event,
)
from reedspoke.lab.fleet_emulator.answers import request_body, request_digest
from reedspoke.lab.fleet_emulator.http_messages import AnswerEnd, AnswerHead, HttpConnection
from reedspoke.lab.fleet_emulator.ledger import Ledger, SentRequest
from reedspoke.lab.fleet_emulator.workload import PlannedRequest

PROMISES = frozenset((408, 421, 429, 503))  # the request has not run and never will
MODEL = "m"
METHOD = "POST"
LEAST_DEADLINE_S = 0.001


class TryResult(Struct, frozen=True):
    """What one try led to; `head` is that of a whole answer."""

    head: AnswerHead | None = None
    cause: str = ""
    nothing_sent: bool = False

    @property
    def status(self) -> int:
        return 0 if self.head is None else self.head.status

    @property
    def success(self) -> bool:
        return 200 <= self.status < 300

    @property
    def promise(self) -> bool:
        return self.status in PROMISES


class RequestState(Struct):
    """A request over all its tries; times of the steady clock in s."""

    planned: PlannedRequest
    begun: float
    deadline: float
    stream: StreamState = field(default_factory=StreamState)
    first_answer: float = 0.0
    address: str = ""

    @property
    def left(self) -> float:
        """Time until the deadline in s."""
        return max(LEAST_DEADLINE_S, self.deadline - time.monotonic())


def render_try(state: RequestState, attempt_id: str, ledger: Ledger) -> bytes:
    """The bytes of a try, which the ledger is told of."""
    planned = state.planned
    kind = planned.kind
    target = f"{kind.path_prefix}{attempt_id[:4]}"
    body = request_body(attempt_id, kind.body_bytes)
    digest = request_digest(METHOD, target, body)
    use = planned.key_use
    sent = SentRequest(attempt_id, kind.upstreams, kind.repeatable, digest, use.tenants, use.key)
    ledger.record_sent(sent)
    fields = {
        "Host": kind.hostname,
        http.ATTEMPT_ID: attempt_id,
        http.DEADLINE_MS: str(int(1000 * state.left)),
    }
    if use.key:
        fields[http.API_KEY] = use.key
    if kind.stream is not None:
        state.stream.attempts.add(attempt_id)
        fields |= stream_fields(planned, state.stream.last_id)
    return http.render_request(METHOD, target, fields, body)


def stream_fields(planned: PlannedRequest, last_id: int) -> http.Fields:
    """The fields that describe a prompt."""
    fields = {
        http.MODEL_NAME: MODEL,
        http.TOKEN_COUNT: f"{planned.prompt_tokens},{planned.output_tokens}",
        http.PROMPT_PREFIX: ",".join(f"{part.part_id}:{part.tokens}" for part in planned.chain),
    }
    if last_id:
        fields[http.LAST_EVENT_ID] = str(last_id)
    return fields


async def exchange(connection: HttpConnection, state: RequestState, attempt_id: str) -> TryResult:
    """Read the answer to a try. Raises OSError, TimeoutError, MixedAnswerError or MalformedError."""
    reader = AnswerReader(state, attempt_id)
    async with asyncio.timeout(state.left):
        async for part in connection.read_answer():
            if isinstance(part, AnswerEnd):
                return reader.finish()
            reader.feed(part)
    return TryResult(cause=f"connection closed {reader.position()}")


class AnswerReader:
    """Verifies the parts of one answer as they come."""

    def __init__(self, state: RequestState, attempt_id: str) -> None:
        self._state = state
        self._attempt_id = attempt_id
        self._head: AnswerHead | None = None
        self._body = bytearray()
        self._events = EventReader()

    def feed(self, part: AnswerHead | bytes) -> None:
        """Take the head or a piece of the body."""
        if isinstance(part, AnswerHead):
            self._head = part
            if self._success:
                check_head(part, self._attempt_id)
                self._state.first_answer = self._state.first_answer or time.monotonic()
        elif self._success and self._state.planned.kind.stream is not None:
            self._follow(part)
        else:
            self._body += part

    def finish(self) -> TryResult:
        """The answer is whole."""
        assert self._head is not None
        if self._success:
            self._check_whole(self._head)
        return TryResult(self._head)

    def position(self) -> str:
        """How far the answer has got, for messages."""
        if self._head is None:
            return "before the head"
        return f"after event {self._state.stream.last_id}"

    @property
    def _success(self) -> bool:
        return self._head is not None and 200 <= self._head.status < 300

    def _follow(self, data: bytes) -> None:
        shape = self._state.planned.kind.stream
        assert shape is not None
        now = time.monotonic()
        for event in self._events.feed(data):
            follow_event(self._state.stream, event, shape.resumable, now)

    def _check_whole(self, head: AnswerHead) -> None:
        if self._state.planned.kind.stream is None:
            check_body(head, self._attempt_id, bytes(self._body))
        elif self._events.pending or not self._state.stream.complete:
            last = self._state.stream.last_id
            raise MixedAnswerError(f"{self._attempt_id}: ended as complete after event {last}")
