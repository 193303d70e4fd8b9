"""What the module remembers of workers, tenants, requests and attempts, and its bookkeeping: no decisions."""

from __future__ import annotations

import math
from collections import deque

from msgspec import Struct, field

from reedspoke.interface import ClassSettings, WorkerState

LEARN = 0.2  # weight of a new sample in running averages: about the last ten count
SPREAD = 0.1  # weight of our jobs at a worker that leave it a free slot: of idle ones the idlest
USUAL_HINT = 0.03  # least weight of a new hint in its class's usual one
KEPT = 0.99  # of what hints and costs have told, with each further job
DOUBT = 5.0  # jobs of one log unit of spread that hints are doubted for before results tell
OUTLIER = 3.0  # a sample counts at most as this multiple of the average: one pause must not look like a speed


class Zone(Struct, eq=False):
    """The way from here to the workers of a zone."""

    name: str = ""
    heard: int = 0  # last sign of life from any of its workers
    cut_at: int = 0  # when it was found out of reach, 0: it is in reach
    probe_at: int = 0  # it is not probed again before


class Worker(Struct, eq=False):
    id: str
    rank: int  # hash of the id
    pace: float  # running time for each unit of work
    cap: float  # slots that our attempts may hold
    weight: float = 1.0  # its size as listed, to compare it with others
    zone: Zone = field(default_factory=Zone)
    kind: str = ""
    cell: int = 0
    state: WorkerState = WorkerState.GONE
    born: int = 0  # its latest start, 0: long ago
    back: int = 0  # when operators put it back last, 0: never
    used_slots: int = 0  # slots that our attempts hold
    others: tuple[int, float] = (0, 0.0)  # slots and work that other schedulers say they have there
    memory: float = 0.0  # units that our attempts hold
    work_in_flight: float = 0.0  # work of our attempts that are out
    running_slots: int = 0  # slots of our attempts that have started
    peak_slots: int = 1  # most slots seen free or running at once
    delay: float = 0.0  # wait before a start, at `delay_at`
    delay_at: int = 0
    cut_at: int = 0  # when the cap was lowered last
    heard: int = 0  # last sign of life
    asked: int = 0  # when the probe that is out was sent, 0: none is
    looked: int = 0  # when a probe was answered last
    away: float = 0.0  # distance on the ring of ranks from our part of the fleet, from 0 to 1
    paused_until: int = 0  # nothing is sent before
    success_rate: float = 1.0  # share of its answers that were results, the latest count most
    connect_failures: int = 0  # connections that failed or stayed mute since the last sign of life
    cold_sends: deque[tuple[int, float]] = field(default_factory=deque)  # (time, work) of the current window

    def renew(self, cap: float, back: int = 0) -> None:
        """It has started anew: what was learned of its load and held against it is void."""
        self.cap, self.delay, self.paused_until, self.success_rate = cap, 0.0, 0, 1.0
        self.connect_failures, self.back = 0, back

    def wait(self, now: int, forget: float) -> float:
        """The wait before a start to expect: the last ones, forgotten as time passes."""
        since = now - self.delay_at  # a queue drains as time passes, an unseen one is forgotten slower
        return max(self.delay - since, self.delay / (1 + since / forget))

    def ahead(self, slots: int) -> float:
        """Time until the jobs known of there, ours and what others tell of theirs, leave that many slots
        free, to compare workers by. Where they do already it is little: a job beside another does not wait
        for it, and is worth no way elsewhere."""
        used, load = self.used_slots + self.others[0], self.work_in_flight + self.others[1]
        over = max(0, used + slots - self.peak_slots) / max(1, used)
        places = (
            self.peak_slots if self.others[0] else max(self.peak_slots, int(self.cap))
        )  # others' jobs hold a cap, too
        return (over / places + SPREAD) * load * self.pace

    def rests(self, now: int) -> bool:
        """It is listed, and gets nothing by our own choice."""
        return self.state is WorkerState.UP and (self.paused_until > now or self.zone.cut_at > 0)


