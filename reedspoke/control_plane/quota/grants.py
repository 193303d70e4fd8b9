"""Answers data plane schedulers' asks for quota, out of this control scheduler's share. No I/O, no clock.

Where the share of a tenant's quota does not hold what a request costs, all other voters are asked for a loan
at once. A loan leaves the lender's bucket before it reaches the borrower's, so that no unit counts twice; one
that is lost on its way is lost for the quota. After a round of loans that brought too little, the tenant's
asks are refused for a moment without another round.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import Any

from msgspec import Struct, field

from reedspoke.common.messages import QuotaOutcome, QuotaRequest, QuotaResponse
from reedspoke.common.quota_rule import QuotaRule, window_limit
from reedspoke.common.tenants import Tenant
from reedspoke.control_plane.peers.messages import QuotaLoan, QuotaLoanRequest
from reedspoke.control_plane.quota.bucket import QuotaBucket
from reedspoke.control_plane.quota.share import QuotaShare
from reedspoke.telemetry.invariants import Invariant, check

ROUND_S = 0.02  # a round of loans is over after this
ROUND_PAUSE_S = 0.1  # between two rounds of a tenant, where the first brought too little
FRESH_S = 1.5  # after its start a bucket is empty for want of time, not of quota
SHORT_S = 0.2  # for so long after a refusal a tenant counts as short of units here
REFRESH_S = 0.5  # a share that has changed is known to all buckets after this
MOST_WAITING = 64  # asks of a tenant during a round
LOAN_EXCESS = 3.0  # what is asked for in all, against what is lacking: not all lend
RETRY_LEAST_S = 0.05
RETRY_MOST_S = 2.0

Asker = Any  # whoever the answer goes to; handed back as it came
MajorityAsOf = Callable[[], float | None]
Reached = Callable[[], Collection[str]]  # addresses of control schedulers that were heard of late


class AnswerTo(Struct, frozen=True):
    """Send this answer to who asked."""

    asker: Asker
    answer: QuotaResponse


class LoanTo(Struct, frozen=True):
    """Send this to another control scheduler."""

    address: str
    message: QuotaLoanRequest | QuotaLoan


QuotaEffect = AnswerTo | LoanTo


class WaitingAsk(Struct, frozen=True):
    """An ask that waits for loans."""

    asker: Asker
    ask: QuotaRequest


class TenantQuota(Struct, eq=False):
    """One tenant's bucket here, and its round of loans."""

    bound: float  # units within any window, over the whole fleet
    bucket: QuotaBucket
    waiting: list[WaitingAsk] = field(default_factory=list)
    round_ends: float = 0.0
    awaited: int = 0  # loans of the round that have not come
    next_round: float = 0.0
    refused_at: float = float("-inf")

    def is_short(self, now: float) -> bool:
        """Whether units were lacking here of late."""
        return now - self.refused_at < SHORT_S


