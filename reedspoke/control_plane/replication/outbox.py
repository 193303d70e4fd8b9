"""Stores in progress, and the state of the disk as derived from their results."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effect_buffer import EffectBuffer
from reedspoke.control_plane.replication.effects import StoreRecords
from reedspoke.control_plane.replication.events import StoreCompleted
from reedspoke.control_plane.replication.log_records import EntryRecord, ProbeRecord, encode_record
from reedspoke.control_plane.replication.settings import (
    DISK_BYTES_PER_S,
    DISK_PROBE_INTERVAL_S,
    DISK_STALL_TIMEOUT_S,
    LOG_REWRITE_THRESHOLD_BYTES,
)
from reedspoke.control_plane.storage.log_format import BATCH_COPIES, encoded_size

StoreEnd = Callable[[ErrorCode | None], None]
SnapshotRecords = Callable[[], tuple[bytes, ...]]


class PendingStore(Struct):
    """A store in progress."""

    deadline: float  # a store in progress after this time means that the disk is failing
    size: int
    replace: bool
    on_end: StoreEnd
    newest_sequence: int  # the newest sequence among the stored entries; 0 if there is none


class Outbox(EffectBuffer):
    """Owns the effects, the stores in progress, and the state of the disk.

    After a failed store, the disk counts as failed until a small probe and then a rewrite of the whole log
    have succeeded. The rewrite also removes what the failed store may have written.
    """

    def __init__(self, address: str, now: float, restored_size: int) -> None:
        super().__init__(address, now)
        self.disk_failed = False
        self.synced_state_lost = False
        self.snapshot_records: SnapshotRecords = tuple
        self.synced_sequence = 0  # sequence of the newest entry that was restored or stored successfully
        self._pending: dict[int, PendingStore] = {}
        self._next_token = 1
        self._log_size = BATCH_COPIES * restored_size
        self._live_size = 0  # unknown before the first rewrite
        self._probe_after = 0.0

    @property
    def disk_ok(self) -> bool:
        """Whether all stores end in time, and no synced entries have been lost."""
        if self.disk_failed or self.synced_state_lost:
            return False
        return all(self.now <= store.deadline for store in self._pending.values())

    def store(self, records: Sequence[Struct], on_end: StoreEnd) -> None:
        """Append records to the log; `on_end` is called with the result."""
        newest_sequence = max(
            (record.entry.sequence for record in records if isinstance(record, EntryRecord)), default=0
        )
        self._store(tuple(map(encode_record, records)), on_end, newest_sequence, replace=False)

    def rewrite(self, on_end: StoreEnd, newest_sequence: int = 0) -> None:
        """Replace the log by a snapshot of the present state.

        `newest_sequence` is that of an entry in it that has not been stored before; 0 if there is none.
        """
        self._store(self.snapshot_records(), on_end, newest_sequence, replace=True)

    def store_completed(self, event: StoreCompleted) -> None:
        """Record the result of a store, and call its `on_end`."""
        pending = self._pending.pop(event.token, None)
        if pending is None:
            return
        if event.error is None:
            self.synced_sequence = max(self.synced_sequence, pending.newest_sequence)
            self._count_bytes(pending)
        else:
            self._record_failure(event.error)
        pending.on_end(event.error)
        self._rewrite_when_long()

    def tick(self) -> None:
        """Probe a failed disk every `DISK_PROBE_INTERVAL_S`."""
        if not self.disk_failed or self._pending or self.now < self._probe_after:
            return
        self._probe_after = self.now + DISK_PROBE_INTERVAL_S
        self.store([ProbeRecord()], self._probe_ended)

    def _store(
        self, records: tuple[bytes, ...], on_end: StoreEnd, newest_sequence: int, replace: bool
    ) -> None:
        token = self._next_token
        self._next_token += 1
        size = encoded_size(records)
        unwritten = size + sum(store.size for store in self._pending.values())
        deadline = self.now + DISK_STALL_TIMEOUT_S + unwritten / DISK_BYTES_PER_S
        self._pending[token] = PendingStore(deadline, size, replace, on_end, newest_sequence)
        self.emit(StoreRecords(token, records, replace))

    def _count_bytes(self, pending: PendingStore) -> None:
        if pending.replace:
            self._log_size = self._live_size = pending.size
        else:
            self._log_size += pending.size

    def _record_failure(self, error: ErrorCode) -> None:
        if not self.disk_failed:
            self.log(logging.ERROR, "log write failed", code=int(error))
        self.disk_failed = True
        self._probe_after = self.now + DISK_PROBE_INTERVAL_S

    def _probe_ended(self, error: ErrorCode | None) -> None:
        if error is None:
            self.rewrite(self._rewrite_ended)

    def _rewrite_ended(self, error: ErrorCode | None) -> None:
        if error is None:
            self.disk_failed = False
            self.log(logging.INFO, "disk recovered")

    def _rewrite_when_long(self) -> None:
        if self.disk_failed or any(store.replace for store in self._pending.values()):
            return
        if self._log_size - self._live_size > LOG_REWRITE_THRESHOLD_BYTES:
            self.rewrite(_ignore)


def _ignore(error: ErrorCode | None) -> None:
    """Ignore the result of a rewrite that only shortens the log."""
