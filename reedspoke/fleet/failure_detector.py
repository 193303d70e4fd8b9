"""The failure detector: which of the configured members are alive, after SWIM (Das, Gupta, Motivala, 2002).

In each period a member probes one other member, the next one of a shuffled list. Without an ack in time it
asks some others to ping that member on its behalf, because a loss on one link is no failure of the member.
Without any ack it suspects the member, spreads the suspicion, and declares the member gone unless the member
refutes the suspicion in time. Only a suspected member itself increases its `refutation`. Updates are
piggybacked on frames that are sent anyway, each a bounded number of times. Any frame from a member shows that
it is alive, so a member that sends is not probed.

Flapping is limited as in Lifeguard (Dadgar, Phillips, Currey, 2017): a member whose own probes fail, or whose
process was stopped, allows the others more time. In addition, a suspicion of a member that has sent something
within the last period is not adopted but forwarded to that member, so that it can refute it. A member that
restarts has a new incarnation, and an update about another incarnation does not replace what was received
from the member itself, unless the member is gone and the update reports it alive.

No decision that safety depends on uses these states: such decisions are made by leases (`fleet.lease`).

`FailureDetector` is the sole owner of this state. It performs no I/O. Times, such as `now`, are microseconds
of the monotonic clock.
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

DIRECT_PROBE_SHARE = 0.3  # share of the probe time-out after which others are asked to ping
MAX_PING_RETRIES = 2  # per probe, so that a single lost datagram does not cause a suspicion
INDIRECT_PROBERS = 3
MAX_INDIRECT_PROBES = 32  # made for others at the same time: each sends a datagram to a third member
INDIRECT_PROBE_PERIODS = 2  # time-out of an indirect probe, in periods
MAX_LOCAL_FAULTS = 4  # Lifeguard's local health: periods added to the probe time-out while own probes fail
STALL_SHARE = 0.5  # share of a period without a tick after which this process is known to have been stopped
UPDATE_TRANSMISSIONS = 3  # an update is sent that many times log2 of the number of members
MAX_UPDATES_PER_FRAME = 8
SUSPECT_OR_GONE_UPDATE_PROBABILITY = 0.5

UNKNOWN_INCARNATION = -1
NEVER = -1


class MemberState(IntEnum):
    """The state of a member as seen by another one. Names and values are used on the wire and in metrics."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    UNSEEN = 3  # nothing was received from or about the member; this value is never sent


LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)
SUSPECT_OR_GONE_STATES = (MemberState.SUSPECT, MemberState.GONE)


@dataclass(slots=True)
class MemberRecord:
    """The state of one other member, as known to this one."""

    state: MemberState = MemberState.UNSEEN
    incarnation: int = UNKNOWN_INCARNATION
    refutation: int = 0
    since: int = 0  # time of the last change of `state`
    last_received_at: int = NEVER  # time of the last frame from the member itself
    received_directly: bool = False  # whether a frame of this incarnation has been received
    past_incarnations: list[int] = field(default_factory=list)

    def enter_incarnation(self, incarnation: int, refutation: int, *, received_directly: bool) -> None:
        """Records a new incarnation, or the first frame that comes directly from a known one."""
        if self.incarnation not in (UNKNOWN_INCARNATION, incarnation):
            retained = self.past_incarnations[1 - MAX_PAST_INCARNATIONS :]
            self.past_incarnations = [*retained, self.incarnation]
        if incarnation in self.past_incarnations:  # a frame shows that it is running
            self.past_incarnations.remove(incarnation)
        self.incarnation, self.refutation, self.received_directly = incarnation, refutation, received_directly

    def received_within(self, now: int, duration_us: int) -> bool:
        """Returns whether a frame of the member was received within that duration."""
        return self.last_received_at >= 0 and now - self.last_received_at < duration_us


@dataclass(slots=True)
class Probe:
    """A probe of one member by this one."""

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
    """A probe of `target` on behalf of another member."""

    requester: int
    requester_number: int
    target: int
    expires_at: int


@dataclass(slots=True)
class QueuedUpdate:
    """An update and its number of remaining transmissions."""

    update: MemberUpdate
    transmissions: int


@dataclass(slots=True, frozen=True)
class MemberStateChange:
    """A change of the state of one member."""

    member: int
    before: MemberState
    after: MemberState


