"""One scheduler's node in the fleet, independent of sockets and of the rest of the program.

The node combines the protocols: each received frame is passed to the failure detector, the singleton roles,
the entries and the extensions. Their outgoing messages are queued by recipient until `flush`, which adds the
updates of the failure detector and of the entries that are due. The node owns this queue and the phase that
its entry reports; all other state belongs to the protocols. It performs no I/O: `component` connects it to
the reducer, and `reedspoke.lab` simulates hundreds of nodes in virtual time. Times, such as `now`, are
microseconds of the monotonic clock.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from reedspoke.fleet.anti_entropy import MemberEntries
from reedspoke.fleet.failure_detector import LIVE_STATES, FailureDetector, MemberState
from reedspoke.fleet.messages.anti_entropy import MemberEntry
from reedspoke.fleet.messages.failure_detector import MemberUpdate, Ping
from reedspoke.fleet.messages.fields import name_hash
from reedspoke.fleet.messages.frame import Frame, Message, OutgoingMessage
from reedspoke.fleet.messages.lease import ConfigurationDigest, LeaseHeld, LeaseMessage
from reedspoke.fleet.replicated_log.log_state import LogChange
from reedspoke.fleet.roles.singleton_roles import SingletonRoles
from reedspoke.fleet.transport.channel import UNKNOWN_SENDER, FrameChannel


class NodePhase(IntEnum):
    """The phase that a scheduler's entry reports. The values are used on the wire and in the status."""

    SERVING = 0
    DRAINING = 1
    DRAINED = 2


AddressedMessages = Iterable[tuple[int, Any]]  # pairs of recipient and message
MessageHandler = Callable[[int, Any, int], AddressedMessages]  # called with sender, message and now


@dataclass(slots=True, frozen=True)
class FleetExtension:
    """An additional protocol of the node, such as the replicated log.

    `message_handlers` is keyed by message type; `on_tick` is called with each tick of the node.
    `take_log_changes` removes and returns the changes that must be on disk before anything else is sent.
    """

    message_handlers: Mapping[type, MessageHandler]
    on_tick: Callable[[int], AddressedMessages]
    take_log_changes: Callable[[], list[LogChange]]


