"""The duties of a fleet, each held by one member at a time: a lease for each, who is known to hold it, and
the fence. Pure; what is done with a duty is its own part's (`Work`).

A member that begins or renews a duty tells all members so (`Holder`). Each keeps the highest token it has
heard for each duty and asks `Fence` before it heeds an act of one. One that hears a higher token for a duty
that it believes to hold itself ends it at once: with clocks worse than `drift` the lease alone would not.

Members that go by different electorates could each find a majority, so each tells a digest of its own
(`Creed`) with its pings: who hears of another one neither holds, asks nor grants until `QUIET` after the last
such word. Terms may differ by duty alone: a word on a lease of another term is not heeded.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Protocol
from zlib import crc32

from reedspoke.fleet.frames import Creed, Holder, Leased, mark
from reedspoke.fleet.lease import (
    Begun,
    Effect,
    Ended,
    Event,
    Extended,
    Fence,
    Heard,
    Lease,
    Tell,
    Tick,
    Want,
    member_of,
)

GRANTERS = 5  # members of the configuration that grant, where it names none: the first ones
MS = 1000
QUIET = 3  # terms of the longest duty, after the last word of a member with another electorate


@dataclass(slots=True, frozen=True)
class Duty:
    """`near`: this member is where the duty had better be. `able`: it may hold it at all."""

    name: str
    term: int  # us
    near: bool = True
    able: bool = True


@dataclass(slots=True, frozen=True)
class Electorate:
    """What must be the same at every member: their number, who grants, and by how much clocks may differ."""

    members: int
    granters: tuple[int, ...]
    drift: float

    def creed(self) -> Creed:
        return Creed(crc32(repr((self.members, self.granters, round(self.drift, 6))).encode()))


class Work(Protocol):
    """What is done by the one that holds a duty. No I/O: what it returns are effects for the reducer.

    Before each act ask `Duties.holds`; send `token` along with it, so that whoever carries it out can refuse
    an older one."""

    def begin(self, token: int, until: int, now: int) -> list[object]: ...

    def extend(self, until: int, now: int) -> list[object]: ...

    def end(self, why: str, now: int) -> list[object]: ...

    def tick(self, now: int) -> list[object]: ...


@dataclass(slots=True, frozen=True)
class Grip:
    """Somebody's hold on a duty, as far as is known here."""

    member: int
    token: int
    until: int  # by our clock, at the latest


Out = list[tuple[int, Leased | Holder]]  # to whom, -1: to all


