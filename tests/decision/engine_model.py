"""A simulated fleet of schedulers and batch workers, to compare placement strategies.

Workers run in time slices. Each slice is used for prefill first, up to a share, and then for decoding: one
output token after the other for all running requests. A worker caches prompt parts and evicts the least
recently used.
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
PREFILL_SHARE = 0.7  # Maximum share of a slice for prefill.
LOAD_REPORT_INTERVAL_S = 0.25  # Interval of load reports, which arrive one interval late.
SETTLE_S = 4.0  # Requests that arrive in this time before the end are not counted.
MAX_QUEUED = 8  # Requests that a full worker queues.
ZONES = ("north", "south", "west")


class EngineRules(Struct, frozen=True, kw_only=True):
    """The speed and size of all workers."""

    capacity: int = 64
    kv_tokens: int = 420_000
    step_s: float = 0.0026
    step_per_request_s: float = 0.00004  # Additional step time per running request.
    prefill_per_s: float = 48_000.0


class Kind(Struct, frozen=True, kw_only=True):
    """A kind of request."""

    route: str
    priority: int
    per_s: float
    shared: int  # Tokens of the shared prompt part.
    own: int
    output: int
    latency_target_s: float
    deadline_s: float
    subjects: int = 40
    hot: float = 0.0  # Additional share of the requests for the first subject.
    size_spread: float = 0.5  # Sizes vary by this share in both directions.


class Task(Struct, eq=False):
    """A request on a worker."""

    job: Job
    scheduler: int
    prefill_left: float = 0.0
    written: float = 0.0
    started: bool = False


class BatchWorker(Struct, eq=False):
    """A worker that batches requests."""

    name: str
    rules: EngineRules
    running: list[Task] = field(default_factory=list)
    waiting: list[Task] = field(default_factory=list)
    cached: OrderedDict[tuple[str, ...], int] = field(default_factory=OrderedDict)
    prefilled_tokens: float = 0.0

    def take(self, task: Task) -> bool:
        """Queue a request; False if the worker is full."""
        if len(self.running) >= self.rules.capacity and len(self.waiting) >= MAX_QUEUED:
            return False
        self.waiting.append(task)
        return True

    def admit(self) -> None:
        """Start queued requests while there are free positions."""
        while self.waiting and len(self.running) < self.rules.capacity:
            task = self.waiting.pop(0)
            task.prefill_left = task.job.prompt_tokens - self._reuse_cached(task.job)
            self.prefilled_tokens += task.prefill_left
            self.running.append(task)

    def _reuse_cached(self, job: Job) -> int:
        """The cached tokens of a prompt, all of which is cached from now on."""
        names = tuple(part.id for part in job.parts)
        found, broken = 0, False
        for length, part in enumerate(job.parts, 1):
            broken = broken or names[:length] not in self.cached
            found += 0 if broken else part.tokens
            self.cached[names[:length]] = part.tokens
        for length in range(len(names), 0, -1):
            self.cached.move_to_end(names[:length])
        while sum(self.cached.values()) > self.rules.kv_tokens:
            self.cached.popitem(last=False)
        return found

    def slice(self) -> tuple[list[Task], list[Task]]:
        """Run one time slice and return the requests with a first event, and those that ended."""
        self.admit()
        left = SLICE_S * PREFILL_SHARE * self.rules.prefill_per_s
        for task in self.running:
            step = min(left, task.prefill_left)
            task.prefill_left -= step
            left -= step
        prefill_s = SLICE_S * PREFILL_SHARE - left / self.rules.prefill_per_s
        step_s = self.rules.step_s + self.rules.step_per_request_s * len(self.running)
        for task in self.running:
            if task.prefill_left <= 0:
                task.written += (SLICE_S - prefill_s) / step_s
        first = [task for task in self.running if task.written > 0 and not task.started]
        for task in first:
            task.started = True
        ended = [task for task in self.running if task.written >= task.job.output_tokens]
        self.running = [task for task in self.running if task.written < task.job.output_tokens]
        return first, ended


class Result(Struct, eq=False):
    """The measurements of a simulation."""

    requested: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    served: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    first_event_s: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    subjects_requested: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    subjects_served: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    largest_tenth_requested: int = 0
    largest_tenth_served: int = 0
    sent_tokens: int = 0
    prefilled_tokens: float = 0.0
    full_answers: int = 0  # Refusals by full workers.
    retries: int = 0

    def served_share(self, route: str) -> float:
        """The share of a route's requests that was served."""
        return self.served[route] / max(1, self.requested[route])

    def first_event_quantile(self, route: str, part: float) -> float:
        """A quantile of the time to the first event."""
        ordered = sorted(self.first_event_s[route])
        return ordered[int(part * (len(ordered) - 1))]

    def mean_first_event_s(self) -> float:
        """The mean time to the first event of all requests."""
        every = [first for firsts in self.first_event_s.values() for first in firsts]
        return sum(every) / len(every)

    def on_time_share(self, kind: Kind) -> float:
        """The share of a kind's requests whose first event met the latency target."""
        on_time = sum(first <= kind.latency_target_s for first in self.first_event_s[kind.route])
        return on_time / max(1, self.requested[kind.route])

    @property
    def prefilled_share(self) -> float:
        """The share of all sent prompt tokens that workers had to prefill."""
        return self.prefilled_tokens / self.sent_tokens


