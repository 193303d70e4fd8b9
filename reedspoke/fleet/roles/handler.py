"""The interface between a singleton role's lease and the code that carries out the role."""

from __future__ import annotations

from typing import Protocol

from reedspoke.net.effects import ExtensionEffect


class RoleHandler(Protocol):
    """Carries out a role for its holder. It performs no I/O: each method returns effects for the reducer.

    Before each action, `SingletonRoles.holds` has to be checked, and the action has to carry `token`, so that
    its target can reject older ones. Times are microseconds of the monotonic clock.
    """

    def lease_acquired(self, token: int, expires_at: int, now: int) -> list[ExtensionEffect]:
        """This member holds the role, until `expires_at` unless the lease is renewed."""
        ...

    def lease_renewed(self, expires_at: int, now: int) -> list[ExtensionEffect]:
        """This member holds the role until `expires_at`, after a renewal."""
        ...

    def lease_ended(self, reason: str, now: int) -> list[ExtensionEffect]:
        """This member no longer holds the role."""
        ...

    def tick(self, now: int) -> list[ExtensionEffect]:
        """Called several times within a time to live while the role is held."""
        ...
