"""The failure detector: which of the configured members are alive, after SWIM (Das, Gupta, Motivala, 2002).

In each period a member probes one other member, the next one of a shuffled list. Without an answer in time it
asks some others to ping that member for it (an answer lost on one link is no death). Without any answer it
suspects the member, spreads that, and takes it for gone unless it refutes the suspicion in time: a suspected
member alone raises its own `refutation`. Updates travel on frames that are sent anyway, each a bounded number
of times. Any frame from a member is a sign of its life, so a member that sends is not probed.

Against flapping, after Lifeguard (Dadgar, Phillips, Currey, 2017) and beyond: a member whose own probes
fail, or whose process was stopped, gives the others more time; a suspicion of a member that was itself
heard within the last period is not believed but passed on to it, so that it can refute it. A member that
restarts has a new incarnation; an update about an incarnation replaces nothing that was heard from the
member itself.

Nothing that must be safe depends on what is believed here: that is decided by leases (`fleet.lease`).

`FailureDetector` is the sole owner of this state. It performs no I/O; times are microseconds of the monotonic
clock, `now`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from math import log2
from random import Random

from reedspoke.fleet.messages.failure_detector import Ack, MemberUpdate, Ping, PingRequest
from reedspoke.fleet.messages.fields import UINT16_MASK
from reedspoke.fleet.messages.frame import Message, OutgoingMessage
from reedspoke.fleet.transport.channel import MAX_PAST_INCARNATIONS

DIRECT_PROBE_SHARE = 0.3  # of the probe's time, until others are asked to ping
MAX_PING_RETRIES = 2  # within a probe: one loss on a link is no ground for a suspicion
INDIRECT_PROBERS = 3
MAX_INDIRECT_PROBES = 32  # that we make for others at once: each sends a datagram to a third member
INDIRECT_PROBE_PERIODS = 2  # until one is given up
MAX_LOCAL_FAULTS = 4  # Lifeguard's local health: periods added to a probe's time where our own probes fail
STALL_SHARE = 0.5  # of a period without a tick: this process itself stood still
UPDATE_TRANSMISSIONS = 3  # times log2 of the members that an update is sent
MAX_UPDATES_PER_FRAME = 8
SUSPECT_OR_GONE_UPDATE_PROBABILITY = 0.5

UNKNOWN_INCARNATION = -1
NEVER = -1


class MemberState(IntEnum):
    """What is believed about a member. Names and values are on the wire, in the status and in metrics."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    UNSEEN = 3  # never heard of; never sent


LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)
SUSPECT_OR_GONE_STATES = (MemberState.SUSPECT, MemberState.GONE)


@dataclass(slots=True)
class MemberRecord:
    """What is known about one other member."""

    state: MemberState = MemberState.UNSEEN
    incarnation: int = UNKNOWN_INCARNATION
    refutation: int = 0
    since: int = 0  # of its state
    last_received_at: int = NEVER  # when it last sent something itself
    received_directly: bool = False  # this incarnation has sent something
    past_incarnations: list[int] = field(default_factory=list)

    def enter_incarnation(self, incarnation: int, refutation: int, *, received_directly: bool) -> None:
        """Another incarnation begins, or the same one is heard itself for the first time."""
        if self.incarnation not in (UNKNOWN_INCARNATION, incarnation):
            retained = self.past_incarnations[1 - MAX_PAST_INCARNATIONS :]
            self.past_incarnations = [*retained, self.incarnation]
        if incarnation in self.past_incarnations:  # it has sent something, so it is not past
            self.past_incarnations.remove(incarnation)
        self.incarnation, self.refutation, self.received_directly = incarnation, refutation, received_directly

    def received_within(self, now: int, duration_us: int) -> bool:
        """Whether it has sent something within that time."""
        return self.last_received_at >= 0 and now - self.last_received_at < duration_us


@dataclass(slots=True)
class Probe:
    """Our probe of one member."""

    member: int
    number: int
    started_at: int
    indirect_at: int
    fails_at: int
    ping_interval_us: int
    pings: int = 1
    requested_indirect: bool = False


@dataclass(slots=True, frozen=True)
class IndirectProbe:
    """A probe of `target` that we make for another member."""

    requester: int
    requester_number: int
    target: int
    expires_at: int


