"""Invariants of one request, evaluated on the trace of its attempts and not on the state of the guards."""

from __future__ import annotations

from reedspoke.data_plane.attempt import Attempt
from reedspoke.data_plane.event_stream import Events, first_event_id
from reedspoke.data_plane.headers import API_KEY, ATTEMPT_ID, RESPONSE_SEAL, TENANT_NAME, field_text
from reedspoke.data_plane.request_trace import RequestTrace
from reedspoke.data_plane.upstream_request import UpstreamRequest
from reedspoke.decision.attempt_fate import NOT_EXECUTED_STATUSES, Fate
from reedspoke.decision.messages import Job, Repeat
from reedspoke.net.http import Head
from reedspoke.telemetry.invariants import Invariant, check

# A connection that was being opened when the worker started to drain may still be established and used.
MAX_SEND_DELAY_S = 1.0
NEVER_RAN = Fate.NEVER_RAN.name.lower()
SUCCESS_STATUS = range(200, 300)
TENANT_FIELDS = (API_KEY, TENANT_NAME)


def trace_may_have_run(trace: RequestTrace) -> bool:
    """Whether an attempt of the trace may have run, or may still run."""
    return any(attempt.sent_ms is not None and attempt.fate != NEVER_RAN for attempt in trace.attempts)


def check_send(job: Job, trace: RequestTrace, attempt: Attempt, *, may_have_run: bool) -> None:
    """Checks a request that is about to be sent; its trace does not contain this sending yet."""
    earlier = may_have_run or trace_may_have_run(trace)
    check(
        Invariant.NOT_SENT_AGAIN,
        job.repeat is not Repeat.NEVER or not earlier,
        attempt_id=trace.attempt_id,
        worker=attempt.worker.instance_id,
        trace=trace,
    )
    check(
        Invariant.ATTEMPTS_BOUNDED,
        trace.sent_attempts < job.max_attempts,
        attempt_id=trace.attempt_id,
        most=job.max_attempts,
        trace=trace,
    )


def check_tenant(request: UpstreamRequest, tenant: str) -> None:
    """Checks the tenant of a request that is about to be sent; empty for a request without a key."""
    lines = [line for line in request.fields.lower().split(b"\r\n") if line.startswith(TENANT_FIELDS)]
    expected = [b"%b: %b" % (TENANT_NAME, tenant.lower().encode())] if tenant else []
    check(Invariant.TENANT_IS_KEY_HOLDER, lines == expected, attempt_id=request.attempt_id, tenant=tenant)


def check_drain(attempt_id: str, instance_id: str, known_s: float) -> None:
    """Checks the worker of a request that is about to be sent.

    `known_s` is for how long the worker has been known to drain or to be gone; 0 if it is available.
    """
    check(
        Invariant.DRAIN_OBEYED,
        known_s <= MAX_SEND_DELAY_S,
        attempt_id=attempt_id,
        worker=instance_id,
        known_s=known_s,
    )


def check_answer_head(attempt_id: str, head: Head) -> None:
    """Checks the head of an answer that was assigned to the request."""
    answer_id = field_text(head, ATTEMPT_ID)
    success = head.status in SUCCESS_STATUS
    own = answer_id == attempt_id if success else answer_id in ("", attempt_id)
    check(Invariant.ANSWER_IS_OWN, own, attempt_id=attempt_id, named=answer_id, status=head.status)


def check_success(attempt_id: str, status: int, fields: bytes) -> None:
    """Checks a worker's success that is about to be forwarded with the header lines `fields`."""
    sealed = status not in SUCCESS_STATUS or RESPONSE_SEAL in fields.lower()
    check(Invariant.SUCCESS_IS_SEALED, sealed, attempt_id=attempt_id, status=status)


def check_events(attempt_id: str, forwarded_id: str, events: Events, *, same_attempt: bool) -> None:
    """Checks events that are about to be forwarded after the event `forwarded_id`.

    `same_attempt` tells whether the same attempt has already delivered events.
    """
    first = events.last_id if same_attempt else first_event_id(events.data)
    if not (forwarded_id.isdecimal() and first.isdecimal()):
        return
    rises = int(first) > int(forwarded_id)
    check(Invariant.EVENTS_RISE, rises, attempt_id=attempt_id, passed=forwarded_id, next=first)


def check_final_answer(job: Job, trace: RequestTrace, status: int, *, may_have_run: bool) -> None:
    """Checks the status of the final answer that is about to be sent."""
    allowed = (
        job.repeat is not Repeat.NEVER
        or status not in NOT_EXECUTED_STATUSES
        or not (may_have_run or trace_may_have_run(trace))
    )
    check(Invariant.REFUSED_HAS_NOT_RUN, allowed, attempt_id=trace.attempt_id, status=status, trace=trace)
