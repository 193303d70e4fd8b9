"""The entries that members write about themselves, replicated to all of them by gossip and anti-entropy.

The entries are eventually consistent and are not used for any decision that safety depends on. State that a
majority has agreed on is in the replicated log (`fleet.replicated_log`).

Each member writes only its own entry. Of two entries of a member, the one of the later process wins, and
within a process the one of the later version. This is a join of a semilattice, so order, loss and
duplication of messages do not matter. A member may receive an entry of its own that the running process has
not written: an earlier process wrote it, whose clock was ahead or has been set back since. The member then
writes its entry again with a start time later than that of the received one.

Entries are piggybacked on frames that are sent anyway, each a bounded number of times. Lost entries are
found by anti-entropy: frames to a single member, such as pings and acks, carry the digest of all entries. If
two digests differ, digests of ranges of members are compared, then of parts of the ranges that differ, and
finally the entries are exchanged. Digests are sums of hashes, so a change of one entry costs one subtraction
and one addition.

The fleet has converged when all members that are assumed to be alive have sent the same digest as this one.
The set of members that are known to have sent it is transmitted with the digest and only grows while the
digest stays the same. So convergence is known after a few rounds of gossip, without a message from each
member.

`MemberEntries` is the sole owner of this state. It performs no I/O. Times, such as `now`, are in
microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from math import log2
from typing import NamedTuple

from msgspec.structs import replace

from reedspoke.fleet.messages.anti_entropy import (
    MAX_LISTED_ROLES,
    EntriesRequest,
    MemberEntry,
    RangeDigests,
    RootDigest,
)
from reedspoke.fleet.messages.fields import UINT16_MASK, UINT32_MASK
from reedspoke.fleet.messages.frame import Message, OutgoingMessage

RANGE_PARTS = 16  # number of parts that a range is divided into for comparison
LEAF_MEMBERS = 3  # a range of at most that many members is sent as entries and not divided further
ENTRY_TRANSMISSIONS = 3  # an entry is sent that many times log2 of the number of members
MAX_ENTRIES_PER_FRAME = 3
MAX_VERSION = UINT16_MASK
DIGEST_BYTES = 8
DIGEST_MODULUS = 1 << 8 * DIGEST_BYTES


def entry_hash(entry: MemberEntry, alive: bool) -> int:
    """Returns the hash of a member's entry and of whether the member is assumed to be alive."""
    content = (
        entry.member, entry.start_time_s, entry.version, entry.zone_hash, entry.phase, entry.held_roles,
        entry.missing, alive,
    )  # fmt: skip
    return int.from_bytes(blake2b(repr(content).encode(), digest_size=DIGEST_BYTES).digest())


def precedence(entry: MemberEntry) -> tuple[object, ...]:
    """Returns the sort key of an entry: of two entries of a member, the one with the higher key wins.

    The content is part of the key, after start time and version: two processes of one member could write the
    same version, and all members have to keep the same one of the two.
    """
    return (
        entry.start_time_s, entry.version, entry.zone_hash, entry.phase, entry.held_roles, entry.missing,
    )  # fmt: skip


def members_to_bits(members: Iterable[int]) -> bytes:
    """Encodes a set of members as a bit set, with the first member in the lowest bit."""
    bits = sum(1 << member for member in set(members))
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")


def members_from_bits(encoded: bytes) -> set[int]:
    """Decodes a set of members that was encoded by `members_to_bits`."""
    bits = int.from_bytes(encoded, "little")
    return {member for member in range(bits.bit_length()) if bits >> member & 1}


@dataclass(slots=True, frozen=True)
class Convergence:
    """Whether all members that are assumed to be alive have sent the same digest.

    `since` is the time of the last change of `converged`. `behind` lists the live members that have not sent
    the digest.
    """

    converged: bool
    since: int
    digest: int
    behind: tuple[int, ...]


class ReplyKind(Enum):
    """The kind of reply to a digest that differs from that of this member."""

    RANGES = "ranges"
    ENTRIES = "entries"


