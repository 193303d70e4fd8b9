"""A role handler that delegates the role to a subsystem with I/O of its own, by effects."""

from __future__ import annotations

from reedspoke.fleet.events import RoleAcquired, RoleLost
from reedspoke.fleet.lease.tokens import NO_TOKEN
from reedspoke.net.effects import ExtensionEffect


class DelegatedRole:
    """A `RoleHandler`. The subsystem must check `expires_at` before each action and send the token."""

    def __init__(self, role: str) -> None:
        """`role` is the name of the role."""
        self.role, self._token = role, NO_TOKEN

    def lease_acquired(self, token: int, expires_at: int, now: int) -> list[ExtensionEffect]:
        """Notifies the subsystem that the role was acquired."""
        self._token = token
        return [RoleAcquired(self.role, token, expires_at)]

    def lease_renewed(self, expires_at: int, now: int) -> list[ExtensionEffect]:
        """Notifies the subsystem of the new end of the lease."""
        return [RoleAcquired(self.role, self._token, expires_at)]

    def lease_ended(self, reason: str, now: int) -> list[ExtensionEffect]:
        """Notifies the subsystem that the role was lost."""
        return [RoleLost(self.role)]

    def tick(self, now: int) -> list[ExtensionEffect]:
        """Does nothing: the subsystem has its own timers."""
        return []
