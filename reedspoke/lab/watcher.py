"""Who can hold a duty, by what crosses the relay: majorities of grants, told by nobody but the datagrams.

A holder's time begins no earlier than a majority of accepts has reached it, and ends at the latest `end`
after its question left it: both are seen here, by one clock. Two such spans of two askers that overlap are
two holders, whatever the processes say.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from reedspoke.fleet.frames import Accept, FrameError, Leased, Propose, Release, read
from reedspoke.fleet.lease import asker_of, member_of
from reedspoke.fleet.seal import Keys


@dataclass(slots=True)
class Grant:
    """Times in s."""

    ballot: int
    asked: float
    accepts: set[int] = field(default_factory=set)


@dataclass(slots=True)
class Span:
    asker: int
    token: int
    begin: float
    end: float


class Watcher:
    """`end`: s that a holder's lease lasts from its question on, by any clock at the most."""

    def __init__(self, granters: tuple[int, ...], end: float, keys: Keys) -> None:
        self.granters, self.end, self.keys = granters, end, keys
        self.spans: defaultdict[int, list[Span]] = defaultdict(list)  # by duty
        self.two_holders = 0
        self._grants: dict[tuple[int, int], Grant] = {}

    def seen(self, sender: int, to: int, body: bytes, when: float, arrived: bool) -> None:
        opened = self.keys.open(body)
        try:
            frame = read(opened or b"")
        except FrameError:
            return
        if frame.sender != sender:
            return
        for matter in frame.matters:
            if isinstance(matter, Leased):
                self._leased(matter, sender, to, when, arrived)

    def _leased(self, matter: Leased, sender: int, to: int, when: float, arrived: bool) -> None:
        key = matter.duty, matter.message.ballot
        match matter.message:
            case Propose(ballot) if member_of(ballot) == sender and key not in self._grants:
                grant = self._grants[key] = Grant(ballot, when)
                if sender in self.granters:
                    grant.accepts.add(sender)
                for old in [at for at, one in self._grants.items() if when - one.asked > 4 * self.end]:
                    del self._grants[old]
            case Accept(ballot) if arrived and sender in self.granters and member_of(ballot) == to:
                if (found := self._grants.get(key)) is None or sender in found.accepts:
                    return
                found.accepts.add(sender)
                if len(found.accepts) == len(self.granters) // 2 + 1:
                    self._held(matter.duty, ballot, when, found.asked + self.end)
            case Release(ballot) if member_of(ballot) == sender:
                self._over(matter.duty, asker_of(ballot), when)

    def _held(self, duty: int, ballot: int, begin: float, end: float) -> None:
        spans, asker = self.spans[duty], asker_of(ballot)
        if spans and spans[-1].asker == asker and begin <= spans[-1].end:
            spans[-1].end = max(end, spans[-1].end)
            return
        self.two_holders += sum(one.asker != asker and begin < one.end for one in spans[-8:])
        spans.append(Span(asker, ballot, begin, end))

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
