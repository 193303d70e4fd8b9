"""Which share of each tenant's quota this control scheduler grants from. No I/O and no clock.

The voters of the agreed view share a quota evenly, and each grants from its share alone: nobody is asked, so
no quota rests while the view is repaired. A share is leased by contact with a majority. Whoever has had none
for `LEASE_S` grants nothing; only after that do the others take over the share of one that left the view, and
a new voter waits as long before it has one. So the shares of all that grant never add up to more than 1.

A process that starts anew does not know the views before. It counts as many more voters as machines may be
lost at once, for as long.
"""

from __future__ import annotations

from collections import deque

from msgspec import Struct

LEASE_S = 2.5  # a share may be granted from for so long after the last contact with a majority,
LEASE_MARGIN_S = 0.3  # less this, by the holder's own clock


class KnownVoters(Struct, frozen=True):
    """The voters of a view, from this time on."""

    addresses: frozenset[str]
    since: float


class QuotaShare:
    """The share of the process at `own`; `tolerated` machines may be lost at once."""

    def __init__(self, own: str, tolerated: int, started: float) -> None:
        self._own = own
        self._tolerated = tolerated
        self._started = started
        self._views: deque[KnownVoters] = deque()

    def voters_known(self, addresses: frozenset[str], now: float) -> None:
        """These vote from now on, by the newest view known here."""
        if not self._views or self._views[-1].addresses != addresses:
            self._views.append(KnownVoters(addresses, now))

    @property
    def others(self) -> tuple[str, ...]:
        """The other voters of the newest view."""
        return tuple(sorted(self._views[-1].addresses - {self._own})) if self._views else ()

    def share(self, now: float, majority_as_of: float | None) -> float:
        """From 0 to 1. `majority_as_of`: when the view was certainly the newest; None: never yet."""
        if majority_as_of is None or now - majority_as_of >= LEASE_S - LEASE_MARGIN_S:
            return 0.0
        while len(self._views) > 1 and self._views[1].since <= now - LEASE_S:
            self._views.popleft()
        if not all(self._own in view.addresses for view in self._views) or not self._views:
            return 0.0
        most = max(len(view.addresses) for view in self._views)
        unknown = self._tolerated if now < self._started + LEASE_S else 0
        return 1 / (most + unknown)
