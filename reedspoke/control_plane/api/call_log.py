"""Metrics and log lines of the operators' completed calls."""

from __future__ import annotations

from zlib import crc32

from msgspec import Struct

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.json_log import INFO, WARNING, log
from reedspoke.common.log_rate_limit import LogRateLimiter
from reedspoke.control_plane.api.http_messages import Request
from reedspoke.control_plane.api.tally_calls import TALLY_PATH
from reedspoke.telemetry.metrics import Registry

CALL_EVENT = "operator call"
CONNECTION_REFUSED_EVENT = "operator connection refused"
MALFORMED_EVENT = "operator request malformed"
UNKNOWN_PATH = "unknown"  # One label for all unserved paths: callers must not be able to create labels.
CLIENT_CLOSED_REQUEST = 499  # status of a call whose client closed the connection before the response
DURATION_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0)
SUCCESS = 200


class CompletedCall(Struct, frozen=True):
    """An operator's call and its result. `error` is None for a success.

    `path` is the path template under which the API serves the request, or UNKNOWN_PATH.
    """

    request: Request
    path: str
    status: int
    error: FleetError | None
    duration_s: float

    @property
    def code(self) -> ErrorCode | None:
        """The code of the error, or None for a success."""
        return None if self.error is None else self.error.code


class OperatorCallLog:
    """Counts the operators' calls. Logs every change, and reads and tally calls that failed."""

    def __init__(self, registry: Registry, rate_limiter: LogRateLimiter) -> None:
        self._rate_limiter = rate_limiter
        self._calls = registry.counter(
            "reedspoke_operator_calls_total", "Calls of operators.", ("method", "path", "status", "code")
        )
        self._durations = registry.histogram(
            "reedspoke_operator_call_seconds", "Time until a call was answered.", DURATION_BUCKETS_S
        )
        self._refused = registry.counter(
            "reedspoke_operator_connections_refused_total", "Connections of operators beyond the limit."
        )
        self._malformed = registry.counter(
            "reedspoke_operator_requests_malformed_total",
            "Requests of operators that are no HTTP.",
            ("status",),
        )

    def call_completed(self, call: CompletedCall) -> None:
        """Count a call, and log it if it was a change or failed."""
        request = call.request
        code = "" if call.code is None else str(int(call.code))
        self._calls.add(request.method, call.path, str(call.status), code)
        self._durations.observe(call.duration_s)
        is_routine = request.method == "GET" or call.path == TALLY_PATH
        if not is_routine or call.status != SUCCESS:
            self._log(call)

    def connection_refused(self, open_connections: int) -> None:
        """Count and log a connection that was closed unread because too many connections are open."""
        self._refused.add()
        if self._rate_limiter.allows():
            log(WARNING, CONNECTION_REFUSED_EVENT, open=open_connections)

    def request_malformed(self, status: int, message: str) -> None:
        """Count and log a malformed request with the status of its response."""
        self._malformed.add(str(status))
        if self._rate_limiter.allows():
            log(WARNING, MALFORMED_EVENT, status=status, message=message)

    def _log(self, call: CompletedCall) -> None:
        if not self._rate_limiter.allows():
            return
        level = INFO if call.status == SUCCESS else WARNING
        log(level, CALL_EVENT, **_log_fields(call))


def _log_fields(call: CompletedCall) -> dict[str, object]:
    """Return the fields of a call's log line.

    The body may contain API keys, so only its size and CRC-32 are logged.
    """
    request = call.request
    fields: dict[str, object] = {"method": request.method, "path": request.path, "status": call.status}
    if call.error is not None:
        fields.update(code=int(call.error.code), message=call.error.message)
    match = request.headers.get("if-match", "")
    if match:
        fields["match"] = match
    if request.body:
        fields.update(size=len(request.body), checksum=f"{crc32(request.body):08x}")
    fields["took_ms"] = round(call.duration_s * 1000, 1)
    return fields