@dataclass(slots=True)
class QueuedUpdate:
    """An update, and how often it is still to be sent."""

    update: MemberUpdate
    transmissions: int


@dataclass(slots=True, frozen=True)
class MemberStateChange:
    """What is believed about a member has changed."""

    member: int
    before: MemberState
    after: MemberState


class FailureDetector:
    """One member's beliefs about the others. `changes` collects changes of them until they are taken."""

    def __init__(
        self, member: int, members: int, incarnation: int, period_us: int, now: int, random: Random
    ) -> None:
        """`member` is this one, `members` the size of the fleet."""
        self.member, self.incarnation, self.refutation = member, incarnation, 0
        self.members = {number: MemberRecord() for number in range(members) if number != member}
        self.period_us, self.random = period_us, random
        fleet_log2 = log2(max(2, members))
        self.suspicion_timeout_us = int((2 + fleet_log2) * period_us)
        self.changes: list[MemberStateChange] = []
        self.local_faults = 0  # Lifeguard's local health multiplier, less one
        self._suspects: set[int] = set()
        self._updates: dict[int, QueuedUpdate] = {}  # by the member they are about
        self._transmissions = UPDATE_TRANSMISSIONS * max(1, round(fleet_log2))
        self._probe_order: list[int] = []
        self._not_alive_order: list[int] = []
        self._probe: Probe | None = None
        self._last_number = 0
        self._indirect_probes: dict[int, IndirectProbe] = {}  # by the number of our ping
        self._next_probe_at = now + int(period_us * random.random())
        self._ticked_at = now
        self._queue_update(MemberUpdate(member, incarnation, 0, MemberState.ALIVE))

    # ---- what is believed ----

    def alive(self) -> list[int]:
        """All members that are not taken for gone, this one included; suspects live until their time-out."""
        others = (number for number, record in self.members.items() if record.state in LIVE_STATES)
        return sorted([self.member, *others])

    def state(self, member: int) -> MemberState:
        """What is believed about a member, who may be this one."""
        return MemberState.ALIVE if member == self.member else self.members[member].state

    def _set_state(self, member: int, state: MemberState, now: int) -> None:
        record = self.members[member]
        if record.state is not state:
            self.changes.append(MemberStateChange(member, record.state, state))
            record.state, record.since = state, now
            self._suspects.discard(member)
            if state is MemberState.SUSPECT:
                self._suspects.add(member)
        if state is not MemberState.UNSEEN:
            self._queue_update(self._update_of(member))

    def _update_of(self, member: int) -> MemberUpdate:
        record = self.members[member]
        return MemberUpdate(member, record.incarnation, record.refutation, record.state)

    # ---- time ----

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Time has passed; due several times a period. Returns the messages to send."""
        outgoing: list[OutgoingMessage] = []
        self._compensate_for_stall(now)
        self._check_probe(now, outgoing)
        self._expire_suspicions(now)
        self._expire_indirect_probes(now)
        if now >= self._next_probe_at:
            self._next_probe_at = max(self._next_probe_at + self.period_us, now + self.period_us // 2)
            if self._probe is None:
                self._start_probes(now, outgoing)
        return outgoing

    def _compensate_for_stall(self, now: int) -> None:
        """Where this process was stopped, answers lie unread, and refutations as well: others must not be
        taken for gone for that."""
        stall_us = now - self._ticked_at
        self._ticked_at = now
        if stall_us > self.period_us * STALL_SHARE:
            self._probe = None
            for member in self._suspects:
                self.members[member].since += stall_us

    def _expire_suspicions(self, now: int) -> None:
        for member in sorted(self._suspects):
            if now - self.members[member].since >= self.suspicion_timeout_us:
                self._set_state(member, MemberState.GONE, now)

    def _expire_indirect_probes(self, now: int) -> None:
        expired = [number for number, probe in self._indirect_probes.items() if now >= probe.expires_at]
        for number in expired:
            del self._indirect_probes[number]

    def _check_probe(self, now: int, outgoing: list[OutgoingMessage]) -> None:
        probe = self._probe
        if probe is None:
            return
        record = self.members[probe.member]
        if record.received_within(now, self.period_us):
            self._probe_succeeded()
        elif now >= probe.fails_at:
            self._probe = None
            self.local_faults = min(MAX_LOCAL_FAULTS, self.local_faults + 1)
            if record.state is MemberState.ALIVE:
                self._set_state(probe.member, MemberState.SUSPECT, now)
        else:
            self._continue_probe(probe, now, outgoing)

    def _probe_succeeded(self) -> None:
        self._probe = None
        self.local_faults = max(0, self.local_faults - 1)

    def _continue_probe(self, probe: Probe, now: int, outgoing: list[OutgoingMessage]) -> None:
        next_ping_at = probe.started_at + probe.pings * probe.ping_interval_us
        if probe.pings <= MAX_PING_RETRIES and now >= next_ping_at:
            probe.pings += 1
            self._ping(probe.member, probe.number, outgoing)
        if now >= probe.indirect_at and not probe.requested_indirect:
            probe.requested_indirect = True
            others = [member for member in self.alive() if member not in (self.member, probe.member)]
            for other in self.random.sample(others, min(INDIRECT_PROBERS, len(others))):
                outgoing.append(OutgoingMessage(other, PingRequest(probe.number, probe.member)))

    def _start_probes(self, now: int, outgoing: list[OutgoingMessage]) -> None:
        """Probes a live member, and pings one that is not alive as far as is known here: it may be back."""
        if (member := self._next_to_probe(now)) is not None:
            number = self._next_number()
            timeout_us = self.period_us * (1 + self.local_faults)
            self._probe = Probe(
                member, number, now, now + int(timeout_us * DIRECT_PROBE_SHARE), now + timeout_us,
                timeout_us // (MAX_PING_RETRIES + 2),
            )  # fmt: skip
            record = self.members[member]
            record.last_received_at = min(record.last_received_at, now - self.period_us)
            self._ping(member, number, outgoing)
        if (not_alive := self._next_not_alive()) is not None:
            self._ping(not_alive, self._next_number(), outgoing)

    def _next_number(self) -> int:
        self._last_number = self._last_number + 1 & UINT16_MASK
        return self._last_number

    def _ping(self, member: int, number: int, outgoing: list[OutgoingMessage]) -> None:
        """Pings a member and adds updates. One that is suspected is told so and can refute at once. The state
        of one other member goes along: an update that is sent a bounded number of times may have reached all
        but a few."""
        outgoing.append(OutgoingMessage(member, Ping(number)))
        known = [one for one, record in self.members.items() if record.incarnation >= 0]
        suspect_or_gone = [one for one in known if self.members[one].state in SUSPECT_OR_GONE_STATES]
        prefers_suspect_or_gone = (
            suspect_or_gone and self.random.random() < SUSPECT_OR_GONE_UPDATE_PROBABILITY
        )
        candidates = suspect_or_gone if prefers_suspect_or_gone else known
        subjects = {self.random.choice(candidates)} if candidates else set()
        if member in suspect_or_gone:
            subjects.add(member)
        outgoing.extend(OutgoingMessage(member, self._update_of(subject)) for subject in sorted(subjects))

    def _next_to_probe(self, now: int) -> int | None:
        """The next live member of a shuffled list: all are probed within as many periods as members."""
        for _ in range(len(self.members) + len(self._probe_order)):
            if not self._probe_order:
                self._probe_order = sorted(self.members)
                self.random.shuffle(self._probe_order)
            member = self._probe_order.pop()
            record = self.members[member]
            if record.state in LIVE_STATES and not record.received_within(now, self.period_us):
                return member
        return None

    def _next_not_alive(self) -> int | None:
        """The next member of a shuffled list of those that are gone or were never heard of."""
        if not self._not_alive_order:
            self._not_alive_order = [
                member for member, record in self.members.items() if record.state not in LIVE_STATES
            ]
            self.random.shuffle(self._not_alive_order)
        return self._not_alive_order.pop() if self._not_alive_order else None

    # ---- messages of other members ----

    def receive(
        self, sender: int, incarnation: int, messages: Iterable[Message], now: int
    ) -> list[OutgoingMessage]:
        """A frame of `sender` has come, whatever it holds. Returns the messages to send."""
        outgoing: list[OutgoingMessage] = []
        self._record_sign_of_life(sender, incarnation, now)
        for message in messages:
            match message:
                case Ping(number):
                    outgoing.append(OutgoingMessage(sender, Ack(number)))
                case PingRequest(number, target):
                    self._receive_ping_request(sender, number, target, now, outgoing)
                case Ack(number):
                    self._receive_ack(sender, number, outgoing)
                case MemberUpdate():
                    self._receive_update(message, now, outgoing)
                case _:
                    pass  # another protocol's
        return outgoing

    def _record_sign_of_life(self, sender: int, incarnation: int, now: int) -> None:
        record = self.members[sender]
        is_new = record.incarnation != incarnation
        if is_new or not record.received_directly:
            record.enter_incarnation(incarnation, 0 if is_new else record.refutation, received_directly=True)
            if is_new or record.state is MemberState.UNSEEN:
                self._set_state(sender, MemberState.ALIVE, now)
        record.last_received_at = now

    def _receive_ping_request(
        self, sender: int, number: int, target: int, now: int, outgoing: list[OutgoingMessage]
    ) -> None:
        is_unknown = target not in self.members or target == sender
        if is_unknown or len(self._indirect_probes) >= MAX_INDIRECT_PROBES:
            return
        expires_at = now + INDIRECT_PROBE_PERIODS * self.period_us
        ping_number = self._next_number()
        self._indirect_probes[ping_number] = IndirectProbe(sender, number, target, expires_at)
        self._ping(target, ping_number, outgoing)

    def _receive_ack(self, sender: int, number: int, outgoing: list[OutgoingMessage]) -> None:
        indirect = self._indirect_probes.get(number)
        if indirect is not None and indirect.target == sender:
            del self._indirect_probes[number]
            record = self.members[sender]
            alive = MemberUpdate(sender, max(0, record.incarnation), record.refutation, MemberState.ALIVE)
            outgoing.append(OutgoingMessage(indirect.requester, alive))
            outgoing.append(OutgoingMessage(indirect.requester, Ack(indirect.requester_number)))
        elif self._probe is not None and self._probe.number == number and sender != self._probe.member:
            self._probe_succeeded()  # by way of a member that we asked to ping

    def _receive_update(self, update: MemberUpdate, now: int, outgoing: list[OutgoingMessage]) -> None:
        if update.member == self.member:
            self._refute(update)
            return
        record = self.members.get(update.member)
        if record is None:
            return
        if update.incarnation != record.incarnation:
            self._receive_other_incarnation(update, record, now)
            return
        if (update.refutation, update.state) <= (record.refutation, record.state):
            return
        if update.state != MemberState.ALIVE and record.received_within(now, self.period_us):
            outgoing.append(OutgoingMessage(update.member, update))  # so that it can refute the suspicion
            return
        record.refutation = update.refutation
        self._set_state(update.member, MemberState(update.state), now)

    def _refute(self, update: MemberUpdate) -> None:
        """Refutes a suspicion of this process; also an old one, because its sender may have been deaf when we
        refuted it before."""
        if update.incarnation != self.incarnation or update.state == MemberState.ALIVE:
            return
        if update.refutation >= self.refutation:
            self.refutation = update.refutation + 1 & UINT16_MASK
        self._queue_update(MemberUpdate(self.member, self.incarnation, self.refutation, MemberState.ALIVE))

    def _receive_other_incarnation(self, update: MemberUpdate, record: MemberRecord, now: int) -> None:
        is_back = record.state is MemberState.GONE and update.state == MemberState.ALIVE
        if update.incarnation in record.past_incarnations or record.received_directly and not is_back:
            return  # a past incarnation, or a new one that will be heard itself
        record.enter_incarnation(update.incarnation, update.refutation, received_directly=False)
        self._set_state(update.member, MemberState(update.state), now)

    # ---- gossip ----

    def _queue_update(self, update: MemberUpdate) -> None:
        self._updates[update.member] = QueuedUpdate(update, self._transmissions)

    def take_updates(self) -> list[MemberUpdate]:
        """The updates for a frame that is sent now: those first that were sent least."""
        by_priority = sorted(
            self._updates.values(), key=lambda queued: (-queued.transmissions, queued.update.member)
        )
        chosen = by_priority[:MAX_UPDATES_PER_FRAME]
        for queued in chosen:
            queued.transmissions -= 1
            if not queued.transmissions:
                del self._updates[queued.update.member]
        return [queued.update for queued in chosen]
