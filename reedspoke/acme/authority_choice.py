"""Which authority is called for a certificate. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Callable

from reedspoke.acme.limits import Limits
from reedspoke.acme.plan import DOWN, Life, Policy
from reedspoke.acme.record import Record
from reedspoke.acme.renewal_settings import Authority, CertificateRequest

LimitsOf = Callable[[str], Limits]


def choose_authority(
    request: CertificateRequest,
    record: Record,
    limits: LimitsOf,
    policy: Policy,
    life: Life | None,
    now: int,
) -> Authority | None:
    """The first that may be called. While expiry is far, one that fails is waited for; once it is near,
    the one that has failed least since the last success goes first. `life`: of the certificate in force."""
    available = [
        authority
        for authority in request.authorities
        if not _is_barred(authority, record, now)
        and limits(authority.name).left(now, authority.tries_a_day) == 0
    ]
    if len(available) > 1 and _prefers_another(available[0], record, limits, policy, life, now):
        return min(available, key=lambda authority: _failures_of(authority, record, limits))
    with_order = request.authority(record.authority) if record.order else None
    if with_order is not None and not _is_barred(with_order, record, now):
        # An order that has begun costs nothing more of what is counted there; a pause is obeyed.
        return with_order if limits(with_order.name).pause.left(now) == 0 else None
    return available[0] if available else None


def _prefers_another(
    first: Authority, record: Record, limits: LimitsOf, policy: Policy, life: Life | None, now: int
) -> bool:
    """Whether the first authority has failed, and expiry is too near to wait for it."""
    failures = max(limits(first.name).down, record.strikes.get(first.name, 0))
    has_failed = bool(record.strikes) or failures >= DOWN
    return has_failed and policy.near(life, now, failures)


def _is_barred(authority: Authority, record: Record, now: int) -> bool:
    pause = record.barred.get(authority.name)
    return pause is not None and pause.left(now) > 0


def _failures_of(authority: Authority, record: Record, limits: LimitsOf) -> tuple[bool, int]:
    return limits(authority.name).down >= DOWN, record.strikes.get(authority.name, 0)
