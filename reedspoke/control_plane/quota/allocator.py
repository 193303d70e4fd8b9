"""Answers quota requests of data plane nodes out of this control plane node's share.

`share` describes how a tenant's quota is divided among control plane nodes, its owners. If this node's bucket
has fewer units than a request costs, the allocator immediately requests loans from the other owners, and the
request waits. A loan is taken out of the lender's bucket before it is added to the borrower's, so no unit
counts twice; a loan lost in transit is lost for the quota. After loans with too few units, further requests
of the tenant are refused for a backoff period without borrowing again. The module does no I/O and reads no
clock.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import Any

from msgspec import Struct, field

from reedspoke.common.messages import QuotaOutcome, QuotaRequest, QuotaResponse
from reedspoke.common.quota_rule import QuotaRule, window_limit
from reedspoke.common.tenants import Tenant
from reedspoke.control_plane.peers.messages import QuotaLoan, QuotaLoanRequest
from reedspoke.control_plane.quota.share import QuotaShare
from reedspoke.control_plane.quota.token_bucket import TokenBucket
from reedspoke.telemetry.invariants import Invariant, check

LOAN_TIMEOUT_S = 0.02  # the longest time for which a request waits for loans
BORROWING_BACKOFF_S = 0.1  # delay before the next loan requests for a tenant after loans with too few units
# Buckets start empty. Within this time after the start, refusals therefore do not mean that a quota is spent.
STARTUP_PERIOD_S = 1.5
SCARCITY_PERIOD_S = 0.2  # A tenant's units count as scarce at this node for this long after a refusal.
REFRESH_INTERVAL_S = 0.5  # the longest time until all buckets use a share that has changed
MAX_PENDING_REQUESTS = 64  # per tenant, waiting for loans
LOAN_REQUEST_FACTOR = 3.0  # requested units in total per missing unit, as some owners lend none
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0

Requester = Any  # an opaque reference to the recipient of the response, returned unchanged
# Returns the latest time at which a majority confirmed the view as the newest; None if that is unknown.
MajorityAsOf = Callable[[], float | None]
ReachablePeers = Callable[[], Collection[str]]  # addresses of control plane nodes with recent messages


class SendResponse(Struct, frozen=True):
    """An effect: send this response to the requesting data plane node."""

    requester: Requester
    response: QuotaResponse


class SendToPeer(Struct, frozen=True):
    """An effect: send this message to another control plane node."""

    address: str
    message: QuotaLoanRequest | QuotaLoan


QuotaEffect = SendResponse | SendToPeer


class PendingQuotaRequest(Struct, frozen=True):
    """A quota request that waits for loans."""

    requester: Requester
    request: QuotaRequest


class TenantQuota(Struct, eq=False):
    """One tenant's bucket at this node, and the state of its outstanding loans."""

    limit: float  # units within any window for the whole fleet
    bucket: TokenBucket
    pending: list[PendingQuotaRequest] = field(default_factory=list)
    loans_due_at: float = 0.0  # when the wait for outstanding loans ends
    awaited_loans: int = 0  # requested loans that have not arrived
    next_borrowing_at: float = 0.0  # the end of the backoff
    refused_at: float = float("-inf")  # the last refusal because units were missing

    def is_scarce(self, now: float) -> bool:
        """Return whether a request was recently refused because units were missing."""
        return now - self.refused_at < SCARCITY_PERIOD_S


