"""What all schedulers say of themselves, carried by all, and whether everybody has heard the same: a pure
core.

This is belief. It settles in time and is never asked where something must be safe: what a majority has agreed
on is another thing, with other names (`replicated_log`).

Each member writes one entry of its own and nobody else's. Of two entries of one number the later life counts,
of one life the later version: a join, so that order, loss and repetition do not matter. Who hears of an entry
of its own number that it has not written has come after itself, or its clock has gone back: it begins a later
life than that one.

Entries travel on frames that go out anyway, each a bounded number of times. What was lost all the same is
found by halves: a digest of all goes with each ping and its answer; where two differ, digests of parts are
sent, of parts of those that differ, and at last the entries. Sums of hashes, so one entry's change is a
subtraction and an addition.

Settled: all that are believed alive have told the digest that we have. Who was heard to have told it travels
with the digest as a set that only grows while the digest stays, so that it is known after some rounds of
gossip and not after a word with each. Time is an argument, us. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import log2

from reedspoke.fleet.frames import MOST_HELD, Branch, Entry, Matter, Root, Want

PARTS = 16  # that a range is compared by
LEAF = 3  # members of a range whose entries are sent, no further parts
BRANCHES, LEAVES = 6, 12  # answers to other digests in a period: comparing must not crowd out the rest
TELL_TIMES = 3  # times log2 of the members that an entry is sent
PIGGYBACK = 3  # entries on one frame
WRAP = 1 << 64
MOST_VERSION = 0xFFFF
MOST_BORN = 0xFFFF_FFFF
SIZE = 8  # bytes of a digest


def hashed(entry: Entry, alive: bool) -> int:
    """Of what is believed of one member."""
    told = (entry.number, entry.born, entry.version, entry.zone, entry.phase, entry.holds, entry.lacks, alive)
    return int.from_bytes(blake2b(repr(told).encode(), digest_size=SIZE).digest())


def order(entry: Entry) -> tuple[object, ...]:
    """Of two entries of one number the higher one counts. Behind life and version all of it: two processes of
    one number could write the same version, and all have to keep the same one."""
    return entry.born, entry.version, entry.zone, entry.phase, entry.holds, entry.lacks


def bits(numbers: Iterable[int]) -> bytes:
    """A set of members as bytes."""
    told = sum(1 << number for number in set(numbers))
    return told.to_bytes((told.bit_length() + 7) // 8, "little")


def numbers_in(told: bytes) -> set[int]:
    value = int.from_bytes(told, "little")
    return {at for at in range(value.bit_length()) if value >> at & 1}


@dataclass(slots=True, frozen=True)
class Settled:
    """Whether all that are believed alive have told one digest, since when, and who has not if not."""

    settled: bool
    since: int
    digest: int
    behind: tuple[int, ...]


class View:
    """One member's. `born`: s of Unix time at its start. `alive` is told by the membership (`believe`)."""

    def __init__(self, me: int, members: int, born: int, zone: int, period: int, now: int) -> None:
        self.me, self.members, self.period = me, members, period
        self.entries: dict[int, Entry] = {}
        self.alive = {me}
        self.compared = self.merged = 0  # ranges that were compared, entries that were news
        self._hashes: dict[int, int] = {}
        self._news: dict[int, int] = {}  # by member: times that its entry is still to be sent
        self._times = TELL_TIMES * max(1, round(log2(max(2, members))))
        self._agree: set[int] = {me}  # those known to have told our digest
        self._told: dict[int, int] = {}  # the digest that each has told itself last
        self._open: set[int] = set()  # those whose last word was that they are not settled
        self._rooted: dict[int, tuple[Root | None, int]] = {}  # what each was told last, and when
        self._digest = 0
        self._since = now
        self._settled = False
        self._left, self._left_at = [BRANCHES, LEAVES], now
        self._nudged_at, self._nudges = now, me
        self._put(Entry(me, born & MOST_BORN, 0, zone))
        self._look(now)

    # ---- our own entry ----

    @property
    def mine(self) -> Entry:
        return self.entries[self.me]

    def say(self, phase: int, holds: Iterable[int], lacks: Iterable[int], now: int) -> None:
        """What we do from now on: a new version, where it differs from the last."""
        mine = self.mine
        told = phase, tuple(sorted(set(holds))[:MOST_HELD]), tuple(sorted(set(lacks))[:MOST_HELD])
        if told != (mine.phase, mine.holds, mine.lacks):
            self._write(mine.born, mine.version + 1, *told, now=now)

    def _write(
        self, born: int, version: int, phase: int, holds: tuple[int, ...], lacks: tuple[int, ...], now: int
    ) -> None:
        if version > MOST_VERSION:
            born, version = born + 1, 0
        self._put(Entry(self.me, born & MOST_BORN, version, self.mine.zone, phase, holds, lacks))
        self._look(now)

    # ---- what is believed ----

    def believe(self, alive: Iterable[int], now: int) -> None:
        """Who lives, as far as the membership knows. Nobody's entry is lost with its life."""
        told = set(alive) | {self.me}
        for number in told ^ self.alive:
            if number in told:
                self.alive.add(number)
            else:
                self.alive.discard(number)
                self._told.pop(number, None)
                self._open.discard(number)
            if (entry := self.entries.get(number)) is not None:
                self._digest = (self._digest - self._hashes[number]) % WRAP
                self._hashes[number] = hashed(entry, number in self.alive)
                self._digest = (self._digest + self._hashes[number]) % WRAP
        self._look(now)

    def _put(self, entry: Entry) -> None:
        self._digest = (self._digest - self._hashes.get(entry.number, 0)) % WRAP
        self.entries[entry.number] = entry
        self._hashes[entry.number] = hashed(entry, entry.number in self.alive)
        self._digest = (self._digest + self._hashes[entry.number]) % WRAP
        self._news[entry.number] = self._times

    def merge(self, entry: Entry, now: int) -> bool:
        """Whether it was news."""
        if not 0 <= entry.number < self.members:
            return False
        known = self.entries.get(entry.number)
        if known is not None and order(entry) <= order(known):
            return False
        self.merged += 1
        if entry.number == self.me:
            # Guards our own word against that of a former life that began later by a clock that was ahead.
            mine = self.mine
            self._write(max(entry.born, mine.born) + 1, 0, mine.phase, mine.holds, mine.lacks, now=now)
            return True
        self._put(entry)
        self._look(now)
        return True

    # ---- settled ----

    @property
    def digest(self) -> int:
        return self._digest

    def _look(self, now: int) -> None:
        """Behind each change of what is believed or was told."""
        if self._told.get(self.me) != self._digest:
            self._told[self.me] = self._digest
            self._agree = {number for number, told in self._told.items() if told == self._digest}
        settled = self.alive <= self._agree and self.alive <= self.entries.keys()
        if settled != self._settled:
            self._settled, self._since = settled, now
            if settled:  # everybody has what is still to be sent
                self._news.clear()

    def settled(self) -> Settled:
        lacking = self.alive - self._agree | self.alive - self.entries.keys()
        return Settled(self._settled, self._since, self._digest, tuple(sorted(lacking)))

    # ---- what is heard ----

    def hear(self, sender: int, matters: Iterable[Matter], now: int) -> list[tuple[int, Matter]]:
        """What to send to whom."""
        out: list[tuple[int, Matter]] = []
        for matter in matters:
            match matter:
                case Entry():
                    self.merge(matter, now)
                case Root(digest, agree):
                    self._hear_root(sender, digest, agree, now, out)
                case Branch(low, high, digests):
                    self._compare(sender, low, high, digests, now, out)
                case Want(low, high):
                    self._send(sender, low, high, out)
        return out

    def _hear_root(
        self, sender: int, digest: int, agree: bytes, now: int, out: list[tuple[int, Matter]]
    ) -> None:
        self._told[sender] = digest
        (self._open.add if agree else self._open.discard)(sender)
        if agree and self.me not in numbers_in(agree) and (told := self.root(sender, now)) is not None:
            out.append((sender, told))  # it misses our word, and may hear nothing else that is for it alone
        if digest == self._digest:
            self._agree |= {sender} | {one for one in numbers_in(agree) if one < self.members}
        else:
            self._agree.discard(sender)
            if self._spend(0, now):
                out.append((sender, self._branch(0, self.members)))
        self._look(now)

    def _spend(self, leaf: int, now: int) -> bool:
        """Parts and entries by turns of their own: where parts took all, no entry was ever sent."""
        if now - self._left_at >= self.period:
            self._left, self._left_at = [BRANCHES, LEAVES], now
        self._left[leaf] -= 1
        return self._left[leaf] >= 0

    def _ranges(self, low: int, high: int) -> list[tuple[int, int]]:
        step = max(LEAF, -(-(high - low) // PARTS))
        return [(at, min(at + step, high)) for at in range(low, high, step)]

    def _sum(self, low: int, high: int) -> int:
        return sum(self._hashes.get(number, 0) for number in range(low, high)) % WRAP

    def _branch(self, low: int, high: int) -> Branch:
        told = b"".join(self._sum(*part).to_bytes(SIZE) for part in self._ranges(low, high))
        return Branch(low, high, told)

    def _compare(
        self, sender: int, low: int, high: int, digests: bytes, now: int, out: list[tuple[int, Matter]]
    ) -> None:
        if not low < high <= self.members:
            return
        ranges = self._ranges(low, high)
        if len(digests) != SIZE * len(ranges):
            return
        for step in range(len(ranges)):
            at = (step + self.compared) % len(ranges)  # from another one each time: the last ones get theirs
            begin, end = ranges[at]
            if int.from_bytes(digests[at * SIZE : at * SIZE + SIZE]) == self._sum(begin, end):
                continue
            leaf = end - begin <= LEAF
            if not self._spend(leaf, now):
                return
            self.compared += 1
            if leaf:
                self._send(sender, begin, end, out)
                out.append((sender, Want(begin, end)))
            else:
                out.append((sender, self._branch(begin, end)))

    def _send(self, to: int, low: int, high: int, out: list[tuple[int, Matter]]) -> None:
        for number in range(low, min(high, low + LEAF, self.members)):
            if (entry := self.entries.get(number)) is not None:
                out.append((to, entry))

    # ---- what is told ----

    def root(self, to: int, now: int) -> Root | None:
        """For a frame that goes there; None: it was told the same within a period. Who is settled, and talks
        to one that is, leaves the set out."""
        alike = self._settled and to not in self._open and self._told.get(to) == self._digest
        told = Root(self._digest, b"" if alike else bits(self._agree))
        before, at = self._rooted.get(to, (None, 0))
        if told == before and now - at < self.period:
            return None
        self._rooted[to] = told, now
        return told

    def nudge(self, now: int) -> list[tuple[int, Matter]]:
        """Once a period, while it is not settled: one of those who are behind is told our digest. Guards
        those who speak to all alone, of jobs say: nobody pings them, and they never heard a digest or told
        theirs."""
        if self._settled or now - self._nudged_at < self.period:
            return []
        self._nudged_at = now
        behind = [number for number in self.settled().behind if number != self.me]
        if not behind:
            return []
        self._nudges += 1
        to = behind[self._nudges % len(behind)]
        self._rooted.pop(to, None)
        told = self.root(to, now)
        return [(to, told)] if told is not None else []

    def news(self) -> list[Entry]:
        """For a frame that goes out now; the least told first."""
        chosen = sorted(self._news.items(), key=lambda held: (-held[1], held[0]))[:PIGGYBACK]
        for number, left in chosen:
            if left > 1:
                self._news[number] = left - 1
            else:
                del self._news[number]
        return [self.entries[number] for number, _ in chosen]
