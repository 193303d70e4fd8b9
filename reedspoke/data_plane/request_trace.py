"""The trace of one request for the request log: its attempts, what was observed of each, and its outcome.

All times are in ms since the first byte of the request arrived; `after_ms` of a request that never got a job
counts from when it was read completely.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

from msgspec import Struct, field

from reedspoke.common.messages import NO_VERSION, Version
from reedspoke.decision.attempt_fate import Evidence, fate_of
from reedspoke.decision.messages import Job


class RequestOutcome(Enum):
    """How a request ended, from the point of view of its client."""

    SERVED = "served"  # A complete answer of a worker, of any status.
    REFUSED = "refused"  # 503: the request has not run, or may be repeated.
    FAILED = "failed"  # 502
    EXPIRED = "expired"  # 503 or 504: the deadline passed.
    BROKEN_OFF = "broken_off"  # A stream was aborted before its end.
    CLIENT_LEFT = "client_left"
    PROCESS_ENDED = "process_ended"  # 502, 503 or an aborted stream, as this process ended.
    NOT_ROUTED = "not_routed"  # 404, 401 or 429; 503 without a confirmed configuration or quota.


class AttemptTrace(Struct, omit_defaults=True):
    """One attempt at a worker."""

    worker: str
    address: str
    chosen_ms: float  # When the worker was chosen; until then the request was queued.
    sent_ms: float | None = None  # When the request was sent; None without a connection.
    first_ms: float | None = None  # When the first event or byte of the answer's body arrived.
    ended_ms: float | None = None
    ending: str = ""
    status: int = 0
    not_executed: bool = False
    fate: str = ""
    avoided: tuple[str, ...] = ()  # Suspected workers that the choice avoided.


class RequestTrace(Struct, omit_defaults=True):
    """One request of a client."""

    attempt_id: str
    route: str = ""
    upstream: str = ""
    repeat: str = ""
    generation: int = 0  # Generation of the configuration that routed the request.
    version: Version = NO_VERSION
    in_doubt: bool = False  # Whether that configuration may have been outdated.
    deadline_ms: float = 0.0
    tenant: str = ""
    units: float = 0.0  # Units of the tenant's quota; 0 without a quota.
    attempts: list[AttemptTrace] = field(default_factory=list)
    last_event_id: str = ""  # The id of the latest event that was forwarded.
    outcome: str = ""
    status: int = 0  # Status of the final answer; 0 without one, or for an aborted stream.
    reason: str = ""
    after_ms: float = 0.0

    def routed(self, job: Job) -> None:
        """Records the job of a request that has a route and enters the queue."""
        self.route = job.route
        self.upstream = job.upstream
        self.repeat = job.repeat.name.lower()
        self.tenant = job.tenant
        self.deadline_ms = round((job.deadline - job.arrived) * 1000, 1)

    def attempt_started(self, worker: str, address: str, at_ms: float, avoided: tuple[str, ...] = ()) -> None:
        """Records the start of an attempt, and which suspected workers its choice avoided."""
        self.attempts.append(AttemptTrace(worker, address, at_ms, avoided=avoided))

    def attempt_sent(self, at_ms: float) -> None:
        """Records that the request of the attempt was sent."""
        if self.attempts:
            self.attempts[-1].sent_ms = at_ms

    def answer_started(self, at_ms: float) -> None:
        """Records that the body of the answer started."""
        if self.attempts:
            self.attempts[-1].first_ms = at_ms

    def attempt_ended(self, evidence: Evidence, at_ms: float) -> None:
        """Records the end of the attempt."""
        if self.attempts:
            attempt = self.attempts[-1]
            attempt.ended_ms = at_ms
            attempt.ending = evidence.ending.name.lower()
            attempt.status = evidence.status
            attempt.not_executed = evidence.not_executed
            attempt.fate = fate_of(evidence).name.lower()

    def request_ended(self, outcome: RequestOutcome, status: int, reason: str, at_ms: float) -> None:
        """Records the end of the request."""
        self.outcome = outcome.value
        self.status = status
        self.reason = reason
        self.after_ms = at_ms

    @property
    def sent_attempts(self) -> int:
        """The number of attempts whose request was sent."""
        return sum(attempt.sent_ms is not None for attempt in self.attempts)

    @property
    def succeeded_at_first_attempt(self) -> bool:
        """Whether the first attempt returned an answer that is not an error."""
        return (
            self.outcome == RequestOutcome.SERVED.value
            and self.status < MIN_ERROR_STATUS
            and not self.attempts[1:]
        )

    def log_fields(self) -> dict[str, Any]:
        """The fields of the log line, without empty values."""
        return {
            name: value
            for name in self.__struct_fields__
            if (value := getattr(self, name)) not in OMITTED_VALUES
        }


MIN_ERROR_STATUS = 400
OMITTED_VALUES: tuple[object, ...] = ("", NO_VERSION, [], 0)
