"""Invariants of one incarnation of a replica, checked after each event that it has handled."""

from __future__ import annotations

from reedspoke.control_plane.replication.entry import CommittedConfiguration, Entry
from reedspoke.control_plane.replication.view import View
from reedspoke.telemetry.invariants import Invariant, check


class ReplicaInvariants:
    """Owns the last observed view, committed sequence and entry."""

    def __init__(self) -> None:
        self._view_number = 0
        self._committed_sequence = 0
        self._compared: Entry | None = None

    def check_after_event(
        self, view: View | None, committed: CommittedConfiguration | None, entry: Entry | None
    ) -> None:
        """Check the present view, the committed configuration and the newest synced entry."""
        self._check_view(0 if view is None else view.number)
        self._check_sequence(0 if committed is None else committed.sequence)
        if entry is not None and committed is not None and entry is not self._compared:
            self._check_same(entry, committed)

    def _check_view(self, number: int) -> None:
        if number != self._view_number:
            check(Invariant.VIEW_RISES, number > self._view_number, before=self._view_number, now=number)
            self._view_number = number

    def _check_sequence(self, sequence: int) -> None:
        if sequence != self._committed_sequence:
            before = self._committed_sequence
            check(Invariant.SEQUENCE_RISES, sequence > before, before=before, now=sequence)
            self._committed_sequence = sequence

    def _check_same(self, entry: Entry, committed: CommittedConfiguration) -> None:
        self._compared = entry
        if entry.sequence == committed.sequence:
            same = entry.generation == committed.generation and entry.document == committed.document
            check(
                Invariant.ONE_CHANGE_A_SEQUENCE,
                same,
                sequence=entry.sequence,
                held=entry.generation,
                committed=committed.generation,
            )
