"""The replicated control state: a pure state machine, fed with events and answering with effects.

It does no I/O and reads no clock. The shell sends `Tick` about every TICK_S, keeps the order of `Store`
effects, answers each with `StoreCompleted`, and feeds what comes over the network as `MessageReceived`.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence

from msgspec import Struct, structs

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.chain import Chain
from reedspoke.control_plane.replication.chain_repair import ChainRepair
from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
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
from reedspoke.control_plane.replication.get_forwarding import GetForwarder
from reedspoke.control_plane.replication.head_queue import HeadQueue
from reedspoke.control_plane.replication.invariants import ReplicaInvariants
from reedspoke.control_plane.replication.messages import (
    GetReply,
    GetRequest,
    Heartbeat,
    PutReply,
    PutRequest,
    ReadLeaseGrant,
    ReadLeaseReleased,
    ReadLeaseReleaseRequest,
    ViewConfirmation,
)
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.put_forwarding import PutForwarder
from reedspoke.control_plane.replication.settings import (
    HEARTBEAT_INTERVAL_S,
    PROCESS_STOP_GAP_S,
    REPAIR_INTERVAL_S,
    TICK_S,
    ReplicaSettings,
)
from reedspoke.control_plane.replication.tail_reader import TailReader
from reedspoke.control_plane.replication.view import Member, View
from reedspoke.control_plane.storage.records import BootstrapRecord, encode_record, restore
from reedspoke.control_plane.views.agreement import ViewAgreement
from reedspoke.control_plane.views.majority_contact import ContactState, MajorityContact
from reedspoke.control_plane.views.read_lease import ReadLeaseHolder, tail_member

__all__ = ["TICK_S", "Replica", "ReplicaSettings"]

NO_MAJORITY = "No majority stands behind this machine any more."
UNCLEAR_ERRORS = (ErrorCode.NO_QUORUM, ErrorCode.WRITE_UNCLEAR)


class Replica:
    """One member of the replicated control state.

    `records` is what the log holds. `incarnation` differs in each life of the process: requests and proposals
    are named by it. It is drawn at random, as clocks and counters may repeat after a reboot or a lost disk.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        records: Sequence[bytes],
        now: float,
        incarnation: str,
    ) -> None:
        restored = restore(records)
        self._settings = settings
        self._seeds = settings.seeds
        self._first_seeds = restored.seeds
        self._leaving = False
        self._seeds_stored = False
        self._view_members: frozenset[Member] = frozenset()
        self._last_tick = now
        self._last_ping = float("-inf")
        self._last_look = now
        self._last_condition = (True, False)  # disk works, copy of the chain's state is complete
        name = f"{settings.folder_id}:{incarnation}"
        limit = settings.answer_limit_s
        self._outbox = Outbox(settings.address, now, sum(map(len, records)))
        self._outbox.snapshot_records = self.snapshot_records
        self._peers = FailureDetector(settings.member, now)
        self._register = ConfigurationRegister(self._outbox, restored)
        self._chain = Chain(settings, self._outbox, self._register, self._deliver, self._advance)
        self._head = HeadQueue(name, self._outbox, self._chain, self._register, limit)
        self._puts = PutForwarder(name, self._outbox, limit)
        self._gets = GetForwarder(name, self._outbox, self._register, limit)
        self._tail_lease = ReadLeaseHolder()
        self._contact = MajorityContact(now)
        self._contact_asked: set[str] = set()  # voters that were asked out of turn in this view
        self._reader = TailReader(self._outbox, self._chain, self._register, self._holds_lease)
        self._agreement = ViewAgreement(settings, name, self._outbox, restored, self._enter)
        self._invariants = ReplicaInvariants()
        self._repair = ChainRepair(settings, self._outbox, self._peers, self._agreement, self._own_ping)
        self._start(restored.view)

    # ---- what the shell may ask ----

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
        """Whether this replica and a majority of the voters hear each other."""
        return self._repair.majority_reached()

    def holds_majority(self, now: float) -> bool:
        """Whether a majority of voters has lately granted that this replica acts in the newest view."""
        return self.view is not None and self._contact.is_valid(now)

    @property
    def majority_as_of(self) -> float | None:
        """The latest time as of which the view of this replica was certainly the newest."""
        return self._contact.majority_as_of

    def confirmed_as_of(self, now: float) -> float | None:
        """The time as of which the configuration known here to be committed was certainly the newest.

        None while this replica may not hand over its state: it is no complete member of the chain, it has
        heard of a newer view, or no majority has lately granted that its own is the newest.
        """
        if not self.in_chain or self._agreement.is_behind or not self.holds_majority(now):
            return None
        return self._contact.confirmed_as_of

    @property
    def disk_works(self) -> bool:
        """Whether the disk answers in time, and has kept what it had synced."""
        return self._outbox.disk_ok

    @property
    def has_staying_peer(self) -> bool:
        """Whether a replica in reach is not about to leave."""
        return self._repair.has_staying_peer()

    @property
    def committed(self) -> CommittedConfiguration | None:
        """The newest configuration that this replica knows to be committed."""
        return self._register.committed

    def snapshot_records(self) -> tuple[bytes, ...]:
        """Records that yield the present state: what a rewritten log holds."""
        records: list[Struct] = []
        if self._first_seeds:
            records.append(BootstrapRecord(self._first_seeds))
        records += self._agreement.records()
        records += self._register.records()
        return tuple(map(encode_record, records))

    # ---- events ----

    def handle(self, now: float, event: Event) -> list[Effect]:
        """Handle one event at the time `now` of the steady clock; the effects are to be done in order."""
        self._outbox.now = now
        self._notice_gap(now)
        self._dispatch(event)
        self._receive_own_messages()
        self._invariants.handled(self.view, self._register.committed, self._register.entry)
        return [self._checked(effect) for effect in self._outbox.take()]

    def _checked(self, effect: Effect) -> Effect:
        """No operator is told anything for certain while no majority stands behind this replica."""
        if self._reaches_majority():
            return effect
        match effect:
            case PutCompleted(request_id=request_id, error=error) if error not in UNCLEAR_ERRORS:
                return PutCompleted(request_id, ErrorCode.WRITE_UNCLEAR, NO_MAJORITY)
            case GetCompleted(request_id=request_id, error=error) if error is not ErrorCode.NO_QUORUM:
                return GetCompleted(request_id, None, ErrorCode.NO_QUORUM, NO_MAJORITY)
        return effect

    def _reaches_majority(self) -> bool:
        """Whether a majority has granted, and is still heard."""
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
                self._outbox.stored(event)
            case Tick():
                self._tick()
            case PutSubmitted():
                self._puts.put(event, self.view, self._contact_state())
            case GetSubmitted():
                self._gets.get(event, self.view, self._contact_state())
            case ShutdownStarted():
                self._leave()
            case SeedsChanged(seeds=seeds):
                self._seeds = seeds

    def _receive_own_messages(self) -> None:
        while messages := self._outbox.take_to_self():
            for message in messages:
                self._receive(self._settings.address, message)

    def _receive(self, sender: str, message: Struct) -> None:
        if self._agreement.receive(sender, message) or self._chain.receive(message):
            return
        match message:
            case Heartbeat():
                self._receive_ping(sender, message)
            case ReadLeaseGrant(folder_id=folder_id, view_number=number, requested_at=requested_at):
                if self.view is not None and self.view.number == number:
                    self._tail_lease.record_grant(folder_id, requested_at)
            case ViewConfirmation():
                self._receive_contact_grant(message)
            case ReadLeaseReleaseRequest(view_number=number):
                self._resign(sender, number)
            case PutRequest():
                self._head.receive(sender, message, self._reaches_majority())
            case PutReply():
                self._puts.reply(message)
            case GetRequest():
                self._reader.receive(sender, message, self.view)
            case GetReply():
                if not self._head.refusals.reply(message):
                    self._gets.reply(message)

    def _tick(self) -> None:
        now = self._outbox.now
        self._outbox.tick()
        self._agreement.tick()
        self._chain.tick()
        self._head.tick()
        self._tick_calls()
        condition = (self._outbox.disk_ok, self._chain.complete)
        if condition != self._last_condition or now - self._last_ping >= HEARTBEAT_INTERVAL_S:
            self._ping_all()
        if now - self._last_look >= REPAIR_INTERVAL_S - TICK_S / 2:
            self._last_look = now
            self._look_for_better_view()

    def _tick_calls(self) -> None:
        contact = self._contact_state()
        self._puts.tick(self.view, contact)
        self._gets.tick(self.view, contact)

    def _look_for_better_view(self) -> None:
        if self.view is not None:
            self._repair.propose_next(self.view)
        elif self._first_seeds:
            self._repair.propose_first(self._first_seeds)
        elif self._seeds_stored and not self._outbox.disk_failed:
            self._start(None)  # the disk refused at first

    def _leave(self) -> None:
        self._leaving = True
        self._tail_lease.release(self._outbox.now)
        self._ping_all()

    # ---- start and views ----

    def _start(self, view: View | None) -> None:
        if view is not None:
            self._enter(view)
        elif self._settings.bootstrap and not self._first_seeds and self._settings.address in self._seeds:
            self._store_first_seeds(self._seeds)

    def _store_first_seeds(self, seeds: tuple[str, ...]) -> None:
        """At the first start: vote on the first view once it is on disk that this folder does."""
        self._seeds_stored = False

        def on_end(error: ErrorCode | None) -> None:
            self._seeds_stored = True
            if error is None:
                self._first_seeds = seeds
                self._agreement.set_first_acceptors(seeds)
                self._ping_all()

        self._outbox.store([BootstrapRecord(seeds)], on_end)

    def _enter(self, view: View) -> None:
        self._outbox.log(logging.INFO, "view", number=view.number, chain=_addresses_of_chain(view))
        self._outbox.emit(ViewChanged(view))
        self._view_members = frozenset(_members(view))
        self._tail_lease.enter_view()
        self._contact.enter_view()
        self._contact_asked.clear()
        self._head.enter(view)
        self._chain.enter(view)
        self._repair.entered(view)
        self._ping_all()
        self._tick_calls()

    def _notice_gap(self, now: float) -> None:
        """After a stop of this process nobody is judged by silence until it has listened for a while."""
        if now - self._last_tick > PROCESS_STOP_GAP_S:
            self._peers.woken(now)
            self._repair.woken()
        self._last_tick = now

    # ---- pings and leases ----

    def _own_ping(self) -> Heartbeat:
        view = self.view
        return Heartbeat(
            member=self._settings.member,
            view=view.number if view else 0,
            heard=self._peers.heard(self._view_members, self._outbox.now),
            disk_ok=self._outbox.disk_ok,
            synced_since=0 if self._register.installing_snapshot else self._register.synced_since,
            committed=self._register.committed_sequence,
            leaving=self._leaving,
            bootstrap=bool(self._first_seeds),
            undecided=self._agreement.has_undecided_view,
            sent=self._outbox.now,
            starts_new=view is None and self._settings.bootstrap and not self._first_seeds,
        )

    def _ping_all(self) -> None:
        now = self._outbox.now
        self._last_ping = now
        self._last_condition = (self._outbox.disk_ok, self._chain.complete)
        ping = self._own_ping()
        if self._asks_for_lease():
            ping = structs.replace(ping, lease_sent=now)
            self._grant(ping)
        self._grant_contact(ping)
        addresses = {member.address for member in self._view_members}
        addresses.update(member.address for member in self._peers.members(now))
        addresses.update(self._seeds)
        for address in sorted(addresses - {self._settings.address}):
            self._outbox.send(address, ping)

    def _receive_ping(self, sender: str, ping: Heartbeat) -> None:
        self._peers.heard_ping(ping, self._outbox.now)
        self._grant(ping)
        self._grant_contact(ping)
        self._ask_for_contact(ping)
        if ping.view < self._agreement.learned_number:
            self._agreement.send_newest_view(sender)
        elif ping.view > self._agreement.learned_number:
            self._outbox.send(sender, self._own_ping())
        self._chain.committed_up_to(ping.view, ping.committed)

    def _asks_for_lease(self) -> bool:
        return self._chain.is_tail and self._chain.complete and self._tail_lease.may_request(self._outbox.now)

    def _grant(self, ping: Heartbeat) -> None:
        """As voter: grant the read lease that the tail of my view asks for."""
        if ping.lease_sent is None or self.view is None or tail_member(self.view) != ping.member:
            return
        reached = self._repair.reachable(ping.member.folder_id)
        if reached and self._agreement.may_grant_read_lease(ping.view):
            self._agreement.read_lease_voter.grant(ping.lease_sent, self._outbox.now)
            grant = ReadLeaseGrant(self._settings.folder_id, ping.view, ping.lease_sent)
            self._outbox.send(ping.member.address, grant)

    def _grant_contact(self, ping: Heartbeat) -> None:
        """As voter: say that the view in which the sender of this ping acts is the newest known here."""
        if self._agreement.may_confirm_view(ping.view):
            grant = ViewConfirmation(self._settings.folder_id, ping.view, ping.sent)
            self._outbox.send(ping.member.address, grant)

    def _ask_for_contact(self, ping: Heartbeat) -> None:
        """A voter has come to the present view and has granted nothing in it: ask without delay, but once."""
        view = self.view
        folder_id = ping.member.folder_id
        if view is None or ping.view != view.number or folder_id in self._contact_asked:
            return
        if not self._contact.has_confirmed(folder_id):
            self._contact_asked.add(folder_id)
            self._outbox.send(ping.member.address, self._own_ping())

    def _receive_contact_grant(self, grant: ViewConfirmation) -> None:
        view = self.view
        if view is None or view.number != grant.view_number:
            return
        now = self._outbox.now
        committed_until = self._register.committed_until(now) if self.in_chain else None
        self._contact.record_confirmation(grant.folder_id, grant.requested_at, now)
        self._contact.update(view.voters, committed_until)

    def _holds_lease(self) -> bool:
        return self.view is not None and self._tail_lease.is_held(self.view.voters, self._outbox.now)

    def _resign(self, sender: str, number: int) -> None:
        if self.view is None or self.view.number != number or not self._chain.is_tail:
            return
        self._tail_lease.release(self._outbox.now)
        self._outbox.send(sender, ReadLeaseReleased(number, self._outbox.now))

    # ---- entries ----

    def _deliver(self, committed: CommittedConfiguration) -> None:
        self._outbox.emit(DeliverConfiguration(committed))

    def _advance(self) -> None:
        self._head.advance()


def _members(view: View) -> list[Member]:
    return [*view.voters, *(link.member for link in view.chain)]


def _addresses_of_chain(view: View) -> list[str]:
    return [link.member.address for link in view.chain]
