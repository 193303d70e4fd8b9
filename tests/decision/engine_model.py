"""A fleet of schedulers and batch workers in virtual time, to compare ways of placing requests.

Workers are modelled in slices of time: a slice goes to reading prompts first, up to a share, then to one
output token after the other for all that run. A worker keeps prompt parts and drops those unused the longest.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, defaultdict
from collections.abc import Callable
from random import Random

from msgspec import Struct, field

from reedspoke.decision.dispatcher import Dispatcher, RetryBudgetRule
from reedspoke.decision.messages import (
    AttemptEnd,
    Cause,
    Decision,
    Engine,
    Job,
    Load,
    Outcome,
    PromptPart,
    Repeat,
    Send,
    Upstream,
    WorkerEntry,
)

SLICE_S = 0.005
READ_SHARE = 0.7  # of a slice, at most
TOLD_EVERY_S = 0.25  # loads of others; they are one such time old
SETTLE_S = 4.0  # before the end of a play: what arrives then is not counted
QUEUE_MOST = 8  # requests that wait at a full worker
ZONES = ("north", "south", "west")


class EngineRules(Struct, frozen=True, kw_only=True):
    """The speed and size of all workers."""

    capacity: int = 64
    kv_tokens: int = 420_000
    step_s: float = 0.0026
    step_each_s: float = 0.00004  # more, for each that runs
    read_per_s: float = 48_000.0


class Kind(Struct, frozen=True, kw_only=True):
    """A kind of request."""

    route: str
    priority: int
    per_s: float
    shared: int  # tokens
    own: int
    output: int
    latency_target_s: float
    deadline_s: float
    subjects: int = 40
    hot: float = 0.0  # part of the requests that the first subject gets
    spread: float = 0.5  # sizes differ by this part either way


class Task(Struct, eq=False):
    """A request at a worker."""

    job: Job
    scheduler: int
    unread: float = 0.0
    written: float = 0.0
    started: bool = False


class Batch(Struct, eq=False):
    """A batch worker."""

    name: str
    rules: EngineRules
    running: list[Task] = field(default_factory=list)
    waiting: list[Task] = field(default_factory=list)
    kept: OrderedDict[tuple[str, ...], int] = field(default_factory=OrderedDict)
    read_tokens: float = 0.0

    def take(self, task: Task) -> bool:
        """A request arrives; False where the worker is full."""
        if len(self.running) >= self.rules.capacity and len(self.waiting) >= QUEUE_MOST:
            return False
        self.waiting.append(task)
        return True

    def admit(self) -> None:
        while self.waiting and len(self.running) < self.rules.capacity:
            task = self.waiting.pop(0)
            task.unread = task.job.prompt_tokens - self._reuse(task.job)
            self.read_tokens += task.unread
            self.running.append(task)

    def _reuse(self, job: Job) -> int:
        """Tokens kept of its prompt; from now on all of it is kept."""
        names = tuple(part.id for part in job.parts)
        found, broken = 0, False
        for length, part in enumerate(job.parts, 1):
            broken = broken or names[:length] not in self.kept
            found += 0 if broken else part.tokens
            self.kept[names[:length]] = part.tokens
        for length in range(len(names), 0, -1):
            self.kept.move_to_end(names[:length])
        while sum(self.kept.values()) > self.rules.kv_tokens:
            self.kept.popitem(last=False)
        return found

    def slice(self) -> tuple[list[Task], list[Task]]:
        """One slice of time: those whose first event came, and those that ended."""
        self.admit()
        left = SLICE_S * READ_SHARE * self.rules.read_per_s
        for task in self.running:
            step = min(left, task.unread)
            task.unread -= step
            left -= step
        reading = SLICE_S * READ_SHARE - left / self.rules.read_per_s
        step_s = self.rules.step_s + self.rules.step_each_s * len(self.running)
        for task in self.running:
            if task.unread <= 0:
                task.written += (SLICE_S - reading) / step_s
        first = [task for task in self.running if task.written > 0 and not task.started]
        for task in first:
            task.started = True
        ended = [task for task in self.running if task.written >= task.job.output_tokens]
        self.running = [task for task in self.running if task.written < task.job.output_tokens]
        return first, ended


class Result(Struct, eq=False):
    """What a play measured."""

    asked: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    served: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    first_event_s: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    subjects_asked: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    subjects_served: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    tenth_asked: int = 0
    tenth_served: int = 0
    sent_tokens: int = 0
    read_tokens: float = 0.0
    full: int = 0  # answers 'full' of workers
    retries: int = 0

    def rate(self, route: str) -> float:
        """The part of a route's requests that was served."""
        return self.served[route] / max(1, self.asked[route])

    def first_at(self, route: str, part: float) -> float:
        """A quantile of the seconds to the first event."""
        ordered = sorted(self.first_event_s[route])
        return ordered[int(part * (len(ordered) - 1))]

    def mean_first_s(self) -> float:
        """The mean of the seconds to the first event, of all kinds."""
        every = [first for firsts in self.first_event_s.values() for first in firsts]
        return sum(every) / len(every)

    def in_time(self, kind: Kind) -> float:
        """The part of a kind's requests whose first event came within the aim."""
        prompt = sum(first <= kind.latency_target_s for first in self.first_event_s[kind.route])
        return prompt / max(1, self.asked[kind.route])

    @property
    def read_share(self) -> float:
        """The part of all prompt tokens sent that workers had to read."""
        return self.read_tokens / self.sent_tokens


