"""As of which time a majority last stood behind the configuration that is held. No I/O and no clock.

All times are of this process's own steady clock. Whoever uses the answer asks with the time of that moment,
so that a process which was stopped in between is in doubt when it wakes.
"""

from __future__ import annotations

import math

from reedspoke.common.messages import NO_VERSION, Version

DOUBT_SHARE = 0.7  # of the time within which a change has to be in force; the rest is for its way here
MOST_AWAITED = 16


class Confirmation:
    """Compares what confirmed control schedulers tell with what is held.

    `apply_s` is the time within which an acknowledged change has to be in force, `started` that of the start.
    """

    def __init__(self, apply_s: float, started: float) -> None:
        self._most_age_s = DOUBT_SHARE * apply_s
        self._started = started
        self._told_at = started
        self._held: Version = NO_VERSION
        self._as_of: float | None = None
        self._awaited: dict[Version, float] = {}  # newer than what is held, each with its time

    def told(self, version: Version, as_of: float) -> None:
        """A confirmed control scheduler tells the newest version."""
        if not math.isfinite(as_of):
            return
        self._told_at = max(self._told_at, as_of)
        if version <= self._held:
            self._confirm(as_of)
            return
        self._awaited[version] = max(as_of, self._awaited.get(version, as_of))
        if len(self._awaited) > MOST_AWAITED:
            del self._awaited[min(self._awaited)]

    def holds(self, version: Version) -> None:
        """This version is in force now."""
        self._held = version
        for told, as_of in self._awaited.items():
            if told <= version:
                self._confirm(as_of)
        self._awaited = {told: as_of for told, as_of in self._awaited.items() if told > version}

    def as_of(self) -> float | None:
        """When what is held was last known to be the newest; None: never yet."""
        return self._as_of

    def told_at(self) -> float:
        """The latest time for which any version was told as the newest, at first the start."""
        return self._told_at

    def awaits_newer(self) -> bool:
        """Whether a newer version is known than the one that is held."""
        return bool(self._awaited)

    def is_old(self, now: float) -> bool:
        """Whether what is held was last confirmed too long ago."""
        return self._as_of is None or not self.is_fresh(self._as_of, now)

    def is_fresh(self, as_of: float, now: float) -> bool:
        """Whether being told the newest version as of that time is of use now."""
        return now - as_of <= self._most_age_s

    def is_overdue(self, now: float) -> bool:
        """Whether more control schedulers are to be asked; at the start the usual number gets some time."""
        return not self.is_fresh(self._started if self._as_of is None else self._as_of, now)

    def in_doubt(self, now: float) -> bool:
        """Whether what is held may be older than it is allowed to be."""
        return self.awaits_newer() or self.is_old(now)

    def _confirm(self, as_of: float) -> None:
        self._as_of = as_of if self._as_of is None else max(self._as_of, as_of)


def confirmed_as_of(sent_at: float, held_s: float, confirmed_ago_s: float, now: float) -> float:
    """The time for which an answer vouches, on the asker's clock.

    `sent_at` is when the `WatchRequest` was sent, the others are as in `WatchResponse`. The control scheduler
    got the `WatchRequest` no earlier, so the time is never later than the true one; it is never in the future
    either.
    """
    if not (held_s >= 0 and confirmed_ago_s >= 0):  # also where one of them is not a number
        return -math.inf
    return min(sent_at + held_s - confirmed_ago_s, now)
