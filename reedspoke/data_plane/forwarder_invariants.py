"""Invariants over all requests of a process: nothing is held for whom nobody waits."""

from __future__ import annotations

from reedspoke.data_plane.request_trace import RequestTrace
from reedspoke.decision.dispatcher import Dispatcher
from reedspoke.telemetry.invariants import Invariant, check


def check_forgotten(trace: RequestTrace, job_id: int, dispatcher: Dispatcher) -> None:
    """The request's client has left, and the dispatcher was told."""
    forgotten = not dispatcher.has_job(job_id)
    check(Invariant.GONE_CLIENT_HOLDS_NOTHING, forgotten, attempt_id=trace.attempt_id, trace=trace)


def check_idle(dispatcher: Dispatcher) -> None:
    """No request is open any more."""
    residue = dispatcher.unreleased()
    check(
        Invariant.IDLE_HOLDS_NOTHING,
        not (residue or dispatcher.job_count),
        residue=residue,
        jobs=dispatcher.job_count,
    )
