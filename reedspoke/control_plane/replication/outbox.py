"""Effects that a replica collects while it handles one event, and the stores whose end is awaited."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import Effect, LogEvent, SendMessage, StoreRecords
from reedspoke.control_plane.replication.events import StoreCompleted
from reedspoke.control_plane.replication.settings import (
    DISK_BYTES_PER_S,
    DISK_PROBE_S,
    DISK_STALL_S,
    REWRITE_BYTES,
)
from reedspoke.control_plane.storage.log_format import COPIES, encoded_size
from reedspoke.control_plane.storage.records import EntryRecord, ProbeRecord, encode_record

StoreEnd = Callable[[ErrorCode | None], None]
SnapshotRecords = Callable[[], tuple[bytes, ...]]


class PendingStore(Struct):
    """A store that has not ended."""

    due: float  # the disk is in trouble where it has not ended by then
    size: int
    replace: bool
    on_end: StoreEnd
    newest: int  # sequence of the newest entry in it, 0: none


class Outbox:
    """Collects effects, numbers stores, and knows the state of the disk.

    After a failed store the disk counts as bad until a small probe and then a rewriting of the whole log,
    which also removes whatever the failed store left, have succeeded.
    """

    def __init__(self, address: str, now: float, restored_size: int) -> None:
        self.now = now
        self.disk_failed = False
        self.synced_state_lost = False
        self.snapshot_records: SnapshotRecords = tuple
        self.synced_sequence = 0  # of the newest entry whose store has ended well, of all since the start
        self._address = address
        self._effects: list[Effect] = []
        self._to_self: list[Struct] = []
        self._pending: dict[int, PendingStore] = {}
        self._next_token = 1
        self._log_size = COPIES * restored_size
        self._live_size = 0  # not known before the first rewriting
        self._probe_after = 0.0

    @property
    def disk_ok(self) -> bool:
        """Whether the disk answers in time, and has kept what it had synced."""
        if self.disk_failed or self.synced_state_lost:
            return False
        return all(self.now <= store.due for store in self._pending.values())

    def take(self) -> list[Effect]:
        """The effects collected so far."""
        effects, self._effects = self._effects, []
        return effects

    def take_to_self(self) -> list[Struct]:
        """Messages of this replica to itself, which never leave it."""
        messages, self._to_self = self._to_self, []
        return messages

    def emit(self, effect: Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def send(self, address: str, message: Struct) -> None:
        """Send to a replica, which may be this one."""
        if address == self._address:
            self._to_self.append(message)
        else:
            self._effects.append(SendMessage(address, message))

    def log(self, level: int, text: str, **fields: object) -> None:
        """Tell the operator."""
        self._effects.append(LogEvent(level, text, fields))

    def store(self, records: Sequence[Struct], on_end: StoreEnd) -> None:
        """Append records; `on_end` is called with the result."""
        newest = max(
            (record.entry.sequence for record in records if isinstance(record, EntryRecord)), default=0
        )
        self._store(tuple(map(encode_record, records)), on_end, newest, replace=False)

    def rewrite(self, on_end: StoreEnd, newest: int = 0) -> None:
        """Replace the log by the snapshot of the present state.

        `newest` is the sequence of an entry in it that has not been stored before.
        """
        self._store(self.snapshot_records(), on_end, newest, replace=True)

    def store_completed(self, event: StoreCompleted) -> None:
        """A store has ended."""
        pending = self._pending.pop(event.token, None)
        if pending is None:
            return
        if event.error is None:
            self.synced_sequence = max(self.synced_sequence, pending.newest)
            self._count_bytes(pending)
        else:
            self._record_failure(event.error)
        pending.on_end(event.error)
        self._rewrite_when_long()

    def tick(self) -> None:
        """Try a failed disk again."""
        if not self.disk_failed or self._pending or self.now < self._probe_after:
            return
        self._probe_after = self.now + DISK_PROBE_S
        self.store([ProbeRecord()], self._probe_ended)

    def _store(self, records: tuple[bytes, ...], on_end: StoreEnd, newest: int, replace: bool) -> None:
        token = self._next_token
        self._next_token += 1
        size = encoded_size(records)
        waiting = size + sum(store.size for store in self._pending.values())
        due = self.now + DISK_STALL_S + waiting / DISK_BYTES_PER_S
        self._pending[token] = PendingStore(due, size, replace, on_end, newest)
        self._effects.append(StoreRecords(token, records, replace))

    def _count_bytes(self, pending: PendingStore) -> None:
        if pending.replace:
            self._log_size = self._live_size = pending.size
        else:
            self._log_size += pending.size

    def _record_failure(self, error: ErrorCode) -> None:
        if not self.disk_failed:
            self.log(logging.ERROR, "disk refuses a write", code=int(error))
        self.disk_failed = True
        self._probe_after = self.now + DISK_PROBE_S

    def _probe_ended(self, error: ErrorCode | None) -> None:
        if error is None:
            self.rewrite(self._rewrite_ended)

    def _rewrite_ended(self, error: ErrorCode | None) -> None:
        if error is None:
            self.disk_failed = False
            self.log(logging.INFO, "disk works again")

    def _rewrite_when_long(self) -> None:
        if self.disk_failed or any(store.replace for store in self._pending.values()):
            return
        if self._log_size - self._live_size > REWRITE_BYTES:
            self.rewrite(_ignore)


def _ignore(error: ErrorCode | None) -> None:
    """The rewriting of a log that has grown long changes nothing, whether it succeeds or not."""
