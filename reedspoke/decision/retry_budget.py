"""This scheduler's share of the fleet's retry budget for one service.

The rule for the fleet: in every sliding window of W seconds, the retries at a service (arrivals at workers
beyond the first of each request), summed over all schedulers, are at most `ratio` x the requests that clients
sent for it + `slack`. The requests are those of that window or of the one before it, whichever are more. Each
scheduler stays within a share of its own, so that the sum obeys the rule without communication between them:

- A request grants `RATIO_SHARE` x `ratio` of a retry, valid for a little less than W. So the retries of a
  window are granted by requests of that window, X in the whole fleet, and of the one before it, Y. Half of
  X + Y is at most the larger of both for any traffic, so one half is the largest safe share.
- A scheduler may use 1/N of the slack, where N is the largest number of schedulers that it has known
  recently. It has no slack while N is unknown, nor in the first window of its process: the process before it
  may have used that share, and other schedulers may not know of it yet.
"""

from __future__ import annotations

import math
from collections import deque

from msgspec import Struct

RATIO_SHARE = 0.5  # Share of the ratio that a request grants; derived above.
SLACK_SHARE = 0.8  # Share of the slack in use; the rest covers schedulers that not all others know yet.
MAX_DELIVERY_WINDOWS = 0.1  # Maximum time, in windows, from the decision on a retry to its arrival.
STARTUP_WINDOWS = 1.25  # Time after the start of a process, in windows, without slack.
# After a drop in the number of schedulers, the larger number counts for this many windows, as the missing
# ones may only be partitioned away.
FLEET_SIZE_WINDOWS = 12
BUCKETS_PER_WINDOW = 100  # Granularity in which requests are counted.


class Grant(Struct, eq=False):
    """The retries granted by the requests of one bucket."""

    since: float  # The start of the bucket.
    left: float  # The retries that are not used yet, in fractions.


class RetryBudget:
    """Grants and uses of retries; times are seconds of a monotonic clock.

    A retry is reserved when it is decided on. The reservation is used when the retry is sent, or cancelled.
    """

    def __init__(self, *, window_s: float, ratio: float, slack: float, started: float) -> None:
        self._window = window_s
        self._ratio = ratio
        self._slack = slack
        self._started = started
        self._grants: deque[Grant] = deque()
        self._slack_used: deque[float] = deque()
        self._sizes: deque[tuple[float, int]] = deque()  # (since, number of schedulers)
        self._reserved = 0

    @property
    def reserved(self) -> int:
        """The number of retries that are reserved and not used yet."""
        return self._reserved

    def set_fleet_size(self, schedulers: int, now: float) -> None:
        """Set the number of schedulers including this one; 0 if unknown."""
        if not self._sizes or self._sizes[-1][1] != schedulers:
            self._sizes.append((now, schedulers))

    def record_request(self, now: float) -> None:
        """Count a request of a client for the service."""
        self._expire(now)
        length = self._window / BUCKETS_PER_WINDOW
        since = math.floor(now / length) * length
        if not self._grants or self._grants[-1].since != since:
            self._grants.append(Grant(since, 0.0))
        self._grants[-1].left += RATIO_SHARE * self._ratio

    def reserve(self, now: float) -> bool:
        """Reserve a retry; False if none is left."""
        if not self.can_reserve(now):
            return False
        self._reserved += 1
        return True

    def can_reserve(self, now: float) -> bool:
        """Whether a retry could be reserved now."""
        return self._available(now) >= self._reserved + 1

    def can_use(self, now: float) -> bool:
        """Whether a reserved retry may be sent now; its grant may have expired meanwhile."""
        return self._available(now) >= 1

    def use(self, now: float) -> None:
        """Use a reserved retry that is being sent. Raises ValueError unless `can_use`."""
        self.cancel_reservation()
        self._expire(now)
        if not self._use_grants():
            if self._slack_left(now) < 1:
                raise ValueError("the retry budget is spent")
            self._slack_used.append(now)

    def cancel_reservation(self) -> None:
        """Release a reservation whose retry is not sent."""
        self._reserved -= 1

    def _available(self, now: float) -> int:
        self._expire(now)
        granted = sum(grant.left for grant in self._grants)
        return math.floor(granted + ROUNDING_ERROR) + self._slack_left(now)

    def _use_grants(self) -> bool:
        """Take one retry from the oldest grants; False if they do not contain one."""
        if sum(grant.left for grant in self._grants) + ROUNDING_ERROR < 1:
            return False
        needed = 1.0
        while needed > ROUNDING_ERROR:
            taken = min(needed, self._grants[0].left)
            needed -= taken
            self._grants[0].left -= taken
            if self._grants[0].left <= ROUNDING_ERROR:
                self._grants.popleft()
        return True

    def _slack_left(self, now: float) -> int:
        if now - self._started < STARTUP_WINDOWS * self._window:
            return 0
        schedulers = self._most_schedulers(now)
        part = math.floor(self._slack * SLACK_SHARE / schedulers) if schedulers else 0
        return max(0, part - len(self._slack_used))

    def _most_schedulers(self, now: float) -> int:
        """The largest number known recently; 0 while the current number is unknown."""
        while len(self._sizes) > 1 and self._sizes[1][0] <= now - FLEET_SIZE_WINDOWS * self._window:
            self._sizes.popleft()
        if not self._sizes or self._sizes[-1][1] <= 0:
            return 0
        return max(schedulers for _, schedulers in self._sizes)

    def _expire(self, now: float) -> None:
        while self._grants and self._grants[0].since <= now - (1 - MAX_DELIVERY_WINDOWS) * self._window:
            self._grants.popleft()
        while self._slack_used and self._slack_used[0] <= now - (1 + MAX_DELIVERY_WINDOWS) * self._window:
            self._slack_used.popleft()


ROUNDING_ERROR = 1e-9  # Tolerance for rounding errors, in retries.