class FailureDetector:
    """One member's view of the states of the others; `changes` collects changes until they are taken."""

    def __init__(
        self, member: int, members: int, incarnation: int, period_us: int, now: int, random: Random
    ) -> None:
        """`member` is the number of this member, `members` the size of the fleet."""
        self.member, self.incarnation, self.refutation = member, incarnation, 0
        self.members = {number: MemberRecord() for number in range(members) if number != member}
        self.period_us, self.random = period_us, random
        fleet_log2 = log2(max(2, members))
        self.suspicion_timeout_us = int((2 + fleet_log2) * period_us)
        self.changes: list[MemberStateChange] = []
        self.local_faults = 0  # Lifeguard's local health multiplier, less one
        self._suspects: set[int] = set()
        self._updates: dict[int, QueuedUpdate] = {}  # by the member that the update describes
        self._transmissions = UPDATE_TRANSMISSIONS * max(1, round(fleet_log2))
        self._probe_order: list[int] = []
        self._not_alive_order: list[int] = []
        self._probe: Probe | None = None
        self._last_number = 0
        self._indirect_probes: dict[int, IndirectProbe] = {}  # by the number of this member's ping
        self._next_probe_at = now + int(period_us * random.random())
        self._ticked_at = now
        self._queue_update(MemberUpdate(member, incarnation, 0, MemberState.ALIVE))

    # ---- member states ----

    def alive(self) -> list[int]:
        """Returns all live members, including this one and those that are suspected."""
        others = (number for number, record in self.members.items() if record.state in LIVE_STATES)
        return sorted([self.member, *others])

    def state(self, member: int) -> MemberState:
        """Returns the state of a member, which may be this one."""
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

    # ---- timers ----

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Runs the timers; to be called several times a period. Returns the messages to send."""
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
        """Extends the suspicion time-outs after this process was stopped.

        Acks and refutations may be unread in the socket buffer; the members must not be declared gone for it.
        """
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
        """Probes a live member, and pings one that is not known to be alive, because it may have returned."""
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
        """Pings a member and adds updates.

        If the pinged member is suspect or gone, the ping carries that state, so that the member can refute it
        at once. The state of one other member is added at random, because an update that is sent a bounded
        number of times may have missed a few members.
        """
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
        """Returns the next live member of a shuffled list, which covers all members before it repeats."""
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
        """Returns the next member of a shuffled list of those that are gone or unseen."""
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
        """Handles a frame, which also shows that `sender` is alive. Returns the messages to send."""
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
                    pass  # belongs to another protocol
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
            self._probe_succeeded()  # by an indirect probe

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
            outgoing.append(OutgoingMessage(update.member, update))  # lets the member refute it
            return
        record.refutation = update.refutation
        self._set_state(update.member, MemberState(update.state), now)

    def _refute(self, update: MemberUpdate) -> None:
        """Refutes a suspicion of this process.

        An old suspicion is refuted again: its sender may not have received the earlier refutation.
        """
        if update.incarnation != self.incarnation or update.state == MemberState.ALIVE:
            return
        if update.refutation >= self.refutation:
            self.refutation = update.refutation + 1 & UINT16_MASK
        self._queue_update(MemberUpdate(self.member, self.incarnation, self.refutation, MemberState.ALIVE))

    def _receive_other_incarnation(self, update: MemberUpdate, record: MemberRecord, now: int) -> None:
        is_back = record.state is MemberState.GONE and update.state == MemberState.ALIVE
        if update.incarnation in record.past_incarnations or record.received_directly and not is_back:
            return  # a past incarnation, or a new one whose own frames will follow
        record.enter_incarnation(update.incarnation, update.refutation, received_directly=False)
        self._set_state(update.member, MemberState(update.state), now)

    # ---- gossip ----

    def _queue_update(self, update: MemberUpdate) -> None:
        self._updates[update.member] = QueuedUpdate(update, self._transmissions)

    def take_updates(self) -> list[MemberUpdate]:
        """Returns the updates to add to a frame, those that have been sent least often first."""
        by_priority = sorted(
            self._updates.values(), key=lambda queued: (-queued.transmissions, queued.update.member)
        )
        chosen = by_priority[:MAX_UPDATES_PER_FRAME]
        for queued in chosen:
            queued.transmissions -= 1
            if not queued.transmissions:
                del self._updates[queued.update.member]
        return [queued.update for queued in chosen]