class Duties:
    """`changes`: lines for the log; `counted`: by (duty, reason), ends of our own hold."""

    def __init__(
        self, me: int, electorate: Electorate, incarnation: int, now: int, wall: int, random: Random
    ) -> None:
        self.me, self.electorate, self.random = me, electorate, random
        self._incarnation, self._now, self._wall = incarnation, now, wall
        self.leases: dict[str, Lease] = {}
        self.known: dict[str, Grip] = {}
        self.fences: dict[str, Fence] = {}
        self.works: dict[str, Work] = {}
        self.counted: Counter[tuple[str, str]] = Counter()
        self.last: dict[str, str] = {}  # how the last hold that is known of ended
        self.changes: list[str] = []
        self.effects: list[object] = []  # of the works
        self.creed = electorate.creed()
        self.discord: dict[int, int] = {}  # members with another electorate, and until when that counts
        self._wanted: dict[str, bool] = {}
        self._unable: set[str] = set()
        self._names: dict[int, str] = {}
        self._out: Out = []

    def add(self, duty: Duty, work: Work | None = None) -> None:
        """Raises ValueError where another duty has the same name, or its mark."""
        which = mark(duty.name)
        if which in self._names:
            raise ValueError(f"duty {duty.name!r}: too like {self._names[which]!r}, choose another name")
        self._names[which] = duty.name
        told = self.electorate
        self.leases[duty.name] = Lease(
            self.me, told.members, duty.term, told.drift, self._now, self._wall, self._incarnation,
            self.random, told.granters, duty.near,
        )  # fmt: skip
        self.fences[duty.name] = Fence()
        if work is not None:
            self.works[duty.name] = work
        if not duty.able:
            self._unable.add(duty.name)

    def disable(self, name: str, now: int) -> Out:
        """This member can do it no longer: it gives the duty back, and asks for it no more."""
        out = self.want(False, -1, now, [name])
        self._unable.add(name)
        return out

    # ---- events; each returns what to tell whom ----

    def want(self, on: bool, heir: int, now: int, names: Iterable[str] | None = None) -> Out:
        """`heir`: the member that shall have them next, -1: whoever is first."""
        for name in self.leases if names is None else names:
            if name in self._unable:
                continue
            self._wanted[name] = on
            if not on or not self.discord:
                self._handle(name, Want(on, heir), now)
        return self._take()

    def hear_creed(self, sender: int, told: Creed, now: int) -> Out:
        if told == self.creed:
            self.discord.pop(sender, None)
            return []
        if sender not in self.discord:
            self.changes.append(
                f"fleet: scheduler {sender} has another number of members, other granters or another drift: "
                "no duty is held or granted here meanwhile"
            )
        if not self.discord:
            for name in self.leases:
                self._handle(name, Want(False), now)
        longest = max((lease.term for lease in self.leases.values()), default=0)
        self.discord[sender] = now + QUIET * longest
        return self._take()

    def _look_at_discord(self, now: int) -> None:
        over = [member for member, until in self.discord.items() if now >= until]
        for member in over:
            del self.discord[member]
        if over and not self.discord:
            self.changes.append("fleet: all members heard of have the same electorate again")
            for name, on in self._wanted.items():
                self._handle(name, Want(on), now)

    def tick(self, now: int) -> Out:
        self._look_at_discord(now)
        for name in self.leases:
            self._handle(name, Tick(), now)
            if name in self.works and self.holds(name, now):
                self.effects += self.works[name].tick(now)
        return self._take()

    def refused(self, name: str, token: int, now: int) -> Out:
        """Whoever carries out acts of that duty has seen a later token than ours."""
        self.overtaken(name, token, now)
        return self._take()

    def overtaken(self, name: str, token: int, now: int) -> None:
        """A later token than ours is known: whatever our lease says, the duty is not ours. What is asked for
        next has a token above that one."""
        lease = self.leases.get(name)
        if lease is not None:
            held = lease.token
            lease.yield_to(token)
            if held:
                self._ended(name, "overtaken", now)

    def hear(self, sender: int, matter: Leased | Holder, now: int) -> Out:
        name = self._names.get(matter.duty)
        if name is None:
            return []
        if isinstance(matter, Leased):
            if matter.term != self.leases[name].term // MS:
                self.counted[name, "other term"] += 1
            elif not self.discord:
                self._handle(name, Heard(sender, matter.message), now)
        else:
            self._hear_holder(name, sender, matter, now)
        return self._take()

    def _hear_holder(self, name: str, sender: int, matter: Holder, now: int) -> None:
        if member_of(matter.token) != sender or not self.fences[name].admits(matter.token):
            return
        lease = self.leases[name]
        if lease.token and matter.token > lease.token:
            # Guards a duty against clocks that differ by more than the drift that was told.
            self.overtaken(name, matter.token, now)
        until = now + min(matter.span * MS, lease.term)
        lease.leave_until(until)
        self._grip(name, Grip(sender, matter.token, until))

    # ---- what is known ----

    def holds(self, name: str, now: int) -> bool:
        return self.leases[name].holds(now)

    def holder(self, name: str, now: int) -> Grip | None:
        """By our own lease, or by what holders and our own granting tell."""
        lease = self.leases[name]
        if lease.holds(now):
            return Grip(self.me, lease.token, lease.until)
        known = self.known.get(name)
        return known if known is not None and now < known.until and known.member != self.me else None

    def _grip(self, name: str, grip: Grip) -> None:
        before = self.known.get(name)
        if before is None or before.token != grip.token:
            self.changes.append(f"duty {name}: held by {grip.member}, token {grip.token}")
        self.known[name] = grip

    # ---- the leases' effects ----

    def _handle(self, name: str, event: Event, now: int) -> None:
        for effect in self.leases[name].handle(event, now):
            self._carry_out(name, effect, now)

    def _carry_out(self, name: str, effect: Effect, now: int) -> None:
        lease, work = self.leases[name], self.works.get(name)
        match effect:
            case Tell(to, message):
                self._out.append((to, Leased(mark(name), lease.term // MS, message)))
            case Begun(token, until):
                self.fences[name].admits(token)
                self._grip(name, Grip(self.me, token, until))
                self.effects += work.begin(token, until, now) if work else ()
                self._proclaim(name, until, now)
            case Extended(until):
                self.effects += work.extend(until, now) if work else ()
                self._proclaim(name, until, now)
            case Ended(why):
                self._ended(name, why, now)

    def _proclaim(self, name: str, until: int, now: int) -> None:
        span = max(0, (until - now) // MS)
        self._out.append((-1, Holder(mark(name), self.leases[name].token, span)))

    def _ended(self, name: str, why: str, now: int) -> None:
        self.counted[name, why] += 1
        self.last[name] = why
        self.changes.append(f"duty {name}: ended here: {why}")
        self.known.pop(name, None)
        if (work := self.works.get(name)) is not None:
            self.effects += work.end(why, now)

    def _take(self) -> Out:
        out, self._out = self._out, []
        return out
