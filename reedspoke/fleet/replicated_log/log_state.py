"""One replica's copy of the log: the snapshot, the entries after it, the term and the commit index.

`LogState` owns this state and records each change that has to be on disk before a message that depends on it
may be sent (`unsaved_changes`). It performs no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from msgspec import Struct

from reedspoke.fleet.replicated_log.messages import Append
from reedspoke.fleet.replicated_log.state_machine import StateMachine

COMPACTION_THRESHOLD = 128  # number of committed entries after the snapshot that triggers a new one
UNKNOWN_TERM = -1


class ChangeKind(Enum):
    """Kinds of changes to the log. The values are stored on disk."""

    TERM = "promise"
    APPEND = "append"
    TRUNCATE = "cut"
    REWRITE = "whole"


@dataclass(slots=True, frozen=True)
class LogChange:
    """A change that has to be stored.

    `number` is the term (TERM, APPEND) or the last index that is kept (TRUNCATE).
    """

    kind: ChangeKind
    number: int = 0
    data: bytes = b""


class LogEntry(Struct, frozen=True, array_like=True):
    """A command (empty in a new leader's first entry) and the term of the leader that appended it."""

    term: int
    data: bytes


@dataclass(slots=True, frozen=True)
class PersistentState:
    """The state that must survive a restart: everything that a replica has acknowledged."""

    snapshot_index: int
    snapshot_term: int
    snapshot: bytes
    current_term: int
    entries: tuple[LogEntry, ...]


class LogState:
    """The log of one replica. Indexes start at 1; `snapshot_index` is the last one in the snapshot.

    `recovering` is set while a replica that has lost its state must not count for a quorum.
    """

    def __init__(self, state_machine: StateMachine) -> None:
        self.state_machine = state_machine
        self.recovering = True
        self.current_term = 0
        self.snapshot_index = 0
        self.snapshot_term = 0
        self.snapshot = state_machine.snapshot()
        self.entries: list[LogEntry] = []
        self.commit_index = 0
        self.unsaved_changes: list[LogChange] = []

    @property
    def last_index(self) -> int:
        """Index of the last entry, committed or not."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.term_at(self.last_index)

    def term_at(self, index: int) -> int:
        """Return the term of that entry, or UNKNOWN_TERM after the end of the log or inside the snapshot."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_index:
            return self.entry_at(index).term
        return UNKNOWN_TERM

    def entry_at(self, index: int) -> LogEntry:
        """Return the entry at an index from `snapshot_index` + 1 to `last_index`."""
        return self.entries[index - self.snapshot_index - 1]

    def append_message(self, term: int, index: int) -> Append:
        """Return the message with that entry, for a follower or for a leader that fetches the log."""
        entry = self.entry_at(index)
        return Append(term, index, self.term_at(index - 1), entry.term, self.commit_index, entry.data)

    def commit_message(self, term: int) -> Append:
        """Return a message without an entry, which reports the end of the log and the commit index."""
        return Append(term, self.last_index + 1, self.last_term, 0, self.commit_index, b"")

    def adopt_term(self, term: int) -> None:
        """Raise the current term; lower terms are rejected from now on."""
        if term > self.current_term:
            self.current_term = term
            self._record_change(ChangeKind.TERM, term)

    def append(self, term: int, data: bytes) -> None:
        """Append an entry."""
        self.entries.append(LogEntry(term, data))
        self._record_change(ChangeKind.APPEND, term, data)

    def truncate_after(self, index: int) -> None:
        """Remove the entries after that index, which are not committed."""
        if index < self.last_index:
            self.entries = self.entries[: index - self.snapshot_index]
            self._record_change(ChangeKind.TRUNCATE, index)

    def commit_through(self, index: int) -> None:
        """Apply the existing entries up to that index, and compact the log if it is too long."""
        for committed in range(self.commit_index + 1, min(index, self.last_index) + 1):
            self.commit_index = committed
            if command := self.entry_at(committed).data:
                self.state_machine.apply(committed, command)
        if self.commit_index - self.snapshot_index > COMPACTION_THRESHOLD:
            self._compact()

    def _compact(self) -> None:
        """Replace the committed entries by a snapshot of the state machine, which is at the commit index."""
        term = self.term_at(self.commit_index)
        self.entries = self.entries[self.commit_index - self.snapshot_index :]
        self.snapshot_index = self.commit_index
        self.snapshot_term = term
        self.snapshot = self.state_machine.snapshot()
        self._record_change(ChangeKind.REWRITE)

    def install_snapshot(self, index: int, term: int, snapshot: bytes) -> None:
        """Replace all entries up to that index by a snapshot from another replica."""
        self.state_machine.restore(snapshot)
        # Later entries are kept if they continue the same log: this replica may have acknowledged them.
        continues = self.term_at(index) == term
        self.entries = self.entries[index - self.snapshot_index :] if continues else []
        self.snapshot_index, self.snapshot_term, self.snapshot = index, term, snapshot
        self.commit_index = index
        self._record_change(ChangeKind.REWRITE)

    def finish_recovery(self) -> None:
        """End recovery: the replica counts for quorums from now on."""
        if self.recovering:
            self.recovering = False
            self._record_change(ChangeKind.REWRITE)

    def persistent_state(self) -> PersistentState:
        """Return the state to store, as `restore` accepts it."""
        return PersistentState(
            self.snapshot_index, self.snapshot_term, self.snapshot, self.current_term, tuple(self.entries)
        )

    def restore(self, state: PersistentState) -> None:
        """Load the stored state. It has everything that was acknowledged, so no recovery is necessary."""
        self.state_machine.restore(state.snapshot)
        self.snapshot_index = self.commit_index = state.snapshot_index
        self.snapshot_term, self.snapshot = state.snapshot_term, state.snapshot
        self.current_term = state.current_term
        self.entries = list(state.entries)
        self.recovering = False

    def take_unsaved_changes(self) -> list[LogChange]:
        """Remove and return the changes that have to be stored."""
        changes, self.unsaved_changes = self.unsaved_changes, []
        return changes

    def _record_change(self, kind: ChangeKind, number: int = 0, data: bytes = b"") -> None:
        """Record a change, except during recovery: `finish_recovery` stores the complete state."""
        if not self.recovering:
            self.unsaved_changes.append(LogChange(kind, number, data))
