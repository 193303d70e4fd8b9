"""Metrics of all requests that have ended, and a log line for each that failed or was retried.

The latest of these traces are kept, so that a violation of an invariant can be reported with them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from reedspoke.common.json_log import INFO, WARNING, log
from reedspoke.common.log_rate_limit import LogRateLimiter
from reedspoke.data_plane.request_trace import RequestOutcome, RequestTrace
from reedspoke.telemetry.metrics import Registry

FAILED_EVENT = "request failed"
RETRIED_EVENT = "request retried"
UNREADABLE_EVENT = "request unreadable"
MAX_RECENT_TRACES = 200
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
MS_PER_S = 1000.0


class RequestLog:
    """Records the traces of requests that have ended."""

    def __init__(self, registry: Registry, lines: LogRateLimiter) -> None:
        self.recent: deque[RequestTrace] = deque(maxlen=MAX_RECENT_TRACES)
        self._rate_limiter = lines
        self._suppressed_reported = 0
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
        self._queue_seconds = registry.histogram(
            "reedspoke_queue_seconds", "Time in the queue until the first attempt.", LATENCY_BUCKETS_S
        )
        self._connect_seconds = registry.histogram(
            "reedspoke_connect_seconds",
            "Time from the decision on an attempt until it was sent.",
            LATENCY_BUCKETS_S,
        )
        self._first_byte_seconds = registry.histogram(
            "reedspoke_first_byte_seconds",
            "Time from sending an attempt to its answer's first byte.",
            LATENCY_BUCKETS_S,
        )
        registry.gauge(
            "reedspoke_suppressed_lines", "Log lines on requests that were left out.", self._suppressed
        )

    def record(self, trace: RequestTrace) -> None:
        """Counts a request that has ended, and logs it unless its first attempt succeeded."""
        self._requests.add(trace.route, trace.outcome, str(trace.status))
        self._count_attempts(trace)
        if trace.succeeded_at_first_attempt:
            return
        self.recent.append(trace)
        failed = trace.outcome != RequestOutcome.SERVED.value or trace.status >= MIN_FAILURE_STATUS
        if self._rate_limiter.allows():
            log(
                WARNING if failed else INFO,
                FAILED_EVENT if failed else RETRIED_EVENT,
                **self._log_fields(trace),
            )

    def record_unreadable(self, status: int, message: str, peer: str) -> None:
        """Counts and logs a request that was malformed, too large or not received in time."""
        self._unreadable.add(str(status))
        if self._rate_limiter.allows():
            log(WARNING, UNREADABLE_EVENT, status=status, message=message, peer=peer)

    def find(self, attempt_id: str) -> RequestTrace | None:
        """The latest kept trace of an attempt id; None without one."""
        return next((trace for trace in reversed(self.recent) if trace.attempt_id == attempt_id), None)

    def _log_fields(self, trace: RequestTrace) -> dict[str, object]:
        fields = trace.log_fields()
        if self._rate_limiter.suppressed > self._suppressed_reported:
            fields["suppressed_before"] = self._rate_limiter.suppressed - self._suppressed_reported
            self._suppressed_reported = self._rate_limiter.suppressed
        return fields

    def _count_attempts(self, trace: RequestTrace) -> None:
        for attempt in trace.attempts:
            self._attempts.add(trace.upstream, attempt.ending, attempt.fate)
            if attempt.sent_ms is not None:
                self._connect_seconds.observe((attempt.sent_ms - attempt.chosen_ms) / MS_PER_S)
                if attempt.first_ms is not None:
                    self._first_byte_seconds.observe((attempt.first_ms - attempt.sent_ms) / MS_PER_S)
        if trace.attempts:
            self._queue_seconds.observe(trace.attempts[0].chosen_ms / MS_PER_S)

    def _suppressed(self) -> float:
        return float(self._rate_limiter.suppressed)


MIN_FAILURE_STATUS = 500
OnEnded = Callable[[RequestTrace], None]
