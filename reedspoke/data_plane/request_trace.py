"""What became of one request: its attempts, what was seen of each, and its end.

All times are ms since the request was read whole.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

from msgspec import Struct, field

from reedspoke.common.messages import NO_VERSION, Version
from reedspoke.decision.attempt_fate import Evidence, fate_of
from reedspoke.decision.messages import Job


class RequestOutcome(Enum):
    """How a request ended, as its client sees it."""

    SERVED = "served"  # a worker's answer, whole, whatever its status
    REFUSED = "refused"  # 503: it has not run, or may be repeated
    FAILED = "failed"  # 502
    EXPIRED = "expired"  # 503 or 504: its time was over
    BROKEN_OFF = "broken_off"  # inside a stream
    CLIENT_LEFT = "client_left"
    PROCESS_ENDED = "process_ended"  # 502 or 503, or broken off, as this process ends
    NOT_ROUTED = "not_routed"  # 404, 401 or 429, or 503 where there is no certain configuration or quota


class AttemptTrace(Struct, omit_defaults=True):
    """One attempt at a worker."""

    worker: str
    address: str
    chosen_ms: float  # decided on; the request waited in the queue until then
    sent_ms: float | None = None  # handed to a connection; None: none came up
    first_ms: float | None = None  # the first event or byte of the answer's body
    ended_ms: float | None = None
    ending: str = ""
    status: int = 0
    not_executed: bool = False
    fate: str = ""
    avoided: tuple[str, ...] = ()  # workers that several schedulers suspected as this one was chosen


class RequestTrace(Struct, omit_defaults=True):
    """One request of a client."""

    attempt_id: str
    route: str = ""
    upstream: str = ""
    repeat: str = ""
    generation: int = 0  # of the configuration under which it was taken
    version: Version = NO_VERSION
    in_doubt: bool = False  # whether that configuration may have been an old one
    deadline_ms: float = 0.0
    tenant: str = ""
    units: float = 0.0  # of the tenant's quota; 0: it has none
    attempts: list[AttemptTrace] = field(default_factory=list)
    last_event_id: str = ""  # of the newest event that was passed on
    outcome: str = ""
    status: int = 0  # of the final answer; 0: none, or a stream that had begun
    reason: str = ""
    after_ms: float = 0.0

    def taken(self, job: Job) -> None:
        """The request has a route and waits in the queue."""
        self.route = job.route
        self.upstream = job.upstream
        self.repeat = job.repeat.name.lower()
        self.tenant = job.tenant
        self.deadline_ms = round((job.deadline - job.arrived) * 1000, 1)

    def began(self, worker: str, address: str, at_ms: float, avoided: tuple[str, ...] = ()) -> None:
        """An attempt was decided on, while these workers were avoided."""
        self.attempts.append(AttemptTrace(worker, address, at_ms, avoided=avoided))

    def sent(self, at_ms: float) -> None:
        """The attempt's request was handed to a connection."""
        if self.attempts:
            self.attempts[-1].sent_ms = at_ms

    def first_byte(self, at_ms: float) -> None:
        """The answer has begun."""
        if self.attempts:
            self.attempts[-1].first_ms = at_ms

    def attempt_ended(self, evidence: Evidence, at_ms: float) -> None:
        """The attempt has ended by itself, or was given up."""
        if self.attempts:
            attempt = self.attempts[-1]
            attempt.ended_ms = at_ms
            attempt.ending = evidence.ending.name.lower()
            attempt.status = evidence.status
            attempt.not_executed = evidence.not_executed
            attempt.fate = fate_of(evidence).name.lower()

    def request_ended(self, outcome: RequestOutcome, status: int, reason: str, at_ms: float) -> None:
        """The request has its final answer, or will get none."""
        self.outcome = outcome.value
        self.status = status
        self.reason = reason
        self.after_ms = at_ms

    @property
    def arrivals(self) -> int:
        """Attempts of which something was handed to a connection."""
        return sum(attempt.sent_ms is not None for attempt in self.attempts)

    @property
    def went_well(self) -> bool:
        """Whether the first worker that was asked has answered with something else than an error."""
        return (
            self.outcome == RequestOutcome.SERVED.value
            and self.status < LEAST_ERROR
            and not self.attempts[1:]
        )

    def fields(self) -> dict[str, Any]:
        """For a line of the log."""
        return {name: value for name in self.__struct_fields__ if (value := getattr(self, name)) not in EMPTY}


LEAST_ERROR = 400
EMPTY: tuple[object, ...] = ("", NO_VERSION, [], 0)