class Hints(Struct, eq=False):
    """What the hints of a class have been worth, in logarithms: by how much of a hint's distance from the
    usual one its job's cost moves. Hints as wide as the costs themselves would order jobs by chance."""

    count: int = 0
    usual: float = 0.0
    cost: float = 0.0  # the usual one, of a standard worker
    spread: float = 0.0  # sum of squares of hints' distances
    common: float = 0.0  # sum of products of both distances

    def work(self, hint: float) -> float:
        """The work to expect, in the hint's own measure; the hint counts by half until results tell."""
        told = math.log(hint)
        self.count += 1
        self.usual += max(USUAL_HINT, 1 / self.count) * (told - self.usual)
        trust = min(1.0, max(0.0, (self.common + DOUBT / 2) / (self.spread + DOUBT)))
        return math.exp(self.usual + trust * (told - self.usual))

    def learn(self, hint: float, cost: float) -> None:
        """What a job with that hint has cost, by the clock of a standard worker."""
        told, was = math.log(hint), math.log(max(1.0, cost))
        self.cost += USUAL_HINT * (was - self.cost) if self.cost else was
        self.spread = KEPT * self.spread + (told - self.usual) ** 2
        self.common = KEPT * self.common + (told - self.usual) * (was - self.cost)


class Flow(Struct, eq=False):
    """A tenant."""

    phi: float  # its share; the mean of all is 1
    start: float = 0.0  # its start tag S_f
    queue: list[Job] = field(default_factory=list)  # held jobs, the most urgent first
    out: int = 0  # attempts out
    largest: dict[str, float] = field(default_factory=dict)  # L_max for each API


class Job(Struct, eq=False):
    """A request, from its arrival until the last of its attempts has ended."""

    id: int
    cls: ClassSettings
    flow: Flow
    api: str
    hint: float  # of its work, as told
    work: float  # as expected
    slots: int
    deadline: int
    last_start: float  # latest start to be in time
    memory: float = 0.0  # units needed
    attempts: list[Attempt] = field(default_factory=list)
    open: bool = True  # owed a final answer
    held: bool = False

    def out(self) -> int:
        return sum(not attempt.over for attempt in self.attempts)

    def bound(self) -> Attempt | None:
        """The earliest attempt that may have run."""
        return next((attempt for attempt in self.attempts if not attempt.unrun), None)


class Attempt(Struct, eq=False):
    job: Job
    number: int
    worker: Worker
    sent: int
    paid: float = 0.0  # of its cost, by the tenant's start tag
    started: int = 0
    over: bool = False
    unrun: bool = False  # proven never to have run
    cancelled: bool = False
    lost_at: int = 0  # when it was given up for lost; it holds no position any more

    def begin(self) -> None:
        self.job.attempts.append(self)
        self.job.flow.out += 1
        self.enter()

    def enter(self) -> None:
        self.worker.used_slots += self.job.slots
        self.worker.work_in_flight += self.job.work
        self.worker.memory += self.job.memory

    def start(self, now: int) -> None:
        """Guards the counts: one given up for lost before its start was told holds its position again,
        or it would stay among the running for good, and its cost would come out below nothing."""
        if self.lost_at:
            self.lost_at = 0
            self.enter()
        self.started = now
        self.worker.running_slots += self.job.slots
        self.worker.peak_slots = max(self.worker.peak_slots, self.worker.running_slots)

    def end(self, unrun: bool) -> None:
        self.over, self.unrun = True, unrun
        self.job.flow.out -= 1
        if not self.lost_at:
            self.leave()

    def lose(self, now: int) -> None:
        self.lost_at = now
        self.leave()

    def leave(self) -> None:
        self.worker.used_slots -= self.job.slots
        self.worker.work_in_flight -= self.job.work
        self.worker.memory -= self.job.memory
        if self.started:
            self.worker.running_slots -= self.job.slots

    def cost(self, now: int) -> float:
        """Slots times time, from the start notice where one came."""
        return self.job.slots * float((self.lost_at or now) - (self.started or self.sent))

    def pay(self, total: float) -> None:
        """Bring what the tenant has paid for this attempt to `total`."""
        self.job.flow.start += (total - self.paid) / self.job.flow.phi
        self.paid = total


def average(old: float, sample: float) -> float:
    return old + LEARN * (min(sample, OUTLIER * old) - old)
