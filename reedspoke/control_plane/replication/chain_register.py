"""The register that the chain replicates: the newest entry, and the history of accepted changes."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.change_history import Acknowledged, ChangeHistory
from reedspoke.control_plane.replication.events import Committed
from reedspoke.control_plane.replication.messages import Entry
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.storage.records import (
    EntryRecord,
    HistoryRecord,
    RestoredState,
    SyncedRecord,
    acknowledged,
)

OnSynced = Callable[[bool], None]


class Register:
    """Holds the newest synced entry, the one that is being stored, and how far entries are committed."""

    def __init__(self, outbox: Outbox, restored: RestoredState) -> None:
        self._outbox = outbox
        self.entry = restored.entry
        self.storing: Entry | None = None
        self.committed: Committed | None = None
        self.adopting = False
        self.synced_since = restored.synced_since
        self._synced_at: float | None = None  # of `entry`, where the one before it is known to be committed
        self._history = restored.history
        outbox.synced_sequence = self.sequence

    @property
    def sequence(self) -> int:
        """Sequence of the newest synced entry, 0 before the first."""
        return self.entry.sequence if self.entry else 0

    @property
    def generation(self) -> int:
        """Generation of the newest synced entry, 0 before the first."""
        return self.entry.generation if self.entry else 0

    @property
    def committed_sequence(self) -> int:
        """Sequence of the newest entry known to be committed."""
        return self.committed.sequence if self.committed else 0

    @property
    def settled(self) -> bool:
        """Whether nothing is in flight."""
        return self.storing is None and not self.adopting and self.committed_sequence == self.sequence

    def committed_until(self, now: float) -> float | None:
        """`committed` is the newest, unless something has been committed after this time.

        An entry is committed only after it has been synced here. None where entries may have been committed
        of which this replica has not been told.
        """
        if self.adopting:
            return None
        return now if self.committed_sequence == self.sequence else self._synced_at

    @property
    def packed_history(self) -> bytes:
        """The accepted changes, as `ChangeHistory` packs them."""
        return self._history.packed()

    def knows(self, change: Acknowledged) -> bool:
        """Whether this change has been accepted; it is committed if the register is settled."""
        return change in self._history

    def may_have_forgotten(self, change: Acknowledged) -> bool:
        """Whether this change may have been accepted before the oldest one that the history still holds.

        Each accepted change has the next sequence, so that a history shorter than the sequence has lost some.
        """
        return self.sequence > len(self._history) and change.generation < self._history.oldest_generation

    def append(self, entry: Entry, on_synced: OnSynced) -> None:
        """Store the next entry; `on_synced` tells whether it is on disk."""
        self.storing = entry

        def on_end(error: ErrorCode | None) -> None:
            if self.storing is not entry:
                return  # a snapshot has replaced it meanwhile
            self.storing = None
            if error is None:
                self.entry = entry
                self._synced_at = self._outbox.now
                self._history.add(acknowledged(entry))
            on_synced(error is None)

        self._outbox.store([EntryRecord(entry)], on_end)

    def adopt(self, entry: Entry | None, packed_history: bytes, joined: int, on_synced: OnSynced) -> None:
        """Take over a predecessor's state in place of the own."""
        self.entry = entry
        self._synced_at = None
        self.storing = None
        self._history = ChangeHistory(packed_history)
        self.synced_since = joined
        self.adopting = True

        def on_end(error: ErrorCode | None) -> None:
            self.adopting = False
            if error is not None:
                self.synced_since = 0
            on_synced(error is None)

        self._outbox.rewrite(on_end, self.sequence)

    def commit(self) -> Committed | None:
        """The newest synced entry is committed; it is returned where this is news."""
        if self.entry is None or self.entry.sequence <= self.committed_sequence:
            return None
        self.committed = committed_of(self.entry)
        return self.committed

    def records(self) -> list[Struct]:
        """What the log has to hold."""
        records: list[Struct] = [HistoryRecord(self.packed_history)]
        records += [EntryRecord(entry) for entry in (self.entry, self.storing) if entry is not None]
        records.append(SyncedRecord(self.synced_since))
        return records


def committed_of(entry: Entry) -> Committed:
    """An entry as it is told once it is committed."""
    return Committed(entry.sequence, entry.generation, entry.document, entry.view)
