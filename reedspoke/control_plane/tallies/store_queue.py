"""What waits to be stored, and what is being stored: one batch at a time, so that adds share a sync."""

from __future__ import annotations

from msgspec import Struct, field

from reedspoke.control_plane.tallies.catch_up import StateTransfer
from reedspoke.control_plane.tallies.messages import (
    TallyAdd,
    TallyCursor,
    TallyEntries,
    TallyItems,
    Vector,
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
    """An add that was made here, and the calls that wait for it."""

    add: TallyAdd
    call_ids: list[int]


class ReceivedEntries(Struct, frozen=True):
    """Adds that a peer has sent."""

    sender: str
    entries: TallyEntries


class ReceivedItems(Struct, frozen=True):
    """A chunk of a peer's state; with `next` None it is the last, and the transfer's vector is adopted."""

    transfer: StateTransfer
    items: tuple[TallyItems, ...]
    next: TallyCursor | None


class Batch(Struct):
    """What is stored by one append."""

    own: dict[AddKey, OwnAdd] = field(default_factory=dict)
    entries: list[ReceivedEntries] = field(default_factory=list)
    items: list[ReceivedItems] = field(default_factory=list)
    recovered: bool = False  # this folder has recovered

    def __bool__(self) -> bool:
        return bool(self.own or self.entries or self.items or self.recovered)


class StoreQueue:
    """Owns the batch that waits and the one in flight, and whether the disk works.

    `expected` is the version vector that this node will have once everything received is stored.
    """

    def __init__(self, vector: Vector) -> None:
        self.waiting = Batch()
        self.in_flight: Batch | None = None
        self.expected = dict(vector)
        self.token = 0
        self._started_at = 0.0
        self._failed_at: float | None = None

    # ---- filling ----

    def pending_add(self, key: AddKey) -> OwnAdd | None:
        """An add with this id that was made here and is not synced yet."""
        in_flight = None if self.in_flight is None else self.in_flight.own.get(key)
        return in_flight or self.waiting.own.get(key)

    def put_own(self, key: AddKey, call_id: int, add: TallyAdd) -> None:
        """Queue an add of this node."""
        self.waiting.own[key] = OwnAdd(add, [call_id])

    def put_entries(self, sender: str, entries: TallyEntries) -> bool:
        """Queue what is new of a peer's adds. False where they follow a gap."""
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
        """Take everything that waits as the batch in flight; it may be empty, to try the disk."""
        batch, self.waiting = self.waiting, Batch()
        self.in_flight = batch
        self.token += 1
        self._started_at = now
        return batch

    def succeeded(self) -> Batch:
        """The batch in flight is synced."""
        self._failed_at = None
        return self._end()

    def failed(self, vector: Vector, now: float) -> Batch:
        """The disk has refused the batch in flight; what waited for the disk is not stored either.

        Returns all of it. `vector` is what is on the disk.
        """
        self._failed_at = now
        lost = self._end()
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
        """Whether to begin a batch: something waits, or a failed disk is to be tried again."""
        if self.in_flight is not None:
            return False
        if self._failed_at is not None:
            return now - self._failed_at >= DISK_PROBE_S
        return bool(self.waiting)

    # ---- the disk ----

    def disk_works(self, now: float) -> bool:
        """Whether the last batch was stored, and the one in flight is not overdue."""
        if self._failed_at is not None:
            return False
        return self.in_flight is None or now - self._started_at < DISK_STALL_S


def batch_records(batch: Batch, own: TallyEntries) -> list[bytes]:
    """The records of a batch; `own` are the adds of this node with their numbers."""
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
    # An empty batch tries a disk that has failed.
    return records or [encode_record(VectorRecord({}))]
