"""One tenant's part of its quota at one control scheduler: a token bucket that can lend. No clock.

A request is granted only while the level is above a reserve, and the reserve is what the largest requests of
late have taken: so a large request finds as much as a small one does, and is not refused more often.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.cluster.quota_rule import Allowance

RESERVE_DECAY = 0.98  # of the largest request seen, with each further one
MOST_RESERVE = 0.5  # of the capacity
LOAN_SHARE = 0.5  # of the level that is lent at once
ROUNDING = 1e-6


class QuotaBucket(Struct, eq=False):
    """Units of quota; starts empty, as what an earlier life has granted is not known."""

    refilled_at: float
    level: float = 0.0
    refill_per_s: float = 0.0
    capacity: float = 0.0
    largest: float = 0.0  # request of late
    received: float = 0.0  # by refills and loans, in all
    given: float = 0.0  # by grants, loans and overflow, in all

    def set_part(self, fleet: Allowance, share: float, now: float) -> None:
        """From now on the bucket has this share of what the fleet may grant."""
        self.refill(now)
        self.refill_per_s = fleet.refill_per_s * share
        lower = fleet.capacity * share < self.capacity
        self.capacity = fleet.capacity * share
        if lower:
            self.settle()

    def refill(self, now: float) -> None:
        """Bring the level up to the time."""
        gained = max(0.0, now - self.refilled_at) * self.refill_per_s
        room = max(0.0, self.capacity - self.level)
        self.refilled_at = max(now, self.refilled_at)
        self._add(min(gained, room))

    def grant(self, units: float) -> bool:
        """Take what a request costs, or nothing."""
        self.largest = max(units, self.largest * RESERVE_DECAY)
        if self.level + ROUNDING < self.needed(units):
            return False
        self._remove(units)
        return True

    def needed(self, units: float) -> float:
        """The level at which a request is granted."""
        return max(units, min(self.largest, MOST_RESERVE * self.capacity))

    def lend(self, wanted: float) -> float:
        """Give up to so many units to another control scheduler."""
        units = max(0.0, min(wanted, LOAN_SHARE * self.level))
        self._remove(units)
        return units

    def receive(self, units: float) -> None:
        """Another control scheduler has given these units. They may exceed the capacity until `settle`."""
        self._add(max(0.0, units))

    def settle(self) -> None:
        """Drop what exceeds the capacity."""
        self._remove(max(0.0, self.level - self.capacity))

    def seconds_until(self, units: float) -> float:
        """How long its own refill takes until such a request is granted."""
        lacking = max(0.0, self.needed(units) - self.level)
        return lacking / self.refill_per_s if self.refill_per_s else float("inf")

    @property
    def is_conserved(self) -> bool:
        """Whether no more was given than was received."""
        return self.given <= self.received + ROUNDING * (1 + self.received)

    def _add(self, units: float) -> None:
        self.level += units
        self.received += units

    def _remove(self, units: float) -> None:
        self.level -= units
        self.given += units
