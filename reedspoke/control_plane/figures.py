"""The figures of a control scheduler, and its log lines on the operators' calls."""

from __future__ import annotations

from typing import Protocol

from reedspoke.common.json_log import INFO, WARNING, log
from reedspoke.common.log_rate_limit import LogRateLimiter
from reedspoke.control_plane.api.operator_api import AnsweredCall, StatusAnswer
from reedspoke.telemetry.metrics import Registry

CALL_EVENT = "operator call"
CALL_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0)
SUCCESS = 200


class Told(Protocol):
    """What the figures are read from."""

    def status(self) -> StatusAnswer: ...

    def open_sessions(self) -> int: ...

    def waiting_calls(self) -> int: ...

    def disk_works(self) -> bool: ...


def add_process_figures(registry: Registry, told: Told) -> None:
    """Gauges of the process's state."""

    def states() -> dict[str, float]:
        status = told.status()
        return {
            "view": status.view,
            "voters": len(status.voters),
            "chain": len(status.chain),
            "generation": status.generation or 0,
            "sequence": status.sequence,
            "edges": len(status.edges),
            "peers": len(status.peers),
            "workers": status.workers,
            "holds_list_duty": status.holds_list_duty,
            "holds_majority": status.holds_majority,
            "sessions": told.open_sessions(),
            "waiting_calls": told.waiting_calls(),
            "disk_works": told.disk_works(),
        }

    registry.by_label("reedspoke_control_state", "State of this control scheduler.", "what", states)


class CallLog:
    """Counts the operators' calls, and writes a line for each change and for each read that failed."""

    def __init__(self, registry: Registry, lines: LogRateLimiter) -> None:
        self._lines = lines
        self._calls = registry.counter(
            "reedspoke_operator_calls_total", "Calls of operators.", ("method", "path", "status", "code")
        )
        self._times = registry.histogram(
            "reedspoke_operator_call_seconds", "Time until a call was answered.", CALL_BOUNDS_S
        )

    def answered(self, call: AnsweredCall) -> None:
        """A call has its answer."""
        code = "" if call.code is None else str(int(call.code))
        self._calls.add(call.method, call.path, str(call.status), code)
        self._times.observe(call.took_s)
        if call.method == "PUT" or call.status != SUCCESS:
            self._write(call)

    def _write(self, call: AnsweredCall) -> None:
        if not self._lines.allows():
            return
        fields: dict[str, object] = {"method": call.method, "path": call.path, "status": call.status}
        if call.code is not None:
            fields.update(code=int(call.code), message=call.message)
        if call.match:
            fields["match"] = call.match
        if call.checksum:
            fields.update(size=call.size, checksum=call.checksum)
        fields["took_ms"] = round(call.took_s * 1000, 1)
        log(INFO if call.status == SUCCESS else WARNING, CALL_EVENT, **fields)