class FleetNode:
    """The protocols of one scheduler; those that are None are disabled. `entries` needs a failure detector.

    `pending_writes` is the number of `StoreLogChanges` effects that have not been answered.
    """

    def __init__(
        self, channel: FrameChannel, failure_detector: FailureDetector | None = None,
        roles: SingletonRoles | None = None, entries: MemberEntries | None = None,
    ) -> None:  # fmt: skip
        """The protocols may also be set later, before the first frame is received."""
        self.channel, self.failure_detector = channel, failure_detector
        self.roles, self.entries = roles, entries
        self.phase = NodePhase.SERVING
        self.pending_writes = 0
        self._extensions: list[FleetExtension] = []
        self._message_handlers: dict[type, MessageHandler] = {}
        self._queues: defaultdict[int, list[Message]] = defaultdict(list)

    def add_extension(self, extension: FleetExtension) -> None:
        """Adds an additional protocol."""
        self._extensions.append(extension)
        self._message_handlers |= extension.message_handlers

    # ---- events ----

    def receive(self, datagram: bytes, now: int, sender: int = UNKNOWN_SENDER) -> Frame | None:
        """Handles a datagram from the member `sender`. Returns its frame, or None if it is ignored."""
        frame = self.channel.receive(datagram, sender)
        if frame is None:
            return None
        for message in frame.messages:
            self._dispatch(frame.sender, message, now)
        if self.failure_detector is not None:
            detector = self.failure_detector
            self.enqueue(detector.receive(frame.sender, frame.incarnation, frame.messages, now))
            if self.entries is not None:
                self.entries.set_alive(detector.alive(), now)
                answers = self.entries.receive(frame.sender, frame.messages, now)
                self.enqueue(answers)
                self.enqueue(_member_states_of(detector, answers))
        return frame

    def _dispatch(self, sender: int, message: Message, now: int) -> None:
        match message:
            case LeaseMessage() | LeaseHeld() if self.roles is not None:
                self.enqueue(self.roles.receive(sender, message, now))
            case ConfigurationDigest() if self.roles is not None:
                self.enqueue(self.roles.receive_digest(sender, message, now))
            case _ if (handler := self._message_handlers.get(type(message))) is not None:
                self.enqueue(handler(sender, message, now))
            case _:
                pass

    def tick(self, now: int) -> None:
        """Runs the timers; to be called several times within a probe period and within a time to live."""
        if self.failure_detector is not None:
            self.enqueue(self.failure_detector.tick(now))
        if self.roles is not None:
            self.enqueue(self.roles.tick(now))
        for extension in self._extensions:
            self.enqueue(extension.on_tick(now))
        if self.entries is not None and self.failure_detector is not None:
            self.entries.set_alive(self.failure_detector.alive(), now)
            self.entries.update_own(self.phase, self._held_roles(now), (), now)
            self.enqueue(self.entries.push_digest(now))

    def _held_roles(self, now: int) -> list[int]:
        if self.roles is None:
            return []
        return [name_hash(name) for name in self.roles.leases if self.roles.holds(name, now)]

    def set_candidacy(
        self, candidate: bool, successor: int, now: int, names: Iterable[str] | None = None
    ) -> None:
        """Sets whether this member is a candidate for these roles (default: all), else releases them."""
        if self.roles is not None:
            self.enqueue(self.roles.set_candidacy(candidate, successor, now, names))

    def take_log_changes(self) -> list[LogChange]:
        """Removes and returns the changes that must be on disk before the datagrams of `flush` are sent."""
        return [change for extension in self._extensions for change in extension.take_log_changes()]

    # ---- sending ----

    def enqueue(self, messages: AddressedMessages) -> None:
        """Queues messages for their recipients until the next `flush`."""
        for recipient, message in messages:
            self._queues[recipient].append(message)

    def flush(self, now: int) -> list[tuple[int, list[bytes]]]:
        """Empties the queues. Returns the datagrams to send, by recipient (a member or EVERY_PEER)."""
        datagrams = []
        for recipient, messages in self._queues.items():
            if messages:
                messages += self._piggyback(recipient, messages, now)
                datagrams.append((recipient, self.channel.encode(messages)))
        self._queues.clear()
        return datagrams

    def _piggyback(self, recipient: int, messages: list[Message], now: int) -> list[Message]:
        """Returns the messages to add to a frame that is sent anyway."""
        extra: list[Message] = []
        if self.roles is not None and any(isinstance(message, Ping) for message in messages):
            extra.append(self.roles.digest)
        if self.failure_detector is not None:
            extra += self.failure_detector.take_updates()
        if self.entries is not None:
            # Added to any message, not only to pings: a member that sends frames itself is not pinged, so it
            # would never receive the digest.
            if recipient >= 0 and (root := self.entries.root_digest(recipient, now)) is not None:
                extra.append(root)
            extra += self.entries.take_updates()
        return extra

    # ---- queries ----

    def has_majority(self) -> bool:
        """Returns whether the majority of voters that a lease needs is assumed to be alive."""
        if self.roles is None or self.failure_detector is None:
            return False
        voters = self.roles.configuration.voters
        alive = sum(self.failure_detector.state(voter) in LIVE_STATES for voter in voters)
        return alive > len(voters) // 2


def _member_states_of(detector: FailureDetector, answers: Iterable[OutgoingMessage]) -> list[OutgoingMessage]:
    """Returns the state updates of the members whose entries are among the answers.

    The digests that are compared cover the member states, so these are exchanged together with the entries.
    """
    updates = []
    for recipient, message in answers:
        if not isinstance(message, MemberEntry):
            continue
        record = detector.members.get(message.member)
        if record is not None and record.incarnation >= 0 and record.state is not MemberState.UNSEEN:
            update = MemberUpdate(message.member, record.incarnation, record.refutation, record.state)
            updates.append(OutgoingMessage(recipient, update))
    return updates
