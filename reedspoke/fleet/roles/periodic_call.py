"""A role handler that calls an operator's HTTP address periodically while its lease is held.

One call is open at a time, and the next one is due one interval after the last one was due. Where calls take
longer, or another member had the role meanwhile, missed calls are not made up for.
"""

from __future__ import annotations

from reedspoke.fleet.events import CallRoleTarget
from reedspoke.fleet.lease.tokens import NO_TOKEN
from reedspoke.net.effects import ExtensionEffect

FIRST_SUCCESS_STATUS, FIRST_REDIRECT_STATUS = 200, 300


class PeriodicCall:
    """A `RoleHandler`. `succeeded` and `failed` count calls by whether their status was a 2xx."""

    def __init__(self, role: str, interval_us: int) -> None:
        """`interval_us` is the time between the beginnings of two calls."""
        self.role, self.interval_us = role, interval_us
        self.token, self.expires_at = NO_TOKEN, 0
        self.succeeded = self.failed = 0
        self._due_at, self._is_open = 0, False

    def lease_acquired(self, token: int, expires_at: int, now: int) -> list[ExtensionEffect]:
        """The first call is due at once."""
        self.token, self.expires_at, self._due_at = token, expires_at, now
        return self.tick(now)

    def lease_renewed(self, expires_at: int, now: int) -> list[ExtensionEffect]:
        """Later calls may end later."""
        self.expires_at = expires_at
        return []

    def lease_ended(self, reason: str, now: int) -> list[ExtensionEffect]:
        """No further call is made; one that is open goes on, and its token fences it."""
        self.token = NO_TOKEN
        return []

    def tick(self, now: int) -> list[ExtensionEffect]:
        """The next call, where it is due and none is open."""
        if not self.token or self._is_open or now < self._due_at or now >= self.expires_at:
            return []
        self._is_open = True
        self._due_at = max(self._due_at, now - self.interval_us // 2) + self.interval_us
        return [CallRoleTarget(self.role, self.token, self.expires_at)]

    def call_finished(self, status: int) -> None:
        """The open call has ended; `status` is 0 where there was no answer."""
        self._is_open = False
        if FIRST_SUCCESS_STATUS <= status < FIRST_REDIRECT_STATUS:
            self.succeeded += 1
        else:
            self.failed += 1
