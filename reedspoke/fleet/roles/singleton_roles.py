"""The singleton roles of a fleet: the lease of each, its known holder, and the fencing of earlier holders.

A member that acquires or renews a role's lease announces it to all members (`LeaseHeld`). Each member stores
the highest token that it has received for each role. A holder that receives a higher token ends its lease at
once: if clocks differ by more than the configured drift, its lease may not have expired yet.

Members whose configurations have different voters could each find a majority, so each member sends a digest
of its configuration (`ConfigurationDigest`) with its pings. A member that receives a different digest
neither holds, requests nor grants a lease until CONFLICT_TTLS after the last such message. If the time to
live of a single role differs, only the lease messages of that role are ignored.

`SingletonRoles` is the sole owner of this state. It performs no I/O. Times, such as `now`, are microseconds
of the monotonic clock, unless a name says otherwise.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from zlib import crc32

from reedspoke.fleet.lease.events import (
    CandidacyChanged,
    LeaseAcquired,
    LeaseEffect,
    LeaseEnded,
    LeaseEndReason,
    LeaseEvent,
    LeaseRenewed,
    MessageReceived,
    SendMessage,
    TimePassed,
)
from reedspoke.fleet.lease.participant import LeaseParticipant
from reedspoke.fleet.lease.tokens import FencingGuard, member_of
from reedspoke.fleet.messages.fields import NO_MEMBER, name_hash
from reedspoke.fleet.messages.frame import EVERY_PEER, OutgoingMessage
from reedspoke.fleet.messages.lease import ConfigurationDigest, LeaseHeld, LeaseMessage
from reedspoke.fleet.roles.handler import RoleHandler
from reedspoke.net.effects import ExtensionEffect

DEFAULT_VOTERS = 5  # number of first members that vote if the configuration names no voters
US_PER_MS = 1000
CONFLICT_TTLS = 3  # in longest times to live, since the last message with a different configuration
TTL_MISMATCH = "other term"  # metric label for lease messages with a different time to live


@dataclass(slots=True, frozen=True)
class SingletonRole:
    """A role that one member holds at a time.

    `preferred_here` is set if this member is in the preferred zone of the role, `eligible` if this member may
    hold the role.
    """

    name: str
    ttl_us: int
    preferred_here: bool = True
    eligible: bool = True


@dataclass(slots=True, frozen=True)
class VoterConfiguration:
    """The settings that must be equal on all members: number of members, voters and clock drift."""

    members: int
    voters: tuple[int, ...]
    clock_drift: float

    def digest(self) -> ConfigurationDigest:
        """Returns the digest that members compare."""
        compared = (self.members, self.voters, round(self.clock_drift, 6))
        return ConfigurationDigest(crc32(repr(compared).encode()))


@dataclass(slots=True, frozen=True)
class LeaseHolder:
    """The known holder of a role; `expires_at` is the latest end of its lease by this member's clock."""

    member: int
    token: int
    expires_at: int


