"""Token bucket of one tenant's quota share at one control plane node. It can lend units. No I/O and no clock.

While units are scarce, a request is granted only if the level is at least a reserve, which is the size of the
largest recent requests. A large request thus needs the same level as a small one and is not refused more
often.

The capacity follows the largest request in the bucket's lifetime and never shrinks again with smaller
requests. A smaller capacity means a faster refill, which would exceed the limit while units granted before
are still within the window.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.quota_rule import QuotaRule, allowance

RESERVE_DECAY = 0.98  # factor applied to the largest recent request at each further request
MAX_RESERVE_SHARE = 0.9  # the largest reserve as a share of the capacity
MAX_LOAN_SHARE = 0.9  # the largest single loan as a share of the level
ROUNDING_TOLERANCE = 1e-6


class TokenBucket(Struct, eq=False):
    """A bucket of quota units. It starts empty, because the grants of an earlier process are not known.

    Times are seconds of the steady clock, and all amounts are units of quota.
    """

    refilled_at: float
    level: float = 0.0
    refill_per_s: float = 0.0
    capacity: float = 0.0
    largest_recent_request: float = 0.0
    largest_request: float = 0.0  # over the bucket's lifetime
    total_in: float = 0.0  # units from refills and received loans
    total_out: float = 0.0  # units for grants, given loans and overflow

    def set_share(self, units: float, rule: QuotaRule, now: float) -> None:
        """Set the bucket's share of the limit, in units within any window."""
        self.refill(now)
        share = allowance(units, self.largest_request, rule)
        self.refill_per_s = share.refill_per_s
        is_lower = share.capacity < self.capacity
        self.capacity = share.capacity
        if is_lower:
            self.remove_overflow()

    def refill(self, now: float) -> None:
        """Add the units refilled since the last call."""
        gained = max(0.0, now - self.refilled_at) * self.refill_per_s
        free_capacity = max(0.0, self.capacity - self.level)
        self.refilled_at = max(now, self.refilled_at)
        self._add(min(gained, free_capacity))

    def grant(self, units: float, *, is_scarce: bool) -> bool:
        """Remove the units of a request and return True, or return False if the level is too low."""
        self.largest_recent_request = max(units, self.largest_recent_request * RESERVE_DECAY)
        self.largest_request = max(units, self.largest_request)
        if self.level + ROUNDING_TOLERANCE < self.required_level(units, is_scarce=is_scarce):
            return False
        self._remove(units)
        return True

    def required_level(self, units: float, *, is_scarce: bool) -> float:
        """Return the lowest level at which a request for these units is granted."""
        return max(units, self.reserve) if is_scarce else units

    @property
    def reserve(self) -> float:
        """The level below which no request is granted while units are scarce."""
        return min(self.largest_recent_request, MAX_RESERVE_SHARE * self.capacity)

    def lend(self, requested: float, *, is_scarce: bool) -> float:
        """Lend up to the requested units to another control plane node, and return the units lent.

        While units are scarce here, only units above the reserve are lent.
        """
        available = self.level - self.reserve if is_scarce else MAX_LOAN_SHARE * self.level
        units = max(0.0, min(requested, available))
        self._remove(units)
        return units

    def receive_loan(self, units: float) -> None:
        """Add units that another control plane node has lent.

        The level may exceed the capacity until `remove_overflow` is called.
        """
        self._add(max(0.0, units))

    def remove_overflow(self) -> float:
        """Remove the units above the capacity, and return their number."""
        overflow = max(0.0, self.level - self.capacity)
        self._remove(overflow)
        return overflow

    def wait_s(self, units: float) -> float:
        """Return how long the refill takes to the level that grants this request while units are scarce."""
        lacking = max(0.0, self.required_level(units, is_scarce=True) - self.level)
        return lacking / self.refill_per_s if self.refill_per_s else float("inf")

    @property
    def is_conserved(self) -> bool:
        """Whether no more units were given out than were received."""
        return self.total_out <= self.total_in + ROUNDING_TOLERANCE * (1 + self.total_in)

    def _add(self, units: float) -> None:
        self.level += units
        self.total_in += units

    def _remove(self, units: float) -> None:
        self.level -= units
        self.total_out += units