class QuotaAllocator:
    """Grants all tenants' quotas at one control plane node. Owns their buckets and pending requests."""

    def __init__(
        self,
        rule: QuotaRule,
        share: QuotaShare,
        majority_as_of: MajorityAsOf,
        reachable_peers: ReachablePeers,
        started_at: float,
    ) -> None:
        self._started_at = started_at
        self._rule = rule
        self._share = share
        self._majority_as_of = majority_as_of
        self._reachable_peers = reachable_peers
        self._known_tenants: frozenset[str] = frozenset()
        self._quotas: dict[str, TenantQuota] = {}  # tenants with a limit
        self._refresh_at = float("-inf")
        self._borrowing: dict[str, TenantQuota] = {}  # tenants with outstanding loans

    # ---- configuration and time ----

    def configure(self, tenants: Mapping[str, Tenant], now: float) -> None:
        """Set the tenants of the newest committed configuration."""
        self._known_tenants = frozenset(tenants)
        limited = {name: tenant for name, tenant in tenants.items() if tenant.get("rate_per_s")}
        self._quotas = {
            name: self._quota(name, tenant.get("rate_per_s") or 0.0, tenant.get("burst") or 0.0, now)
            for name, tenant in limited.items()
        }
        self._borrowing = {name: quota for name, quota in self._borrowing.items() if name in self._quotas}

    def refresh(self, now: float) -> None:
        """Adjust all buckets to this control plane node's current share; called periodically."""
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_INTERVAL_S
            for tenant, quota in self._quotas.items():
                self._update_bucket(tenant, quota, now)
                self._check_invariant(quota, tenant)

    def expire_loans(self, now: float) -> list[QuotaEffect]:
        """Refuse the requests whose loans have timed out."""
        effects: list[QuotaEffect] = []
        for tenant, quota in list(self._borrowing.items()):
            if now >= quota.loans_due_at:
                effects += self._finish_borrowing(tenant, quota, now)
        return effects

    def next_expiry(self) -> float | None:
        """Return the time at which to call `expire_loans`, or None without outstanding loans."""
        return min((quota.loans_due_at for quota in self._borrowing.values()), default=None)

    # ---- requests ----

    def handle_request(self, requester: Requester, request: QuotaRequest, now: float) -> list[QuotaEffect]:
        """Handle a data plane node's request.

        It is answered now, or after loans have arrived or timed out.
        """
        quota = self._quotas.get(request.tenant)
        if quota is None or not self._is_lease_held(now):
            is_unlimited = quota is None and request.tenant in self._known_tenants
            outcome = QuotaOutcome.GRANTED if is_unlimited else QuotaOutcome.UNAVAILABLE
            return [SendResponse(requester, QuotaResponse(request.request_id, outcome))]
        self._update_bucket(request.tenant, quota, now)
        if not quota.pending and self._grant(quota, request, now):
            return [SendResponse(requester, QuotaResponse(request.request_id, QuotaOutcome.GRANTED))]
        return self._borrow_for(PendingQuotaRequest(requester, request), quota, now)

    def _borrow_for(self, pending: PendingQuotaRequest, quota: TenantQuota, now: float) -> list[QuotaEffect]:
        """Queue the request until loans arrive, or refuse it if borrowing is not possible now."""
        tenant = pending.request.tenant
        lenders = self._lenders(tenant)
        if len(quota.pending) >= MAX_PENDING_REQUESTS or now < quota.next_borrowing_at or not lenders:
            return [self._refuse(quota, pending, now)]
        quota.pending.append(pending)
        return [] if tenant in self._borrowing else self._begin_borrowing(tenant, quota, lenders, now)

    # ---- loans ----

    def handle_loan_request(self, sender: str, request: QuotaLoanRequest, now: float) -> list[QuotaEffect]:
        """Handle another control plane node's request for a loan of a tenant's units."""
        quota = self._quotas.get(request.tenant)
        units = 0.0
        if quota is not None and self._is_lease_held(now) and not quota.pending:
            self._update_bucket(request.tenant, quota, now)
            units = quota.bucket.lend(request.units, is_scarce=quota.is_scarce(now))
            self._check_invariant(quota, request.tenant)
        return [SendToPeer(sender, QuotaLoan(request.tenant, units))]

    def handle_loan(self, loan: QuotaLoan, now: float) -> list[QuotaEffect]:
        """Handle the answer to a loan request. A lender without available units lends 0."""
        quota = self._quotas.get(loan.tenant)
        if quota is None or not self._is_lease_held(now):
            return []
        self._update_bucket(loan.tenant, quota, now)
        quota.bucket.receive_loan(loan.units)
        quota.awaited_loans = max(0, quota.awaited_loans - 1)
        effects = self._grant_pending(quota, now)
        if loan.tenant in self._borrowing and not (quota.awaited_loans and quota.pending):
            effects += self._finish_borrowing(loan.tenant, quota, now)
        return effects

    def _lenders(self, tenant: str) -> list[str]:
        reachable = self._reachable_peers()
        return [address for address in self._share.other_owners(tenant) if address in reachable]

    def _begin_borrowing(
        self, tenant: str, quota: TenantQuota, lenders: list[str], now: float
    ) -> list[QuotaEffect]:
        first = quota.pending[0].request.units
        required = quota.bucket.required_level(first, is_scarce=quota.is_scarce(now))
        lacking = max(0.0, required - quota.bucket.level)
        quota.loans_due_at = now + LOAN_TIMEOUT_S
        quota.awaited_loans = len(lenders)
        self._borrowing[tenant] = quota
        request = QuotaLoanRequest(tenant, lacking * LOAN_REQUEST_FACTOR / len(lenders))
        return [SendToPeer(address, request) for address in lenders]

    def _grant_pending(self, quota: TenantQuota, now: float) -> list[QuotaEffect]:
        """Grant pending requests in order until the bucket has too few units for the next one."""
        effects: list[QuotaEffect] = []
        while quota.pending and self._grant(quota, quota.pending[0].request, now):
            first = quota.pending.pop(0)
            response = QuotaResponse(first.request.request_id, QuotaOutcome.GRANTED)
            effects.append(SendResponse(first.requester, response))
        return effects

    def _finish_borrowing(self, tenant: str, quota: TenantQuota, now: float) -> list[QuotaEffect]:
        if quota.pending:
            quota.next_borrowing_at = now + BORROWING_BACKOFF_S
        effects: list[QuotaEffect] = [self._refuse(quota, pending, now) for pending in quota.pending]
        quota.pending.clear()
        quota.awaited_loans = 0
        del self._borrowing[tenant]
        return effects + self._return_overflow(tenant, quota)

    def _return_overflow(self, tenant: str, quota: TenantQuota) -> list[QuotaEffect]:
        """Return units above the bucket's capacity, borrowed and unused, to another owner."""
        lenders = self._lenders(tenant)
        overflow = quota.bucket.remove_overflow()
        if not lenders or not overflow:
            return []
        return [SendToPeer(lenders[0], QuotaLoan(tenant, overflow))]

    # ---- one tenant's quota ----

    def _quota(self, name: str, rate: float, burst: float, now: float) -> TenantQuota:
        limit = window_limit(rate, burst, self._rule)
        quota = self._quotas.get(name)
        if quota is None:
            return TenantQuota(limit, TokenBucket(now))
        quota.limit = limit
        return quota

    def _is_lease_held(self, now: float) -> bool:
        return self._share.is_lease_held(now, self._majority_as_of())

    def _update_bucket(self, tenant: str, quota: TenantQuota, now: float) -> None:
        share = self._share.share(tenant, now, self._majority_as_of())
        quota.bucket.set_share(quota.limit * share, self._rule, now)

    def _grant(self, quota: TenantQuota, request: QuotaRequest, now: float) -> bool:
        granted = quota.bucket.grant(request.units, is_scarce=quota.is_scarce(now))
        if granted:
            self._check_invariant(quota, request.tenant)
        return granted

    def _refuse(self, quota: TenantQuota, pending: PendingQuotaRequest, now: float) -> SendResponse:
        quota.refused_at = now
        wait_s = quota.bucket.wait_s(pending.request.units)
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        is_starting = now - self._started_at < STARTUP_PERIOD_S
        outcome = QuotaOutcome.UNAVAILABLE if is_starting else QuotaOutcome.SPENT
        response = QuotaResponse(pending.request.request_id, outcome, retry_after_s)
        return SendResponse(pending.requester, response)

    def _check_invariant(self, quota: TenantQuota, tenant: str) -> None:
        bucket = quota.bucket
        check(Invariant.QUOTA_IS_CONSERVED, bucket.is_conserved, tenant=tenant, level=bucket.level)
