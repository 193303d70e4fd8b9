"""What may be sent of a tenant's quota while no control scheduler answers. No I/O, no clock.

Control schedulers that are all down grant nothing, and their buckets are empty when they come back. So what
the fleet goes on with meanwhile takes the place of refills that nobody got, as long as the outage is short
and the traffic is the usual one. A scheduler that has lately had an answer goes on for a short time: with one
request of a tenant, and with a part of what it was granted for that tenant within the last window. A tenant
whose quota was spent here within the window waits.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

MAX_OUTAGE_S = 3.0  # since the last answer of any control scheduler
USED_AGAIN = 0.25  # of what was granted within the last window


class Grant(Struct, frozen=True):
    """Units of a tenant's quota that were granted at this time."""

    at: float
    units: float


class TenantHistory(Struct, eq=False):
    """Of one tenant, within the last window."""

    granted: deque[Grant]
    went_on: deque[Grant]  # without an answer
    spent_at: float = float("-inf")


class OutageAllowance:
    """The allowances of all tenants. `window_s` is that of the deployment's rule."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._answered_at = float("-inf")
        self._tenants: dict[str, TenantHistory] = {}

    def record_grant(self, tenant: str, units: float, now: float) -> None:
        """A control scheduler has granted these units."""
        self._answered_at = now
        self._history(tenant).granted.append(Grant(now, units))

    def record_spent(self, tenant: str, now: float) -> None:
        """A control scheduler has said that the tenant's quota is spent."""
        self._answered_at = now
        self._history(tenant).spent_at = now

    def admit(self, tenant: str, units: float, now: float) -> bool:
        """Whether a request that got no answer may go all the same; if so, it counts."""
        if now - self._answered_at > MAX_OUTAGE_S:
            return False
        history = self._history(tenant)
        if now - history.spent_at < self._window_s:
            return False
        self._forget(history, now)
        allowed = USED_AGAIN * sum(grant.units for grant in history.granted)
        used = sum(grant.units for grant in history.went_on)
        if history.went_on and used + units > allowed:
            return False
        history.went_on.append(Grant(now, units))
        return True

    def _history(self, tenant: str) -> TenantHistory:
        history = self._tenants.get(tenant)
        if history is None:
            history = self._tenants[tenant] = TenantHistory(deque(), deque())
        return history

    def forget_old(self, now: float) -> None:
        """Drop what is older than the window, and tenants of which nothing is left."""
        for tenant, history in list(self._tenants.items()):
            self._forget(history, now)
            is_idle = now - history.spent_at >= self._window_s
            if is_idle and not (history.granted or history.went_on):
                del self._tenants[tenant]

    def _forget(self, history: TenantHistory, now: float) -> None:
        for grants in (history.granted, history.went_on):
            while grants and now - grants[0].at >= self._window_s:
                grants.popleft()
