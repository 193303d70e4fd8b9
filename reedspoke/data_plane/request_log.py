"""Tells what became of requests: counters for all of them, a log line for each that failed or was sent again.

The newest of these lines are kept as well, so that a violation of an invariant is written with them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from reedspoke.common.json_log import INFO, WARNING, log
from reedspoke.common.log_rate_limit import LogRateLimiter
from reedspoke.data_plane.request_trace import RequestOutcome, RequestTrace
from reedspoke.telemetry.metrics import Registry

FAILED_EVENT = "request failed"
SENT_AGAIN_EVENT = "request sent again"
UNREADABLE_EVENT = "request unreadable"
MOST_KEPT = 200
WAIT_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
MS = 1000.0


class RequestLog:
    """Takes the traces of requests that have ended."""

    def __init__(self, registry: Registry, lines: LogRateLimiter) -> None:
        self.recent: deque[RequestTrace] = deque(maxlen=MOST_KEPT)
        self._lines = lines
        self._suppressed_told = 0
        self._requests = registry.counter(
            "reedspoke_requests_total",
            "Requests that have ended, by route, outcome and status.",
            ("route", "outcome", "status"),
        )
        self._attempts = registry.counter(
            "reedspoke_attempts_total",
            "Attempts at workers, by service, ending and what that proves.",
            ("upstream", "ending", "fate"),
        )
        self._unreadable = registry.counter(
            "reedspoke_unreadable_requests_total", "Requests that could not be read.", ("status",)
        )
        self._wait = registry.histogram(
            "reedspoke_queue_seconds", "Time in the queue until the first attempt.", WAIT_BOUNDS_S
        )
        self._connect = registry.histogram(
            "reedspoke_connect_seconds",
            "Time from the decision on an attempt until it was sent.",
            WAIT_BOUNDS_S,
        )
        self._first = registry.histogram(
            "reedspoke_first_byte_seconds",
            "Time from sending an attempt to its answer's first byte.",
            WAIT_BOUNDS_S,
        )
        registry.gauge(
            "reedspoke_suppressed_lines", "Log lines on requests that were left out.", self._suppressed
        )

    def record(self, trace: RequestTrace) -> None:
        """A request has ended."""
        self._requests.add(trace.route, trace.outcome, str(trace.status))
        self._count_attempts(trace)
        if trace.went_well:
            return
        self.recent.append(trace)
        failed = trace.outcome != RequestOutcome.SERVED.value or trace.status >= LEAST_FAILURE
        if self._lines.allows():
            log(
                WARNING if failed else INFO,
                FAILED_EVENT if failed else SENT_AGAIN_EVENT,
                **self._fields(trace),
            )

    def record_unreadable(self, status: int, message: str, peer: str) -> None:
        """What a client sent was no request, or did not come in time."""
        self._unreadable.add(str(status))
        if self._lines.allows():
            log(WARNING, UNREADABLE_EVENT, status=status, message=message, peer=peer)

    def find(self, attempt_id: str) -> RequestTrace | None:
        """The newest kept trace of an attempt id."""
        return next((trace for trace in reversed(self.recent) if trace.attempt_id == attempt_id), None)

    def _fields(self, trace: RequestTrace) -> dict[str, object]:
        fields = trace.fields()
        if self._lines.suppressed > self._suppressed_told:
            fields["suppressed_before"] = self._lines.suppressed - self._suppressed_told
            self._suppressed_told = self._lines.suppressed
        return fields

    def _count_attempts(self, trace: RequestTrace) -> None:
        for attempt in trace.attempts:
            self._attempts.add(trace.upstream, attempt.ending, attempt.fate)
            if attempt.sent_ms is not None:
                self._connect.observe((attempt.sent_ms - attempt.chosen_ms) / MS)
                if attempt.first_ms is not None:
                    self._first.observe((attempt.first_ms - attempt.sent_ms) / MS)
        if trace.attempts:
            self._wait.observe(trace.attempts[0].chosen_ms / MS)

    def _suppressed(self) -> float:
        return float(self._lines.suppressed)


LEAST_FAILURE = 500
OnEnded = Callable[[RequestTrace], None]
