"""Chooses the worker for a job: where its first event is expected soonest, at the least side cost.

For model engines the expected time is that to read what the worker does not keep of the prompt, behind what
it has yet to read. All schedulers prefer the same workers for a shared prefix, in rendezvous order, so that
its parts are read once and not at every worker; load makes a request give way to the next ones of that
order. For plain services it is the wait for a free position.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable
from zlib import crc32

from msgspec import Struct

from reedspoke.decision.engine_speed import EngineSpeed
from reedspoke.decision.messages import Job, Repeat
from reedspoke.decision.prefix_cache import chain_of, rendezvous
from reedspoke.decision.worker_state import LATE_PART, Running, WorkerState

TOLD_BY_ORDER = (0.9, 0.5, 0.25)  # chance that others had a shared prefix read there, by place in the order
REREAD = 16.0  # price of reading a shared token again, in times of reading it: all kinds wait for it
LATE_FROM = 0.85  # of the aim: an expected first event beyond it costs more
LATE_WEIGHT = 10.0  # price of an expected first event beyond what is late, in times of that delay
CROSS_ZONE = 0.01  # of the aim: what another zone costs
SUSPECTED = 1.0  # of the aim: what a worker costs that several schedulers suspect
BUSY_FROM = 0.7  # share of positions or memory above which load costs more
BUSY_S = 1.0  # cost of a load, for each unit of share above that
LOAD_S = 0.05  # cost of a load, for each unit of share
COLD = 2.0  # times as slow, while cold
ORDERS = 1024  # keys whose order is remembered
PATIENT_NEAR = 3  # workers of a key's order that a request waits for, of those that don't rest
PATIENT_PART = 0.2  # of the aim: how long it does
PATIENT_S = 0.02  # of reading: with less to read again it goes anywhere at once
REACH = 24  # workers of a key's order looked at; more only if all of these cannot take it


class Placed(Struct, eq=False):
    """A worker and what the request would be there."""

    worker: WorkerState
    attempt: Running


class Ask(Struct, eq=False):
    """What a choice of a worker for a job goes by."""

    job: Job
    chain: tuple[int, ...]  # names of its prompt's parts; empty without an engine
    shared_tokens: int  # of all parts but the last
    excluded: Collection[str]
    now: float
    last_resort: bool  # a worker that rests or is not trusted is good enough
    late_s: float  # a first event after this time is late


class Placement:
    """The workers of one service, as this scheduler sees them."""

    def __init__(self, zone: str, engine: bool, speed: EngineSpeed) -> None:
        self.engine = engine  # whether the service has model engines
        self.ranked: list[WorkerState] = []  # by a hash of the worker's id
        self._zone = zone
        self._aims: dict[str, float] = {}  # by route
        self._tightest = 0.0
        self._speed = speed
        self._orders: OrderedDict[str, list[WorkerState]] = OrderedDict()

    def set_workers(self, workers: Iterable[WorkerState]) -> None:
        """The workers that are on the list and not draining."""
        self.ranked = sorted(workers, key=rank_of)
        self._orders.clear()

    def order(self, key: str) -> list[WorkerState]:
        """The workers in the order in which all schedulers prefer them for a key."""
        found = self._orders.get(key)
        if found is not None:
            self._orders.move_to_end(key)
            return found
        named = {worker.entry.instance_id: worker for worker in self.ranked}
        weights = [(name, float(max(1, worker.entry.capacity))) for name, worker in named.items()]
        found = self._orders[key] = [named[name] for name in rendezvous(weights, key)]
        if len(self._orders) > ORDERS:
            self._orders.popitem(last=False)
        return found

    def best(
        self, job: Job, excluded: Collection[str], now: float, *, last_resort: bool = False
    ) -> Placed | None:
        """The worker to send the job to now; None where none can take it. As a `last_resort` one that
        rests or is not trusted is good enough."""
        chain = chain_of(job.model, job.parts) if self.engine else ()
        shared_tokens = sum(part.tokens for part in job.parts[:-1])
        ask = Ask(job, chain, shared_tokens, excluded, now, last_resort, self._late_s(job))
        order = self.order(affinity_key(job))
        for start in range(0, len(order), REACH):
            found = self._best_of(ask, order[start : start + REACH], start)
            if found is not None:
                return found
        return None

    def possible(self, job: Job, excluded: Collection[str]) -> bool:
        """Whether any worker could run the job, now or later."""
        return any(able(job, worker, excluded) for worker in self.ranked)

    def roomiest(self, job: Job, excluded: Collection[str], now: float) -> str | None:
        """The worker with the most memory left of those that have a position for the job, if memory is all
        that it lacks."""
        free = [worker for worker in self.ranked if may_take(job, worker, excluded, now)]
        if not free or any(worker.memory_fits(job.prompt_tokens + job.output_tokens) for worker in free):
            return None
        return min(free, key=lambda worker: worker.memory_share()).entry.instance_id

    def _best_of(self, ask: Ask, workers: list[WorkerState], start: int) -> Placed | None:
        """The cheapest of these, whose places in the order begin at `start`."""
        found, least = None, float("inf")
        patient = self.engine and ask.now - ask.job.arrived < PATIENT_PART * ask.job.latency_target_s
        near = start  # workers before and with this one that don't rest
        unread, expected_s = 0, 0.0
        for place, worker in enumerate(workers, start):
            near += worker.rested(ask.now) and not worker.suspicion.is_shared(ask.now)
            if not self._may_take(ask, worker):
                continue
            cached = worker.cache.cached_tokens(ask.chain, ask.job.parts) if self.engine else 0
            if patient and near > PATIENT_NEAR and self._rereads(ask, cached):
                continue  # rather wait for a moment than read a long prefix at many workers
            missing = max(0, ask.job.prompt_tokens - cached)
            if self.engine and not worker.memory_fits(missing + ask.job.output_tokens):
                continue
            first_s = self._first_event_s(worker, missing, ask.now)
            cost = (
                first_s + self._late_cost(ask, worker, first_s) + self._side_costs(ask, worker, cached, place)
            )
            if cost < least:
                found, least, unread, expected_s = worker, cost, missing, first_s
        return Placed(found, self._attempt(ask, unread, expected_s)) if found is not None else None

    def _late_s(self, job: Job) -> float:
        """Late is what is late for the tightest aim of the service: all its kinds wait in the same line."""
        if self._aims.get(job.route) != job.latency_target_s:
            self._aims[job.route] = job.latency_target_s
            self._tightest = min(self._aims.values())
        return LATE_PART * self._tightest

    def _rereads(self, ask: Ask, cached: int) -> bool:
        """Whether much would be read that one of the key's first workers is likely to keep."""
        return (ask.shared_tokens - cached) * self._speed.token_read_s > PATIENT_S

    def _may_take(self, ask: Ask, worker: WorkerState) -> bool:
        if ask.last_resort:
            return has_place(ask.job, worker, ask.excluded)
        return may_take(ask.job, worker, ask.excluded, ask.now)

    def _attempt(self, ask: Ask, unread: int, expected_s: float) -> Running:
        return Running(
            sent=ask.now,
            unread_tokens=unread if self.engine else 0,
            kept_tokens=unread + ask.job.output_tokens if self.engine else 0,
            expected_s=expected_s,
            late_s=ask.late_s,
        )

    def _first_event_s(self, worker: WorkerState, unread: int, now: float) -> float:
        """Seconds from a send to the first event, as far as our own requests and the worker's pace tell."""
        speed = self._speed
        if self.engine:
            expected = speed.base_s + (worker.pending_tokens + unread) * speed.token_read_s
        else:
            expected = speed.request_s
        return expected * worker.pace * (COLD if now < worker.entry.cold_until else 1.0)

    def _side_costs(self, ask: Ask, worker: WorkerState, cached: int, place: int) -> float:
        """Seconds that the choice is worth beside the time to the first event."""
        cost = worker.excess(ask.now) + self._load_cost(ask.job, worker)
        if worker.entry.zone != self._zone:
            cost += CROSS_ZONE * ask.job.latency_target_s
        if worker.suspicion.is_shared(ask.now):
            cost += SUSPECTED * ask.job.latency_target_s
        if self.engine and ask.shared_tokens > cached:
            told = TOLD_BY_ORDER[place] if place < len(TOLD_BY_ORDER) else 0.0
            again = (ask.shared_tokens - cached) * self._speed.token_read_s
            cost += again * REREAD * (1 - told)  # what others had read there is not read again
        return cost

    def _late_cost(self, ask: Ask, worker: WorkerState, first_s: float) -> float:
        """What an expected lateness costs; a plain service's workers are told apart by their load alone."""
        if not self.engine:
            return 0.0
        return LATE_WEIGHT * max(0.0, first_s + worker.excess(ask.now) - LATE_FROM * ask.job.latency_target_s)

    def _load_cost(self, job: Job, worker: WorkerState) -> float:
        share = (worker.taken + 1) / max(1, worker.entry.capacity)
        if not self.engine:
            return self._speed.request_s * worker.pace * share
        if worker.kv_tokens:
            kept = worker.kept_tokens + worker.others.tokens + job.prompt_tokens
            share = max(share, kept / worker.kv_tokens)
        cost = LOAD_S * share
        return cost + BUSY_S * (share - BUSY_FROM) if share > BUSY_FROM else cost


def rank_of(worker: WorkerState) -> int:
    """The worker's rank: a hash of its id."""
    return crc32(worker.entry.instance_id.encode())


def affinity_key(job: Job) -> str:
    """What the order of workers goes by: the last shared part of the prompt, else the job itself."""
    return f"{job.model}/{job.subject}" if job.subject else f"job {job.job_id}"


def able(job: Job, worker: WorkerState, excluded: Collection[str]) -> bool:
    """Whether the worker could run the job, now or later."""
    model_fits = not job.model or not worker.entry.models or job.model in worker.entry.models
    return worker.usable and model_fits and worker.entry.instance_id not in excluded


def has_place(job: Job, worker: WorkerState, excluded: Collection[str]) -> bool:
    """Whether the worker could run the job and has a position free."""
    return able(job, worker, excluded) and worker.room() > 0


def may_take(job: Job, worker: WorkerState, excluded: Collection[str], now: float) -> bool:
    """Whether the job may be sent to the worker now."""
    return (
        has_place(job, worker, excluded)
        and worker.rested(now)
        and worker.trusted(job.repeat is not Repeat.NEVER, now)
    )
