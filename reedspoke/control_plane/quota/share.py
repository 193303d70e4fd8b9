"""Which share of a tenant's quota this control plane node may grant. Pure; no clock.

A tenant's quota is shared evenly by a few of the voters of the agreed view, its owners; rendezvous hashing by
the tenant's name (Thaler and Ravishankar, 1998) names them, so that nobody is asked and no quota rests while
the view is repaired. Shared by all voters, the share of a small tenant would be less than one request. Who
owns nothing of a quota borrows.

A share is leased by contact with a majority. Whoever has had none for `SHARE_LEASE_TTL_S` grants nothing;
only after that do new owners begin, as an owner counts only who is one by every view known for so long. So
the shares of all that grant never add up to more than 1.

A process that starts anew does not know the views before, by which others may own still. It counts as one of
more owners, for as long.
"""

from __future__ import annotations

from collections import deque
from hashlib import blake2b

from msgspec import Struct

SHARE_LEASE_TTL_S = 2.5  # a share may be granted from for so long after the last contact with a majority,
SHARE_LEASE_MARGIN_S = 0.3  # less this, by the holder's own clock
OWNERS_PER_TENANT = 4
MAX_CACHED_TENANTS = 4096  # whose owners are remembered


class VoterSet(Struct, eq=False):
    """The voters of a view, from this time on, and the owners by them of tenants that were asked for."""

    addresses: frozenset[str]
    since: float
    owners: dict[str, frozenset[str]]

    def owners_of(self, tenant: str) -> frozenset[str]:
        """The voters that share this tenant's quota."""
        cached = self.owners.get(tenant)
        if cached is not None:
            return cached
        if len(self.owners) >= MAX_CACHED_TENANTS:
            self.owners.clear()
        owners = self.owners[tenant] = tenant_owners(tenant, self.addresses)
        return owners


class QuotaShare:
    """The shares of the process at the address `own`; `tolerated` machines may be lost at once.

    Owns the sets of voters that were in force within the last `SHARE_LEASE_TTL_S`, the newest last.
    """

    def __init__(self, own: str, tolerated: int, started_at: float) -> None:
        self._own = own
        self._tolerated = tolerated
        self._started_at = started_at
        self._voter_sets: deque[VoterSet] = deque()

    def set_voters(self, addresses: frozenset[str], now: float) -> None:
        """These vote from now on, by the newest view known here."""
        if not self._voter_sets or self._voter_sets[-1].addresses != addresses:
            self._voter_sets.append(VoterSet(addresses, now, {}))

    def other_owners(self, tenant: str) -> tuple[str, ...]:
        """Who else shares this tenant's quota by the newest view."""
        if not self._voter_sets:
            return ()
        return tuple(sorted(self._voter_sets[-1].owners_of(tenant) - {self._own}))

    def is_lease_held(self, now: float, majority_as_of: float | None) -> bool:
        """Whether the lease runs. `majority_as_of`: when the view was certainly the newest; None: never."""
        return majority_as_of is not None and now - majority_as_of < SHARE_LEASE_TTL_S - SHARE_LEASE_MARGIN_S

    def share(self, tenant: str, now: float, majority_as_of: float | None) -> float:
        """From 0 to 1, of this tenant's quota."""
        if not self._voter_sets or not self.is_lease_held(now, majority_as_of):
            return 0.0
        self._drop_expired(now)
        owners = [voters.owners_of(tenant) for voters in self._voter_sets]
        if not all(self._own in group for group in owners):
            return 0.0
        unknown_owners = min(1, self._tolerated) if now < self._started_at + SHARE_LEASE_TTL_S else 0
        return 1 / (max(map(len, owners)) + unknown_owners)

    def _drop_expired(self, now: float) -> None:
        """Forget sets of voters that were replaced so long ago that leases of their owners have expired."""
        while len(self._voter_sets) > 1 and self._voter_sets[1].since <= now - SHARE_LEASE_TTL_S:
            self._voter_sets.popleft()


def tenant_owners(tenant: str, voters: frozenset[str]) -> frozenset[str]:
    """Those of the voters that share this tenant's quota."""
    ranked = sorted(voters, key=lambda address: blake2b(f"{tenant}/{address}".encode()).digest())
    return frozenset(ranked[:OWNERS_PER_TENANT])
