"""Tracks the time as of which a majority last confirmed the configuration in force. No I/O and no clock.

The configuration is in doubt while it may be older than the deployment allows. All times are of this
process's own monotonic clock. Callers pass the current time, so that a process which was suspended is in
doubt as soon as it resumes.
"""

from __future__ import annotations

import math

from reedspoke.common.messages import NO_VERSION, Version

MAX_AGE_FRACTION = 0.7  # of the time limit for applying a change; the rest is for its delivery to this node
MAX_NEWER_VERSIONS = 16


class Confirmation:
    """Compares the versions reported by confirmed control plane nodes with the version in force.

    `apply_s` is the time limit within which an acknowledged change has to be in force; `started` is the time
    at which the process started.
    """

    def __init__(self, apply_s: float, started: float) -> None:
        self._max_age_s = MAX_AGE_FRACTION * apply_s
        self._started = started
        self._last_report_at = started
        self._in_force: Version = NO_VERSION
        self._as_of: float | None = None
        # Reported and not yet in force, each with the latest time as of which it was the newest.
        self._newer_versions: dict[Version, float] = {}

    def record_report(self, version: Version, as_of: float) -> None:
        """A confirmed control plane node reported `version` as the newest as of the time `as_of`."""
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
        """Record that this version is now in force."""
        self._in_force = version
        for newer, as_of in self._newer_versions.items():
            if newer <= version:
                self._confirm(as_of)
        self._newer_versions = {
            newer: as_of for newer, as_of in self._newer_versions.items() if newer > version
        }

    def as_of(self) -> float | None:
        """The latest time at which the version in force was known to be the newest; None: never."""
        return self._as_of

    def last_report_at(self) -> float:
        """The latest time as of which any version was reported as the newest; initially the start."""
        return self._last_report_at

    def knows_newer_version(self) -> bool:
        """Whether a version newer than the one in force was reported."""
        return bool(self._newer_versions)

    def is_expired(self, now: float) -> bool:
        """Whether the last confirmation of the version in force is too old."""
        return self._as_of is None or not self.is_fresh(self._as_of, now)

    def is_fresh(self, as_of: float, now: float) -> bool:
        """Whether a confirmation as of that time is recent enough to rely on now."""
        return now - as_of <= self._max_age_s

    def is_overdue(self, now: float) -> bool:
        """Whether additional sessions are needed to get a confirmation.

        After the start, the usual number of sessions gets the same time to bring the first confirmation.
        """
        return not self.is_fresh(self._started if self._as_of is None else self._as_of, now)

    def in_doubt(self, now: float) -> bool:
        """Whether the version in force may be older than the deployment allows."""
        return self.knows_newer_version() or self.is_expired(now)

    def _confirm(self, as_of: float) -> None:
        self._as_of = as_of if self._as_of is None else max(self._as_of, as_of)


def confirmed_as_of(sent_at: float, waited_s: float, confirmed_ago_s: float, now: float) -> float:
    """The time as of which a `WatchResponse` confirms its configuration version, on the receiver's clock.

    `sent_at` is when the `WatchRequest` was sent; `waited_s` and `confirmed_ago_s` are `wait_s` and
    `confirmed_ago_s` of the response. The control plane node received the request no earlier than `sent_at`,
    so the result is never later than the true time, and it is never in the future.
    """
    if not (waited_s >= 0 and confirmed_ago_s >= 0):  # false also for NaN
        return -math.inf
    return min(sent_at + waited_s - confirmed_ago_s, now)
