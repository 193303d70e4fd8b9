"""A duty that one scheduler holds at a time: a lease that a majority grants, without disk or common clock.

In the manner of PaxosLease (Trencseni, Gazso, Reinhardt, 2012): each member is a granter, and any may be the
holder. A round has two questions. `Prepare` asks the granters to heed no older ballot, and who holds now;
where a majority answers that nobody else does, `Propose` asks for a grant of `term`. What makes it safe:

- The holder counts its time from before it asks, and ends `end` of it earlier than any granter can: with
  clocks that run within `drift` of true time, end = term (1 - drift) / (1 + drift), by its own clock.
- A granter that starts anew has forgotten what it granted: it answers nothing until all that has run out.
- A majority of the granters meets every other one: two holders would need one granter that grants twice
  within a term. Granters are named by the configuration and never by who is alive: a part of the fleet that
  counted its own would be a majority of itself. Members that are no granters ask as the others do.
- A ballot names its asker's incarnation, so that two processes of one scheduler, while one replaces the
  other, are two askers.

A ballot is also the fencing token: who holds later has the higher one, as long as one of its granters has not
started anew. Beyond that rounds follow the wall clock, which is taken at the start and at no other time, and
carried on by the own one: tokens then rise as far as those agree. Whoever carries out an act asks `Fence`.

One object for each duty and member; `(event, now) -> effects`. `now` is us of a clock that goes on while the
process is stopped. No I/O, no clock of its own. Where a majority is out of reach nobody holds, and a holder's
lease runs out.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from reedspoke.fleet.frames import Accept, Message, Prepare, Promise, Propose, Refuse, Release

MOST_MEMBERS = 1024
LIVES = 16  # bits of an incarnation in a ballot
IDENTITY = 10 + LIVES  # bits of a ballot that name its asker; above them the round
ROUND_OF = 10_000  # us of the wall clock in a round, more than one is seldom asked in; a ballot fits 64 bits
RENEW = 0.5  # of a holder's time, after which it asks anew
ROUND = 0.125  # of a term: a round that has not ended by then is given up
BACK_OFF = (0.0625, 0.25)  # of a term, between rounds, by lot; doubled with each that failed, to MOST_FAILS
LATER = 0.25  # of a term: where a duty is vacant, members of the place that it prefers ask that much earlier
MOST_FAILS = 3  # doublings: many who want one duty must not spoil each other's rounds for ever


# ---- events ----


@dataclass(slots=True, frozen=True)
class Heard:
    sender: int
    message: Message


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; due often against a term (a fiftieth, say)."""


@dataclass(slots=True, frozen=True)
class Want:
    """Whether this member would have the duty; False gives it back, to `heir` if that one still wants it."""

    on: bool
    heir: int = -1


Event = Heard | Tick | Want

# ---- effects ----


@dataclass(slots=True, frozen=True)
class Tell:
    to: int
    message: Message


@dataclass(slots=True, frozen=True)
class Begun:
    """The duty is ours until `until` at the latest, by our clock; `token` goes with each act of it."""

    token: int
    until: int


@dataclass(slots=True, frozen=True)
class Extended:
    until: int


@dataclass(slots=True, frozen=True)
class Ended:
    why: str


Effect = Tell | Begun | Extended | Ended


def member_of(ballot: int) -> int:
    return ballot >> LIVES & MOST_MEMBERS - 1


def asker_of(ballot: int) -> int:
    """Member and incarnation."""
    return ballot & (1 << IDENTITY) - 1


class Granter:
    """What one member has promised and granted. `born`: its start, by its clock."""

    def __init__(self, born: int, term: int) -> None:
        self.term, self.silent_until = term, born + term
        self.promised = self.granted = self.ends = 0

    def hear(self, message: Prepare | Propose | Release, now: int) -> Promise | Accept | Refuse | None:
        if now < self.silent_until:
            return None  # it may have granted what it does not remember
        if isinstance(message, Release):
            if message.ballot == self.granted:
                self.granted = 0
            return None
        if message.ballot < self.promised:
            return Refuse(message.ballot, self.promised)
        held = self.granted if now < self.ends else 0
        if isinstance(message, Prepare) and held and asker_of(held) != asker_of(message.ballot):
            return Promise(message.ballot, held)  # no promise: who holds may renew, however many others ask
        self.promised = message.ballot
        if isinstance(message, Prepare):
            return Promise(message.ballot, held)
        self.granted, self.ends = message.ballot, now + self.term
        return Accept(message.ballot)


