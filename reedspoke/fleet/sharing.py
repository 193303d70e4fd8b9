"""What schedulers tell each other of the jobs that they hold at workers: a pure core, one for each scheduler.

A change is told at once, in one message to all; what one still holds is told again every REFRESH, so that a
message lost is made good by then. What a peer has told counts until its next word on that worker, until it
starts anew (its incarnation changes), or until it has said nothing of it for FORGET: a peer that dies takes
no worker with it. Out of order words are told by their sequence. Time is an argument, us.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from reedspoke.fleet.words import PARTS, Held, Word, WordsError, decode, encode, mark, newer
from reedspoke.logic import Dispatcher

REFRESH = 1_000_000  # us between words on a worker where nothing changes
FORGET = 2_500_000  # us: two words may be lost in a row
QUIET = 20_000_000  # us after which a peer that said nothing is forgotten whole

Picture = dict[str, tuple[int, float]]  # by worker: slots, and work in us


def held_by(module: Dispatcher) -> Picture:
    """What a scheduler's attempts hold now."""
    found: Picture = {}
    for attempt in module.out.values():
        if not attempt.lost_at:
            worker = attempt.worker
            found[worker.id] = worker.used, worker.load
    return found


@dataclass(slots=True)
class Peer:
    incarnation: int
    heard: int
    former: int = -1  # the incarnation before: its last words may come late
    told: dict[int, tuple[int, int, Held]] = field(default_factory=dict)  # by mark: sequence, when, what


class Sharing:
    """`heard` counts the words used, `strangers`, `malformed` and `stale` what was passed over."""

    def __init__(self, me: int, schedulers: int, incarnation: int) -> None:
        self.me, self.schedulers, self.incarnation = me, schedulers, incarnation & 0xFFFF
        self.heard = self.strangers = self.malformed = self.stale = 0
        self._sequence = 0
        self._told: dict[str, tuple[tuple[int, float], int]] = {}  # by worker: what was told of it, and when
        self._peers: dict[int, Peer] = {}
        self._check_at = 0

    # ---- what we tell ----

    def say(self, now: int, held: Picture) -> list[str]:
        """The messages to send to every peer now."""
        due: list[Held] = []
        for worker in held.keys() | self._told.keys():
            what = held.get(worker, (0, 0.0))
            told, at = self._told.get(worker, ((0, 0.0), now))
            if what != told or what[0] and now - at >= REFRESH:
                due.append(Held(mark(worker), *what))
                if what[0]:
                    self._told[worker] = what, now
                else:
                    self._told.pop(worker, None)
        due.sort(key=lambda one: one.mark)  # sets have no order of their own
        return [self._word(due[at : at + PARTS]) for at in range(0, len(due), PARTS)]

    def _word(self, held: Iterable[Held]) -> str:
        self._sequence = (self._sequence + 1) & 0xFFFF
        return encode(Word(self.me, self.incarnation, self._sequence, tuple(held)))

    # ---- what we hear ----

    def hear(self, now: int, body: bytes | str) -> bool:
        """Whether the picture of the others has changed by it."""
        try:
            word = decode(body)
        except WordsError:
            self.malformed += 1
            return False
        if word.sender == self.me or word.sender >= self.schedulers:
            self.strangers += 1
            return False
        peer = self._peers.get(word.sender)
        if peer is None:
            peer = self._peers[word.sender] = Peer(word.incarnation, now)
        elif word.incarnation == peer.former:
            self.stale += 1
            return False
        elif word.incarnation != peer.incarnation:
            peer.former, peer.incarnation = peer.incarnation, word.incarnation
            peer.told.clear()
        peer.heard = now
        self.heard += 1
        for one in word.held:
            known = peer.told.get(one.mark)
            if known is not None and not newer(word.sequence, known[0]):
                self.stale += 1
            else:
                peer.told[one.mark] = word.sequence, now, one
        return bool(word.held)

    def forget(self, now: int) -> bool:
        """Whether the picture has changed by what nobody has confirmed in time."""
        if now < self._check_at:
            return False
        self._check_at, changed = now + FORGET // 10, False
        for number, peer in list(self._peers.items()):
            for which, (_, at, one) in list(peer.told.items()):
                if now - at >= FORGET:
                    del peer.told[which]
                    changed |= one.slots > 0
            if now - peer.heard >= QUIET:
                del self._peers[number]
        return changed

    def others(self, workers: Iterable[str]) -> Picture:
        """What the others hold at these workers by their own word; those where it is nothing are left out."""
        found: Picture = {}
        marks = {mark(worker): worker for worker in workers}
        for peer in self._peers.values():
            for which, (_, _, one) in peer.told.items():
                if one.slots and (worker := marks.get(which)) is not None:
                    slots, work = found.get(worker, (0, 0.0))
                    found[worker] = slots + one.slots, work + one.work
        return found
