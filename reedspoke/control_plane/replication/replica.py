"""A replica of the configuration state, as a pure state machine that turns events into effects.

It does no I/O and reads no clock. The driver sends `Tick` about every `TICK_INTERVAL_S`, keeps the order of
`StoreRecords` effects, answers each with `StoreCompleted`, and passes each network message as
`MessageReceived`.

`Replica` owns the parts and dispatches each event to the responsible one. The parts own the state:

* `ViewAgreement`: the view; `Chain`: this replica's position in it; `ConfigurationRegister`: the entries;
* `HeadQueue`: the changes at the head; `TailReader`: the reads at the tail;
* `PutForwarder` and `GetForwarder`: the requests of this node's operators;
* `PendingTransfers`: the state transfers to this replica; `CopyRecovery`: copies outside the chain;
* `Heartbeats` and `FailureDetector`: which replicas are reachable; `ChainRepair`: the next view to propose;
* `VoterGrants`: the grants that this replica issues as a voter; `ReceivedGrants`: those that it holds;
* `FirstStart`: the seeds; `Outbox`: the effects and the state of the disk.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.chain import Chain
from reedspoke.control_plane.replication.chain_repair import ChainRepair
from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
from reedspoke.control_plane.replication.copy_recovery import CopyRecovery
from reedspoke.control_plane.replication.effects import (
    DeliverConfiguration,
    Effect,
    GetCompleted,
    PutCompleted,
    ViewChanged,
)
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.replication.events import (
    Event,
    GetSubmitted,
    MessageReceived,
    PutSubmitted,
    SeedsChanged,
    ShutdownStarted,
    StoreCompleted,
    Tick,
)
from reedspoke.control_plane.replication.failure_detector import FailureDetector
from reedspoke.control_plane.replication.first_start import FirstStart
from reedspoke.control_plane.replication.get_forwarding import GetForwarder
from reedspoke.control_plane.replication.grants import ReceivedGrants, VoterGrants
from reedspoke.control_plane.replication.head_queue import HeadQueue
from reedspoke.control_plane.replication.heartbeats import Heartbeats
from reedspoke.control_plane.replication.invariants import ReplicaInvariants
from reedspoke.control_plane.replication.log_records import (
    RestoredState,
    ViewRecord,
    closed_transfer_record,
    encode_record,
    restore,
)
from reedspoke.control_plane.replication.membership_observer import MembershipObserver
from reedspoke.control_plane.replication.messages import (
    CopyStatus,
    CopyStatusRequest,
    GetReply,
    GetRequest,
    Heartbeat,
    PutReply,
    PutRequest,
    ReadLeaseGrant,
    ReadLeaseReleaseRequest,
    ViewConfirmation,
)
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.pending_transfers import PendingTransfers
from reedspoke.control_plane.replication.put_forwarding import PutForwarder
from reedspoke.control_plane.replication.settings import (
    PROCESS_STOP_GAP_S,
    REPAIR_INTERVAL_S,
    TICK_INTERVAL_S,
    ReplicaSettings,
)
from reedspoke.control_plane.replication.tail_reader import TailReader
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.views.agreement import ViewAgreement
from reedspoke.control_plane.views.majority_contact import ContactState

__all__ = ["TICK_INTERVAL_S", "Replica", "ReplicaSettings"]

NO_MAJORITY = "This machine is not in contact with a majority of voters any more."
# Errors of a change that remain correct if this replica is no longer in contact with a majority.
UNCLEAR_ERRORS = (ErrorCode.NO_QUORUM, ErrorCode.WRITE_UNCLEAR)


class Replica:
    """One member of the replicated configuration state.

    `records` are the records of the log. `incarnation` is unique to each start of the process and part of the
    names of requests and proposals. It is random, as clocks and counters may repeat after a reboot or a lost
    disk.

    Raises FleetError STORAGE_CORRUPT for an unknown record.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        records: Sequence[bytes],
        now: float,
        incarnation: str,
    ) -> None:
        restored = restore(records, settings.folder_id)
        self._settings = settings
        self._last_tick = now
        self._last_repair = now
        self._outbox = Outbox(settings.address, now, sum(map(len, records)))
        self._outbox.snapshot_records = self.snapshot_records
        self._invariants = ReplicaInvariants()
        self._create_parts(f"{settings.folder_id}:{incarnation}", restored)
        if restored.view is not None:
            self._enter_view(restored.view)
        else:
            self._first_start.begin()

    def _create_parts(self, name: str, restored: RestoredState) -> None:
        """Create the parts; `name` makes the requests and proposals of this incarnation unique."""
        settings, outbox = self._settings, self._outbox
        limit_s = settings.answer_limit_s
        self._failure_detector = FailureDetector(settings.member, outbox.now)
        self._register = ConfigurationRegister(outbox, restored)
        self._transfers = PendingTransfers(
            settings.folder_id,
            restored.transfers,
            restored.closed_transfers,
            restored.view,
            self._store_closed_transfer,
        )
        self._chain = Chain(
            settings, outbox, self._register, self._transfers, self._deliver, self._advance_head
        )
        self._head = HeadQueue(name, outbox, self._chain, self._register, limit_s)
        self._puts = PutForwarder(name, outbox, limit_s)
        self._gets = GetForwarder(name, outbox, self._register, limit_s)
        self._agreement = ViewAgreement(settings, name, outbox, restored, self._enter_view)
        self._voter_grants = VoterGrants(settings, outbox, self._failure_detector, self._agreement)
        self._received_grants = ReceivedGrants(outbox, self._register, self._chain, self._agreement)
        self._reader = TailReader(outbox, self._chain, self._register, self._received_grants.holds_read_lease)
        self._first_start = FirstStart(settings, outbox, self._agreement, restored, self._broadcast_heartbeat)
        self._heartbeats = Heartbeats(
            settings,
            outbox,
            self._failure_detector,
            self._register,
            self._transfers,
            self._chain,
            self._agreement,
            self._first_start,
            self._voter_grants,
            self._received_grants,
        )
        self._observer = MembershipObserver(settings, outbox, self._failure_detector, self._heartbeats.own)
        self._recovery = CopyRecovery(settings.member, outbox, self._register, self._transfers)
        self._repair = ChainRepair(settings, outbox, self._agreement, self._observer, self._recovery)

    # ---- state for the driver ----

    @property
    def view(self) -> View | None:
        """The view that this replica acts in."""
        return self._agreement.view

    @property
    def in_chain(self) -> bool:
        """Whether this replica is a complete member of the chain."""
        return self._chain.in_chain and self._chain.complete

    @property
    def majority_reached(self) -> bool:
        """Whether this replica and a majority of the voters receive each other's heartbeats."""
        return self._repair.majority_reached()

    def holds_majority(self, now: float) -> bool:
        """Whether a majority of voters has lately confirmed that this replica acts in the newest view."""
        return self._received_grants.holds_majority(now)

    @property
    def majority_as_of(self) -> float | None:
        """The latest time as of which the view of this replica was certainly the newest."""
        return self._received_grants.majority_as_of

    def confirmed_as_of(self, now: float) -> float | None:
        """The time as of which the configuration known here to be committed was certainly the newest.

        None while this replica may not deliver its state as current: it is not a complete member of the
        chain, it has learned a newer view, or no majority has lately confirmed that its own is the newest.
        """
        if not self.in_chain or self._agreement.is_behind or not self.holds_majority(now):
            return None
        return self._received_grants.confirmed_as_of

    @property
    def disk_works(self) -> bool:
        """Whether the disk ends all stores in time, and has lost no synced entries."""
        return self._outbox.disk_ok

    @property
    def has_peer_not_draining(self) -> bool:
        """Whether another reachable replica is not about to shut down."""
        return self._observer.has_peer_not_draining()

    @property
    def committed(self) -> CommittedConfiguration | None:
        """The newest configuration that this replica knows to be committed."""
        return self._register.committed

    def snapshot_records(self) -> tuple[bytes, ...]:
        """Records that restore the present state, for a rewritten log."""
        records = [
            *self._first_start.records(),
            *map(ViewRecord, self._transfers.views()),
            *self._agreement.records(),
            *map(closed_transfer_record, self._transfers.refused_links()),
            *self._register.records(),
        ]
        return tuple(map(encode_record, records))

    def _store_closed_transfer(self, joined_view: int, on_stored: Callable[[bool], None]) -> None:
        record = closed_transfer_record(joined_view)
        self._outbox.store([record], lambda error: on_stored(error is None))

    # ---- events ----

    def handle(self, now: float, event: Event) -> list[Effect]:
        """Handle one event at the time `now` of the steady clock; return the effects in order."""
        self._outbox.now = now
        self._detect_process_stop(now)
        self._dispatch(event)
        self._receive_own_messages()
        self._invariants.check_after_event(self.view, self._register.committed, self._register.entry)
        return [self._without_unconfirmed_answer(effect) for effect in self._outbox.take_effects()]

    def _without_unconfirmed_answer(self, effect: Effect) -> Effect:
        """Replace a final answer by an unclear one while this replica lacks contact with a majority.

        A part of this replica may have decided the answer before the event in which the contact was lost.
        """
        if self._reaches_majority():
            return effect
        match effect:
            case PutCompleted(request_id=request_id, error=error) if error not in UNCLEAR_ERRORS:
                return PutCompleted(request_id, ErrorCode.WRITE_UNCLEAR, NO_MAJORITY)
            case GetCompleted(request_id=request_id, error=error) if error is not ErrorCode.NO_QUORUM:
                return GetCompleted(request_id, None, ErrorCode.NO_QUORUM, NO_MAJORITY)
        return effect

    def _reaches_majority(self) -> bool:
        """Whether a majority has confirmed this replica's view and is still reachable."""
        return self.holds_majority(self._outbox.now) and self.majority_reached

    def _contact_state(self) -> ContactState:
        if self._reaches_majority():
            return ContactState.CONFIRMED
        return ContactState.REACHABLE if self.majority_reached else ContactState.NONE

    def _dispatch(self, event: Event) -> None:
        match event:
            case MessageReceived(sender=sender, message=message):
                self._receive(sender, message)
            case StoreCompleted():
                self._outbox.store_completed(event)
            case Tick():
                self._tick()
            case PutSubmitted():
                self._puts.submit(event, self.view, self._contact_state())
            case GetSubmitted():
                self._gets.submit(event, self.view, self._contact_state())
            case ShutdownStarted():
                self._shut_down()
            case SeedsChanged(seeds=seeds):
                self._first_start.configured_seeds = seeds

    def _receive_own_messages(self) -> None:
        while messages := self._outbox.take_own_messages():
            for message in messages:
                self._receive(self._settings.address, message)

    def _receive(self, sender: str, message: Struct) -> None:
        if self._agreement.receive(sender, message) or self._chain.receive(message):
            return
        match message:
            case Heartbeat():
                self._heartbeats.receive(sender, message)
            case ReadLeaseGrant():
                self._received_grants.receive_lease_grant(message)
            case ViewConfirmation():
                self._received_grants.receive_confirmation(message)
            case ReadLeaseReleaseRequest():
                self._received_grants.release_read_lease(sender, message)
            case CopyStatusRequest():
                self._recovery.answer(sender, message)
            case CopyStatus():
                self._recovery.receive(message)
            case PutRequest():
                self._head.receive(sender, message, self._reaches_majority())
            case PutReply():
                self._puts.receive_reply(message)
            case GetRequest():
                self._reader.receive(sender, message, self.view)
            case GetReply():
                if not self._head.rejections.receive_reply(message):
                    self._gets.receive_reply(message)

    def _tick(self) -> None:
        self._outbox.tick()
        self._agreement.tick()
        self._chain.tick()
        self._head.tick()
        self._tick_forwarders()
        self._heartbeats.tick()
        now = self._outbox.now
        # Ticks are not exact. A tick that comes up to half an interval early still counts as due.
        if now - self._last_repair >= REPAIR_INTERVAL_S - TICK_INTERVAL_S / 2:
            self._last_repair = now
            self._propose_view()

    def _tick_forwarders(self) -> None:
        contact = self._contact_state()
        self._puts.tick(self.view, contact)
        self._gets.tick(self.view, contact)

    def _propose_view(self) -> None:
        if self.view is not None:
            self._repair.propose_next(self.view)
        elif self._first_start.is_participant:
            self._repair.propose_first(self._first_start.stored_seeds)
        else:
            self._first_start.retry()

    def _shut_down(self) -> None:
        self._heartbeats.draining = True
        self._received_grants.release_own_read_lease()
        self._heartbeats.broadcast()

    # ---- views and entries ----

    def _enter_view(self, view: View) -> None:
        chain = [link.member.address for link in view.chain]
        self._outbox.log(logging.INFO, "view installed", number=view.number, chain=chain)
        self._outbox.emit(ViewChanged(view))
        self._received_grants.enter_view()
        self._head.enter_view(view)
        self._transfers.enter_view(view)
        self._chain.enter_view(view)
        self._recovery.enter_view()
        self._repair.enter_view(view)
        self._heartbeats.enter_view(view)
        self._tick_forwarders()

    def _detect_process_stop(self, now: float) -> None:
        """Restart all time-outs after this process was stopped, as it received no heartbeats meanwhile.

        Otherwise it would consider all other replicas lost.
        """
        if now - self._last_tick > PROCESS_STOP_GAP_S:
            self._failure_detector.process_resumed(now)
            self._repair.process_resumed()
        self._last_tick = now

    def _broadcast_heartbeat(self) -> None:
        self._heartbeats.broadcast()

    def _deliver(self, committed: CommittedConfiguration) -> None:
        self._outbox.emit(DeliverConfiguration(committed))

    def _advance_head(self) -> None:
        self._head.advance()