class QuotaGrants:
    """All tenants' quotas at one control scheduler."""

    def __init__(
        self,
        rule: QuotaRule,
        share: QuotaShare,
        majority_as_of: MajorityAsOf,
        reached: Reached,
        started: float,
    ) -> None:
        self._started = started
        self._rule = rule
        self._share = share
        self._majority_as_of = majority_as_of
        self._reached = reached
        self._known: frozenset[str] = frozenset()  # names of all tenants
        self._quotas: dict[str, TenantQuota] = {}
        self._refresh_at = float("-inf")
        self._in_round: dict[str, TenantQuota] = {}
        self.granted = 0.0  # units, of all tenants
        self.refused = 0  # asks

    def configure(self, tenants: Mapping[str, Tenant], now: float) -> None:
        """The newest committed configuration has these tenants."""
        self._known = frozenset(tenants)
        limited = {name: tenant for name, tenant in tenants.items() if tenant.get("rate_per_s")}
        self._quotas = {
            name: self._quota(name, tenant.get("rate_per_s") or 0.0, tenant.get("burst") or 0.0, now)
            for name, tenant in limited.items()
        }
        self._in_round = {name: quota for name, quota in self._in_round.items() if name in self._quotas}

    def _quota(self, name: str, rate: float, burst: float, now: float) -> TenantQuota:
        units = window_limit(rate, burst, self._rule)
        quota = self._quotas.get(name)
        if quota is None:
            return TenantQuota(units, QuotaBucket(now))
        quota.bound = units
        return quota

    def asked(self, asker: Asker, ask: QuotaRequest, now: float) -> list[QuotaEffect]:
        """A data plane scheduler asks; it is answered now or after a round of loans."""
        quota = self._quotas.get(ask.tenant)
        if quota is None or not self._may_grant(now):
            unlimited = quota is None and ask.tenant in self._known
            outcome = QuotaOutcome.GRANTED if unlimited else QuotaOutcome.UNAVAILABLE
            return [AnswerTo(asker, QuotaResponse(ask.request_id, outcome))]
        self._bring_up(ask.tenant, quota, now)
        if not quota.waiting and self._grant(quota, ask, now):
            return [AnswerTo(asker, QuotaResponse(ask.request_id, QuotaOutcome.GRANTED))]
        lenders = self._lenders(ask.tenant)
        if len(quota.waiting) >= MOST_WAITING or now < quota.next_round or not lenders:
            return [self._refusal(quota, WaitingAsk(asker, ask), now)]
        quota.waiting.append(WaitingAsk(asker, ask))
        return [] if ask.tenant in self._in_round else self._begin_round(ask.tenant, quota, lenders, now)

    def loan_requested(self, sender: str, request: QuotaLoanRequest, now: float) -> list[QuotaEffect]:
        """Another control scheduler lacks units of a tenant's quota."""
        quota = self._quotas.get(request.tenant)
        units = 0.0
        if quota is not None and self._may_grant(now) and not quota.waiting:
            self._bring_up(request.tenant, quota, now)
            units = quota.bucket.lend(request.units, is_short=quota.is_short(now))
            self._check(quota, request.tenant)
        return [LoanTo(sender, QuotaLoan(request.tenant, units))]

    def loan_came(self, loan: QuotaLoan, now: float) -> list[QuotaEffect]:
        """A loan, or word that there is none."""
        quota = self._quotas.get(loan.tenant)
        if quota is None or not self._may_grant(now):
            return []
        self._bring_up(loan.tenant, quota, now)
        quota.bucket.receive(loan.units)
        quota.awaited = max(0, quota.awaited - 1)
        effects = self._serve_waiting(quota, now)
        if loan.tenant in self._in_round and not (quota.awaited and quota.waiting):
            effects += self._end_round(loan.tenant, quota, now)
        return effects

    def refresh(self, now: float) -> None:
        """Time has passed: all buckets follow this control scheduler's share."""
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_S
            for tenant, quota in self._quotas.items():
                self._bring_up(tenant, quota, now)
                self._check(quota, tenant)

    def end_rounds(self, now: float) -> list[QuotaEffect]:
        """The rounds of loans whose time is over end."""
        effects: list[QuotaEffect] = []
        for tenant, quota in list(self._in_round.items()):
            if now >= quota.round_ends:
                effects += self._end_round(tenant, quota, now)
        return effects

    def wake_at(self) -> float | None:
        """When `end_rounds` is to be called; None: there is no round."""
        return min((quota.round_ends for quota in self._in_round.values()), default=None)

    # ---- inside ----

    def _may_grant(self, now: float) -> bool:
        return self._share.may_grant(now, self._majority_as_of())

    def _bring_up(self, tenant: str, quota: TenantQuota, now: float) -> None:
        share = self._share.share(tenant, now, self._majority_as_of())
        quota.bucket.set_part(quota.bound * share, self._rule, now)

    def _grant(self, quota: TenantQuota, ask: QuotaRequest, now: float) -> bool:
        granted = quota.bucket.grant(ask.units, is_short=quota.is_short(now))
        if granted:
            self.granted += ask.units
            self._check(quota, ask.tenant)
        return granted

    def _check(self, quota: TenantQuota, tenant: str) -> None:
        bucket = quota.bucket
        check(Invariant.QUOTA_IS_CONSERVED, bucket.is_conserved, tenant=tenant, level=bucket.level)

    def _lenders(self, tenant: str) -> list[str]:
        reached = self._reached()
        return [address for address in self._share.other_owners(tenant) if address in reached]

    def _begin_round(
        self, tenant: str, quota: TenantQuota, lenders: list[str], now: float
    ) -> list[QuotaEffect]:
        first = quota.waiting[0].ask.units
        lacking = quota.bucket.needed(first, is_short=quota.is_short(now)) - quota.bucket.level
        quota.round_ends = now + ROUND_S
        self._in_round[tenant] = quota
        quota.awaited = len(lenders)
        request = QuotaLoanRequest(tenant, max(0.0, lacking) * LOAN_EXCESS / len(lenders))
        return [LoanTo(address, request) for address in lenders]

    def _serve_waiting(self, quota: TenantQuota, now: float) -> list[QuotaEffect]:
        """In their order, as far as the bucket holds it."""
        effects: list[QuotaEffect] = []
        while quota.waiting and self._grant(quota, quota.waiting[0].ask, now):
            first = quota.waiting.pop(0)
            answer = QuotaResponse(first.ask.request_id, QuotaOutcome.GRANTED)
            effects.append(AnswerTo(first.asker, answer))
        return effects

    def _end_round(self, tenant: str, quota: TenantQuota, now: float) -> list[QuotaEffect]:
        if quota.waiting:
            quota.next_round = now + ROUND_PAUSE_S
        effects: list[QuotaEffect] = [self._refusal(quota, waiting, now) for waiting in quota.waiting]
        quota.waiting.clear()
        quota.awaited = 0
        del self._in_round[tenant]
        return effects + self._return_excess(tenant, quota)

    def _return_excess(self, tenant: str, quota: TenantQuota) -> list[QuotaEffect]:
        """What was borrowed and not used goes to an owner."""
        lenders = self._lenders(tenant)
        excess = quota.bucket.settle()
        if not lenders or not excess:
            return []
        return [LoanTo(lenders[0], QuotaLoan(tenant, excess))]

    def _refusal(self, quota: TenantQuota, waiting: WaitingAsk, now: float) -> AnswerTo:
        self.refused += 1
        quota.refused_at = now
        wait_s = quota.bucket.seconds_until(waiting.ask.units)
        retry_after_s = min(RETRY_MOST_S, max(RETRY_LEAST_S, wait_s))
        is_fresh = now - self._started < FRESH_S
        outcome = QuotaOutcome.UNAVAILABLE if is_fresh else QuotaOutcome.SPENT
        answer = QuotaResponse(waiting.ask.request_id, outcome, retry_after_s)
        return AnswerTo(waiting.asker, answer)
