"""Chain replication in the present view: entries go from head to tail; each member syncs, then forwards.

After van Renesse and Schneider, "Chain Replication for Supporting High Throughput and Availability" (OSDI
2004). A member forwards an entry only once it is on its own disk. So every entry of a member is also held by
all members before it (the update propagation invariant), and the entries of the tail are committed. The head
accepts the next change only once the previous one is committed, so that no two members differ by more than
one uncommitted entry.

The view names the members. Messages of another view are ignored, as the neighbours and the committed entries
may differ in it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.chain_position import ChainPosition, position_of
from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
from reedspoke.control_plane.replication.copy_state import is_complete_for
from reedspoke.control_plane.replication.entry import CommittedConfiguration, Entry
from reedspoke.control_plane.replication.messages import (
    AppendRequest,
    CommitNotification,
    InstallSnapshot,
    SuccessorStatus,
)
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.pending_transfers import PendingTransfers
from reedspoke.control_plane.replication.settings import HEARTBEAT_INTERVAL_S, ReplicaSettings
from reedspoke.control_plane.replication.successor_progress import SuccessorProgress
from reedspoke.control_plane.replication.view import View
from reedspoke.telemetry.invariants import Invariant, check


class Chain:
    """Owns this replica's position in the chain, and exchanges entries with its neighbours.

    `on_committed` is called with each newly committed entry, `on_idle` whenever the entry in flight has been
    committed or its store on the own disk has failed.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        outbox: Outbox,
        register: ConfigurationRegister,
        transfers: PendingTransfers,
        on_committed: Callable[[CommittedConfiguration], None],
        on_idle: Callable[[], None],
    ) -> None:
        self._own = settings.member
        self._minimum = settings.chain_minimum
        self._outbox = outbox
        self._register = register
        self._transfers = transfers
        self._on_committed = on_committed
        self._on_idle = on_idle
        self._position: ChainPosition | None = None
        self._successor = SuccessorProgress(outbox, register)
        self._status_sent_at = float("-inf")

    # ---- position in the view ----

    @property
    def in_chain(self) -> bool:
        """Whether this replica is a member of the present chain."""
        return self._position is not None

    @property
    def is_head(self) -> bool:
        """Whether this replica is the head, where changes enter the chain."""
        return self._position is not None and self._position.is_head

    @property
    def is_tail(self) -> bool:
        """Whether this replica is the tail, where entries are committed."""
        return self._position is not None and self._position.is_tail

    @property
    def can_replicate(self) -> bool:
        """Whether the chain has enough members to acknowledge changes, and the successor has reported.

        Before its report the successor may lack entries or be lost, and a change accepted now would stay in
        flight until the chain is repaired.
        """
        if self._position is None or len(self._position.view.chain) < self._minimum:
            return False
        return self.is_tail or self._successor.is_known

    @property
    def complete(self) -> bool:
        """Whether this replica holds all entries since it was appended to the chain.

        A member of the first view starts without any entries. A member that was appended later first has to
        store the snapshot that it gets from its predecessor.
        """
        if self._position is None or self._register.installing_snapshot:
            return False
        return is_complete_for(self._register.synced_since, self._position.own_link.joined_view)

    def enter_view(self, view: View) -> None:
        """Take the position of this replica in a newer view."""
        self._position = position_of(self._own, view)
        self._successor.enter_view()
        if self._position is None:
            # The disk works; the register remembers that the copy is incomplete.
            self._outbox.synced_state_lost = False
        self._send_status()
        self._forward_or_commit()

    # ---- events ----

    def tick(self) -> None:
        """Report to the predecessor periodically, and resend what the successor lacks."""
        if self._outbox.now - self._status_sent_at >= HEARTBEAT_INTERVAL_S:
            self._send_status()
            self._forward()

    def append(self, generation: int, document: bytes, on_stored: Callable[[bool], None]) -> None:
        """Append a change; only the head may do so.

        `on_stored` is called with whether the change is on the head's own disk. That does not commit it yet.
        """
        assert self._position is not None
        entry = Entry(self._register.sequence + 1, self._position.view.number, generation, document)

        def on_synced(synced: bool) -> None:
            on_stored(synced)
            self._entry_synced(synced)

        self._register.append(entry, on_synced)

    def receive(self, message: Struct) -> bool:
        """Handle a message; return False if it is not a chain message. Other views' messages are ignored."""
        match message:
            case AppendRequest():
                if self._of_this_view(message.view_number):
                    self._receive_entry(message.entry)
            case InstallSnapshot():
                if self._of_this_view(message.view_number):
                    self._receive_snapshot(message)
            case SuccessorStatus():
                if self._of_this_view(message.view_number):
                    self._receive_status(message)
            case CommitNotification():
                self.record_committed(message.view_number, message.sequence)
            case _:
                return False
        return True

    def record_committed(self, view: int, sequence: int) -> None:
        """Record that the tail of this view has committed all entries up to `sequence`."""
        if not self._of_this_view(view) or not self.complete:
            return
        self._detect_lost_state(sequence)
        if self._register.entry is not None and self._register.sequence <= sequence:
            self._commit()

    # ---- as successor ----

    def _receive_entry(self, entry: Entry) -> None:
        register = self._register
        if self.is_head or not self.complete or self._outbox.disk_failed:
            return
        if register.pending_entry is not None:
            return
        if entry.sequence == register.sequence + 1:
            # The head accepts a change only once all earlier entries are committed, so the entry before this
            # one is committed even if the notification of it was lost.
            self._commit()
            register.append(entry, self._entry_synced)
        elif entry == register.entry:
            self._send_status()
        else:
            self._outbox.log(
                logging.ERROR, "append out of sequence", held=register.sequence, got=entry.sequence
            )

    def _receive_snapshot(self, message: InstallSnapshot) -> None:
        position = self._position
        if position is None or position.own_link.joined_view != message.joined_view or position.is_head:
            return
        if self._transfers.refuses(message.joined_view):
            return
        if self.complete or self._register.installing_snapshot or self._outbox.disk_failed:
            self._send_status()
            return
        self._register.install_snapshot(
            message.entry, message.history, message.joined_view, self._snapshot_synced
        )

    def _snapshot_synced(self, synced: bool) -> None:
        if synced:
            self._transfers.completed()
        self._entry_synced(synced)

    def _entry_synced(self, synced: bool) -> None:
        if synced:
            self._send_status()
            self._forward_or_commit()
        else:
            self._on_idle()

    def _send_status(self) -> None:
        """Report to the predecessor; this also acknowledges the entries that it has sent."""
        self._status_sent_at = self._outbox.now
        position = self._position
        if position is None or position.predecessor is None:
            return
        if self._transfers.refuses(position.own_link.joined_view):
            return  # The predecessor would send a snapshot in reply.
        self._check_synced()
        status = SuccessorStatus(
            position.view.number,
            self._own.folder_id,
            position.own_link.joined_view,
            self.complete,
            self._register.sequence,
        )
        self._outbox.send(position.predecessor.address, status)

    # ---- as predecessor ----

    def _receive_status(self, status: SuccessorStatus) -> None:
        successor = self._position.successor if self._position else None
        if successor is None or successor.member.folder_id != status.folder_id:
            return
        if successor.joined_view != status.joined_view:
            return  # The successor sent it before it was appended again, so it is outdated.
        self._successor.record_status(status)
        if status.complete and self.complete:
            self._detect_lost_state(status.sequence)
        self._forward()

    def _forward_or_commit(self) -> None:
        if self._may_commit():
            self._commit()
            self._notify_commit()
        else:
            self._forward()

    def _forward(self) -> None:
        successor = self._position.successor if self._position else None
        if self._position is None or successor is None or not self.complete:
            return
        self._successor.send_missing(self._position.view.number, successor)

    # ---- commits ----

    def _may_commit(self) -> bool:
        """Whether this replica is the tail, lacks no entries, and the chain has enough members."""
        return self.is_tail and self.complete and self.can_replicate

    def _check_synced(self) -> None:
        """Check that the entries that this replica reports or commits are on its disk."""
        claimed, synced = self._register.sequence if self.complete else 0, self._outbox.synced_sequence
        check(Invariant.ACKNOWLEDGED_IS_SYNCED, claimed <= synced, claimed=claimed, synced=synced)

    def _commit(self) -> None:
        self._check_synced()
        committed = self._register.commit()
        if committed is not None:
            self._on_committed(committed)
        self._on_idle()

    def _notify_commit(self) -> None:
        if self._position is None or self._register.committed_sequence == 0:
            return
        view = self._position.view
        notification = CommitNotification(view.number, self._register.committed_sequence)
        for link in view.chain[:-1]:
            self._outbox.send(link.member.address, notification)

    def _detect_lost_state(self, sequence: int) -> None:
        """Detect that the disk has lost synced entries.

        Every entry that is committed, or held by the successor, was synced here before. A member that lacks
        one counts as one with a failed disk: a repair removes it from the chain, and it is appended again
        with a snapshot. Otherwise it would acknowledge new entries without the earlier ones.
        """
        if sequence <= self._register.sequence:
            return
        self._outbox.synced_state_lost = True
        self._register.record_lost_copy()
        self._outbox.log(
            logging.ERROR,
            "synced entries lost",
            code=int(ErrorCode.STORAGE_CORRUPT),
            held=self._register.sequence,
            known=sequence,
        )

    def _of_this_view(self, number: int) -> bool:
        return self._position is not None and self._position.view.number == number