class Fleet:
    """Schedulers, workers and clients; clients do not come back."""

    def __init__(
        self, kinds: list[Kind], *, schedulers: int, workers: int, seed: int, rules: EngineRules
    ) -> None:
        self.random = Random(seed)
        self.kinds, self.rules, self.now = kinds, rules, 0.0
        self.workers = {f"w{index}": Batch(f"w{index}", rules) for index in range(workers)}
        self.result = Result()
        self.jobs: dict[int, tuple[Job, int]] = {}
        self.largest: set[int] = set()
        self.counted: set[int] = set()  # jobs that arrived early enough to end
        self.counted_until = 0.0
        self.arrivals = [(self.random.expovariate(kind.per_s), index) for index, kind in enumerate(kinds)]
        heapq.heapify(self.arrivals)
        self.schedulers = [self._scheduler(index, schedulers) for index in range(schedulers)]
        self.told: list[dict[str, Load]] = [{} for _ in self.schedulers]
        self.weights = [1 + self.random.random() for _ in self.schedulers]

    def _scheduler(self, index: int, count: int) -> Dispatcher:
        budget = RetryBudgetRule(window_s=10, ratio=0.2, slack=50)
        dispatcher = Dispatcher(zone=ZONES[index % 3], budget=budget, started=-100.0)
        dispatcher.set_fleet_size(count, -100.0)
        engine = Engine(self.rules.capacity, self.rules.kv_tokens)
        dispatcher.configure([Upstream("llm", engine)], 0.0)
        entries = [
            WorkerEntry(
                instance_id=name, upstream="llm", address=name, zone=zone, capacity=self.rules.capacity
            )
            for name, zone in zip(self.workers, ZONES * len(self.workers), strict=False)
        ]
        dispatcher.workers_changed(entries, 0.0)
        return dispatcher

    def play(self, seconds: float) -> Result:
        """Let this time pass."""
        self.counted_until = seconds - SETTLE_S
        slices, told_every = round(seconds / SLICE_S), round(TOLD_EVERY_S / SLICE_S)
        for index in range(slices):
            self.now = index * SLICE_S
            self._arrive()
            for worker in self.workers.values():
                self._work(worker)
            for number, dispatcher in enumerate(self.schedulers):
                self._carry_out(number, dispatcher.timer_fired(self.now))
            if index % told_every == 0:
                self._tell()
        self.result.read_tokens = sum(worker.read_tokens for worker in self.workers.values())
        return self.result

    def _arrive(self) -> None:
        while self.arrivals[0][0] <= self.now:
            at, index = heapq.heappop(self.arrivals)
            kind = self.kinds[index]
            heapq.heappush(self.arrivals, (at + self.random.expovariate(kind.per_s), index))
            number = self.random.choices(range(len(self.schedulers)), self.weights)[0]
            job = self._job(kind)
            self.jobs[job.job_id] = (job, number)
            self._carry_out(number, self.schedulers[number].job_arrived(job, self.now))

    def _job(self, kind: Kind) -> Job:
        job_id = len(self.jobs) + 1
        subject = 0 if self.random.random() < kind.hot else self.random.randrange(kind.subjects)
        lot = self.random.random()
        own = int(kind.own * (1 + kind.spread * (2 * lot - 1)))
        if self.now < self.counted_until:
            self._count(kind, job_id, subject, largest=lot >= 0.9)
        return Job(
            job_id=job_id,
            route=kind.route,
            upstream="llm",
            priority=kind.priority,
            repeat=Repeat.NEVER,
            streaming=True,
            parts=(PromptPart(f"{kind.route}{subject}", kind.shared), PromptPart(f"own{job_id}", own)),
            prompt_tokens=kind.shared + own,
            output_tokens=kind.output,
            latency_target_s=kind.latency_target_s,
            deadline=self.now + kind.deadline_s,
            max_attempts=2,
            arrived=self.now,
        )

    def _count(self, kind: Kind, job_id: int, subject: int, largest: bool) -> None:
        self.counted.add(job_id)
        self.result.asked[kind.route] += 1
        self.result.subjects_asked[f"{kind.route}{subject}"] += 1
        if largest:
            self.largest.add(job_id)
            self.result.tenth_asked += 1

    def _work(self, worker: Batch) -> None:
        first, ended = worker.slice()
        at = self.now + SLICE_S
        for task in first:
            if task.job.job_id in self.counted:
                self.result.first_event_s[task.job.route].append(at - task.job.arrived)
            self._carry_out(
                task.scheduler, self.schedulers[task.scheduler].first_event_received(task.job.job_id, at)
            )
        for task in ended:
            self._served(task.job)
            end = AttemptEnd(Outcome.OK, output_tokens=task.job.output_tokens)
            self._carry_out(
                task.scheduler, self.schedulers[task.scheduler].attempt_ended(task.job.job_id, end, at)
            )

    def _served(self, job: Job) -> None:
        if job.job_id not in self.counted:
            return
        self.result.served[job.route] += 1
        self.result.subjects_served[job.subject] += 1
        self.result.tenth_served += job.job_id in self.largest

    def _carry_out(self, number: int, decisions: list[Decision]) -> None:
        for decision in decisions:
            if not isinstance(decision, Send):
                continue
            job = self.jobs[decision.job_id][0]
            if self.workers[decision.instance_id].take(Task(job, number)):
                self.result.sent_tokens += job.prompt_tokens
                continue
            self.result.full += 1
            end = AttemptEnd(Outcome.NOT_EXECUTED, Cause.FULL)
            self._carry_out(number, self.schedulers[number].attempt_ended(job.job_id, end, self.now))

    def _tell(self) -> None:
        """Each scheduler hears what the others held one interval ago."""
        held = [dispatcher.own_load() for dispatcher in self.schedulers]
        for number, dispatcher in enumerate(self.schedulers):
            others: dict[str, Load] = {}
            for other, loads in enumerate(self.told):
                for name, load in loads.items() if other != number else ():
                    known = others.get(name, Load())
                    others[name] = Load(known.requests + load.requests, known.tokens + load.tokens)
            self._carry_out(number, dispatcher.set_others_load(others, self.now))
        self.told = held


def usual_kinds(scale: float, change: Callable[[Kind], Kind] = lambda kind: kind) -> list[Kind]:
    """Long, middle and short prompts, with `scale` times as many of each."""
    kinds = [
        Kind(
            route="review",
            priority=0,
            per_s=10 * scale,
            shared=5400,
            own=1200,
            output=385,
            latency_target_s=1.2,
            deadline_s=12,
        ),
        Kind(
            route="chat",
            priority=1,
            per_s=19 * scale,
            shared=200,
            own=430,
            output=294,
            latency_target_s=1,
            deadline_s=10,
        ),
        Kind(
            route="plan",
            priority=2,
            per_s=16 * scale,
            shared=570,
            own=1230,
            output=21,
            latency_target_s=2,
            deadline_s=3,
        ),
    ]
    return [change(kind) for kind in kinds]
