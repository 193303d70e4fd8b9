"""What is admitted of a tenant's quota while no control plane node responds. No I/O, no clock.

While all control plane nodes are down they grant nothing, and their token buckets are empty when they start
again. So what the fleet admits in the meantime takes the place of refills that were never granted, as long as
the outage is short and the traffic does not change. A data plane node that recently had a response admits
requests for a short time: one request of each tenant, and a fraction of what it was granted for the tenant
within the last window. Nothing is admitted of a tenant whose quota was spent within the window.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

MAX_OUTAGE_S = 3.0  # since the last response of any control plane node
REUSE_FRACTION = 0.25  # of the units granted within the last window


class Grant(Struct, frozen=True):
    """Units of a tenant's quota, granted or admitted at this time."""

    at: float
    units: float


class TenantHistory(Struct, eq=False):
    """What happened to one tenant's quota within the last window."""

    grants: deque[Grant]
    admitted: deque[Grant]  # by the outage allowance
    spent_at: float = float("-inf")


class OutageAllowance:
    """The allowances of all tenants; `window_s` is the window of the deployment's quota rule."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._last_response_at = float("-inf")
        self._tenants: dict[str, TenantHistory] = {}

    def record_grant(self, tenant: str, units: float, now: float) -> None:
        """A control plane node granted these units."""
        self._last_response_at = now
        self._history(tenant).grants.append(Grant(now, units))

    def record_spent(self, tenant: str, now: float) -> None:
        """A control plane node responded that the tenant's quota is spent."""
        self._last_response_at = now
        self._history(tenant).spent_at = now

    def admit(self, tenant: str, units: float, now: float) -> bool:
        """Whether a request without a response is admitted; if so, its units are counted."""
        if now - self._last_response_at > MAX_OUTAGE_S:
            return False
        history = self._history(tenant)
        if now - history.spent_at < self._window_s:
            return False
        self._drop_expired(history, now)
        allowed = REUSE_FRACTION * sum(grant.units for grant in history.grants)
        used = sum(grant.units for grant in history.admitted)
        if history.admitted and used + units > allowed:
            return False
        history.admitted.append(Grant(now, units))
        return True

    def _history(self, tenant: str) -> TenantHistory:
        history = self._tenants.get(tenant)
        if history is None:
            history = self._tenants[tenant] = TenantHistory(deque(), deque())
        return history

    def remove_expired(self, now: float) -> None:
        """Remove records older than the window, and tenants without any record."""
        for tenant, history in list(self._tenants.items()):
            self._drop_expired(history, now)
            is_idle = now - history.spent_at >= self._window_s
            if is_idle and not (history.grants or history.admitted):
                del self._tenants[tenant]

    def _drop_expired(self, history: TenantHistory, now: float) -> None:
        for grants in (history.grants, history.admitted):
            while grants and now - grants[0].at >= self._window_s:
                grants.popleft()
