"""The fleet's list of workers: what the platform answers, and which version of it is the newest.

Pure decisions; the calls are made in `list_duty`.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct, field, structs

from reedspoke.common.messages import NO_VERSION, Version, WorkerEntry, WorkerList

STATE_DRAINING = "draining"
MOST_WORKERS = 20000
RELAY_AFTER_S = 0.3  # who lacks a list for so long is sent it by any process that has it
UNLEASED_TERM = 0  # of a list read without the lease, of which each process may have another


class PlatformModel(Struct, frozen=True):
    """A model that a worker has in memory."""

    name: str


class PlatformInstance(Struct, frozen=True):
    """A worker as the platform has it."""

    instance_id: str
    upstream: str
    address: str
    zone: str = ""
    generation: str = ""
    capacity: int = 1
    state: str = "up"
    cold_left_ms: float = 0.0
    models: tuple[PlatformModel, ...] | None = None


class PlatformPage(Struct, frozen=True):
    """One answer of the platform's list."""

    instances: tuple[PlatformInstance, ...]
    next_token: str | None = None


_PAGE_DECODER = msgspec.json.Decoder(PlatformPage)


def parse_page(body: bytes) -> PlatformPage:
    """Raises msgspec.DecodeError for anything but a page of the list."""
    return _PAGE_DECODER.decode(body)


def worker_entry(instance: PlatformInstance) -> WorkerEntry:
    """The worker as the fleet passes it on."""
    return WorkerEntry(
        instance_id=instance.instance_id,
        upstream=instance.upstream,
        address=instance.address,
        zone=instance.zone,
        generation=instance.generation,
        capacity=instance.capacity,
        draining=instance.state == STATE_DRAINING,
        cold_left_ms=instance.cold_left_ms,
        models=tuple(model.name for model in instance.models or ()),
    )


def merge_pages(pages: list[PlatformPage]) -> tuple[WorkerEntry, ...]:
    """The workers of all pages in the order of their ids; where two pages have one, the later counts."""
    found = {instance.instance_id: instance for page in pages for instance in page.instances}
    return tuple(worker_entry(found[instance_id]) for instance_id in sorted(found))


def aged(workers: WorkerList, age_ms: float) -> WorkerList:
    """The list with the time that has passed since taken off `cold_left_ms`."""
    entries = tuple(
        structs.replace(entry, cold_left_ms=max(0.0, entry.cold_left_ms - age_ms))
        if entry.cold_left_ms
        else entry
        for entry in workers.workers
    )
    return WorkerList(workers.version, entries)


def _lasting(entries: tuple[WorkerEntry, ...]) -> tuple[WorkerEntry, ...]:
    return tuple(
        structs.replace(entry, cold_left_ms=0.0) if entry.cold_left_ms else entry for entry in entries
    )


class WorkerBook(Struct):
    """The newest list that this process knows, and the highest version that anybody knows of."""

    current: WorkerList | None = None
    received_at: float = 0.0
    seen: Version = NO_VERSION
    _lasting: tuple[WorkerEntry, ...] = field(default=())

    @property
    def version(self) -> Version:
        """Of the newest list here."""
        return NO_VERSION if self.current is None else self.current.version

    def note_seen(self, version: Version) -> None:
        """Another process holds a list of this version."""
        self.seen = max(self.seen, version)

    def sends_to(self, version: Version, holds_lease: bool, now: float) -> bool:
        """Whether a process that holds `version` is to be sent the list here.

        The holder of the lease sends at once; others a little later, where the holder does not reach it.
        """
        if version >= self.version:
            return False
        return holds_lease or now - self.received_at >= RELAY_AFTER_S

    def behind(self) -> bool:
        """Whether somebody holds a newer list than we do."""
        return self.seen > self.version

    def adopt(self, workers: WorkerList, now: float) -> bool:
        """A list of another control scheduler; False where it is not newer than ours."""
        if workers.version <= self.version or len(workers.workers) > MOST_WORKERS:
            return False
        self._take(workers, now)
        return True

    def needs_term_above(self, term: int) -> int | None:
        """The term that a holder's next one must exceed, where its lists would not be the newest."""
        return self.seen[0] if self.seen[0] > term or self._overtaken(term) else None

    def platform_answered(self, term: int, entries: tuple[WorkerEntry, ...], now: float) -> WorkerList | None:
        """What the holder of the lease publishes for this answer; None where nothing has changed."""
        if self.needs_term_above(term) is not None:
            return None
        if self._goes_on() and _lasting(entries) == self._lasting:
            return None
        count = self.version[1] + 1 if self.version[0] == term else 1
        published = WorkerList((term, count), entries)
        self._take(published, now)
        return published

    def _goes_on(self) -> bool:
        """Whether the list here is the one that all others have or will have."""
        return self.version[0] > UNLEASED_TERM and not self.behind()

    def _overtaken(self, term: int) -> bool:
        """Somebody has a list of our own term that we know nothing of."""
        return self.seen[0] == term and self.behind()

    def _take(self, workers: WorkerList, now: float) -> None:
        self.current = workers
        self.received_at = now
        self._lasting = _lasting(workers.workers)
        self.note_seen(workers.version)
