"""A fleet of any size in virtual time and one process: the cores of membership and duties, with their real
frames, over a network of ours. It counts bytes, and what each scheduler believes, against what is true."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from reedspoke.booking.booking_node import BookingNode
from reedspoke.booking.limits import BookingLimits
from reedspoke.fleet.anti_entropy import MemberEntries
from reedspoke.fleet.failure_detector import FailureDetector, MemberState
from reedspoke.fleet.messages.frame import EVERY_PEER
from reedspoke.fleet.node import FleetNode
from reedspoke.fleet.replicated_log.log_state import PersistentState
from reedspoke.fleet.roles.singleton_roles import SingletonRole, SingletonRoles, VoterConfiguration
from reedspoke.fleet.transport.channel import FrameChannel

SECOND = 1_000_000
DUTY = "a-duty"


@dataclass(slots=True)
class Weather:
    """Of the network. Delays in us."""

    loss: float = 0.0
    delay: tuple[int, int] = (200, 2_000)
    twice: float = 0.0
    cuts: set[tuple[int, int]] = field(default_factory=set)  # one way


class Process:
    """One scheduler's part, without the rest of the program."""

    def __init__(self, play: Play, number: int, life: int) -> None:
        self.play, self.number, self.life, self.stopped = play, number, life, False
        now = self.clock()
        random = Random(play.random.getrandbits(32))
        wall = 1_700_000_000 * SECOND + play.now
        told = play.electorates.get(number, play.electorate)
        self.mail = FrameChannel(number, play.size, life)
        self.membership = FailureDetector(number, play.size, life, play.period, now, random)
        self.duties = SingletonRoles(number, told, life, now, wall, random)
        for duty in play.duties:
            self.duties.add(duty)
        self.view = MemberEntries(number, play.size, wall // SECOND, number % 2, play.period, now)
        self.party = FleetNode(self.mail, self.membership, self.duties, self.view)
        self.booking_node: BookingNode | None = None
        if play.booking_limits is not None:
            since = play.born
            self.booking_node = BookingNode(
                self.party,
                play.booking_limits,
                play.term,
                next(play.request_numbers) << 12,
                lambda _: (since + play.now) // SECOND,
            )
            if play.folder and self.booking_node.replicated_log is not None:
                self.booking_node.stores_changes = True
                if number in play.stored_logs:
                    self.booking_node.replicated_log.restore(play.stored_logs[number])
        self.tokens: dict[str, int] = {}
        self.want(True)

    def clock(self) -> int:
        rates = self.play.rates
        return int(self.play.now * rates[self.number % len(rates)])

    def look(self) -> None:
        self.party.tick(self.clock())
        self.flush()

    def take(self, body: bytes) -> None:
        if self.party.receive(body, self.clock()) is not None:
            self.flush()

    def want(self, on: bool, heir: int = EVERY_PEER) -> None:
        self.party.set_candidacy(on, heir, self.clock())
        self.flush()

    def flush(self) -> None:
        if self.party.take_log_changes():
            assert self.booking_node is not None
            assert self.booking_node.replicated_log is not None
            state = self.booking_node.replicated_log.state.persistent_state()
            self.play.stored_logs[self.number] = state
        for to, bodies in self.party.flush(self.clock()):
            others = [at for at in range(self.play.size) if at != self.number] if to < 0 else [to]
            for other in others:
                for body in bodies:
                    self.play.send(self.number, other, body)
        for change in self.membership.changes:
            self.play.changed(self.number, change.member, change.after)
        self.membership.changes.clear()
        self.duties.log_lines.clear()
        self.play.watch(self)


class Play:
    """`rates`: clocks against true time. Times in us; `size` processes are started at once."""

    def __init__(
        self, size: int, seed: int, period: int = SECOND, term: int = 3 * SECOND, drift: float = 0.01,
        rates: tuple[float, ...] = (1.0, 0.995, 1.005), duties: int = 1,
        granters: tuple[int, ...] = (), started: bool = True, booking_limits: BookingLimits | None = None,
        folder: bool = False,
    ) -> None:  # fmt: skip
        """`started`: all of them at once, else each by `start`. `booking_limits`: None: there are no
        bookings."""
        self.size, self.period, self.term, self.rates = size, period, term, rates
        self.random, self.now, self.weather = Random(seed), 0, Weather()
        self.weathers: dict[int, Weather] = {}  # of what these send, in place of the common one
        self.electorate = VoterConfiguration(size, granters or tuple(range(min(5, size))), drift)
        self.electorates: dict[int, VoterConfiguration] = {}  # of members that go by another one
        self.duties = [SingletonRole(f"{DUTY}-{at}" if at else DUTY, term) for at in range(duties)]
        self.bytes = self.datagrams = self.largest = self.two_holders = self.token_fell = 0
        self.said_gone: list[tuple[int, int, int]] = []  # when, by whom, of whom
        self.begun: list[tuple[int, int, str]] = []  # when, who, what
        self._highest: dict[str, int] = {}
        self._lives = count(1)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self.folder, self.stored_logs = folder, dict[int, PersistentState]()
        self.booking_limits, self.request_numbers = booking_limits, count(1)
        self.born = 1_700_000_000 * SECOND
        self.processes: dict[int, Process] = {}
        for number in range(size) if started else ():
            self.start(number)

    # ---- faults ----

    def start(self, number: int) -> None:
        process = self.processes[number] = Process(self, number, next(self._lives) & 0xFFF)
        look = min(self.period // 8, self.term // 40)
        self._at(self.now + self.random.randrange(look), lambda: self._look(process, look))

    def kill(self, number: int) -> None:
        del self.processes[number]

    def leave(self, number: int, heir: int) -> None:
        """A planned end: its duties go to the heir first."""
        self.processes[number].want(False, heir)
        self.kill(number)

    def holder(self, name: str = DUTY) -> int | None:
        found = [at for at, one in self.processes.items() if one.duties.holds(name, one.clock())]
        return found[0] if found else None

    # ---- time ----

    def _at(self, when: int, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), what))

    def _look(self, process: Process, span: int) -> None:
        if self.processes.get(process.number) is not process:
            return
        if not process.stopped:
            process.look()
        self._at(self.now + span, lambda: self._look(process, span))

    def run(self, span: int) -> None:
        end = self.now + span
        while self._events and self._events[0][0] <= end:
            self.now, _, what = heapq.heappop(self._events)
            what()
        self.now = end

    def send(self, sender: int, to: int, body: bytes) -> None:
        self.bytes += len(body)
        self.datagrams += 1
        self.largest = max(self.largest, len(body))
        weather, random = self.weathers.get(sender, self.weather), self.random
        for _ in range(1 + (random.random() < weather.twice)):
            if random.random() >= weather.loss and (sender, to) not in self.weather.cuts:
                self._at(self.now + random.randint(*weather.delay), lambda: self._arrive(sender, to, body))

    def _arrive(self, sender: int, to: int, body: bytes) -> None:
        process = self.processes.get(to)
        if process is None or (sender, to) in self.weather.cuts:
            return
        if process.stopped:  # it lies in the socket until the process goes on
            self._at(self.now + self.period // 10, lambda: self._arrive(sender, to, body))
        else:
            process.take(body)

    # ---- what holds ----

    def changed(self, by: int, member: int, standing: MemberState) -> None:
        if standing is MemberState.GONE:
            self.said_gone.append((self.now, by, member))

    def watch(self, process: Process) -> None:
        """After each event of a process: who holds now, and with which token."""
        for name, lease in process.duties.leases.items():
            if not lease.holds(process.clock()):
                process.tokens.pop(name, None)
                continue
            if process.tokens.get(name) == lease.token:
                continue
            process.tokens[name] = lease.token
            self.begun.append((self.now, process.number, name))
            self.token_fell += lease.token <= self._highest.get(name, 0)
            self._highest[name] = max(lease.token, self._highest.get(name, 0))
            others = [
                one
                for one in self.processes.values()
                if one is not process and one.duties.leases[name].holds(one.clock())
            ]
            self.two_holders += bool(others)