class Fleet:
    """Schedulers, workers and clients. Clients do not retry."""

    def __init__(
        self, kinds: list[Kind], *, schedulers: int, workers: int, seed: int, rules: EngineRules
    ) -> None:
        self.random = Random(seed)
        self.kinds, self.rules, self.now = kinds, rules, 0.0
        self.workers = {f"w{index}": BatchWorker(f"w{index}", rules) for index in range(workers)}
        self.result = Result()
        self.jobs: dict[int, tuple[Job, int]] = {}
        self.largest: set[int] = set()
        self.counted: set[int] = set()  # Jobs that arrived early enough to end within the simulation.
        self.counted_until = 0.0
        self.arrivals = [(self.random.expovariate(kind.per_s), index) for index, kind in enumerate(kinds)]
        heapq.heapify(self.arrivals)
        self.schedulers = [self._scheduler(index, schedulers) for index in range(schedulers)]
        self.reported_loads: list[dict[str, Load]] = [{} for _ in self.schedulers]
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

    def simulate(self, seconds: float) -> Result:
        """Run the simulation for this time."""
        self.counted_until = seconds - SETTLE_S
        slices, report_every = round(seconds / SLICE_S), round(LOAD_REPORT_INTERVAL_S / SLICE_S)
        for index in range(slices):
            self.now = index * SLICE_S
            self._arrive()
            for worker in self.workers.values():
                self._advance_worker(worker)
            for number, dispatcher in enumerate(self.schedulers):
                self._carry_out(number, dispatcher.timer_fired(self.now))
            if index % report_every == 0:
                self._report_loads()
        self.result.prefilled_tokens = sum(worker.prefilled_tokens for worker in self.workers.values())
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
        uniform = self.random.random()
        own = int(kind.own * (1 + kind.size_spread * (2 * uniform - 1)))
        if self.now < self.counted_until:
            self._count(kind, job_id, subject, largest=uniform >= 0.9)
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
        self.result.requested[kind.route] += 1
        self.result.subjects_requested[f"{kind.route}{subject}"] += 1
        if largest:
            self.largest.add(job_id)
            self.result.largest_tenth_requested += 1

    def _advance_worker(self, worker: BatchWorker) -> None:
        first, ended = worker.slice()
        at = self.now + SLICE_S
        for task in first:
            if task.job.job_id in self.counted:
                self.result.first_event_s[task.job.route].append(at - task.job.arrived)
            self._carry_out(
                task.scheduler, self.schedulers[task.scheduler].first_event_received(task.job.job_id, at)
            )
        for task in ended:
            self._record_served(task.job)
            end = AttemptEnd(Outcome.OK, output_tokens=task.job.output_tokens)
            self._carry_out(
                task.scheduler, self.schedulers[task.scheduler].attempt_ended(task.job.job_id, end, at)
            )

    def _record_served(self, job: Job) -> None:
        if job.job_id not in self.counted:
            return
        self.result.served[job.route] += 1
        self.result.subjects_served[job.subject] += 1
        self.result.largest_tenth_served += job.job_id in self.largest

    def _carry_out(self, number: int, decisions: list[Decision]) -> None:
        for decision in decisions:
            if not isinstance(decision, Send):
                continue
            job = self.jobs[decision.job_id][0]
            if self.workers[decision.instance_id].take(Task(job, number)):
                self.result.sent_tokens += job.prompt_tokens
                continue
            self.result.full_answers += 1
            end = AttemptEnd(Outcome.NOT_EXECUTED, Cause.FULL)
            self._carry_out(number, self.schedulers[number].attempt_ended(job.job_id, end, self.now))

    def _report_loads(self) -> None:
        """Give each scheduler the load of the others as of one interval ago."""
        own_loads = [dispatcher.own_load() for dispatcher in self.schedulers]
        for number, dispatcher in enumerate(self.schedulers):
            others: dict[str, Load] = {}
            for other, loads in enumerate(self.reported_loads):
                for name, load in loads.items() if other != number else ():
                    known = others.get(name, Load())
                    others[name] = Load(known.requests + load.requests, known.tokens + load.tokens)
            self._carry_out(number, dispatcher.set_others_load(others, self.now))
        self.reported_loads = own_loads


def default_kinds(scale: float, change: Callable[[Kind], Kind] = lambda kind: kind) -> list[Kind]:
    """Kinds with long, medium and short prompts at `scale` times their usual rate."""
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
