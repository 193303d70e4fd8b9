"""The lease core played under faults: messages lost, late, doubled; cuts, stops, restarts, clocks that drift.

`Fleet` plays members on clocks of their own; true time is known to it alone. What must hold is checked in
each state: never two that hold, and a later holder's token is higher. `explore` plays every order of some
moves; `lab/mutants.py` has cores that each lack one of the reasons, which such play must catch.
"""

from __future__ import annotations

import copy
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from reedspoke.errors import ReedspokeError
from reedspoke.fleet.lease.events import (
    CandidacyChanged,
    LeaseAcquired,
    LeaseEnded,
    LeaseEvent,
    MessageReceived,
    SendMessage,
    TimePassed,
)
from reedspoke.fleet.lease.participant import LeaseParticipant
from reedspoke.fleet.lease.tokens import ROUND_US

UNIT = ROUND_US  # us in a unit of the play's time
TERM, DRIFT = 1_000, 0.25
RATES = (0.75, 1.25, 1.0, 0.9, 1.1)  # clocks, against true time


EVEN = (1.0,)  # where they agree, tokens must rise whoever has forgotten what


class TwoHoldersError(ReedspokeError, AssertionError):
    """Two members would act now if they were asked."""

    code = "lab-two-holders"
    remedy = "a defect in fleet/lease: keep the seed"


class TokenError(ReedspokeError, AssertionError):
    """A later holder's token is not above an earlier one's."""

    code = "lab-token-fell"
    remedy = "a defect in fleet/lease: keep the seed"


@dataclass
class Fleet:
    """Members on clocks of their own, and messages that arrive as the play says. Times are in units."""

    size: int
    seed: int
    make: type[LeaseParticipant] = LeaseParticipant
    drift: float = DRIFT
    rates: tuple[float, ...] = RATES
    true: float = 0.0
    members: list[LeaseParticipant] = field(default_factory=list)
    stopped: set[int] = field(default_factory=set)
    cuts: set[tuple[int, int]] = field(default_factory=set)  # one way
    flying: list[tuple[int, int, object]] = field(default_factory=list)
    tokens: list[int] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)
    free_since: float = 0.0
    ended: list[str] = field(default_factory=list)
    sent: int = 0
    lives: int = 0
    jumps: dict[int, int] = field(default_factory=dict)  # of wall clocks
    granters: tuple[int, ...] = ()
    lot: Random | None = None  # of the members; missing: each has its own

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.members = [self._new(number) for number in range(self.size)]
        for number in range(self.size):
            self.tell(number, CandidacyChanged(True))

    def _new(self, number: int) -> LeaseParticipant:
        self.lives += 1
        now = self.clock(number)
        wall = 10**12 + int(self.true * UNIT) + self.jumps.get(number, 0)
        return self.make(
            number,
            self.size,
            TERM * UNIT,
            self.drift,
            now,
            wall,
            self.lives,
            self.lot or Random(self.lives),
            self.granters,
        )

    def clock(self, number: int) -> int:
        return int(self.true * UNIT * self.rates[number % len(self.rates)])

    def tell(self, number: int, event: LeaseEvent) -> None:
        if number in self.stopped:
            return
        for effect in self.members[number].handle(event, self.clock(number)):
            if isinstance(effect, SendMessage):
                self.send(number, effect)
            elif isinstance(effect, LeaseAcquired):
                if self.tokens and effect.token <= self.tokens[-1] and self.rates is EVEN:
                    raise TokenError(f"{effect.token} behind {self.tokens[-1]}")
                self.gaps.append(self.true - self.free_since)
                self.tokens.append(effect.token)
            elif isinstance(effect, LeaseEnded):
                self.ended.append(effect.reason)
        self.check()

    def send(self, number: int, effect: SendMessage) -> None:
        """A member sends a message; it arrives as the play says."""
        self.sent += 1
        if (number, effect.recipient) not in self.cuts:
            self.flying.append((number, effect.recipient, effect.message))

    def holders(self) -> list[int]:
        """Those who would act now if asked."""
        return [n for n, member in enumerate(self.members) if member.holds(self.clock(n))]

    def check(self) -> None:
        if len(found := self.holders()) > 1:
            raise TwoHoldersError(f"{found} at {self.true}")
        if found:
            self.free_since = self.true

    def deliver(self, at: int) -> None:
        sender, to, message = self.flying.pop(at)
        if to not in self.stopped and (sender, to) not in self.cuts:
            self.tell(to, MessageReceived(sender, message))  # type: ignore[arg-type]

    def pass_time(self, span: float) -> None:
        self.true += span
        self.check()
        for number in range(self.size):
            self.tell(number, TimePassed())

    def restart(self, number: int) -> None:
        self.members[number] = self._new(number)
        self.stopped.discard(number)
        self.tell(number, CandidacyChanged(True))

    def calm(self, span: float, step: float = 10.0) -> None:
        """Everything arrives."""
        end = self.true + span
        while self.true < end:
            self.pass_time(step)
            for _ in range(6):
                for _ in range(len(self.flying)):
                    self.deliver(0)

    def wild(self, steps: int, *, restarts: bool = True) -> None:
        """Anything happens, in any order."""
        rng = self.random
        for _ in range(steps):
            dice = rng.random()
            if self.flying and dice < 0.75:
                at = rng.randrange(len(self.flying)) if rng.random() < 0.5 else 0
                if rng.random() < 0.08:
                    self.flying.append(self.flying[at])
                if rng.random() < 0.1:
                    self.flying.pop(at)
                else:
                    self.deliver(at)
            elif dice < 0.9:
                self.pass_time(rng.choice((1.0, 1.0, 4.0, 8.0, 150.0)))
            elif dice < 0.93 and restarts and len(self.lately()) < self.size // 2:
                self.restart(rng.randrange(self.size))
            elif dice < 0.95:
                self.stopped ^= {rng.randrange(self.size)}
            elif dice < 0.97:
                self.cuts ^= {(rng.randrange(self.size), rng.randrange(self.size))}
            elif dice < 0.98:
                self.cuts.clear()
                self.stopped.clear()
            if len(self.flying) > 40:
                self.flying = self.flying[-40:]

    def lately(self) -> list[int]:
        """Members that have started anew and are silent still."""
        return [n for n, m in enumerate(self.members) if self.clock(n) < m.voter.answers_from]

    def fork(self) -> Fleet:
        """The same state, to be played on by itself. Its members must share one lot that never changes."""
        other = copy.copy(self)
        other.members = [_fork(member) for member in self.members]
        other.stopped, other.cuts = set(self.stopped), set(self.cuts)
        other.flying, other.tokens = list(self.flying), list(self.tokens)
        other.gaps, other.ended, other.jumps = [], [], dict(self.jumps)
        return other

    def key(self) -> object:
        """Equal for states from which the same can follow."""
        members = tuple(
            (
                *(getattr(member, name) for name in KEPT),
                *(
                    getattr(member.voter, name)
                    for name in ("answers_from", "prepared", "granted", "granted_until")
                ),
                _round_key(member),
            )
            for member in self.members
        )
        return self.true, members, tuple(sorted(self.flying, key=repr)), self.lives


