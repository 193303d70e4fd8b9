"""Chain replication in the present view: entries go from head to tail, each member syncs, then passes on."""

from __future__ import annotations

import logging
from collections.abc import Callable

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
from reedspoke.control_plane.replication.entry import CommittedConfiguration, Entry
from reedspoke.control_plane.replication.messages import (
    AppendRequest,
    CommitNotification,
    InstallSnapshot,
    SuccessorStatus,
)
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import (
    HEARTBEAT_INTERVAL_S,
    MAX_RESEND_INTERVAL_S,
    RESEND_BYTES_PER_S,
    RESEND_GROWTH,
    RESEND_INTERVAL_S,
    ReplicaSettings,
)
from reedspoke.control_plane.replication.view import ChainLink, Member, View
from reedspoke.control_plane.views.first_view import FIRST_VIEW_NUMBER
from reedspoke.telemetry.invariants import Invariant, check


class ForwardAttempt(Struct, frozen=True):
    """What the successor has been sent last, and how often."""

    sequence: int
    at: float
    times: int


class Chain:
    """This replica's place in the chain, and what it tells its neighbours.

    `on_committed` is called with each newer committed entry, `on_settled` whenever nothing is in flight any
    more or a store has failed.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        outbox: Outbox,
        register: ConfigurationRegister,
        on_committed: Callable[[CommittedConfiguration], None],
        on_settled: Callable[[], None],
    ) -> None:
        self._own = settings.member
        self._minimum = settings.chain_minimum
        self._outbox = outbox
        self._register = register
        self._on_committed = on_committed
        self._on_settled = on_settled
        self._view: View | None = None
        self._position: int | None = None
        self._passed_on: ForwardAttempt | None = None
        self._successor: SuccessorStatus | None = None
        self._state_told_at = float("-inf")

    # ---- place in the view ----

    @property
    def in_chain(self) -> bool:
        """Whether this replica is a member of the present chain."""
        return self._position is not None

    @property
    def is_head(self) -> bool:
        """Whether changes enter here."""
        return self._position == 0

    @property
    def is_tail(self) -> bool:
        """Whether entries are committed here."""
        return self._view is not None and self._position == len(self._view.chain) - 1

    @property
    def long_enough(self) -> bool:
        """Whether the chain has enough copies to acknowledge, and the next one has told its state."""
        if self._view is None or len(self._view.chain) < self._minimum:
            return False
        return self.is_tail or self._successor is not None

    @property
    def complete(self) -> bool:
        """Whether this replica holds everything since it was appended."""
        link = self._own_link()
        if link is None or self._register.installing_snapshot or self._outbox.synced_state_lost:
            return False
        return link.joined == FIRST_VIEW_NUMBER or self._register.synced_since == link.joined

    def enter(self, view: View) -> None:
        """Act in a newer view from now on."""
        self._view = view
        folders = [link.member.folder_id for link in view.chain]
        own = self._own.folder_id
        self._position = folders.index(own) if own in folders else None
        self._passed_on = None
        self._successor = None
        if self._position is None:
            self._outbox.synced_state_lost = False  # it takes a whole copy before it is complete again
        self._tell_state()
        self._pass_on_or_commit()

    # ---- events ----

    def tick(self) -> None:
        """Tell the predecessor again; it sends what is missing."""
        if self._outbox.now - self._state_told_at >= HEARTBEAT_INTERVAL_S:
            self._tell_state()
            self._pass_on()

    def append(self, generation: int, document: bytes, on_stored: Callable[[bool], None]) -> None:
        """At the head: take a change into the chain. `on_stored` tells whether it is on the head's disk."""
        assert self._view is not None
        entry = Entry(self._register.sequence + 1, self._view.number, generation, document)

        def on_synced(synced: bool) -> None:
            on_stored(synced)
            self._entry_synced(synced)

        self._register.append(entry, on_synced)

    def receive(self, message: Struct) -> bool:
        """Handle a message; false where it is none of the chain. Those of another view are refused."""
        match message:
            case AppendRequest():
                if self._of_this_view(message.view):
                    self._receive_entry(message.entry)
            case InstallSnapshot():
                if self._of_this_view(message.view):
                    self._receive_snapshot(message)
            case SuccessorStatus():
                if self._of_this_view(message.view):
                    self._receive_state(message)
            case CommitNotification():
                self.committed_up_to(message.view, message.sequence)
            case _:
                return False
        return True

    def committed_up_to(self, view: int, sequence: int) -> None:
        """The tail of this view has committed up to `sequence`."""
        if not self._of_this_view(view) or not self.complete:
            return
        self._compare_with_others(sequence)
        if self._register.entry is not None and self._register.sequence <= sequence:
            self._commit()

    # ---- as successor ----

    def _receive_entry(self, entry: Entry) -> None:
        register = self._register
        if self._position == 0 or not self.complete or self._outbox.disk_failed:
            return
        if register.pending_entry is not None:
            return
        if entry.sequence == register.sequence + 1:
            self._commit()  # the head takes a change only once all before it is committed
            register.append(entry, self._entry_synced)
        elif entry == register.entry:
            self._tell_state()
        else:
            self._outbox.log(
                logging.ERROR, "entry does not follow", held=register.sequence, got=entry.sequence
            )

    def _receive_snapshot(self, message: InstallSnapshot) -> None:
        link = self._own_link()
        if link is None or link.joined != message.joined or self._position == 0:
            return
        if self.complete or self._register.installing_snapshot or self._outbox.disk_failed:
            self._tell_state()
            return
        self._register.install_snapshot(message.entry, message.history, message.joined, self._entry_synced)

    def _entry_synced(self, synced: bool) -> None:
        if synced:
            self._tell_state()
            self._pass_on_or_commit()
        else:
            self._on_settled()

    # ---- as predecessor ----

    def _receive_state(self, state: SuccessorStatus) -> None:
        successor = self._link_after()
        if successor is None or successor.member.folder_id != state.folder_id:
            return
        if successor.joined != state.joined:
            return
        if self._successor is None or self._successor.complete != state.complete:
            self._passed_on = None
        self._successor = state
        if state.complete and self.complete:
            self._compare_with_others(state.sequence)
        self._pass_on()

    def _pass_on_or_commit(self) -> None:
        if self._may_commit():
            self._commit()
            self._tell_commit()
        else:
            self._pass_on()

    def _pass_on(self) -> None:
        """Send the successor what it lacks, again only after a while."""
        successor = self._link_after()
        if successor is None or not self.complete:
            return
        message = self._missing(successor, self._successor)
        if message is not None and self._due(message):
            self._passed_on = self._passed_on_again()
            self._outbox.send(successor.member.address, message)

    def _missing(
        self, successor: ChainLink, state: SuccessorStatus | None
    ) -> AppendRequest | InstallSnapshot | None:
        assert self._view is not None
        entry = self._register.entry
        if state is None:
            return None
        lag = self._register.sequence - state.sequence
        if not state.complete or lag > 1:
            return InstallSnapshot(self._view.number, successor.joined, entry, self._register.packed_history)
        if lag == 1 and entry is not None:
            return AppendRequest(self._view.number, entry)
        return None

    def _due(self, message: AppendRequest | InstallSnapshot) -> bool:
        passed_on = self._passed_on
        if passed_on is None or passed_on.sequence != self._register.sequence:
            return True
        pause = RESEND_INTERVAL_S + _size(message) / RESEND_BYTES_PER_S
        for _ in range(passed_on.times - 1):
            pause = min(pause * RESEND_GROWTH, MAX_RESEND_INTERVAL_S)
        return self._outbox.now - passed_on.at >= pause

    def _passed_on_again(self) -> ForwardAttempt:
        before = self._passed_on
        sequence = self._register.sequence
        if before is None or before.sequence != sequence:
            return ForwardAttempt(sequence, self._outbox.now, 1)
        return ForwardAttempt(sequence, self._outbox.now, before.times + 1)

    # ---- commits ----

    def _may_commit(self) -> bool:
        return self.is_tail and self.complete and self.long_enough

    def _check_synced(self) -> None:
        """What this replica is about to claim, or to commit, is on its disk."""
        claimed, synced = self._register.sequence if self.complete else 0, self._outbox.synced_sequence
        check(Invariant.ACKNOWLEDGED_IS_SYNCED, claimed <= synced, claimed=claimed, synced=synced)

    def _commit(self) -> None:
        self._check_synced()
        committed = self._register.commit()
        if committed is not None:
            self._on_committed(committed)
        self._on_settled()

    def _tell_commit(self) -> None:
        if self._view is None or self._register.committed_sequence == 0:
            return
        for link in self._view.chain[:-1]:
            self._outbox.send(
                link.member.address, CommitNotification(self._view.number, self._register.committed_sequence)
            )

    def _compare_with_others(self, sequence: int) -> None:
        """What is committed, or held by the successor, has been synced here: if it is gone, the copy is lost.

        This member then counts as one with a bad disk, is left out and takes a whole copy from another one.
        """
        if sequence <= self._register.sequence:
            return
        self._outbox.synced_state_lost = True
        self._outbox.log(
            logging.ERROR,
            "synced state is gone",
            code=int(ErrorCode.STORAGE_CORRUPT),
            held=self._register.sequence,
            known=sequence,
        )

    # ---- helpers ----

    def _of_this_view(self, number: int) -> bool:
        return self._view is not None and self._view.number == number and self.in_chain

    def _own_link(self) -> ChainLink | None:
        if self._view is None or self._position is None:
            return None
        return self._view.chain[self._position]

    def _link_after(self) -> ChainLink | None:
        if self._view is None or self._position is None or self.is_tail:
            return None
        return self._view.chain[self._position + 1]

    def _predecessor(self) -> Member | None:
        if self._view is None or not self._position:
            return None
        return self._view.chain[self._position - 1].member

    def _tell_state(self) -> None:
        self._state_told_at = self._outbox.now
        link = self._own_link()
        predecessor = self._predecessor()
        if link is None or predecessor is None or self._view is None:
            return
        self._check_synced()
        state = SuccessorStatus(
            self._view.number, self._own.folder_id, link.joined, self.complete, self._register.sequence
        )
        self._outbox.send(predecessor.address, state)


def _size(message: AppendRequest | InstallSnapshot) -> int:
    document = len(message.entry.document) if message.entry else 0
    return document + (len(message.history) if isinstance(message, InstallSnapshot) else 0)