# Limits the share of replies among all messages.
REPLIES_PER_PERIOD = {ReplyKind.RANGES: 6, ReplyKind.ENTRIES: 12}


class SentRoot(NamedTuple):
    """The root digest that was last sent to a member, and the time of sending."""

    message: RootDigest | None
    sent_at: int


NO_ROOT_SENT = SentRoot(None, 0)


class MemberEntries:
    """One member's copy of the entries of all members.

    `compared_ranges` counts the ranges found to differ, `merged_entries` the received entries that were
    newer.
    """

    def __init__(
        self, member: int, members: int, start_time_s: int, zone_hash: int, period_us: int, now: int
    ) -> None:
        """`start_time_s` is the Unix time, in seconds, at which this process started."""
        self.member, self.members, self.period_us = member, members, period_us
        self.entries: dict[int, MemberEntry] = {}
        self.alive = {member}
        self.compared_ranges = self.merged_entries = 0
        self._hashes: dict[int, int] = {}
        self._digest = 0  # the sum of the hashes
        self._transmissions_left: dict[int, int] = {}  # by the member that the entry describes
        self._transmissions = ENTRY_TRANSMISSIONS * max(1, round(log2(max(2, members))))
        self._agreeing: set[int] = {member}  # members known to have sent the same digest as this one
        self._sent_digests: dict[int, int] = {}  # the last digest received from each member
        self._unconverged: set[int] = set()  # members that had not converged at their last digest
        self._sent_roots: dict[int, SentRoot] = {}
        self._converged, self._converged_since = False, now
        self._reply_budget = dict(REPLIES_PER_PERIOD)
        self._reply_budget_since = now
        self._last_push_at, self._push_count = now, member
        self._put(MemberEntry(member, start_time_s & UINT32_MASK, 0, zone_hash))
        self._update_convergence(now)

    # ---- the entry of this member ----

    @property
    def own(self) -> MemberEntry:
        """The entry of this member."""
        return self.entries[self.member]

    def update_own(self, phase: int, held_roles: Iterable[int], missing: Iterable[int], now: int) -> None:
        """Writes a new version of this member's entry if the content has changed."""
        own = self.own
        phase = int(phase)  # the digest covers the repr, which differs between an IntEnum member and an int
        held = tuple(sorted(set(held_roles))[:MAX_LISTED_ROLES])
        missing_hashes = tuple(sorted(set(missing))[:MAX_LISTED_ROLES])
        if (phase, held, missing_hashes) != (own.phase, own.held_roles, own.missing):
            changed = MemberEntry(
                self.member, own.start_time_s, own.version + 1, own.zone_hash, phase, held, missing_hashes
            )
            self._write_own(changed, now)

    def _write_own(self, entry: MemberEntry, now: int) -> None:
        start_time_s, version = entry.start_time_s, entry.version
        if version > MAX_VERSION:
            start_time_s, version = start_time_s + 1, 0
        self._put(replace(entry, start_time_s=start_time_s & UINT32_MASK, version=version))
        self._update_convergence(now)

    # ---- entries and member states ----

    def set_alive(self, alive: Iterable[int], now: int) -> None:
        """Sets the members that the failure detector reports as alive. A dead member's entry is retained."""
        alive_members = set(alive) | {self.member}
        for member in alive_members ^ self.alive:
            if member in alive_members:
                self.alive.add(member)
            else:
                self.alive.discard(member)
                self._sent_digests.pop(member, None)
                self._unconverged.discard(member)
            if member in self.entries:
                self._rehash(member)
        self._update_convergence(now)

    def _put(self, entry: MemberEntry) -> None:
        self.entries[entry.member] = entry
        self._rehash(entry.member)
        self._transmissions_left[entry.member] = self._transmissions

    def _rehash(self, member: int) -> None:
        """Updates the digest after a change of a member's entry or of whether it is alive."""
        previous = self._hashes.get(member, 0)
        self._hashes[member] = entry_hash(self.entries[member], member in self.alive)
        self._digest = (self._digest - previous + self._hashes[member]) % DIGEST_MODULUS

    def merge(self, entry: MemberEntry, now: int) -> bool:
        """Merges a received entry. Returns whether it was newer than the known one."""
        if not 0 <= entry.member < self.members:
            return False
        known = self.entries.get(entry.member)
        if known is not None and precedence(entry) <= precedence(known):
            return False
        self.merged_entries += 1
        if entry.member == self.member:
            # Otherwise the entry of an earlier process of this member whose clock was ahead would always win.
            own = self.own
            self._write_own(
                replace(own, start_time_s=max(entry.start_time_s, own.start_time_s) + 1, version=0), now
            )
        else:
            self._put(entry)
            self._update_convergence(now)
        return True

    # ---- convergence ----

    @property
    def digest(self) -> int:
        """The digest of all entries and of the members that are assumed to be alive."""
        return self._digest

    def _update_convergence(self, now: int) -> None:
        """Recomputes convergence after a change of the entries, the live members or the received digests."""
        if self._sent_digests.get(self.member) != self._digest:
            self._sent_digests[self.member] = self._digest
            self._agreeing = {
                member for member, digest in self._sent_digests.items() if digest == self._digest
            }
        converged = self.alive <= self._agreeing and self.alive <= self.entries.keys()
        if converged != self._converged:
            self._converged, self._converged_since = converged, now
            if converged:  # all live members have all entries, so none has to be sent again
                self._transmissions_left.clear()

    def convergence(self) -> Convergence:
        """Returns whether the fleet has converged, as far as this member knows."""
        behind = (self.alive - self._agreeing) | (self.alive - self.entries.keys())
        return Convergence(self._converged, self._converged_since, self._digest, tuple(sorted(behind)))

    # ---- messages of other members ----

    def receive(self, sender: int, messages: Iterable[Message], now: int) -> list[OutgoingMessage]:
        """Handles messages of another member. Returns the messages to send."""
        outgoing: list[OutgoingMessage] = []
        for message in messages:
            match message:
                case MemberEntry():
                    self.merge(message, now)
                case RootDigest():
                    self._receive_root(sender, message, now, outgoing)
                case RangeDigests():
                    self._receive_ranges(sender, message, now, outgoing)
                case EntriesRequest(low, high):
                    self._send_entries(sender, low, high, outgoing)
                case _:
                    pass  # belongs to another protocol
        return outgoing

    def _receive_root(self, sender: int, root: RootDigest, now: int, outgoing: list[OutgoingMessage]) -> None:
        self._sent_digests[sender] = root.digest
        agreeing = members_from_bits(root.agreeing)
        if root.agreeing:
            self._unconverged.add(sender)
            # The sender lacks the digest of this member, and may get no other frame addressed to it alone.
            if self.member not in agreeing and (own_root := self.root_digest(sender, now)) is not None:
                outgoing.append(OutgoingMessage(sender, own_root))
        else:
            self._unconverged.discard(sender)
        if root.digest == self._digest:
            self._agreeing |= {sender} | {member for member in agreeing if member < self.members}
        else:
            self._agreeing.discard(sender)
            if self._spend_reply(ReplyKind.RANGES, now):
                outgoing.append(OutgoingMessage(sender, self._range_digests(0, self.members)))
        self._update_convergence(now)

    def _spend_reply(self, kind: ReplyKind, now: int) -> bool:
        """Takes one reply from the budget of that kind for this period. Returns whether it may be sent.

        Ranges and entries have separate budgets: with a shared one, ranges used all of it and no entry was
        ever sent.
        """
        if now - self._reply_budget_since >= self.period_us:
            self._reply_budget = dict(REPLIES_PER_PERIOD)
            self._reply_budget_since = now
        self._reply_budget[kind] -= 1
        return self._reply_budget[kind] >= 0

    def _parts(self, low: int, high: int) -> list[tuple[int, int]]:
        """Returns the bounds (inclusive, exclusive) of the parts in which a range of members is compared."""
        size = high - low
        step = max(LEAF_MEMBERS, -(-size // RANGE_PARTS))  # rounded up
        return [(start, min(start + step, high)) for start in range(low, high, step)]

    def _range_digest(self, low: int, high: int) -> int:
        return sum(self._hashes.get(member, 0) for member in range(low, high)) % DIGEST_MODULUS

    def _range_digests(self, low: int, high: int) -> RangeDigests:
        digests = [self._range_digest(*part).to_bytes(DIGEST_BYTES) for part in self._parts(low, high)]
        return RangeDigests(low, high, b"".join(digests))

    def _receive_ranges(
        self, sender: int, ranges: RangeDigests, now: int, outgoing: list[OutgoingMessage]
    ) -> None:
        if not ranges.low < ranges.high <= self.members:
            return
        parts = self._parts(ranges.low, ranges.high)
        if len(ranges.digests) != DIGEST_BYTES * len(parts):
            return
        for step in range(len(parts)):
            # The comparison starts at a different part each time, so that the last parts get replies, too.
            index = (step + self.compared_ranges) % len(parts)
            low, high = parts[index]
            theirs = ranges.digests[index * DIGEST_BYTES : (index + 1) * DIGEST_BYTES]
            if int.from_bytes(theirs) == self._range_digest(low, high):
                continue
            is_leaf = high - low <= LEAF_MEMBERS
            if not self._spend_reply(ReplyKind.ENTRIES if is_leaf else ReplyKind.RANGES, now):
                return
            self.compared_ranges += 1
            if is_leaf:
                self._send_entries(sender, low, high, outgoing)
                outgoing.append(OutgoingMessage(sender, EntriesRequest(low, high)))
            else:
                outgoing.append(OutgoingMessage(sender, self._range_digests(low, high)))

    def _send_entries(self, recipient: int, low: int, high: int, outgoing: list[OutgoingMessage]) -> None:
        for member in range(low, min(high, low + LEAF_MEMBERS, self.members)):
            if (entry := self.entries.get(member)) is not None:
                outgoing.append(OutgoingMessage(recipient, entry))

    # ---- gossip ----

    def root_digest(self, recipient: int, now: int) -> RootDigest | None:
        """Returns the root digest for a frame to a member, or None if the same one was sent within a period.

        The set of agreeing members is left out if both members have converged.
        """
        recipient_agrees = self._sent_digests.get(recipient) == self._digest
        both_converged = self._converged and recipient not in self._unconverged and recipient_agrees
        root = RootDigest(self._digest, b"" if both_converged else members_to_bits(self._agreeing))
        last = self._sent_roots.get(recipient, NO_ROOT_SENT)
        if root == last.message and now - last.sent_at < self.period_us:
            return None
        self._sent_roots[recipient] = SentRoot(root, now)
        return root

    def push_digest(self, now: int) -> list[OutgoingMessage]:
        """Sends the root digest to one of the members that are behind, once a period until convergence.

        A member that sends only to all peers at once, such as load reports, is not pinged because its frames
        show that it is alive. It would neither receive a digest nor send its own.
        """
        if self._converged or now - self._last_push_at < self.period_us:
            return []
        self._last_push_at = now
        behind = [member for member in self.convergence().behind if member != self.member]
        if not behind:
            return []
        self._push_count += 1
        recipient = behind[self._push_count % len(behind)]
        self._sent_roots.pop(recipient, None)
        root = self.root_digest(recipient, now)
        return [OutgoingMessage(recipient, root)] if root is not None else []

    def take_updates(self) -> list[MemberEntry]:
        """Returns the entries to add to a frame, those that have been sent least often first."""
        by_priority = sorted(self._transmissions_left.items(), key=lambda item: (-item[1], item[0]))
        chosen = by_priority[:MAX_ENTRIES_PER_FRAME]
        for member, left in chosen:
            if left > 1:
                self._transmissions_left[member] = left - 1
            else:
                del self._transmissions_left[member]
        return [self.entries[member] for member, _ in chosen]