class SingletonRoles:
    """The roles of one member.

    `log_lines` collects lines for the log and `effects` the effects of the handlers, until they are taken.
    `lease_ends` counts the ends of this member's leases by role and reason, and lease messages with a
    different time to live. `last_end_reason` is keyed by role. `conflicting_members` maps each member with a
    different configuration to the time until which the conflict lasts.
    """

    def __init__(
        self, member: int, configuration: VoterConfiguration, incarnation: int, now: int,
        wall_clock_us: int, random: Random,
    ) -> None:  # fmt: skip
        """`wall_clock_us` is the wall clock time at `now`."""
        self.member, self.configuration, self.random = member, configuration, random
        self.digest = configuration.digest()
        self._incarnation, self._started_at, self._wall_clock_us = incarnation, now, wall_clock_us
        self.leases: dict[str, LeaseParticipant] = {}
        self.fencing_guards: dict[str, FencingGuard] = {}
        self.handlers: dict[str, RoleHandler] = {}
        self.lease_ends: Counter[tuple[str, str]] = Counter()
        self.last_end_reason: dict[str, LeaseEndReason] = {}
        self.log_lines: list[str] = []
        self.effects: list[ExtensionEffect] = []
        self.conflicting_members: dict[int, int] = {}
        self._known_holders: dict[str, LeaseHolder] = {}
        self._candidacies: dict[str, bool] = {}
        self._ineligible: set[str] = set()
        self._name_by_hash: dict[int, str] = {}
        self._outgoing: list[OutgoingMessage] = []

    def add(self, role: SingletonRole, handler: RoleHandler | None = None) -> None:
        """Adds a role. Raises ValueError if another role has the same name or name hash."""
        role_hash = name_hash(role.name)
        if role_hash in self._name_by_hash:
            raise ValueError(
                f"duty {role.name!r}: same hash as {self._name_by_hash[role_hash]!r}, choose another name"
            )
        self._name_by_hash[role_hash] = role.name
        configuration = self.configuration
        self.leases[role.name] = LeaseParticipant(
            self.member, configuration.members, role.ttl_us, configuration.clock_drift, self._started_at,
            self._wall_clock_us, self._incarnation, self.random, configuration.voters, role.preferred_here,
        )  # fmt: skip
        self.fencing_guards[role.name] = FencingGuard()
        if handler is not None:
            self.handlers[role.name] = handler
        if not role.eligible:
            self._ineligible.add(role.name)

    def disable(self, name: str, now: int) -> list[OutgoingMessage]:
        """Releases the lease of a role that this member can no longer carry out, and ends its candidacy."""
        outgoing = self.set_candidacy(False, NO_MEMBER, now, [name])
        self._ineligible.add(name)
        return outgoing

    # ---- events; each returns the messages to send ----

    def set_candidacy(
        self, candidate: bool, successor: int, now: int, names: Iterable[str] | None = None
    ) -> list[OutgoingMessage]:
        """Sets whether this member is a candidate for these roles (default: all).

        `successor` is the member that may propose first for a role that is released, or NO_MEMBER.
        """
        for name in self.leases if names is None else names:
            if name in self._ineligible:
                continue
            self._candidacies[name] = candidate
            if not candidate or not self.conflicting_members:
                self._handle(name, CandidacyChanged(candidate, successor), now)
        return self._take_outgoing()

    def receive_digest(self, sender: int, digest: ConfigurationDigest, now: int) -> list[OutgoingMessage]:
        """Handles the digest of another member: if it differs, all leases are released."""
        if digest == self.digest:
            self.conflicting_members.pop(sender, None)
            return []
        if sender not in self.conflicting_members:
            self.log_lines.append(
                f"fleet: scheduler {sender} is configured with another number of members, other voters "
                "(granters) or another clock drift: no lease is held or granted here until this ends"
            )
        if not self.conflicting_members:
            for name in self.leases:
                self._handle(name, CandidacyChanged(candidate=False), now)
        longest_ttl_us = max((lease.ttl_us for lease in self.leases.values()), default=0)
        self.conflicting_members[sender] = now + CONFLICT_TTLS * longest_ttl_us
        return self._take_outgoing()

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Runs the timers; to be called several times within the shortest time to live."""
        self._expire_conflicts(now)
        for name in self.leases:
            self._handle(name, TimePassed(), now)
            if name in self.handlers and self.holds(name, now):
                self.effects += self.handlers[name].tick(now)
        return self._take_outgoing()

    def _expire_conflicts(self, now: int) -> None:
        expired = [member for member, until in self.conflicting_members.items() if now >= until]
        for member in expired:
            del self.conflicting_members[member]
        if expired and not self.conflicting_members:
            self.log_lines.append(
                "fleet: no conflicting voter configuration remains: leases are requested again"
            )
            for name, candidate in self._candidacies.items():
                self._handle(name, CandidacyChanged(candidate), now)

    def call_rejected(self, name: str, token: int, now: int) -> list[OutgoingMessage]:
        """Handles a call that was rejected because its target knows a higher token."""
        self._supersede(name, token, now)
        return self._take_outgoing()

    def _supersede(self, name: str, token: int, now: int) -> None:
        """Ends the lease of this member because a higher token is known, even if it has not expired yet.

        The next proposal of this member has a number above that token.
        """
        lease = self.leases.get(name)
        if lease is None:
            return
        had_lease = lease.token
        lease.mark_superseded(token)
        if had_lease:
            self._lease_ended(name, LeaseEndReason.SUPERSEDED, now)

    def receive(self, sender: int, message: LeaseMessage | LeaseHeld, now: int) -> list[OutgoingMessage]:
        """Handles a message of another member about a role's lease."""
        name = self._name_by_hash.get(message.role_hash)
        if name is None:
            return []
        match message:
            case LeaseMessage():
                self._receive_protocol_message(name, sender, message, now)
            case LeaseHeld():
                self._receive_announcement(name, sender, message, now)
        return self._take_outgoing()

    def _receive_protocol_message(self, name: str, sender: int, message: LeaseMessage, now: int) -> None:
        if message.ttl_ms != self.leases[name].ttl_us // US_PER_MS:
            self.lease_ends[name, TTL_MISMATCH] += 1
        elif not self.conflicting_members:
            self._handle(name, MessageReceived(sender, message.message), now)

    def _receive_announcement(self, name: str, sender: int, message: LeaseHeld, now: int) -> None:
        if member_of(message.token) != sender or not self.fencing_guards[name].admits(message.token):
            return
        lease = self.leases[name]
        if lease.token and message.token > lease.token:
            # If clocks differ by more than the configured drift, the lease here may not have expired yet.
            self._supersede(name, message.token, now)
        expires_at = now + min(message.remaining_ms * US_PER_MS, lease.ttl_us)
        lease.defer_proposals(expires_at)
        self._record_holder(name, LeaseHolder(sender, message.token, expires_at))

    # ---- queries ----

    def holds(self, name: str, now: int) -> bool:
        """Returns whether this member holds the role."""
        return self.leases[name].holds(now)

    def holder(self, name: str, now: int) -> LeaseHolder | None:
        """Returns the holder by this member's lease or by an announcement, or None if none is known."""
        lease = self.leases[name]
        if lease.holds(now):
            return LeaseHolder(self.member, lease.token, lease.expires_at)
        known = self._known_holders.get(name)
        is_current = known is not None and now < known.expires_at and known.member != self.member
        return known if is_current else None

    def _record_holder(self, name: str, holder: LeaseHolder) -> None:
        previous = self._known_holders.get(name)
        if previous is None or previous.token != holder.token:
            self.log_lines.append(
                f"role {name}: lease held by scheduler {holder.member}, fencing token {holder.token}"
            )
        self._known_holders[name] = holder

    # ---- effects of the leases ----

    def _handle(self, name: str, event: LeaseEvent, now: int) -> None:
        for effect in self.leases[name].handle(event, now):
            self._carry_out(name, effect, now)

    def _carry_out(self, name: str, effect: LeaseEffect, now: int) -> None:
        lease, handler = self.leases[name], self.handlers.get(name)
        match effect:
            case SendMessage(recipient, message):
                wrapped = LeaseMessage(name_hash(name), lease.ttl_us // US_PER_MS, message)
                self._outgoing.append(OutgoingMessage(recipient, wrapped))
            case LeaseAcquired(token, expires_at):
                self.fencing_guards[name].admits(token)
                self._record_holder(name, LeaseHolder(self.member, token, expires_at))
                self.effects += handler.lease_acquired(token, expires_at, now) if handler else ()
                self._announce(name, expires_at, now)
            case LeaseRenewed(expires_at):
                self.effects += handler.lease_renewed(expires_at, now) if handler else ()
                self._announce(name, expires_at, now)
            case LeaseEnded(reason):
                self._lease_ended(name, reason, now)

    def _announce(self, name: str, expires_at: int, now: int) -> None:
        remaining_ms = max(0, (expires_at - now) // US_PER_MS)
        announcement = LeaseHeld(name_hash(name), self.leases[name].token, remaining_ms)
        self._outgoing.append(OutgoingMessage(EVERY_PEER, announcement))

    def _lease_ended(self, name: str, reason: LeaseEndReason, now: int) -> None:
        self.lease_ends[name, reason] += 1
        self.last_end_reason[name] = reason
        self.log_lines.append(f"role {name}: lease ended here: {reason}")
        self._known_holders.pop(name, None)
        if (handler := self.handlers.get(name)) is not None:
            self.effects += handler.lease_ended(reason, now)

    def _take_outgoing(self) -> list[OutgoingMessage]:
        outgoing, self._outgoing = self._outgoing, []
        return outgoing
