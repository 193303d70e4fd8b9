"""Who holds a duty, by what crosses the relay between the processes.

A span is a time at which its asker certainly holds, so two spans of two askers overlap only where two held at
once. What is seen late, by a slow relay or of a process that stood still, makes a span shorter and no longer:

- It begins as its asker tells that it holds (`LeaseHeld`), whoever has granted that.
- It ends `end` after a majority of promises had passed the relay, at the latest: the asker proposes behind
  those, and counts its time from before it proposes. When the proposal itself is seen says nothing.
- It ends as a release comes to the relay, whether that is passed on, delayed or lost.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from reedspoke.fleet.lease.tokens import member_of, proposer_of
from reedspoke.fleet.messages.errors import FrameError
from reedspoke.fleet.messages.frame import decode_frame
from reedspoke.fleet.messages.lease import (
    AcceptResponse,
    LeaseHeld,
    LeaseMessage,
    LeaseProtocolMessage,
    LeaseReleased,
    PrepareResponse,
)
from reedspoke.fleet.transport.authentication import FrameKeys

MOST_OVERLAPS_TOLD = 8


@dataclass(slots=True)
class Round:
    """One round of an asker. Times in s."""

    ballot: int
    begun_at: float  # the first sign of it
    promises: set[int]
    proposed_after: float | None = None  # no proposal was made before; None: no promise has passed


@dataclass(slots=True)
class Span:
    asker: int
    token: int
    begin: float
    end: float


@dataclass(slots=True, frozen=True)
class Overlap:
    """Two that held one duty at one time."""

    duty: int
    earlier: Span
    later: Span


class Watcher:
    """`end`: s that a holder's lease lasts from its question on, by any clock at the most. `keys`: of sealed
    frames; None where no frames are read."""

    def __init__(self, granters: tuple[int, ...], end: float, keys: FrameKeys | None = None) -> None:
        self.granters, self.end, self.keys = granters, end, keys
        self.spans: defaultdict[int, list[Span]] = defaultdict(list)  # by duty
        self.two_holders = 0
        self.overlaps: list[Overlap] = []  # the first ones
        self._rounds: dict[tuple[int, int], Round] = {}
        self._granted: dict[tuple[int, int], Round] = {}  # the last one that was accepted, by duty and asker

    # ---- what crosses the relay ----

    def came(self, sender: int, body: bytes, when: float) -> None:
        """A datagram has come to the relay, whatever becomes of it."""
        for matter in self._matters(sender, body):
            if isinstance(matter, LeaseHeld):
                self.told(sender, matter.role_hash, matter.token, when)
            else:
                self.sent(sender, matter.role_hash, matter.message, when)

    def passed_on(self, sender: int, to: int, body: bytes, when: float) -> None:
        """A datagram goes on to its receiver."""
        for matter in self._matters(sender, body):
            if isinstance(matter, LeaseMessage):
                self.received(sender, to, matter.role_hash, matter.message, when)

    def _matters(self, sender: int, body: bytes) -> list[LeaseMessage | LeaseHeld]:
        opened = body if self.keys is None else self.keys.verify(body)
        try:
            frame = decode_frame(opened or b"")
        except FrameError:
            return []
        if frame.sender != sender:
            return []
        return [matter for matter in frame.messages if isinstance(matter, LeaseMessage | LeaseHeld)]

    def told(self, sender: int, duty: int, token: int, when: float) -> None:
        """A member tells that it holds the duty: its last round was granted."""
        found = self._granted.get((duty, proposer_of(token)))
        if member_of(token) != sender or found is None or found.proposed_after is None:
            return
        end = found.proposed_after + self.end
        if when < end:
            self._held(duty, found.ballot, when, end)

    def sent(self, sender: int, duty: int, message: LeaseProtocolMessage, when: float) -> None:
        """A member has sent a message on a duty."""
        if isinstance(message, LeaseReleased) and member_of(message.proposal) == sender:
            self._over(duty, proposer_of(message.proposal), when)

    def received(self, sender: int, to: int, duty: int, message: LeaseProtocolMessage, when: float) -> None:
        """A message on a duty is about to reach a member."""
        if sender not in self.granters or member_of(message.proposal) != to:
            return
        match message:
            case PrepareResponse(ballot, held) if not held or proposer_of(held) == proposer_of(ballot):
                self._promise(self._round(duty, ballot, when), sender, when)
            case AcceptResponse(ballot):
                self._accept(self._round(duty, ballot, when), duty)
            case _:
                pass

    # ---- rounds ----

    def _round(self, duty: int, ballot: int, when: float) -> Round:
        """The asker's own granter is taken to promise at once."""
        key = duty, ballot
        if key not in self._rounds:
            for old in [at for at, item in self._rounds.items() if when - item.begun_at > 4 * self.end]:
                del self._rounds[old]
            self._rounds[key] = Round(ballot, when, {member_of(ballot)} & set(self.granters))
        return self._rounds[key]

    def _promise(self, found: Round, sender: int, when: float) -> None:
        """The last promise that a majority needs is the latest that is known to come before the proposal."""
        if sender in found.promises:
            return
        found.promises.add(sender)
        if found.proposed_after is None or len(found.promises) <= len(self.granters) // 2 + 1:
            found.proposed_after = when

    def _accept(self, found: Round, duty: int) -> None:
        key = duty, proposer_of(found.ballot)
        before = self._granted.get(key)
        if before is None or before.ballot < found.ballot:
            self._granted[key] = found

    # ---- spans ----

    def _held(self, duty: int, ballot: int, begin: float, end: float) -> None:
        spans, asker = self.spans[duty], proposer_of(ballot)
        if spans and spans[-1].asker == asker and begin <= spans[-1].end:
            spans[-1].end = max(end, spans[-1].end)
            return
        span = Span(asker, ballot, begin, end)
        for other in spans[-8:]:
            if other.asker != asker and begin < other.end:
                self._overlapped(Overlap(duty, other, span))
        spans.append(span)

    def _overlapped(self, overlap: Overlap) -> None:
        self.two_holders += 1
        if len(self.overlaps) < MOST_OVERLAPS_TOLD:
            self.overlaps.append(overlap)

    def _over(self, duty: int, asker: int, when: float) -> None:
        for span in self.spans[duty][-8:]:
            if span.asker == asker:
                span.end = min(span.end, when)

    def dead(self, member: int, when: float) -> None:
        """The process has been killed: it holds nothing any more."""
        for spans in self.spans.values():
            for span in spans[-8:]:
                if member_of(span.asker) == member:
                    span.end = min(span.end, when)

    def holder(self, duty: int, when: float) -> int | None:
        found = [span for span in self.spans[duty][-8:] if span.begin <= when < span.end]
        return member_of(found[-1].asker) if found else None

    def handovers(self) -> int:
        return sum(
            sum(one.asker != before.asker for before, one in zip(spans, spans[1:], strict=False))
            for spans in self.spans.values()
        )
