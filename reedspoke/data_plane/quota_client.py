"""Requests units of tenants' quotas from control plane nodes.

Units are requested before a request is sent to a worker: from one control plane node first, and from another
one if the first refuses or does not respond for a short time. Units that were granted and not used are kept
for the tenant's next request for `CREDIT_S`; the grants of control plane nodes allow for that time
(`quota_rule`). While no control plane node responds, `quota_outage` decides which requests are admitted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from functools import partial

from msgspec import Struct, field

from reedspoke.common.messages import QuotaOutcome, QuotaRequest, QuotaResponse
from reedspoke.common.quota_rule import CREDIT_S
from reedspoke.common.stall_tolerant_timer import StallTolerantTimer
from reedspoke.data_plane.quota_outage import OutageAllowance

# A control plane node that has not responded for this long is not waited for: the next one is tried as well.
NEXT_NODE_DELAY_S = 0.012
UNAVAILABLE_RETRY_S = 0.2  # Retry delay of a refusal if no control plane node granted or refused the units.
MAX_CREDITS_PER_TENANT = 256  # Further unused units of a tenant are dropped.
CLEANUP_INTERVAL_REQUESTS = 256  # Expired outage records are removed once in this many quota requests.


class QuotaDecision(Struct, frozen=True):
    """Whether a request may be sent to a worker."""

    granted: bool
    # Why it was refused: because the quota is spent, or else because no control plane node could grant units.
    spent: bool = False
    retry_after_s: float = 0.0


GRANTED = QuotaDecision(True)
# Sends to an address that is not among those tried, and returns it; None: there is none left.
SendQuotaRequest = Callable[[QuotaRequest, Collection[str]], str | None]
OnDecision = Callable[[QuotaDecision], None]


class Credit(Struct, frozen=True):
    """Units that were granted and not used; they may be used until `expires_at`."""

    units: float
    expires_at: float


class PendingRequest(Struct, eq=False):
    """A request without a decision; `outstanding` counts the responses that are still expected."""

    request: QuotaRequest
    deadline: float
    on_decision: OnDecision
    tried: list[str] = field(default_factory=list)
    outstanding: int = 0
    spent: bool = False
    retry_after_s: float = 0.0
    timer: StallTolerantTimer | None = None


class QuotaClient:
    """All quota requests of this data plane node; times are of the event loop's monotonic clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop, send: SendQuotaRequest, window_s: float) -> None:
        self._loop = loop
        self._send = send
        self._pending: dict[int, PendingRequest] = {}
        self._credits: dict[str, list[Credit]] = {}
        self.admitted_without_response = 0  # Requests admitted by the outage allowance.
        # Requests that were decided while responses were outstanding. A late grant becomes a credit.
        self._decided: dict[int, QuotaRequest] = {}
        self._next_id = 0
        self._outage = OutageAllowance(window_s)

    @property
    def waiting(self) -> int:
        """The number of requests without a decision."""
        return len(self._pending)

    def request(self, tenant: str, units: float, wait_s: float, on_decision: OnDecision) -> int | None:
        """Request units; `on_decision` is called within `wait_s`.

        Returns the id for `cancel`, or None if `on_decision` has already been called.
        """
        if self._use_credit(tenant, units):
            on_decision(GRANTED)
            return None
        self._next_id += 1
        if self._next_id % CLEANUP_INTERVAL_REQUESTS == 0:
            self._outage.remove_expired(self._loop.time())
        request = QuotaRequest(self._next_id, tenant, units)
        pending = PendingRequest(request, self._loop.time() + wait_s, on_decision)
        self._pending[request.request_id] = pending
        self._try_next_node(pending)
        return request.request_id if request.request_id in self._pending else None

    def cancel(self, request_id: int) -> None:
        """Drop a request without a decision; a late grant is kept for the tenant's next request."""
        pending = self._pending.get(request_id)
        if pending is not None:
            self._close(pending)

    def return_units(self, tenant: str, units: float) -> None:
        """Keep granted units that were not used, as no worker received the request."""
        credits = self._credits.setdefault(tenant, [])
        if len(credits) < MAX_CREDITS_PER_TENANT:
            credits.append(Credit(units, self._loop.time() + CREDIT_S))

    def handle_response(self, response: QuotaResponse) -> None:
        """Handle the response of a control plane node."""
        pending = self._pending.get(response.request_id)
        if pending is None:
            self._handle_late_response(response)
            return
        pending.outstanding -= 1
        request = pending.request
        if response.outcome is QuotaOutcome.GRANTED:
            self._outage.record_grant(request.tenant, request.units, self._loop.time())
            self._decide(pending, GRANTED)
            return
        if response.outcome is QuotaOutcome.SPENT:
            self._outage.record_spent(request.tenant, self._loop.time())
            pending.retry_after_s = max(pending.retry_after_s, response.retry_after_s)
            pending.spent = True
        self._try_next_node(pending)

    def _handle_late_response(self, response: QuotaResponse) -> None:
        request = self._decided.pop(response.request_id, None)
        if request is not None and response.outcome is QuotaOutcome.GRANTED:
            self.return_units(request.tenant, request.units)

    def _try_next_node(self, pending: PendingRequest) -> None:
        """Send the request to a further control plane node.

        If there is no other left, wait for the outstanding responses until the deadline. If there are none
        outstanding, or the deadline has passed, decide without a grant.
        """
        now = self._loop.time()
        address = self._send(pending.request, pending.tried) if now < pending.deadline else None
        if address is not None:
            pending.tried.append(address)
            pending.outstanding += 1
        elif not pending.outstanding or now >= pending.deadline:
            self._decide_without_grant(pending)
            return
        self._schedule_next_try(
            pending, min(pending.deadline, now + NEXT_NODE_DELAY_S) if address else pending.deadline
        )

    def _schedule_next_try(self, pending: PendingRequest, at: float) -> None:
        if pending.timer is not None:
            pending.timer.cancel()
        pending.timer = StallTolerantTimer(self._loop, at, partial(self._try_next_node, pending))

    def _decide_without_grant(self, pending: PendingRequest) -> None:
        """Refuse the request, unless no node refused it as spent and the outage allowance admits it."""
        request = pending.request
        if not pending.spent and self._outage.admit(request.tenant, request.units, self._loop.time()):
            self.admitted_without_response += 1
            self._decide(pending, GRANTED)
            return
        retry_after_s = pending.retry_after_s if pending.spent else UNAVAILABLE_RETRY_S
        self._decide(pending, QuotaDecision(False, pending.spent, retry_after_s))

    def _decide(self, pending: PendingRequest, decision: QuotaDecision) -> None:
        self._close(pending)
        pending.on_decision(decision)

    def _close(self, pending: PendingRequest) -> None:
        del self._pending[pending.request.request_id]
        if pending.timer is not None:
            pending.timer.cancel()
        if pending.outstanding:
            self._decided[pending.request.request_id] = pending.request
            self._loop.call_later(CREDIT_S, self._decided.pop, pending.request.request_id, None)

    def _use_credit(self, tenant: str, units: float) -> bool:
        """Take the units from the tenant's credits if these suffice; return whether they did."""
        credits = self._credits.pop(tenant, None)
        if credits is None:
            return False
        now = self._loop.time()
        kept = [credit for credit in credits if credit.expires_at > now]
        enough = sum(credit.units for credit in kept) >= units
        if enough:
            kept = consume_credits(kept, units)
        if kept:
            self._credits[tenant] = kept
        return enough


def consume_credits(credits: list[Credit], units: float) -> list[Credit]:
    """The credits left after using `units`, oldest first; `credits` must hold at least that many."""
    remaining = []
    for credit in credits:
        used = min(units, credit.units)
        units -= used
        if credit.units > used:
            remaining.append(Credit(credit.units - used, credit.expires_at))
    return remaining
