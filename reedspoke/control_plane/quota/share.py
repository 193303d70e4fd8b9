"""Which share of a tenant's quota this control scheduler grants from. No I/O and no clock.

A tenant's quota is shared evenly by a few of the voters of the agreed view, its owners; rendezvous hashing by
the tenant's name names them, so that nobody is asked and no quota rests while the view is repaired. Shared by
all voters, the part of a small tenant would be less than one request. Who owns nothing of a quota borrows.

A share is leased by contact with a majority. Whoever has had none for `LEASE_S` grants nothing; only after
that do new owners begin, as an owner counts only who is one by every view known for so long. So the shares of
all that grant never add up to more than 1.

A process that starts anew does not know the views before, by which others may own still. It counts as one of
more owners, for as long.
"""

from __future__ import annotations

from collections import deque
from hashlib import blake2b

from msgspec import Struct

LEASE_S = 2.5  # a share may be granted from for so long after the last contact with a majority,
LEASE_MARGIN_S = 0.3  # less this, by the holder's own clock
OWNERS = 4  # of one tenant's quota
MOST_KNOWN = 4096  # tenants whose owners are remembered


class KnownVoters(Struct, eq=False):
    """The voters of a view, from this time on, and the owners by them of tenants that were asked for."""

    addresses: frozenset[str]
    since: float
    owners: dict[str, frozenset[str]]

    def owners_of(self, tenant: str) -> frozenset[str]:
        """The voters that share this tenant's quota."""
        found = self.owners.get(tenant)
        if found is None:
            if len(self.owners) >= MOST_KNOWN:
                self.owners.clear()
            found = self.owners[tenant] = owners_of(tenant, self.addresses)
        return found


class QuotaShare:
    """The shares of the process at `own`; `tolerated` machines may be lost at once."""

    def __init__(self, own: str, tolerated: int, started: float) -> None:
        self._own = own
        self._tolerated = tolerated
        self._started = started
        self._views: deque[KnownVoters] = deque()

    def voters_known(self, addresses: frozenset[str], now: float) -> None:
        """These vote from now on, by the newest view known here."""
        if not self._views or self._views[-1].addresses != addresses:
            self._views.append(KnownVoters(addresses, now, {}))

    def other_owners(self, tenant: str) -> tuple[str, ...]:
        """Who else shares this tenant's quota by the newest view."""
        return tuple(sorted(self._views[-1].owners_of(tenant) - {self._own})) if self._views else ()

    def may_grant(self, now: float, majority_as_of: float | None) -> bool:
        """Whether the lease runs. `majority_as_of`: when the view was certainly the newest; None: never."""
        return majority_as_of is not None and now - majority_as_of < LEASE_S - LEASE_MARGIN_S

    def share(self, tenant: str, now: float, majority_as_of: float | None) -> float:
        """From 0 to 1, of this tenant's quota."""
        if not self._views or not self.may_grant(now, majority_as_of):
            return 0.0
        while len(self._views) > 1 and self._views[1].since <= now - LEASE_S:
            self._views.popleft()
        owners = [view.owners_of(tenant) for view in self._views]
        if not all(self._own in group for group in owners):
            return 0.0
        unknown = min(1, self._tolerated) if now < self._started + LEASE_S else 0
        return 1 / (max(map(len, owners)) + unknown)


def owners_of(tenant: str, voters: frozenset[str]) -> frozenset[str]:
    """Those of the voters that share this tenant's quota."""
    ranked = sorted(voters, key=lambda address: blake2b(f"{tenant}/{address}".encode()).digest())
    return frozenset(ranked[:OWNERS])
