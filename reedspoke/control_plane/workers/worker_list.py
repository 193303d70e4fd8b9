"""The fleet's list of workers: its newest version, and the lists that a holder of the lease publishes.

A version is a pair, compared in order: the term of the discovery lease, and a count within the term. This
module does no I/O; `discovery` calls the platform.
"""

from __future__ import annotations

from msgspec import Struct, structs

from reedspoke.common.messages import NO_VERSION, Version, WorkerEntry, WorkerList
from reedspoke.common.worker_lists import MarkedWorkers, platform_entries, subtract_elapsed

MAX_WORKERS = 20000
RELAY_DELAY_S = 0.3  # A node without the lease waits this long after receiving a list before it relays it.
UNLEASED_TERM = 0  # term of lists read without the lease, which may differ between processes


def _content(marked: MarkedWorkers) -> MarkedWorkers:
    """Return what counts as a change of the list.

    Warm-up times do not, as they change with each poll, and neither do orders that change no mark.
    """
    workers = tuple(
        structs.replace(entry, cold_left_ms=0.0) if entry.cold_left_ms else entry for entry in marked.workers
    )
    return MarkedWorkers(workers, marked.evacuated)


class WorkerListState(Struct):
    """The newest list that this process has, and the highest version that any process is known to have.

    Times are seconds of the steady clock.
    """

    current: WorkerList | None = None
    received_at: float = 0.0
    highest_seen: Version = NO_VERSION
    _published: MarkedWorkers = MarkedWorkers(())  # `current` without warm-up times

    @property
    def version(self) -> Version:
        """The version of the newest list here, or NO_VERSION before the first."""
        return NO_VERSION if self.current is None else self.current.version

    def observe_version(self, version: Version) -> None:
        """Record that another process has a list of this version."""
        self.highest_seen = max(self.highest_seen, version)

    def should_send_to(self, version: Version, holds_lease: bool, now: float) -> bool:
        """Return whether to send the list to a process that has `version`.

        The holder of the lease sends it immediately. Other nodes send it after `RELAY_DELAY_S`, in case the
        holder cannot reach that process.
        """
        if version >= self.version:
            return False
        return holds_lease or now - self.received_at >= RELAY_DELAY_S

    def is_behind(self) -> bool:
        """Return whether another process has a newer list."""
        return self.highest_seen > self.version

    def adopt(self, workers: WorkerList, now: float) -> bool:
        """Adopt a list from another control plane node. Returns False if it is not newer or is too long."""
        if workers.version <= self.version or len(workers.workers) > MAX_WORKERS:
            return False
        self._replace(workers, now)
        return True

    def platform_entries(self, now: float) -> tuple[WorkerEntry, ...] | None:
        """Return the workers as the platform had them in the newest list here, or None before the first."""
        if self.current is None:
            return None
        return subtract_elapsed(platform_entries(self.current), (now - self.received_at) * 1000)

    def is_marked_as(self, marked: MarkedWorkers) -> bool:
        """Return whether the newest list here has these marks, whatever the warm-up times."""
        return _content(marked) == self._published

    def term_to_exceed(self, term: int) -> int | None:
        """Return the term that the holder's next one must exceed, or None if `term` is high enough."""
        must_rise = self.highest_seen[0] > term or self._is_overtaken_within(term)
        return self.highest_seen[0] if must_rise else None

    def update_from_platform(self, term: int, marked: MarkedWorkers, now: float) -> WorkerList | None:
        """Return the list that the lease holder publishes for a platform response.

        It is None if nothing has changed, or if the holder first needs a higher term.
        """
        if self.term_to_exceed(term) is not None:
            return None
        if self._is_shared_by_all() and self.is_marked_as(marked):
            return None
        count = self.version[1] + 1 if self.version[0] == term else 1
        published = WorkerList((term, count), marked.workers, marked.evacuated, marked.orders)
        self._replace(published, now)
        return published

    def _is_shared_by_all(self) -> bool:
        """Return whether the list here is the newest one, which all other nodes have or will receive."""
        return self.version[0] > UNLEASED_TERM and not self.is_behind()

    def _is_overtaken_within(self, term: int) -> bool:
        """Return whether another process has a newer list under this same term."""
        return self.highest_seen[0] == term and self.is_behind()

    def _replace(self, workers: WorkerList, now: float) -> None:
        self.current = workers
        self.received_at = now
        self._published = _content(MarkedWorkers(workers.workers, workers.evacuated))
        self.observe_version(workers.version)
