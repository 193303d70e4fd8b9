"""A role handler that delegates the role to a part with I/O of its own, which is told of each change."""

from __future__ import annotations

from reedspoke.fleet.events import RoleAcquired, RoleLost
from reedspoke.fleet.lease.tokens import NO_TOKEN
from reedspoke.net.effects import ExtensionEffect


class DelegatedRole:
    """A `RoleHandler`. Before each act the part compares its clock with `expires_at` and sends the token."""

    def __init__(self, role: str) -> None:
        """`role` is the name of the role."""
        self.role, self._token = role, NO_TOKEN

    def lease_acquired(self, token: int, expires_at: int, now: int) -> list[ExtensionEffect]:
        """Reports the role to the part."""
        self._token = token
        return [RoleAcquired(self.role, token, expires_at)]

    def lease_renewed(self, expires_at: int, now: int) -> list[ExtensionEffect]:
        """Reports the later end to the part."""
        return [RoleAcquired(self.role, self._token, expires_at)]

    def lease_ended(self, reason: str, now: int) -> list[ExtensionEffect]:
        """Reports the loss to the part."""
        return [RoleLost(self.role)]

    def tick(self, now: int) -> list[ExtensionEffect]:
        """Nothing: the part has timers of its own."""
        return []
