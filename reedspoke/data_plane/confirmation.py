"""As of which time a majority last stood behind the configuration that is held. No I/O and no clock.

All times are of this process's own steady clock. Whoever uses the answer asks with the time of that moment,
so that a process which was stopped in between is in doubt when it wakes.
"""

from __future__ import annotations

import math

from reedspoke.common.messages import NO_VERSION, Version

MAX_AGE_FRACTION = 0.7  # of the time within which a change has to be in force; the rest is for its way here
MAX_NEWER_VERSIONS = 16


class Confirmation:
    """Compares what confirmed control schedulers tell with what is held.

    `apply_s` is the time within which an acknowledged change has to be in force, `started` that of the start.
    """

    def __init__(self, apply_s: float, started: float) -> None:
        self._max_age_s = MAX_AGE_FRACTION * apply_s
        self._started = started
        self._last_report_at = started
        self._in_force: Version = NO_VERSION
        self._as_of: float | None = None
        self._newer_versions: dict[Version, float] = {}  # newer than what is held, each with its time

    def record_report(self, version: Version, as_of: float) -> None:
        """A confirmed control scheduler tells the newest version."""
        if not math.isfinite(as_of):
            return
        self._last_report_at = max(self._last_report_at, as_of)
        if version <= self._in_force:
            self._confirm(as_of)
            return
        self._newer_versions[version] = max(as_of, self._newer_versions.get(version, as_of))
        if len(self._newer_versions) > MAX_NEWER_VERSIONS:
            del self._newer_versions[min(self._newer_versions)]

    def set_in_force(self, version: Version) -> None:
        """This version is in force now."""
        self._in_force = version
        for told, as_of in self._newer_versions.items():
            if told <= version:
                self._confirm(as_of)
        self._newer_versions = {told: as_of for told, as_of in self._newer_versions.items() if told > version}

    def as_of(self) -> float | None:
        """When what is held was last known to be the newest; None: never yet."""
        return self._as_of

    def last_report_at(self) -> float:
        """The latest time for which any version was told as the newest, at first the start."""
        return self._last_report_at

    def knows_newer_version(self) -> bool:
        """Whether a newer version is known than the one that is held."""
        return bool(self._newer_versions)

    def is_expired(self, now: float) -> bool:
        """Whether what is held was last confirmed too long ago."""
        return self._as_of is None or not self.is_fresh(self._as_of, now)

    def is_fresh(self, as_of: float, now: float) -> bool:
        """Whether being told the newest version as of that time is of use now."""
        return now - as_of <= self._max_age_s

    def is_overdue(self, now: float) -> bool:
        """Whether more control schedulers are to be asked; at the start the usual number gets some time."""
        return not self.is_fresh(self._started if self._as_of is None else self._as_of, now)

    def in_doubt(self, now: float) -> bool:
        """Whether what is held may be older than it is allowed to be."""
        return self.knows_newer_version() or self.is_expired(now)

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
