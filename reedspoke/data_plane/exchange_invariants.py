"""Invariants of one request, evaluated on the trace of its attempts, not on the state of the guards."""

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

LEAVING_BOUND_S = 1.0  # a connection that was being opened as the worker left may still come up
NEVER_RAN = Fate.NEVER_RAN.name.lower()
SUCCESS_STATUS = range(200, 300)
KEY_FIELDS = (API_KEY, TENANT_NAME)


def may_have_run(trace: RequestTrace) -> bool:
    """Whether some attempt may have run, or still may."""
    return any(attempt.sent_ms is not None and attempt.fate != NEVER_RAN for attempt in trace.attempts)


def check_send(job: Job, trace: RequestTrace, attempt: Attempt, *, ran: bool) -> None:
    """A request is about to be handed to a connection; its trace does not count that yet."""
    earlier = ran or may_have_run(trace)
    check(
        Invariant.NOT_SENT_AGAIN,
        job.repeat is not Repeat.NEVER or not earlier,
        attempt_id=trace.attempt_id,
        worker=attempt.worker.instance_id,
        trace=trace,
    )
    check(
        Invariant.ATTEMPTS_BOUNDED,
        trace.arrivals < job.max_attempts,
        attempt_id=trace.attempt_id,
        most=job.max_attempts,
        trace=trace,
    )


def check_tenant(request: UpstreamRequest, tenant: str) -> None:
    """A request is about to be sent for this tenant (empty: for none)."""
    lines = [line for line in request.fields.lower().split(b"\r\n") if line.startswith(KEY_FIELDS)]
    named = [b"%b: %b" % (TENANT_NAME, tenant.lower().encode())] if tenant else []
    check(Invariant.TENANT_IS_KEY_HOLDER, lines == named, attempt_id=request.attempt_id, tenant=tenant)


def check_drain(attempt_id: str, instance_id: str, known_s: float) -> None:
    """A request is about to be sent to a worker that is known to leave since `known_s` seconds (0: not)."""
    check(
        Invariant.DRAIN_OBEYED,
        known_s <= LEAVING_BOUND_S,
        attempt_id=attempt_id,
        worker=instance_id,
        known_s=known_s,
    )


def check_answer_head(attempt_id: str, head: Head) -> None:
    """The head of an answer that was found to belong to the request."""
    named = field_text(head, ATTEMPT_ID)
    success = head.status in SUCCESS_STATUS
    own = named == attempt_id if success else named in ("", attempt_id)
    check(Invariant.ANSWER_IS_OWN, own, attempt_id=attempt_id, named=named, status=head.status)


def check_success(attempt_id: str, status: int, fields: bytes) -> None:
    """A success of a worker is about to be passed on, with these header lines."""
    sealed = status not in SUCCESS_STATUS or RESPONSE_SEAL in fields.lower()
    check(Invariant.SUCCESS_IS_SEALED, sealed, attempt_id=attempt_id, status=status)


def check_events(attempt_id: str, passed_id: str, events: Events, *, goes_on: bool) -> None:
    """Events are about to be passed on behind the one of `passed_id`; `goes_on`: more of the same attempt."""
    first = events.last_id if goes_on else first_event_id(events.data)
    if not (passed_id.isdecimal() and first.isdecimal()):
        return
    rises = int(first) > int(passed_id)
    check(Invariant.EVENTS_RISE, rises, attempt_id=attempt_id, passed=passed_id, next=first)


def check_final_answer(job: Job, trace: RequestTrace, status: int, *, ran: bool) -> None:
    """An answer of this status is about to be the request's final one."""
    allowed = (
        job.repeat is not Repeat.NEVER
        or status not in NOT_EXECUTED_STATUSES
        or not (ran or may_have_run(trace))
    )
    check(Invariant.REFUSED_HAS_NOT_RUN, allowed, attempt_id=trace.attempt_id, status=status, trace=trace)
