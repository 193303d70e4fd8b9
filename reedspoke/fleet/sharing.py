"""What schedulers tell each other of the jobs that they hold at workers: a pure core, one for each scheduler.

A change is told at once, in one message to all; what one still holds is told again every REFRESH, so that a
message lost is made good by then. Bytes follow traffic: each try earns `A_TRY` of them over all receivers,
and where they are spent, changes wait and travel together. What a peer has told counts until its next word on
that worker, until it starts anew (its incarnation changes), or until it has said nothing of it for FORGET: a
peer that dies takes no worker with it. Words out of order are told by their sequence. Times are us.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from reedspoke.fleet.frames import HEAD, PART, Held, Holdings, held_in, holdings, mark, newer
from reedspoke.logic import Dispatcher

REFRESH = 1_000_000  # us between words on a worker where nothing changes
FORGET = 2_500_000  # us: two words may be lost in a row
A_TRY = 384  # bytes over all receivers that a try earns; the platform prices 256 in full
A_SECOND = 64  # bytes for each receiver that a second earns: what is held is told again also without tries
SAVED = 32  # tries' worth that is kept at the most
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
    told: dict[int, tuple[int, int, Held]] = field(default_factory=dict)  # by mark: sequence, when, what


class Sharing:
    """`stale` counts what was older than what is known, `waited` how often bytes were spent."""

    def __init__(self, schedulers: int) -> None:
        self.receivers = max(1, schedulers - 1)
        self.stale = self.waited = 0
        self._told: dict[str, tuple[tuple[int, float], int]] = {}  # by worker: what was told of it, and when
        self._peers: dict[int, Peer] = {}
        self._check_at = 0
        self._sum: dict[int, tuple[int, float]] = {}  # by mark, over all peers
        self._credit, self._tries, self._earned_at = float(A_TRY * SAVED), 0, 0

    # ---- what we tell ----

    def say(self, now: int, held: Picture, tries: int) -> list[Holdings]:
        """What to tell every peer now. `tries`: how many attempts there have been so far."""
        due: list[tuple[str, Held]] = []
        for worker in held.keys() | self._told.keys():
            what = held.get(worker, (0, 0.0))
            told, at = self._told.get(worker, ((0, 0.0), now))
            if what != told or what[0] and now - at >= REFRESH:
                due.append((worker, Held(mark(worker), *what)))
        if not due or not self._afford(now, tries, len(due)):
            return []
        for worker, one in due:
            if one.slots:
                self._told[worker] = (one.slots, one.work), now
            else:
                self._told.pop(worker, None)
        # Sets have no order of their own.
        return list(holdings(sorted((one for _, one in due), key=lambda one: one.mark)))

    def _afford(self, now: int, tries: int, parts: int) -> bool:
        """Guards hundreds of receivers against every change of every peer at once."""
        since = min(now - self._earned_at, REFRESH) / 1_000_000
        earned = (tries - self._tries) * A_TRY + since * A_SECOND * self.receivers
        most = max(SAVED * A_TRY, 2.0 * A_SECOND * self.receivers)
        self._credit = min(most, self._credit + earned)
        self._tries, self._earned_at = tries, now
        if self._credit <= 0:
            self.waited += 1
            return False
        self._credit -= self.receivers * (HEAD + parts * PART.size)
        return True

    # ---- what we hear ----

    def hear(self, now: int, sender: int, incarnation: int, sequence: int, matter: Holdings) -> bool:
        """Whether anything in it was news: also the same again is an occasion to look anew at what is held
        (measured: heeding changes alone cost 0.03 of G on a rough day). Raises FrameError."""
        peer = self._peers.get(sender)
        if peer is None or incarnation != peer.incarnation:
            self._drop(sender)
            peer = self._peers[sender] = Peer(incarnation, now)
        peer.heard = now
        changed = False
        for one in held_in(matter):
            known = peer.told.get(one.mark)
            if known is not None and not newer(sequence, known[0]):
                self.stale += 1
                continue
            before = known[2] if known else Held(one.mark, 0, 0.0)
            peer.told[one.mark] = sequence, now, one
            self._add(one.mark, one.slots - before.slots, one.work - before.work)
            changed = True
        return changed

    def _add(self, which: int, slots: int, work: float) -> None:
        """Sums are kept, so that a word costs what it says, however many peers and workers there are."""
        held = self._sum.get(which, (0, 0.0))
        if held[0] + slots > 0:
            self._sum[which] = held[0] + slots, held[1] + work
        else:
            self._sum.pop(which, None)

    def _drop(self, number: int) -> None:
        if (peer := self._peers.pop(number, None)) is not None:
            for which, (_, _, one) in peer.told.items():
                self._add(which, -one.slots, -one.work)

    def forget(self, now: int) -> bool:
        """Whether the picture has changed by what nobody has confirmed in time."""
        if now < self._check_at:
            return False
        self._check_at, changed = now + FORGET // 10, False
        for number, peer in list(self._peers.items()):
            for which, (_, at, one) in list(peer.told.items()):
                if now - at >= FORGET:
                    del peer.told[which]
                    self._add(which, -one.slots, -one.work)
                    changed |= one.slots > 0
            if now - peer.heard >= QUIET:
                self._drop(number)
        return changed

    def others(self, workers: Iterable[str]) -> Picture:
        """What the others hold at these workers by their own word; those where it is nothing are left out."""
        if not self._sum:
            return {}
        marks = {mark(worker): worker for worker in workers}
        return {marks[which]: held for which, held in self._sum.items() if which in marks}
