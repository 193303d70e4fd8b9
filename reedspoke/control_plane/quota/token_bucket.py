"""Token bucket of one tenant's share of its quota at one control plane node; it can lend. Pure; no clock.

While units are scarce a request is granted only at a level above a reserve, and the reserve is what the
largest requests of late have taken: so a large request finds as much as a small one does, and is not refused
more often.

The capacity follows the largest request of the bucket's whole life. It never shrinks for that reason, as a
refill that grows while what was held before is still in the window would exceed the limit.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.quota_rule import QuotaRule, allowance

RESERVE_DECAY = 0.98  # of the largest request of late, with each further one
MAX_RESERVE_SHARE = 0.9  # of the capacity
MAX_LOAN_SHARE = 0.9  # of the level that is lent at once
ROUNDING_TOLERANCE = 1e-6


class TokenBucket(Struct, eq=False):
    """Units of quota; starts empty, as what an earlier incarnation of the process granted is not known.

    Times are seconds of the steady clock, all else is in units of quota.
    """

    refilled_at: float
    level: float = 0.0
    refill_per_s: float = 0.0
    capacity: float = 0.0
    largest_recent_request: float = 0.0
    largest_request: float = 0.0  # in the bucket's life
    total_in: float = 0.0  # by refills and loans
    total_out: float = 0.0  # by grants, loans and overflow

    def set_share(self, units: float, rule: QuotaRule, now: float) -> None:
        """From now on so many units within any window are the bucket's share of the limit."""
        self.refill(now)
        share = allowance(units, self.largest_request, rule)
        self.refill_per_s = share.refill_per_s
        is_lower = share.capacity < self.capacity
        self.capacity = share.capacity
        if is_lower:
            self.remove_overflow()

    def refill(self, now: float) -> None:
        """Bring the level up to the time."""
        gained = max(0.0, now - self.refilled_at) * self.refill_per_s
        free_capacity = max(0.0, self.capacity - self.level)
        self.refilled_at = max(now, self.refilled_at)
        self._add(min(gained, free_capacity))

    def grant(self, units: float, *, is_scarce: bool) -> bool:
        """Take what a request costs, or nothing. While units are scarce the reserve is kept."""
        self.largest_recent_request = max(units, self.largest_recent_request * RESERVE_DECAY)
        self.largest_request = max(units, self.largest_request)
        if self.level + ROUNDING_TOLERANCE < self.required_level(units, is_scarce=is_scarce):
            return False
        self._remove(units)
        return True

    def required_level(self, units: float, *, is_scarce: bool) -> float:
        """The level at which a request of so many units is granted."""
        return max(units, self.reserve) if is_scarce else units

    @property
    def reserve(self) -> float:
        """The level below which no request is granted while units are scarce."""
        return min(self.largest_recent_request, MAX_RESERVE_SHARE * self.capacity)

    def lend(self, requested: float, *, is_scarce: bool) -> float:
        """Give up to so many units to another control plane node; the units given.

        While they are scarce here, only what exceeds the reserve.
        """
        available = self.level - self.reserve if is_scarce else MAX_LOAN_SHARE * self.level
        units = max(0.0, min(requested, available))
        self._remove(units)
        return units

    def receive_loan(self, units: float) -> None:
        """Another control plane node has given these units.

        They may exceed the capacity until `remove_overflow`.
        """
        self._add(max(0.0, units))

    def remove_overflow(self) -> float:
        """Give away what exceeds the capacity; how much that is."""
        overflow = max(0.0, self.level - self.capacity)
        self._remove(overflow)
        return overflow

    def wait_s(self, units: float) -> float:
        """How long its own refill takes until such a request is granted while units are scarce."""
        lacking = max(0.0, self.required_level(units, is_scarce=True) - self.level)
        return lacking / self.refill_per_s if self.refill_per_s else float("inf")

    @property
    def is_conserved(self) -> bool:
        """Whether no more was given than was received."""
        return self.total_out <= self.total_in + ROUNDING_TOLERANCE * (1 + self.total_in)

    def _add(self, units: float) -> None:
        self.level += units
        self.total_in += units

    def _remove(self, units: float) -> None:
        self.level -= units
        self.total_out += units
