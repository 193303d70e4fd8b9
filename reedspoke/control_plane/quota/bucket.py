"""One tenant's part of its quota at one control scheduler: a token bucket that can lend. No clock.

While units are short a request is granted only at a level above a reserve, and the reserve is what the
largest requests of late have taken: so a large request finds as much as a small one does, and is not refused
more often.

The capacity follows the largest request of the bucket's life. It never shrinks for that reason, as a refill
that grows while what was held before is still in the window would exceed the bound.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.quota_rule import QuotaRule, allowance

RESERVE_DECAY = 0.98  # of the largest request seen, with each further one
MOST_RESERVE = 0.9  # of the capacity
LOAN_SHARE = 0.9  # of the level that is lent at once
ROUNDING = 1e-6


class QuotaBucket(Struct, eq=False):
    """Units of quota; starts empty, as what an earlier life has granted is not known."""

    refilled_at: float
    level: float = 0.0
    refill_per_s: float = 0.0
    capacity: float = 0.0
    largest: float = 0.0  # request of late
    largest_ever: float = 0.0  # in the bucket's life
    received: float = 0.0  # by refills and loans, in all
    given: float = 0.0  # by grants, loans and overflow, in all

    def set_part(self, units: float, rule: QuotaRule, now: float) -> None:
        """From now on so many units within any window are the bucket's part of the bound."""
        self.refill(now)
        part = allowance(units, self.largest_ever, rule)
        self.refill_per_s = part.refill_per_s
        is_lower = part.capacity < self.capacity
        self.capacity = part.capacity
        if is_lower:
            self.settle()

    def refill(self, now: float) -> None:
        """Bring the level up to the time."""
        gained = max(0.0, now - self.refilled_at) * self.refill_per_s
        room = max(0.0, self.capacity - self.level)
        self.refilled_at = max(now, self.refilled_at)
        self._add(min(gained, room))

    def grant(self, units: float, *, is_short: bool) -> bool:
        """Take what a request costs, or nothing. While units are short the reserve is kept."""
        self.largest = max(units, self.largest * RESERVE_DECAY)
        self.largest_ever = max(units, self.largest_ever)
        if self.level + ROUNDING < self.needed(units, is_short=is_short):
            return False
        self._remove(units)
        return True

    def needed(self, units: float, *, is_short: bool) -> float:
        """The level at which a request is granted."""
        return max(units, self.reserve) if is_short else units

    @property
    def reserve(self) -> float:
        """The level below which no request is granted."""
        return min(self.largest, MOST_RESERVE * self.capacity)

    def lend(self, wanted: float, *, is_short: bool) -> float:
        """Give up to so many units to another control scheduler; while it is short of them itself, only what
        exceeds the reserve."""
        free = self.level - self.reserve if is_short else LOAN_SHARE * self.level
        units = max(0.0, min(wanted, free))
        self._remove(units)
        return units

    def receive(self, units: float) -> None:
        """Another control scheduler has given these units. They may exceed the capacity until `settle`."""
        self._add(max(0.0, units))

    def settle(self) -> float:
        """Give away what exceeds the capacity; tells how much that is."""
        excess = max(0.0, self.level - self.capacity)
        self._remove(excess)
        return excess

    def seconds_until(self, units: float) -> float:
        """How long its own refill takes until such a request is granted."""
        lacking = max(0.0, self.needed(units, is_short=True) - self.level)
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
