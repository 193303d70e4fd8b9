"""Chooses the worker for a job: the one with the lowest expected time to the first event plus other costs.

For model engines, the expected time is the prefill time of the prompt tokens that the worker has not cached,
plus that of the tokens queued there. All schedulers prefer the same workers for a shared prefix, in the order
of rendezvous hashing, so that the prefix is prefilled at few workers; under load a request moves on to the
next workers in that order. For plain services, the expected time is the mean request time, and the load
decides.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable
from zlib import crc32

from msgspec import Struct

from reedspoke.decision.engine_speed import EngineSpeed
from reedspoke.decision.messages import Job, Repeat
from reedspoke.decision.prefix_cache import chain_of, rendezvous
from reedspoke.decision.worker_state import LATE_SHARE, RunningAttempt, WorkerState

# The probability that a worker has cached a shared prefix from requests of other schedulers, by the place of
# the worker in the preference order.
CACHED_BY_OTHERS_PROBABILITY = (0.9, 0.5, 0.25)
# Cost of prefilling a shared prefix again, as a multiple of its prefill time. It is high because all requests
# at that worker wait for the prefill.
REPEATED_PREFILL_FACTOR = 16.0
LATE_COST_FROM = 0.85  # Share of the latency target beyond which the time to the first event costs more.
LATE_COST_FACTOR = 10.0  # Cost of the expected time beyond that share, as a multiple of that time.
CROSS_ZONE_COST = 0.01  # Cost of a worker in another zone, as a share of the latency target.
SUSPECTED_COST = 1.0  # Cost of a worker that several schedulers suspect, as a share of the latency target.
BUSY_FROM_LOAD = 0.7  # Share of positions or memory from which load costs more.
BUSY_COST_S = 1.0  # Additional cost per unit of load share above BUSY_FROM_LOAD.
LOAD_COST_S = 0.05  # Cost per unit of load share.
COLD_SLOWDOWN = 2.0  # Factor on the expected time of a worker that is still warming up.
MAX_CACHED_ORDERS = 1024  # Number of keys whose order of workers is cached.
# A request with a long shared prefix waits for one of the first available workers of its order, instead of
# being prefilled elsewhere, for this share of the latency target.
PREFERRED_WORKERS = 3
PREFERRED_WAIT_SHARE = 0.2
MIN_PREFILL_TO_WAIT_S = 0.02  # Up to this prefill time of the prefix, a request does not wait.
CANDIDATE_BATCH = 24  # Workers compared at once; the next ones in the order follow if none can take the job.


class ChosenWorker(Struct, eq=False):
    """The chosen worker, and the attempt to start there."""

    worker: WorkerState
    attempt: RunningAttempt


class PlacementQuery(Struct, eq=False):
    """The inputs for choosing a worker for a job."""

    job: Job
    chain: tuple[int, ...]  # Hashes of its prompt's prefixes; empty without an engine.
    shared_tokens: int  # Tokens of all prompt parts but the last.
    excluded: Collection[str]
    now: float
    last_resort: bool  # Whether a worker in backoff, or an untrusted one, is acceptable.
    late_after_s: float  # A first event after this time is late.


class Placement:
    """Chooses among the workers of one service."""

    def __init__(self, zone: str, engine: bool, speed: EngineSpeed) -> None:
        self.engine = engine  # Whether the service has model engines.
        self.ranked: list[WorkerState] = []  # Sorted by a hash of the worker's id.
        self._zone = zone
        self._latency_targets: dict[str, float] = {}  # By route.
        self._min_latency_target = 0.0
        self._speed = speed
        self._orders: OrderedDict[str, list[WorkerState]] = OrderedDict()

    def set_workers(self, workers: Iterable[WorkerState]) -> None:
        """Set the usable workers."""
        self.ranked = sorted(workers, key=worker_rank)
        self._orders.clear()

    def order(self, key: str) -> list[WorkerState]:
        """The workers in the order of rendezvous hashing, which is the same for all schedulers."""
        found = self._orders.get(key)
        if found is not None:
            self._orders.move_to_end(key)
            return found
        named = {worker.entry.instance_id: worker for worker in self.ranked}
        weights = [(name, float(max(1, worker.entry.capacity))) for name, worker in named.items()]
        found = self._orders[key] = [named[name] for name in rendezvous(weights, key)]
        if len(self._orders) > MAX_CACHED_ORDERS:
            self._orders.popitem(last=False)
        return found

    def choose(
        self, job: Job, excluded: Collection[str], now: float, *, last_resort: bool = False
    ) -> ChosenWorker | None:
        """The worker to send the job to now; None if no worker can take it.

        With `last_resort`, a worker in backoff or an untrusted one is acceptable.
        """
        chain = chain_of(job.model, job.parts) if self.engine else ()
        shared_tokens = sum(part.tokens for part in job.parts[:-1])
        query = PlacementQuery(job, chain, shared_tokens, excluded, now, last_resort, self._late_after_s(job))
        order = self.order(affinity_key(job))
        for start in range(0, len(order), CANDIDATE_BATCH):
            found = self._best_of(query, order[start : start + CANDIDATE_BATCH], start)
            if found is not None:
                return found
        return None

    def any_can_run(self, job: Job, excluded: Collection[str]) -> bool:
        """Whether any worker could run the job, now or later."""
        return any(can_run(job, worker, excluded) for worker in self.ranked)

    def with_most_free_memory(self, job: Job, excluded: Collection[str], now: float) -> str | None:
        """The worker with the most free memory, if the job lacks nothing but memory; else None."""
        free = [worker for worker in self.ranked if can_accept(job, worker, excluded, now)]
        if not free or any(worker.memory_fits(job.prompt_tokens + job.output_tokens) for worker in free):
            return None
        return min(free, key=lambda worker: worker.memory_share()).entry.instance_id

    def _best_of(self, query: PlacementQuery, workers: list[WorkerState], start: int) -> ChosenWorker | None:
        """The worker with the lowest cost in a batch whose first place in the order is `start`."""
        found, lowest_cost = None, float("inf")
        may_wait = (
            self.engine and query.now - query.job.arrived < PREFERRED_WAIT_SHARE * query.job.latency_target_s
        )
        available = start  # Available workers so far in the order, including the current one.
        missing_tokens, expected_s = 0, 0.0
        for place, worker in enumerate(workers, start):
            available += worker.is_backoff_over(query.now) and not worker.suspicion.is_confirmed(query.now)
            if not self._can_accept(query, worker):
                continue
            cached = worker.cache.cached_tokens(query.chain, query.job.parts) if self.engine else 0
            if may_wait and available > PREFERRED_WORKERS and self._repeats_long_prefill(query, cached):
                continue  # Waits briefly rather than prefill a long prefix at many workers.
            missing = max(0, query.job.prompt_tokens - cached)
            if self.engine and not worker.memory_fits(missing + query.job.output_tokens):
                continue
            first_event_s = self._first_event_s(worker, missing, query.now)
            cost = (
                first_event_s
                + self._late_cost(query, worker, first_event_s)
                + self._side_costs(query, worker, cached, place)
            )
            if cost < lowest_cost:
                found, lowest_cost, missing_tokens, expected_s = worker, cost, missing, first_event_s
        return (
            ChosenWorker(found, self._attempt(query, missing_tokens, expected_s))
            if found is not None
            else None
        )

    def _late_after_s(self, job: Job) -> float:
        """The time after which a first event is late.

        The tightest latency target of the service determines it, as all its jobs wait in one queue.
        """
        if self._latency_targets.get(job.route) != job.latency_target_s:
            self._latency_targets[job.route] = job.latency_target_s
            self._min_latency_target = min(self._latency_targets.values())
        return LATE_SHARE * self._min_latency_target

    def _repeats_long_prefill(self, query: PlacementQuery, cached: int) -> bool:
        """Whether a long prefix would be prefilled again that a preferred worker has probably cached."""
        return (query.shared_tokens - cached) * self._speed.prefill_s_per_token > MIN_PREFILL_TO_WAIT_S

    def _can_accept(self, query: PlacementQuery, worker: WorkerState) -> bool:
        if query.last_resort:
            return has_free_position(query.job, worker, query.excluded)
        return can_accept(query.job, worker, query.excluded, query.now)

    def _attempt(self, query: PlacementQuery, missing_tokens: int, expected_s: float) -> RunningAttempt:
        return RunningAttempt(
            sent_at=query.now,
            prefill_tokens=missing_tokens if self.engine else 0,
            memory_tokens=missing_tokens + query.job.output_tokens if self.engine else 0,
            expected_s=expected_s,
            late_after_s=query.late_after_s,
        )

    def _first_event_s(self, worker: WorkerState, missing_tokens: int, now: float) -> float:
        """The expected time from the send to the first event, from our own requests and the worker's pace."""
        speed = self._speed
        if self.engine:
            expected = (
                speed.base_s + (worker.pending_prefill_tokens + missing_tokens) * speed.prefill_s_per_token
            )
        else:
            expected = speed.request_s
        return expected * worker.pace * (COLD_SLOWDOWN if now < worker.entry.cold_until else 1.0)

    def _side_costs(self, query: PlacementQuery, worker: WorkerState, cached: int, place: int) -> float:
        """The other costs of a worker in seconds: delay, load, zone, suspicion and repeated prefill."""
        cost = worker.excess(query.now) + self._load_cost(query.job, worker)
        if worker.entry.zone != self._zone:
            cost += CROSS_ZONE_COST * query.job.latency_target_s
        if worker.suspicion.is_confirmed(query.now):
            cost += SUSPECTED_COST * query.job.latency_target_s
        if self.engine and query.shared_tokens > cached:
            cached_by_others = (
                CACHED_BY_OTHERS_PROBABILITY[place] if place < len(CACHED_BY_OTHERS_PROBABILITY) else 0.0
            )
            prefill_s = (query.shared_tokens - cached) * self._speed.prefill_s_per_token
            cost += prefill_s * REPEATED_PREFILL_FACTOR * (1 - cached_by_others)
        return cost

    def _late_cost(self, query: PlacementQuery, worker: WorkerState, first_event_s: float) -> float:
        """The cost of a first event close to or after the latency target.

        It is 0 for plain services, where only the load distinguishes the workers.
        """
        if not self.engine:
            return 0.0
        return LATE_COST_FACTOR * max(
            0.0, first_event_s + worker.excess(query.now) - LATE_COST_FROM * query.job.latency_target_s
        )

    def _load_cost(self, job: Job, worker: WorkerState) -> float:
        share = (worker.known_requests + 1) / max(1, worker.entry.capacity)
        if not self.engine:
            return self._speed.request_s * worker.pace * share
        if worker.kv_tokens:
            used_tokens = worker.memory_tokens + worker.others.tokens + job.prompt_tokens
            share = max(share, used_tokens / worker.kv_tokens)
        cost = LOAD_COST_S * share
        return cost + BUSY_COST_S * (share - BUSY_FROM_LOAD) if share > BUSY_FROM_LOAD else cost


def worker_rank(worker: WorkerState) -> int:
    """The rank of a worker: a hash of its id."""
    return crc32(worker.entry.instance_id.encode())


def affinity_key(job: Job) -> str:
    """The key for the order of workers: the last shared part of the prompt, else the job itself."""
    return f"{job.model}/{job.subject}" if job.subject else f"job {job.job_id}"


def can_run(job: Job, worker: WorkerState, excluded: Collection[str]) -> bool:
    """Whether the worker could run the job, now or later."""
    model_fits = not job.model or not worker.entry.models or job.model in worker.entry.models
    return worker.usable and model_fits and worker.entry.instance_id not in excluded


def has_free_position(job: Job, worker: WorkerState, excluded: Collection[str]) -> bool:
    """Whether the worker could run the job and has a free position."""
    return can_run(job, worker, excluded) and worker.free_positions() > 0


def can_accept(job: Job, worker: WorkerState, excluded: Collection[str], now: float) -> bool:
    """Whether the job may be sent to the worker now."""
    return (
        has_free_position(job, worker, excluded)
        and worker.is_backoff_over(now)
        and worker.trusted(job.repeat is not Repeat.NEVER, now)
    )
