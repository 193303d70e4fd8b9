"""A role handler that calls an operator's HTTP address periodically while its lease is held.

At most one call is in flight, and the next one is due one interval after the last one was due. Calls that
were missed, because a call took longer or another member held the role, are not made later.
"""

from __future__ import annotations

from reedspoke.fleet.events import CallRoleTarget
from reedspoke.fleet.lease.tokens import NO_TOKEN
from reedspoke.net.effects import ExtensionEffect

FIRST_SUCCESS_STATUS, FIRST_REDIRECT_STATUS = 200, 300


class PeriodicCall:
    """A `RoleHandler`. `succeeded` counts the calls with a 2xx status, `failed` all others."""

    def __init__(self, role: str, interval_us: int) -> None:
        """`interval_us` is the time between the starts of two calls."""
        self.role, self.interval_us = role, interval_us
        self.token, self.expires_at = NO_TOKEN, 0
        self.succeeded = self.failed = 0
        self._due_at, self._is_open = 0, False

    def lease_acquired(self, token: int, expires_at: int, now: int) -> list[ExtensionEffect]:
        """Makes the first call at once."""
        self.token, self.expires_at, self._due_at = token, expires_at, now
        return self.tick(now)

    def lease_renewed(self, expires_at: int, now: int) -> list[ExtensionEffect]:
        """Extends the time in which calls are made."""
        self.expires_at = expires_at
        return []

    def lease_ended(self, reason: str, now: int) -> list[ExtensionEffect]:
        """Stops further calls. A call in flight is not cancelled; its token fences it."""
        self.token = NO_TOKEN
        return []

    def tick(self, now: int) -> list[ExtensionEffect]:
        """Makes the next call if it is due and none is in flight."""
        if not self.token or self._is_open or now < self._due_at or now >= self.expires_at:
            return []
        self._is_open = True
        self._due_at = max(self._due_at, now - self.interval_us // 2) + self.interval_us
        return [CallRoleTarget(self.role, self.token, self.expires_at)]

    def call_finished(self, status: int) -> None:
        """Records the end of the call in flight; `status` is 0 without a response."""
        self._is_open = False
        if FIRST_SUCCESS_STATUS <= status < FIRST_REDIRECT_STATUS:
            self.succeeded += 1
        else:
            self.failed += 1
