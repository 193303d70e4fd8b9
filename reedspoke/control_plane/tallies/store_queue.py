"""The batch that waits to be stored and the one in flight. Adds of one batch share a sync."""

from __future__ import annotations

from msgspec import Struct, field

from reedspoke.control_plane.tallies.catch_up import StateTransfer
from reedspoke.control_plane.tallies.messages import (
    INTERNAL_TALLY_PREFIX,
    TallyAdd,
    TallyCursor,
    TallyEntries,
    TallyItems,
    VersionVector,
)
from reedspoke.control_plane.tallies.records import (
    ItemsRecord,
    RecoveredRecord,
    VectorRecord,
    encode_record,
    entries_record,
)
from reedspoke.control_plane.tallies.settings import DISK_PROBE_S, DISK_STALL_S

AddKey = tuple[str, int]  # tally and id


class OwnAdd(Struct):
    """An add that was submitted at this node, and the calls that wait for it."""

    add: TallyAdd
    call_ids: list[int]


class ReceivedEntries(Struct, frozen=True):
    """Adds received from a peer."""

    sender: str
    entries: TallyEntries


class ReceivedItems(Struct, frozen=True):
    """A chunk of a peer's state; the last one, whose `next` is None, completes the transfer."""

    transfer: StateTransfer
    items: tuple[TallyItems, ...]
    next: TallyCursor | None


class Batch(Struct):
    """The content of one store."""

    own: dict[AddKey, OwnAdd] = field(default_factory=dict)
    entries: list[ReceivedEntries] = field(default_factory=list)
    items: list[ReceivedItems] = field(default_factory=list)
    recovered: bool = False  # whether to record that this folder has recovered

    def __bool__(self) -> bool:
        return bool(self.own or self.entries or self.items or self.recovered)


class StoreQueue:
    """Owns the waiting batch, the batch in flight, and the state of the disk.

    `expected` is the version vector that this node will have after the entries received so far are stored.
    """

    def __init__(self, vector: VersionVector) -> None:
        self.waiting = Batch()
        self.in_flight: Batch | None = None
        self.expected = dict(vector)
        self.token = 0
        self._started_at = 0.0
        self._failed_at: float | None = None
        # Own adds of failed stores, which the disk may have kept. The next store that succeeds removes them.
        self._failed_adds: list[TallyAdd] = []

    # ---- queueing ----

    def pending_add(self, key: AddKey) -> OwnAdd | None:
        """The add with this key that was submitted at this node and is not synced yet, if any."""
        in_flight = None if self.in_flight is None else self.in_flight.own.get(key)
        return in_flight or self.waiting.own.get(key)

    def unsynced_order_adds(self) -> list[TallyAdd]:
        """Own adds to tallies that hold orders that are not synced, but may be on the disk now or later."""
        batches = (self.waiting,) if self.in_flight is None else (self.waiting, self.in_flight)
        adds = [own.add for batch in batches for own in batch.own.values()]
        return [add for add in (*adds, *self._failed_adds) if add.tally.startswith(INTERNAL_TALLY_PREFIX)]

    def put_own(self, key: AddKey, call_id: int, add: TallyAdd) -> None:
        """Queue an add that was submitted at this node."""
        self.waiting.own[key] = OwnAdd(add, [call_id])

    def put_entries(self, sender: str, entries: TallyEntries) -> bool:
        """Queue those of a peer's adds that are new. False if they follow a gap."""
        known = self.expected.get(entries.origin, 0)
        if entries.first > known + 1:
            return False
        fresh = entries.entries[known + 1 - entries.first :]
        if fresh:
            self.expected[entries.origin] = known + len(fresh)
            self.waiting.entries.append(
                ReceivedEntries(sender, TallyEntries(entries.origin, known + 1, fresh))
            )
        return True

    def put_items(self, items: ReceivedItems) -> None:
        """Queue a chunk of a peer's state."""
        self.waiting.items.append(items)

    # ---- storing ----

    def begin(self, now: float) -> Batch:
        """Make the waiting batch the one in flight. It may be empty, to probe a failed disk."""
        batch, self.waiting = self.waiting, Batch()
        self.in_flight = batch
        self.token += 1
        self._started_at = now
        return batch

    def succeeded(self) -> Batch:
        """Record that the batch in flight is synced, and return it."""
        self._failed_at = None
        self._failed_adds = []
        return self._end()

    def failed(self, vector: VersionVector, now: float) -> Batch:
        """Record that the batch in flight could not be stored, and drop the waiting batch as well.

        Returns the batch in flight, with the own adds of both batches. `vector` is the version vector of what
        is on the disk.
        """
        self._failed_at = now
        lost = self._end()
        self._failed_adds += [own.add for own in lost.own.values()]
        lost.own |= self.waiting.own
        self.waiting = Batch()
        self.expected = dict(vector)
        return lost

    def _end(self) -> Batch:
        batch = self.in_flight
        assert batch is not None
        self.in_flight = None
        return batch

    def is_due(self, now: float) -> bool:
        """Whether to begin a batch: the waiting one is not empty, or it is time to probe a failed disk."""
        if self.in_flight is not None:
            return False
        if self._failed_at is not None:
            return now - self._failed_at >= DISK_PROBE_S
        return bool(self.waiting)

    # ---- the disk ----

    def disk_works(self, now: float) -> bool:
        """Whether the last batch was stored and the one in flight is not overdue."""
        if self._failed_at is not None:
            return False
        return self.in_flight is None or now - self._started_at < DISK_STALL_S


def batch_records(batch: Batch, own: TallyEntries) -> list[bytes]:
    """The records of a batch. `own` are the adds submitted at this node, with their numbers."""
    records = []
    if own.entries:
        records.append(entries_record(own))
    records += [entries_record(received.entries) for received in batch.entries]
    for received in batch.items:
        records += [encode_record(ItemsRecord(items)) for items in received.items]
        if received.next is None:
            records.append(encode_record(VectorRecord(received.transfer.vector)))
    if batch.recovered:
        records.append(encode_record(RecoveredRecord()))
    # The record of an empty batch changes nothing; it probes a failed disk.
    return records or [encode_record(VectorRecord({}))]
