"""The fleet's list of workers: which version of it is the newest, and what a holder of the lease publishes.

A version is (term of the discovery lease, count within the term), compared as a pair. Pure decisions; the
calls of the platform are made in `discovery`.
"""

from __future__ import annotations

from msgspec import Struct, structs

from reedspoke.common.messages import NO_VERSION, Version, WorkerEntry, WorkerList

MAX_WORKERS = 20000
RELAY_DELAY_S = 0.3  # who lacks a list for so long is sent it by any process that has it
UNLEASED_TERM = 0  # of a list read without the lease, of which each process may have another


def subtract_elapsed(workers: WorkerList, elapsed_ms: float) -> WorkerList:
    """The list with the time that has passed since taken off `cold_left_ms`."""
    entries = tuple(
        structs.replace(entry, cold_left_ms=max(0.0, entry.cold_left_ms - elapsed_ms))
        if entry.cold_left_ms
        else entry
        for entry in workers.workers
    )
    return WorkerList(workers.version, entries)


def _without_warm_up(entries: tuple[WorkerEntry, ...]) -> tuple[WorkerEntry, ...]:
    """What is compared: the time that a worker still warms up changes with each poll, and is no change."""
    return tuple(
        structs.replace(entry, cold_left_ms=0.0) if entry.cold_left_ms else entry for entry in entries
    )


class WorkerListState(Struct):
    """The newest list that this process knows, and the highest version that any process is known to hold.

    Times are seconds of the steady clock.
    """

    current: WorkerList | None = None
    received_at: float = 0.0
    highest_seen: Version = NO_VERSION
    _published_entries: tuple[WorkerEntry, ...] = ()  # of `current`, without warm-up times

    @property
    def version(self) -> Version:
        """Of the newest list here."""
        return NO_VERSION if self.current is None else self.current.version

    def observe_version(self, version: Version) -> None:
        """Another process holds a list of this version."""
        self.highest_seen = max(self.highest_seen, version)

    def should_send_to(self, version: Version, holds_lease: bool, now: float) -> bool:
        """Whether a process that holds `version` is to be sent the list here.

        The holder of the lease sends at once; others a little later, where the holder does not reach it.
        """
        if version >= self.version:
            return False
        return holds_lease or now - self.received_at >= RELAY_DELAY_S

    def is_behind(self) -> bool:
        """Whether another process holds a newer list."""
        return self.highest_seen > self.version

    def adopt(self, workers: WorkerList, now: float) -> bool:
        """Take a list of another control plane node; False where it is not newer than the one here."""
        if workers.version <= self.version or len(workers.workers) > MAX_WORKERS:
            return False
        self._replace(workers, now)
        return True

    def term_to_exceed(self, term: int) -> int | None:
        """The term that a holder's next one must exceed, where lists under `term` would not be the newest."""
        must_rise = self.highest_seen[0] > term or self._is_overtaken_within(term)
        return self.highest_seen[0] if must_rise else None

    def update_from_platform(
        self, term: int, entries: tuple[WorkerEntry, ...], now: float
    ) -> WorkerList | None:
        """What the holder of the lease publishes for this answer; None where nothing has changed."""
        if self.term_to_exceed(term) is not None:
            return None
        if self._is_shared_by_all() and _without_warm_up(entries) == self._published_entries:
            return None
        count = self.version[1] + 1 if self.version[0] == term else 1
        published = WorkerList((term, count), entries)
        self._replace(published, now)
        return published

    def _is_shared_by_all(self) -> bool:
        """Whether the list here is the one that all others have or will have."""
        return self.version[0] > UNLEASED_TERM and not self.is_behind()

    def _is_overtaken_within(self, term: int) -> bool:
        """Whether another process has a list of the own term that this one knows nothing of."""
        return self.highest_seen[0] == term and self.is_behind()

    def _replace(self, workers: WorkerList, now: float) -> None:
        self.current = workers
        self.received_at = now
        self._published_entries = _without_warm_up(workers.workers)
        self.observe_version(workers.version)
