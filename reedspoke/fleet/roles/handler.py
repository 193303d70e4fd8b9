"""The interface between a singleton role's lease and what is done with the role."""

from __future__ import annotations

from typing import Protocol

from reedspoke.net.effects import ExtensionEffect


class RoleHandler(Protocol):
    """What the holder of a role does with it. It performs no I/O: each method returns effects for the
    reducer.

    Before each act ask `SingletonRoles.holds`, and send `token` along, so that whoever carries out the act
    can reject an older one. Times are microseconds of the monotonic clock.
    """

    def lease_acquired(self, token: int, expires_at: int, now: int) -> list[ExtensionEffect]:
        """The role is this member's, until `expires_at` at the latest unless the lease is renewed."""
        ...

    def lease_renewed(self, expires_at: int, now: int) -> list[ExtensionEffect]:
        """The role stays this member's until `expires_at`."""
        ...

    def lease_ended(self, reason: str, now: int) -> list[ExtensionEffect]:
        """The role is this member's no longer."""
        ...

    def tick(self, now: int) -> list[ExtensionEffect]:
        """Called several times within a time to live while the role is held."""
        ...