@dataclass(slots=True)
class Round:
    ballot: int
    began: int
    gives_up: int
    proposed_at: int = -1  # -1: it asks for promises still
    answers: set[int] = field(default_factory=set)
    contested: bool = False  # another asker or holder was met


class Lease:
    """A member's part in one duty. `wall`: us of the wall clock at the start, for the first round alone.
    `granters`: missing, all members. `near`: this member is where the duty had better be.

    Raises ValueError for members, granters or a drift that cannot be."""

    def __init__(
        self, me: int, members: int, term: int, drift: float, now: int, wall: int, incarnation: int,
        random: Random, granters: tuple[int, ...] = (), near: bool = True,
    ) -> None:  # fmt: skip
        if not 0 <= me < members <= MOST_MEMBERS:
            raise ValueError(f"member {me} of {members}")
        self.granters = granters or tuple(range(members))
        if len(set(self.granters)) != len(self.granters) or not set(self.granters) <= set(range(members)):
            raise ValueError(f"granters {self.granters} of {members}")
        if not 0 <= drift < 1:
            raise ValueError(f"drift {drift}")
        self.me, self.members, self.term, self.random = me, members, term, random
        self.identity = me << LIVES | incarnation & (1 << LIVES) - 1
        self.end = int(term * (1 - drift) / (1 + drift))
        self.granter = Granter(now, term)
        self.wanted = False
        self.token = 0  # of the duty that is ours, 0: it is not
        self.ballot = 0  # of its last grant
        self.until = 0
        self.renew_at = 0
        self._round: Round | None = None
        self._later = 0 if near else int(term * LATER)
        self._retry_at = now + int(term * BACK_OFF[1] * random.random()) + self._later
        self._fails = 0
        self._born, self._first = now, wall // ROUND_OF
        self._highest = self._first  # round that is known of
        self._effects: list[Effect] = []

    def handle(self, event: Event, now: int) -> list[Effect]:
        self._effects = []
        self._look(now)
        match event:
            case Heard(sender, message):
                self._hear(sender, message, now)
            case Want(on, heir):
                self.wanted = on
                if not on:
                    self._give_back(heir, now)
            case Tick():
                pass
        self._ask(now)
        return self._effects

    def holds(self, now: int) -> bool:
        """Ask before each act: also a process that was stopped meanwhile learns by it that it is late."""
        return self.token > 0 and now < self.until

    def yield_to(self, token: int) -> None:
        """A later holder is known: whatever our clock says, the duty is not ours."""
        self.token, self._round = 0, None
        self._highest = max(self._highest, token >> IDENTITY)

    def leave_until(self, until: int) -> None:
        """Somebody is known to hold it until then at the latest. Guards its granters against hundreds of
        members that ask all the while."""
        if not self.token and self._round is None:
            lot = BACK_OFF[0] + (BACK_OFF[1] - BACK_OFF[0]) * self.random.random()
            self._retry_at, self._fails = until + int(self.term * lot) + self._later, 0

    # ---- as a holder ----

    def _look(self, now: int) -> None:
        if self.token and now >= self.until:
            self._end("ran out")
        if self._round is not None and now >= self._round.gives_up:
            self._drop_round(now, contested=self._round.contested)

    def _end(self, why: str) -> None:
        self.token = 0
        self._effects.append(Ended(why))

    def _give_back(self, heir: int, now: int) -> None:
        """First we end, then the others may know."""
        self._round = None
        if self.token:
            self._end("released")
            told = Release(self.ballot, heir)
            for member in {*self.granters, *((heir,) if 0 <= heir < self.members else ())}:
                self._tell(member, told, now)

    def _drop_round(self, now: int, *, contested: bool) -> None:
        """Only rounds that met another one are spaced more and more. Guards the time after a cut: who heard
        nobody waited eight lots, and the duty rested for two terms more."""
        self._round = None
        if not contested:
            self._fails = 0
        least, most = BACK_OFF
        part = (least + (most - least) * self.random.random()) * 2**self._fails
        self._fails = min(MOST_FAILS, self._fails + 1) if not self.token else 0
        self._retry_at = now + int(self.term * part) + (0 if self.token else self._later)

    def _ask(self, now: int) -> None:
        if not self.wanted or self._round is not None or now < self._retry_at:
            return
        if self.token and now < self.renew_at:
            return
        # By the wall clock of the start and our own since: also where nobody knows of the last ballot.
        self._highest = max(self._highest + 1, self._first + (now - self._born) // ROUND_OF)
        self._round = Round(self._highest << IDENTITY | self.identity, now, now + int(self.term * ROUND))
        for member in self.granters:
            self._tell(member, Prepare(self._round.ballot), now)

    def _tell(self, to: int, message: Message, now: int) -> None:
        """Oneself is told at once: a member's own granter is one like the others."""
        if to != self.me:
            self._effects.append(Tell(to, message))
        elif isinstance(message, Prepare | Propose | Release):
            if (answer := self.granter.hear(message, now)) is not None:
                self._answered(self.me, answer, now)
        else:
            self._answered(self.me, message, now)

    # ---- what is heard ----

    def _hear(self, sender: int, message: Message, now: int) -> None:
        if not 0 <= sender < self.members or sender == self.me:
            return
        self._highest = max(self._highest, message.ballot >> IDENTITY)
        if isinstance(message, Prepare | Propose | Release):
            if member_of(message.ballot) != sender:
                return  # nobody asks in another's name
            if isinstance(message, Release) and message.heir >= 0:
                self._heed_heir(message.heir, now)
            if self.me in self.granters and (answer := self.granter.hear(message, now)) is not None:
                self._effects.append(Tell(sender, answer))
        elif sender in self.granters:
            self._answered(sender, message, now)

    def _heed_heir(self, heir: int, now: int) -> None:
        """The named one asks first; the others leave it the time of a round or two."""
        if heir == self.me:
            self._round, self._fails, self._retry_at = None, 0, now
        else:
            self._retry_at = max(self._retry_at, now + int(self.term * BACK_OFF[1]))

    def _answered(self, sender: int, message: Promise | Accept | Refuse, now: int) -> None:
        asked = self._round
        if asked is None or message.ballot != asked.ballot:
            return
        match message:
            case Refuse(_, highest):
                self._highest = max(self._highest, highest >> IDENTITY)
                self._drop_round(now, contested=True)
            case Promise(_, held) if asked.proposed_at < 0:
                if held and asker_of(held) != self.identity:
                    asked.contested = True  # somebody else has it: no vote for us
                    return
                asked.answers.add(sender)
                if self._majority(asked):
                    asked.answers.clear()
                    asked.proposed_at = now  # our time runs from here, before any granter's
                    for member in self.granters:
                        if self._round is asked:
                            self._tell(member, Propose(asked.ballot), now)
            case Accept(_) if asked.proposed_at >= 0:
                asked.answers.add(sender)
                if self._majority(asked):
                    self._granted(asked, now)

    def _majority(self, asked: Round) -> bool:
        return len(asked.answers) > len(self.granters) // 2

    def _granted(self, asked: Round, now: int) -> None:
        self._round, self._fails = None, 0
        until = asked.proposed_at + self.end
        if now >= until:
            return
        self.ballot, self.until = asked.ballot, until
        self.renew_at = asked.proposed_at + int(self.end * RENEW * (0.8 + 0.4 * self.random.random()))
        if self.token:
            self._effects.append(Extended(until))
        else:
            self.token = asked.ballot
            self._effects.append(Begun(self.token, until))


class Fence:
    """For whoever carries out a duty's acts: an older holder's come too late."""

    def __init__(self) -> None:
        self.token = self.refused = 0

    def admits(self, token: int) -> bool:
        if token < self.token:
            self.refused += 1
            return False
        self.token = token
        return True
