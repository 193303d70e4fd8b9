"""The register that the chain replicates: the newest entry, and the history of accepted changes."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.change_history import ChangeHistory
from reedspoke.control_plane.replication.copy_state import LOST_COPY, NO_SNAPSHOT
from reedspoke.control_plane.replication.entry import (
    ChangeId,
    CommittedConfiguration,
    Entry,
    change_id_of,
    committed_configuration,
)
from reedspoke.control_plane.replication.log_records import (
    EntryRecord,
    HistoryRecord,
    RestoredState,
    SyncedRecord,
)
from reedspoke.control_plane.replication.outbox import Outbox

OnSynced = Callable[[bool], None]


class ConfigurationRegister:
    """Owns the newest synced entry, the entry being stored, and the newest committed configuration."""

    def __init__(self, outbox: Outbox, restored: RestoredState) -> None:
        self._outbox = outbox
        self.entry = restored.entry
        self.pending_entry: Entry | None = None
        self.committed: CommittedConfiguration | None = None
        self.installing_snapshot = False
        self.synced_since = restored.synced_since
        self._synced_before = NO_SNAPSHOT  # what `synced_since` becomes if the snapshot cannot be stored
        # When `entry` was synced; None if the entry before it is not known to be committed.
        self._synced_at: float | None = None
        self._history = restored.history
        outbox.synced_sequence = self.sequence

    @property
    def sequence(self) -> int:
        """Sequence of the newest synced entry; 0 before the first."""
        return self.entry.sequence if self.entry else 0

    @property
    def generation(self) -> int:
        """Generation of the newest synced entry; 0 before the first."""
        return self.entry.generation if self.entry else 0

    @property
    def committed_sequence(self) -> int:
        """Sequence of the newest entry known to be committed; 0 before the first."""
        return self.committed.sequence if self.committed else 0

    @property
    def nothing_in_flight(self) -> bool:
        """Whether the newest entry is synced and committed, and no snapshot is being stored."""
        in_flight = self.pending_entry is not None or self.installing_snapshot
        return not in_flight and self.committed_sequence == self.sequence

    @property
    def reported_synced_since(self) -> int:
        """What other replicas are told as `synced_since`.

        While a snapshot is being stored, the log still holds the former state. It must not count as complete,
        as a repair could otherwise rely on a copy that a crash would lose.
        """
        return self._synced_before if self.installing_snapshot else self.synced_since

    def committed_until(self, now: float) -> float | None:
        """A time up to which nothing newer than `committed` has been committed.

        An entry is committed only after it has been synced here. None if entries may have been committed
        without a notification to this replica.
        """
        if self.installing_snapshot:
            return None
        return now if self.committed_sequence == self.sequence else self._synced_at

    @property
    def packed_history(self) -> bytes:
        """The accepted changes in the packed form of `ChangeHistory`."""
        return self._history.packed()

    def has_accepted(self, change: ChangeId) -> bool:
        """Whether this change has been accepted. If nothing is in flight, it is also committed."""
        return change in self._history

    def may_have_evicted(self, change: ChangeId) -> bool:
        """Whether this change may have been accepted and evicted from the history.

        Sequences have no gaps, so a history with fewer changes than the sequence has evicted some.
        """
        return self.sequence > len(self._history) and change.generation < self._history.oldest_generation

    def append(self, entry: Entry, on_synced: OnSynced) -> None:
        """Store the next entry; `on_synced` is called with whether it is on disk."""
        self.pending_entry = entry

        def on_end(error: ErrorCode | None) -> None:
            if self.pending_entry is not entry:
                return  # replaced by a snapshot during the store
            self.pending_entry = None
            if error is None:
                self.entry = entry
                self._synced_at = self._outbox.now
                self._history.add(change_id_of(entry))
            on_synced(error is None)

        self._outbox.store([EntryRecord(entry)], on_end)

    def install_snapshot(
        self, entry: Entry | None, packed_history: bytes, joined_view: int, on_synced: OnSynced
    ) -> None:
        """Replace the state by a snapshot; `on_synced` is called with whether it is on disk."""
        self._synced_before = min(self.synced_since, NO_SNAPSHOT)
        self.entry = entry
        self._synced_at = None
        self.pending_entry = None
        self._history = ChangeHistory(packed_history)
        self.synced_since = joined_view
        self.installing_snapshot = True

        def on_end(error: ErrorCode | None) -> None:
            self.installing_snapshot = False
            if error is not None:
                self.synced_since = self._synced_before
            on_synced(error is None)

        self._outbox.rewrite(on_end, self.sequence)

    def record_lost_copy(self) -> None:
        """Record that synced entries are lost: the copy is complete for no link until the next snapshot."""
        self.synced_since = LOST_COPY
        self._outbox.store([SyncedRecord(LOST_COPY)], _ignore)

    def commit(self) -> CommittedConfiguration | None:
        """Commit the newest synced entry; return its configuration if it was not known to be committed."""
        if self.entry is None or self.entry.sequence <= self.committed_sequence:
            return None
        self.committed = committed_configuration(self.entry)
        return self.committed

    def records(self) -> list[Struct]:
        """Records of the register's state, for a rewritten log."""
        records: list[Struct] = [HistoryRecord(self.packed_history)]
        records += [EntryRecord(entry) for entry in (self.entry, self.pending_entry) if entry is not None]
        records.append(SyncedRecord(self.synced_since))
        return records


def _ignore(error: ErrorCode | None) -> None:
    """Ignore the result of a store: a failed one is made good by the rewrite that follows it."""
