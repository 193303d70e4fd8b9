"""Random play of the record: granters that crash and forget, words that are lost, late and doubled, several
holders at once. What was acknowledged must never be gone, and no two may agree on different things."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from reedspoke.errors import ReedspokeError
from reedspoke.fleet.frames import frames, read
from reedspoke.fleet.log_messages import Recorded, Word
from reedspoke.fleet.record import Out, Record

PACE = 100


class LostError(ReedspokeError, AssertionError):
    """Something that was acknowledged is gone, or two agree on different things."""

    code = "lab-entry-lost"
    remedy = "a defect in fleet/record.py: keep the seed that the message names"


class Notes:
    """A machine that keeps all entries."""

    def __init__(self) -> None:
        self.told: dict[int, bytes] = {}

    def apply(self, number: int, data: bytes) -> None:
        self.told[number] = data

    def folded(self) -> bytes:
        return b"".join(
            number.to_bytes(4) + len(data).to_bytes(2) + data for number, data in self.told.items()
        )

    def unfold(self, data: bytes) -> None:
        self.told, at = {}, 0
        while at < len(data):
            size = int.from_bytes(data[at + 4 : at + 6])
            self.told[int.from_bytes(data[at : at + 4])] = data[at + 6 : at + 6 + size]
            at += 6 + size


@dataclass(slots=True)
class Rates:
    """Chances of each at a step."""

    loss: float = 0.1
    twice: float = 0.05
    crash: float = 0.004
    hold: float = 0.01
    propose: float = 0.3
    cut: float = 0.01


@dataclass
class Group:
    """`size` granters; `make` may be a mutation of `Record`. `forgetful`: at most so many are blank at
    once."""

    size: int
    seed: int
    make: type[Record] = Record
    rates: Rates = field(default_factory=Rates)
    forgetful: int = -1

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.now = 0
        self.token = 0
        self.lives = 0
        self.parts: dict[int, Record] = {}
        self.wires: list[tuple[int, int, int, Word]] = []  # when, from, to, what
        self.cut: set[int] = set()
        self.truth: dict[int, tuple[int, bytes]] = {}  # by number, as first agreed on by anybody
        self.acknowledged: dict[bytes, int] = {}
        self.waiting: list[tuple[int, int, bytes, int]] = []  # member, number, data, token
        self.seen: dict[int, int] = {}
        self.count = 0
        most = (self.size - 1) // 2
        self.forgetful = most if self.forgetful < 0 else self.forgetful
        for me in range(self.size):
            self.start(me)

    def start(self, me: int) -> None:
        self.lives += 1
        self.parts[me] = self.make(me, tuple(range(self.size)), self.lives, Notes(), PACE)
        self.seen[me] = 0
        self.waiting = [one for one in self.waiting if one[0] != me]

    def send(self, me: int, out: Out) -> None:
        for to, word in out:
            (body,) = frames(me, 1, 1, [Recorded(7, word)])
            (matter,) = read(body).matters
            assert isinstance(matter, Recorded)
            for _ in range(1 + (self.random.random() < self.rates.twice)):
                if self.random.random() >= self.rates.loss:
                    self.wires.append((self.now + self.random.randrange(1, 60), me, to, matter.word))

    def step(self) -> None:
        self.now += self.random.randrange(1, 8)
        random, rates = self.random, self.rates
        for wire in [wire for wire in self.wires if wire[0] <= self.now]:
            self.wires.remove(wire)
            _, sender, to, word = wire
            if (sender in self.cut) == (to in self.cut):
                self.send(to, self.parts[to].hear(sender, word, self.now))
                self.watch(to)
        for me, part in self.parts.items():
            self.send(me, part.tick(self.now))
            self.watch(me)
        if random.random() < rates.hold or (not self.token and random.random() < 0.2):
            self.token += random.randrange(1, 5)
            me = random.randrange(self.size)
            self.send(me, self.parts[me].hold(self.token, self.now))
            self.watch(me)
        if random.random() < rates.propose:
            able = [me for me, part in self.parts.items() if part.serving and part.last < part.agreed + 20]
            if able:
                me = random.choice(able)
                self.count += 1
                data = b"n%d" % self.count
                number, out = self.parts[me].propose(data, self.now)
                lead = self.parts[me].lead
                assert lead is not None
                self.waiting.append((me, number, data, lead.token))
                self.send(me, out)
                self.watch(me)
        blank = sum(part.blank for part in self.parts.values())
        if random.random() < rates.crash and blank < self.forgetful and self.token:
            self.start(random.randrange(self.size))
        if random.random() < rates.cut:
            self.cut = set() if self.cut else set(random.sample(range(self.size), (self.size - 1) // 2))

    def watch(self, me: int) -> None:
        """What this one holds for agreed on, against what anybody did before."""
        part = self.parts[me]
        for number in range(max(self.seen[me], part.base) + 1, part.agreed + 1):
            told = part.entries[number - part.base - 1]
            if self.truth.setdefault(number, told) != told:
                raise LostError(f"{me} agrees on {told} at {number}, another on {self.truth[number]}")
        self.seen[me] = max(self.seen[me], part.agreed)
        for one in list(self.waiting):
            member, number, data, token = one
            if member == me and part.agreed >= number:
                self.waiting.remove(one)
                if part.base < number and part.entries[number - part.base - 1] == (token, data):
                    self.acknowledged[data] = number

    def check(self) -> None:
        """At the end: what was acknowledged stands in the notes of who serves."""
        for data, number in self.acknowledged.items():
            if self.truth.get(number, (0, b""))[1] != data:
                raise LostError(f"{data!r} was acknowledged as {number} and is gone")
        for part in self.parts.values():
            notes = part.machine
            assert isinstance(notes, Notes)
            for number, data in notes.told.items():
                if number in self.truth and self.truth[number][1] != data:
                    raise LostError(f"{part.me} has noted {data!r} at {number}")

    def run(self, steps: int) -> Group:
        for _ in range(steps):
            self.step()
        self.check()
        return self

    def calm(self, steps: int = 1500) -> bool:
        """Whether a last holder serves, with nobody blank, once nothing fails any longer."""
        self.rates, self.cut = Rates(0, 0, 0, 0, 0, 0), set()
        self.token += 1
        me = self.random.randrange(self.size)
        self.send(me, self.parts[me].hold(self.token, self.now))
        for _ in range(steps):
            self.step()
        self.check()
        agreed = {part.agreed for part in self.parts.values()}
        return (
            self.parts[me].serving
            and len(agreed) == 1
            and not any(part.blank for part in self.parts.values())
        )


# ---- records that each lack one of the reasons by which nothing is lost ----


class Hasty(Record):
    """Acknowledges before a majority."""

    def _advance(self, now: int) -> Out:
        self._agree(self.last)
        return super()._advance(now)


class Deaf(Record):
    """A holder that does not read a majority first."""

    def _take_up(self, now: int) -> Out:
        return self._serve(now)


class Amnesiac(Record):
    """It votes at once in a life that remembers nothing."""

    def __init__(self, *rest: object) -> None:
        super().__init__(*rest)  # type: ignore[arg-type]
        self.blank = False


class Careless(Record):
    """It heeds a holder of a lower token."""

    def hear(self, sender: int, word: Word, now: int) -> Out:
        self.promised = 0
        return super().hear(sender, word, now)


class Counting(Record):
    """It agrees on entries of former holders by counting who has them. Random play does not come by what that
    breaks: a test of its own does."""

    def _advance(self, now: int) -> Out:
        assert self.lead is not None
        found = sorted([self.last, *(peer.matched for peer in self.lead.peers.values())], reverse=True)
        self._agree(found[self.majority - 1])
        return super()._advance(now)


class Shortest(Record):
    """It takes the log of whoever answers first."""

    def _take_up(self, now: int) -> Out:
        lead = self.lead
        assert lead is not None
        if len([told for told in lead.answers.values() if not told.blank]) + (not self.blank) < self.majority:
            return super()._take_up(now)
        return self._serve(now)


MUTANTS: tuple[type[Record], ...] = (Hasty, Deaf, Amnesiac, Careless, Shortest)


def caught(make: type[Record], most: int = 400, steps: int = 1500) -> int:
    """After how many plays the mutation is found out; 0: it is not."""
    for seed in range(1, most + 1):
        rates = (Rates(), Rates(hold=0.05, cut=0.05, loss=0.2), Rates(hold=0.1, loss=0.4, propose=0.6))[
            seed % 3
        ]
        try:
            Group(3 if seed % 2 else 5, seed, make, rates).run(steps)
        except (LostError, AssertionError, IndexError, ValueError):
            return seed
    return 0
