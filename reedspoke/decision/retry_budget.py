"""This scheduler's part of the fleet's retry budget for one service.

The fleet's rule: in every sliding window of W seconds the arrivals at a service beyond the first of each
request, summed over all schedulers, stay within `ratio` x the requests that clients sent for it + `slack`,
where the requests are those of that window or of the one before it, whichever are more. Each scheduler
keeps to a part of its own, so that the sum keeps to the whole without a word between them:

- A request grants `RATIO_PART` x `ratio` of a repeat, for a little less than W. The repeats of a window are
  then granted by requests of that window, X in the whole fleet, and of the one before it, Y; half of X + Y
  is at most the larger of both, whatever the traffic does. So one half is the largest part that is safe.
- Of the slack a scheduler has one part in N, where N is the most schedulers that it has known lately. While
  N is unknown it has none, and neither has a process in its first window, as the one before it may have
  spent that part, and as others may not have heard of it yet.
"""

from __future__ import annotations

import math
from collections import deque

from msgspec import Struct

RATIO_PART = 0.5  # of the ratio
SLACK_PART = 0.8  # of the slack: schedulers may come before all others know of them
EDGE = 0.1  # of a window: the most that a repeat takes from our decision until it arrives at a worker
FIRST_WINDOWS = 1.25  # windows from a process's start in which it has none of the slack
SIZE_WINDOWS = 12  # windows for which a larger number of schedulers counts: some may only be cut off
BUCKETS = 100  # a window's requests are counted in so many buckets


class Grant(Struct, eq=False):
    """What the requests of a short time grant."""

    since: float  # start of that time
    left: float  # repeats not used yet


class RetryBudget:
    """Grants and uses of repeats; times are seconds of a steady clock that never goes back.

    A repeat is reserved when its attempt is decided on and used when it is sent, or given back.
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
        """Repeats that are set aside and not used yet."""
        return self._reserved

    def set_fleet_size(self, schedulers: int, now: float) -> None:
        """The number of schedulers known from now on, this one included; 0: unknown."""
        if not self._sizes or self._sizes[-1][1] != schedulers:
            self._sizes.append((now, schedulers))

    def request(self, now: float) -> None:
        """A client has sent a request for the service."""
        self._expire(now)
        length = self._window / BUCKETS
        since = math.floor(now / length) * length
        if not self._grants or self._grants[-1].since != since:
            self._grants.append(Grant(since, 0.0))
        self._grants[-1].left += RATIO_PART * self._ratio

    def reserve(self, now: float) -> bool:
        """Set a repeat aside; False, and nothing is set aside, if none is left."""
        if not self.has_left(now):
            return False
        self._reserved += 1
        return True

    def has_left(self, now: float) -> bool:
        """Whether a repeat could be reserved now."""
        return self._available(now) >= self._reserved + 1

    def covered(self, now: float) -> bool:
        """Whether a repeat that was reserved may be sent now: grants end as time passes."""
        return self._available(now) >= 1

    def use(self, now: float) -> None:
        """A reserved repeat is sent. Raises ValueError unless it is `covered`."""
        self.give_back()
        self._expire(now)
        if not self._use_grants():
            if self._slack_left(now) < 1:
                raise ValueError("the retry budget is spent")
            self._slack_used.append(now)

    def give_back(self) -> None:
        """A reserved repeat is not sent."""
        self._reserved -= 1

    def _available(self, now: float) -> int:
        self._expire(now)
        granted = sum(grant.left for grant in self._grants)
        return math.floor(granted + ROUNDING) + self._slack_left(now)

    def _use_grants(self) -> bool:
        """Take one repeat from the oldest grants; False if they don't hold one."""
        if sum(grant.left for grant in self._grants) + ROUNDING < 1:
            return False
        needed = 1.0
        while needed > ROUNDING:
            taken = min(needed, self._grants[0].left)
            needed -= taken
            self._grants[0].left -= taken
            if self._grants[0].left <= ROUNDING:
                self._grants.popleft()
        return True

    def _slack_left(self, now: float) -> int:
        if now - self._started < FIRST_WINDOWS * self._window:
            return 0
        schedulers = self._most_schedulers(now)
        part = math.floor(self._slack * SLACK_PART / schedulers) if schedulers else 0
        return max(0, part - len(self._slack_used))

    def _most_schedulers(self, now: float) -> int:
        """The most known lately; 0 while it is unknown how many there are now."""
        while len(self._sizes) > 1 and self._sizes[1][0] <= now - SIZE_WINDOWS * self._window:
            self._sizes.popleft()
        if not self._sizes or self._sizes[-1][1] <= 0:
            return 0
        return max(schedulers for _, schedulers in self._sizes)

    def _expire(self, now: float) -> None:
        while self._grants and self._grants[0].since <= now - (1 - EDGE) * self._window:
            self._grants.popleft()
        while self._slack_used and self._slack_used[0] <= now - (1 + EDGE) * self._window:
            self._slack_used.popleft()


ROUNDING = 1e-9  # of a repeat
