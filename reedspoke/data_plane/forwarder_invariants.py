"""Invariants over all requests of a process: resources are held only for open requests."""

from __future__ import annotations

from reedspoke.data_plane.request_trace import RequestTrace
from reedspoke.decision.dispatcher import Dispatcher
from reedspoke.telemetry.invariants import Invariant, check


def check_released(trace: RequestTrace, job_id: int, dispatcher: Dispatcher) -> None:
    """Checks that the dispatcher holds no job of a request that was aborted."""
    forgotten = not dispatcher.has_job(job_id)
    check(Invariant.GONE_CLIENT_HOLDS_NOTHING, forgotten, attempt_id=trace.attempt_id, trace=trace)


def check_idle(dispatcher: Dispatcher) -> None:
    """Checks that the dispatcher holds nothing while no request is open."""
    residue = dispatcher.unreleased()
    check(
        Invariant.IDLE_HOLDS_NOTHING,
        not (residue or dispatcher.job_count),
        residue=residue,
        jobs=dispatcher.job_count,
    )
