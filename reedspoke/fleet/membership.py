"""Who of the configured members is alive: a pure core in the manner of SWIM (Das, Gupta, Motivala, 2002).

Each period a member pings one other, the next of a shuffled round. Without an answer in time it asks some
others to ping that one for it (an answer lost on one link is no death), and without one at all it suspects
it, tells so, and holds it for gone unless it refutes within the suspicion's time: only the suspected one
raises its own `rank`. News travels on frames that go out anyway, each a bounded number of times. Any frame
heard from a member is a sign of its life: who talks is not pinged.

Against flapping, in the manner of Lifeguard (Dadgar, Phillips, Currey, 2017) and beyond: one whose own
pings fail, or who was stopped, gives the others more time; what others say of a member that was itself heard
within a period is not believed, but passed on to it, so that it can refute. A member that starts anew has
another life; news of a life replaces nothing that was heard from the member itself.

What is believed here decides no duty: leases do (`lease.py`). Time is an argument, us. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from math import log2
from random import Random

from reedspoke.fleet.frames import Ack, Ask, Matter, News, Ping
from reedspoke.fleet.mail import FORMER

DIRECT = 0.3  # of a period, until others are asked to ping
AGAIN = 2  # further pings within that time: one loss on a link is no ground for a suspicion
HELPERS = 3
MOST_HELPED = 32  # asks that are open here at once: each is a datagram to a third one
MOST_HEALTH = 4  # times as long as usual is waited, at the most, by one whose pings fail
STALL = 0.5  # of a period without a look: this process itself stood still
TELL_TIMES = 3  # times log2 of the members that a piece of news is sent
PIGGYBACK = 8  # pieces of news on one frame


class Standing(IntEnum):
    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    UNSEEN = 3  # never heard of; never told


KEPT, LOST = (Standing.ALIVE, Standing.SUSPECT), (Standing.SUSPECT, Standing.GONE)


@dataclass(slots=True)
class Member:
    standing: Standing = Standing.UNSEEN
    life: int = -1
    rank: int = 0
    since: int = 0  # of its standing
    heard: int = -1  # when it was heard itself last, -1: never
    known_itself: bool = False  # this life was heard from itself
    former: list[int] = field(default_factory=list)

    def leave(self, life: int, rank: int, *, itself: bool) -> None:
        """For another life, or the same heard from itself now."""
        if self.life not in (-1, life):
            self.former = [*self.former[1 - FORMER :], self.life]
        if life in self.former:  # it does speak for itself
            self.former.remove(life)
        self.life, self.rank, self.known_itself = life, rank, itself


@dataclass(slots=True)
class Probe:
    member: int
    number: int
    began: int
    ask_at: int
    until: int
    again: int  # us between further pings
    pings: int = 1
    asked: bool = False


@dataclass(slots=True, frozen=True)
class Change:
    member: int
    before: Standing
    now: Standing


class Membership:
    """`changes` collects what has changed of other members until it is taken."""

    def __init__(self, me: int, members: int, life: int, period: int, now: int, random: Random) -> None:
        self.me, self.life, self.rank = me, life, 0
        self.members = {number: Member() for number in range(members) if number != me}
        self.period, self.random = period, random
        self.suspicion = int((2 + log2(max(2, members))) * period)
        self.changes: list[Change] = []
        self._suspects: set[int] = set()
        self.health = 0
        self._news: dict[int, tuple[News, int]] = {}  # by member: with the times it is still to be sent
        self._times = TELL_TIMES * max(1, round(log2(max(2, members))))
        self._round: list[int] = []
        self._seeking: list[int] = []
        self._probe: Probe | None = None
        self._number = 0
        self._helping: dict[
            int, tuple[int, int, int, int]
        ] = {}  # our ping: (for whom, its number, whom, until)
        self._next_at = now + int(period * random.random())
        self._looked_at = now
        self._tell(News(me, life, 0, Standing.ALIVE))

    # ---- what is known ----

    def alive(self) -> list[int]:
        """All that are not held for gone, ourselves with them; suspects live until their time is over."""
        return sorted([self.me, *(at for at, one in self.members.items() if one.standing in KEPT)])

    def standing(self, member: int) -> Standing:
        return Standing.ALIVE if member == self.me else self.members[member].standing

    def _set(self, number: int, standing: Standing, now: int) -> None:
        one = self.members[number]
        if one.standing is not standing:
            self.changes.append(Change(number, one.standing, standing))
            one.standing, one.since = standing, now
            self._suspects.discard(number)
            if standing is Standing.SUSPECT:
                self._suspects.add(number)
        if standing is not Standing.UNSEEN:
            self._tell(News(number, one.life, one.rank, standing))

    # ---- time ----

    def tick(self, now: int) -> list[tuple[int, Matter]]:
        """What to send to whom. To be called several times a period."""
        stalled = now - self._looked_at
        self._looked_at = now
        out: list[tuple[int, Matter]] = []
        if stalled > self.period * STALL:
            # Guards the others against one that was stopped: answers lie unread, refutations as well.
            self._probe = None
            for number in self._suspects:
                self.members[number].since += stalled
        self._look_at_probe(now, out)
        for number in sorted(self._suspects):
            if now - self.members[number].since >= self.suspicion:
                self._set(number, Standing.GONE, now)
        for ours in [ours for ours, held in self._helping.items() if now >= held[3]]:
            del self._helping[ours]
        if now >= self._next_at:
            self._next_at = max(self._next_at + self.period, now + self.period // 2)
            if self._probe is None:
                self._begin(now, out)
        return out

    def _look_at_probe(self, now: int, out: list[tuple[int, Matter]]) -> None:
        probe = self._probe
        if probe is None:
            return
        if self._heard_within(probe.member, now, self.period):
            self._probe, self.health = None, max(0, self.health - 1)
            return
        if now >= probe.until:
            self._probe, self.health = None, min(MOST_HEALTH, self.health + 1)
            if self.members[probe.member].standing is Standing.ALIVE:
                self._set(probe.member, Standing.SUSPECT, now)
            return
        if probe.pings <= AGAIN and now >= probe.began + probe.pings * probe.again:
            probe.pings += 1
            self._ping(probe.member, probe.number, out)
        if now >= probe.ask_at and not probe.asked:
            probe.asked = True
            others = [at for at in self.alive() if at not in (self.me, probe.member)]
            for helper in self.random.sample(others, min(HELPERS, len(others))):
                out.append((helper, Ask(probe.number, probe.member)))

    def _begin(self, now: int, out: list[tuple[int, Matter]]) -> None:
        if (number := self._next(now)) is not None:
            self._number = self._number + 1 & 0xFFFF
            patience = self.period * (1 + self.health)
            ask_at, until = now + int(patience * DIRECT), now + patience
            self._probe = Probe(number, self._number, now, ask_at, until, patience // (AGAIN + 2))
            self.members[number].heard = min(self.members[number].heard, now - self.period)
            self._ping(number, self._number, out)
        if (absent := self._absent()) is not None:
            self._number = self._number + 1 & 0xFFFF
            self._ping(absent, self._number, out)

    def _ping(self, number: int, ours: int, out: list[tuple[int, Matter]]) -> None:
        """Who is suspected is told so with it, and can refute at once. One other member is told of as well:
        news that is passed on a bounded number of times may have reached all but a few."""
        out.append((number, Ping(ours)))
        missing = [at for at, one in self.members.items() if one.standing in LOST and one.life >= 0]
        known = [at for at, one in self.members.items() if one.life >= 0]
        lot = missing if missing and self.random.random() < 0.5 else known
        told = {self.random.choice(lot)} if lot else set()
        for at in sorted(told | ({number} & set(missing))):
            one = self.members[at]
            out.append((number, News(at, one.life, one.rank, one.standing)))

    def _next(self, now: int) -> int | None:
        """Of a shuffled round, so that each is looked at within as many periods as there are members."""
        for _ in range(len(self.members) + len(self._round)):
            if not self._round:
                self._round = sorted(self.members)
                self.random.shuffle(self._round)
            number = self._round.pop()
            if self.members[number].standing in KEPT and not self._heard_within(number, now, self.period):
                return number
        return None

    def _absent(self) -> int | None:
        """One that is not alive as far as is known here: it may be back, or not have been met yet."""
        if not self._seeking:
            self._seeking = [at for at, one in self.members.items() if one.standing not in KEPT]
            self.random.shuffle(self._seeking)
        return self._seeking.pop() if self._seeking else None

    def _heard_within(self, number: int, now: int, span: int) -> bool:
        heard = self.members[number].heard
        return heard >= 0 and now - heard < span

    # ---- what is heard ----

    def hear(self, sender: int, life: int, matters: Iterable[Matter], now: int) -> list[tuple[int, Matter]]:
        """A frame of `sender` has come, whatever it holds. What to send to whom."""
        out: list[tuple[int, Matter]] = []
        self._heard(sender, life, now)
        for matter in matters:
            match matter:
                case Ping(number):
                    out.append((sender, Ack(number)))
                case Ask(number, target) if (
                    target in self.members and target != sender and len(self._helping) < MOST_HELPED
                ):
                    self._number = self._number + 1 & 0xFFFF
                    self._helping[self._number] = sender, number, target, now + 2 * self.period
                    self._ping(target, self._number, out)
                case Ack(number):
                    self._acknowledged(sender, number, now, out)
                case News():
                    self._learn(matter, now, out)
        return out

    def _heard(self, sender: int, life: int, now: int) -> None:
        one = self.members[sender]
        if one.life != life or not one.known_itself:
            fresh = one.life != life
            one.leave(life, 0 if fresh else one.rank, itself=True)
            if fresh or one.standing is Standing.UNSEEN:
                self._set(sender, Standing.ALIVE, now)
        one.heard = now

    def _acknowledged(self, sender: int, number: int, now: int, out: list[tuple[int, Matter]]) -> None:
        helped = self._helping.get(number)
        if helped is not None and helped[2] == sender:
            del self._helping[number]
            asker, theirs, target, _ = helped
            one = self.members[target]
            out.append((asker, News(target, max(0, one.life), one.rank, Standing.ALIVE)))
            out.append((asker, Ack(theirs)))
        elif (probe := self._probe) is not None and probe.number == number and sender != probe.member:
            self._probe, self.health = None, max(0, self.health - 1)  # by way of a helper

    def _learn(self, told: News, now: int, out: list[tuple[int, Matter]]) -> None:
        if told.member == self.me:
            if told.life == self.life and told.state != Standing.ALIVE:
                # Told again also where a later rank is known already: who was deaf meanwhile has missed that.
                if told.rank >= self.rank:
                    self.rank = told.rank + 1 & 0xFFFF
                self._tell(News(self.me, self.life, self.rank, Standing.ALIVE))
            return
        one = self.members.get(told.member)
        if one is None:
            return
        if told.life != one.life:
            back = one.standing is Standing.GONE and told.state == Standing.ALIVE
            if told.life in one.former or one.known_itself and not back:
                return  # a former life, or one that it will tell of itself
            one.leave(told.life, told.rank, itself=False)
            self._set(told.member, Standing(told.state), now)
            return
        if (told.rank, told.state) <= (one.rank, one.standing):
            return
        if told.state != Standing.ALIVE and self._heard_within(told.member, now, self.period):
            out.append((told.member, told))
            return
        one.rank = told.rank
        self._set(told.member, Standing(told.state), now)

    # ---- what is told ----

    def _tell(self, news: News) -> None:
        self._news[news.member] = news, self._times

    def news(self) -> list[News]:
        """For a frame that goes out now; the least told first."""
        chosen = sorted(self._news.values(), key=lambda held: (-held[1], held[0].member))[:PIGGYBACK]
        for news, left in chosen:
            if left > 1:
                self._news[news.member] = news, left - 1
            else:
                del self._news[news.member]
        return [news for news, _ in chosen]
