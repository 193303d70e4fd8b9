"""The share of a tenant's quota that this control plane node may grant. No I/O and no clock.

A tenant's quota is divided evenly among its owners, a few voters of the agreed view. Rendezvous hashing of
the tenant's name (Thaler and Ravishankar, 1998) selects them, which needs no messages and leaves no quota
unused while the view is repaired. If all voters shared each quota, the share of a small tenant would be less
than one request. A node that is not an owner borrows.

A share is held under a lease that contact with a majority renews. A node without contact for
`SHARE_LEASE_TTL_S` grants nothing. New owners begin to grant only after that time, because a node counts as
an owner only if it is one by every view in force within the last `SHARE_LEASE_TTL_S`. The shares of all
granting nodes therefore never add up to more than 1.

A process that has just started does not know the previous views, whose owners may still grant. For the same
time it divides the quota by a larger number of owners.
"""

from __future__ import annotations

from collections import deque
from hashlib import blake2b

from msgspec import Struct

SHARE_LEASE_TTL_S = 2.5  # duration of a share's lease after the last contact with a majority
SHARE_LEASE_MARGIN_S = 0.3  # The holder treats its lease, by its own clock, as shorter by this.
OWNERS_PER_TENANT = 4
MAX_CACHED_TENANTS = 4096  # size of each voter set's cache of owners


class VoterSet(Struct, eq=False):
    """The voters of a view, the time since when they vote, and a cache of the owners of tenants."""

    addresses: frozenset[str]
    since: float
    owners: dict[str, frozenset[str]]

    def owners_of(self, tenant: str) -> frozenset[str]:
        """Return the voters that share this tenant's quota."""
        cached = self.owners.get(tenant)
        if cached is not None:
            return cached
        if len(self.owners) >= MAX_CACHED_TENANTS:
            self.owners.clear()
        owners = self.owners[tenant] = tenant_owners(tenant, self.addresses)
        return owners


class QuotaShare:
    """The shares of the process at the address `own`; the fleet tolerates the loss of `tolerated` machines.

    It owns the sets of voters that were in force within the last `SHARE_LEASE_TTL_S`, the newest last.
    """

    def __init__(self, own: str, tolerated: int, started_at: float) -> None:
        self._own = own
        self._tolerated = tolerated
        self._started_at = started_at
        self._voter_sets: deque[VoterSet] = deque()

    def set_voters(self, addresses: frozenset[str], now: float) -> None:
        """Set the voters of the newest known view, which are in force from now on."""
        if not self._voter_sets or self._voter_sets[-1].addresses != addresses:
            self._voter_sets.append(VoterSet(addresses, now, {}))

    def other_owners(self, tenant: str) -> tuple[str, ...]:
        """Return the other owners of this tenant's quota in the newest view."""
        if not self._voter_sets:
            return ()
        return tuple(sorted(self._voter_sets[-1].owners_of(tenant) - {self._own}))

    def is_lease_held(self, now: float, majority_as_of: float | None) -> bool:
        """Return whether the lease is valid.

        `majority_as_of` is the latest time at which the view was confirmed as the newest, or None.
        """
        return majority_as_of is not None and now - majority_as_of < SHARE_LEASE_TTL_S - SHARE_LEASE_MARGIN_S

    def share(self, tenant: str, now: float, majority_as_of: float | None) -> float:
        """Return the share of this tenant's quota that may be granted here, from 0 to 1."""
        if not self._voter_sets or not self.is_lease_held(now, majority_as_of):
            return 0.0
        self._drop_expired(now)
        owners = [voters.owners_of(tenant) for voters in self._voter_sets]
        if not all(self._own in group for group in owners):
            return 0.0
        unknown_owners = min(1, self._tolerated) if now < self._started_at + SHARE_LEASE_TTL_S else 0
        return 1 / (max(map(len, owners)) + unknown_owners)

    def _drop_expired(self, now: float) -> None:
        """Remove sets of voters that were replaced longer ago than the duration of a lease."""
        while len(self._voter_sets) > 1 and self._voter_sets[1].since <= now - SHARE_LEASE_TTL_S:
            self._voter_sets.popleft()


def tenant_owners(tenant: str, voters: frozenset[str]) -> frozenset[str]:
    """Return the voters that share this tenant's quota, by rendezvous hashing."""
    ranked = sorted(voters, key=lambda address: blake2b(f"{tenant}/{address}".encode()).digest())
    return frozenset(ranked[:OWNERS_PER_TENANT])