KEPT = (
    "candidate",
    "token",
    "granted_proposal",
    "expires_at",
    "renew_at",
    "_retry_at",
    "_backoff_doublings",
    "_highest_round",
    "proposer",
    "_started_at",
)


def _fork(member: LeaseParticipant) -> LeaseParticipant:
    other = copy.copy(member)
    other.voter = copy.copy(member.voter)
    if member._proposal is not None:
        other._proposal = copy.copy(member._proposal)
        other._proposal.answers = set(member._proposal.answers)
    return other


def _round_key(member: LeaseParticipant) -> object:
    asked = member._proposal
    if asked is None:
        return None
    return asked.number, asked.started_at, asked.gives_up_at, asked.accept_sent_at, frozenset(asked.answers)


class Middle(Random):
    """A lot that always falls in the middle: what follows a state is then its moves' alone."""

    def random(self) -> float:
        return 0.5


Move = Callable[[Fleet], None]


def bursts(fleet: Fleet) -> Iterator[Move]:
    """What can happen next: all that flies from one member to another arrives, is lost or comes twice, time
    passes, one starts anew."""
    for pair in sorted({(sender, to) for sender, to, _ in fleet.flying}):
        for times in (1, 0, 2):
            yield lambda one, pair=pair, times=times: _link(one, pair, times)  # type: ignore[misc]
    yield lambda one: one.pass_time(TERM * 0.1)
    yield lambda one: one.pass_time(TERM * 0.45)
    for number in range(fleet.size):
        yield lambda one, number=number: one.restart(number)  # type: ignore[misc]


def _link(fleet: Fleet, pair: tuple[int, int], times: int) -> None:
    mine = [item for item in fleet.flying if item[:2] == pair]
    fleet.flying = [item for item in fleet.flying if item[:2] != pair]
    for sender, to, message in mine * times:
        fleet.tell(to, MessageReceived(sender, message))  # type: ignore[arg-type]


@dataclass
class Explored:
    states: int
    depth: int  # to which every order was played
    seconds: float


def explore(start: Fleet, depth: int, seconds: float = 1e9) -> Explored:
    """Breadth first, each state once, until that depth or time. Raises what a state breaks."""
    began = time.monotonic()
    seen, front = {start.key()}, [start]
    for level in range(depth):
        following: list[Fleet] = []
        for fleet in front:
            if time.monotonic() - began > seconds:
                return Explored(len(seen), level, time.monotonic() - began)
            for move in bursts(fleet):
                branch = fleet.fork()
                move(branch)
                if (key := branch.key()) not in seen:
                    seen.add(key)
                    following.append(branch)
        front = following
    return Explored(len(seen), depth, time.monotonic() - began)


def held(size: int, make: type[LeaseParticipant] = LeaseParticipant) -> Fleet:
    """A fleet with a holder, ready to be explored."""
    fleet = Fleet(size, 0, make, lot=Middle())
    fleet.calm(2.2 * TERM)
    return fleet
