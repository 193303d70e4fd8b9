"""The workers of one service: list, placement, and what their answers teach."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from reedspoke.decision.engine_speed import EngineSpeed
from reedspoke.decision.messages import AttemptEnd, Cause, Job, Load, Outcome, Upstream, WorkerEntry
from reedspoke.decision.placement import Placed, Placement
from reedspoke.decision.prefix_cache import chain_of
from reedspoke.decision.urgency import urgency_of
from reedspoke.decision.worker_state import Running, WorkerState
from reedspoke.telemetry.invariants import Invariant, check

MOST_SUSPECTS = 0.5  # of a service's workers that one scheduler names
MOST_AVOIDED = 0.5  # of a service's workers


class WorkerPool:
    """The workers of one upstream as this scheduler sees them."""

    def __init__(self, upstream: Upstream, zone: str) -> None:
        self._engine = upstream.engine
        self._speed = EngineSpeed()
        self._workers: dict[str, WorkerState] = {}
        self._usable: list[WorkerState] = []
        self._told_of: list[str] = []  # workers that other schedulers suspect
        self.placement = Placement(zone, upstream.engine is not None, self._speed)

    def set_upstream(self, upstream: Upstream) -> None:
        """The configuration has changed what it tells of the engine."""
        self._engine = upstream.engine
        self.placement.engine = upstream.engine is not None
        for worker in self._workers.values():
            worker.set_engine(upstream.engine)

    def set_entries(self, entries: Iterable[WorkerEntry]) -> None:
        """The whole list of this service's workers; those not on it are gone. What runs on one that is gone
        ends with its attempt."""
        listed = {entry.instance_id: entry for entry in entries}
        self._workers = {name: worker for name, worker in self._workers.items() if name in listed}
        for name, entry in listed.items():
            worker = self._workers.get(name)
            if worker is None:
                self._workers[name] = WorkerState.of(entry, self._engine)
            else:
                worker.entry = entry
                worker.cap = min(worker.cap, float(max(1, entry.capacity)))
        self._line_up()

    def _line_up(self) -> None:
        self._usable = [worker for worker in self._workers.values() if worker.usable]
        self.placement.set_workers(self._usable)

    @property
    def usable(self) -> list[WorkerState]:
        """Workers that new requests may go to."""
        return self._usable

    @property
    def running(self) -> int:
        """Positions that our requests hold, at all workers on the list."""
        return sum(worker.used for worker in self._workers.values())

    def set_others(self, loads: Mapping[str, Load]) -> None:
        """What other schedulers hold; a worker that is not named has nothing of theirs."""
        for name, worker in self._workers.items():
            worker.others = loads.get(name, Load())

    def own_load(self) -> dict[str, Load]:
        """What our requests hold at each worker that has any."""
        busy = ((name, worker) for name, worker in self._workers.items() if worker.running)
        return {name: Load(worker.used, worker.kept_tokens) for name, worker in busy}

    def set_others_suspects(self, suspects: Mapping[str, int], now: float) -> None:
        """How many other schedulers suspect each worker."""
        self._told_of = [name for name in self._workers if suspects.get(name)]
        for name, worker in self._workers.items():
            worker.suspicion.tell(suspects.get(name, 0), now)
        if self._avoids_too_many(now):
            for name in self._told_of:
                self._workers[name].suspicion.tell(0, now)
        check(Invariant.MOST_WORKERS_ARE_USED, not self._avoids_too_many(now), avoided=self.avoided(now))

    def _avoids_too_many(self, now: float) -> bool:
        return len(self.avoided(now)) > MOST_AVOIDED * len(self._workers)

    def avoided(self, now: float) -> list[str]:
        """Workers that enough schedulers suspect; this one alone is never enough."""
        told_of = ((name, self._workers.get(name)) for name in self._told_of)
        return [name for name, worker in told_of if worker is not None and worker.suspicion.is_shared(now)]

    def suspected_workers(self, now: float) -> list[str]:
        """The workers that have lately failed our requests; none where most have, as the fault is then more
        likely to be on our side."""
        names = [name for name, worker in self._workers.items() if worker.suspicion.is_own(now)]
        return names if len(names) <= MOST_SUSPECTS * len(self._workers) else []

    def has_room(self, now: float) -> bool:
        """Whether any worker could take a request now."""
        return any(worker.room() > 0 and worker.rested(now) for worker in self._usable)

    def taken_share(self) -> float:
        """The part of all usable workers' positions, or of their memory, that is known to be taken."""
        places = sum(worker.entry.capacity for worker in self._usable)
        taken = sum(worker.taken_share() * worker.entry.capacity for worker in self._usable)
        return taken / places if places else 1.0

    def stagger(self, worker: WorkerState) -> float:
        """i/n of the worker's next position. Positions are ranked by a hash of the worker's id, and each
        worker has as many as its cap."""
        first = total = 0
        for other in self.placement.ranked:
            if other is worker:
                first = total + worker.used
            total += int(other.cap)
        return first / total if total else 0.0

    def expected_cost(self, job: Job) -> float:
        """Engine seconds that a job is expected to take before a worker is chosen, its whole prompt read."""
        capacity = self._capacity()
        if self._engine is None:
            return self._speed.request_s / capacity
        writing = job.output_tokens * self._speed.token_write_s / capacity
        return job.prompt_tokens * self._speed.token_read_s + max(
            writing, self._speed.token_write_s / capacity
        )

    def cost(self, worker: WorkerState, attempt: Running, now: float) -> float:
        """Engine seconds that an attempt has taken so far: a request holds one position of many, reading its
        prompt takes the whole engine. Workers tell no start, so it is derived from the first event."""
        capacity = max(1, worker.entry.capacity)
        reading = attempt.unread_tokens * self._speed.token_read_s
        if attempt.first_event or self._engine is None:
            return reading + (now - (attempt.first_event or attempt.sent)) / capacity
        return reading + max(0.0, now - attempt.sent - attempt.expected_s) / capacity

    def urgency(self, job: Job, attempt: Running) -> int | None:
        """The urgency to tell the worker; None where it has no engine."""
        if self._engine is None:
            return None
        return urgency_of(attempt.unread_tokens * self._speed.token_read_s, job.latency_target_s)

    def start(self, job: Job, placed: Placed) -> None:
        """The job is sent."""
        placed.worker.start(job.job_id, placed.attempt)
        if self._engine is not None:
            chain = chain_of(job.model, job.parts)
            placed.attempt.added = placed.worker.cache.record(chain, job.parts)

    def first_event(self, job_id: int, worker: WorkerState, now: float) -> None:
        """The first event of a job's attempt has come."""
        ahead = worker.pending_tokens
        attempt = worker.first_event(job_id, now, self._speed.settled)
        if attempt is None:
            return
        if self._engine is None:
            self._speed.learn_request(now - attempt.sent)
        elif ahead == attempt.unread_tokens:  # else what it waited for is not known
            self._speed.learn_first_event(attempt.unread_tokens, now - attempt.sent)

    def end(self, job_id: int, worker: WorkerState, end: AttemptEnd, now: float) -> None:
        """A job's attempt has ended."""
        attempt = worker.end(job_id)
        if attempt is None:
            return
        worker.judge(end.outcome, end.cause, attempt.sent, now)
        if end.cause is Cause.WRONG_INSTANCE:
            self._line_up()
        if end.outcome is Outcome.NOT_EXECUTED:
            worker.cache.drop(attempt.added)
        if end.outcome is Outcome.OK and attempt.first_event:
            self._speed.learn_output(end.output_tokens, now - attempt.first_event)

    def _capacity(self) -> int:
        if self._engine is not None:
            return max(1, self._engine.capacity)
        return max((worker.entry.capacity for worker in self._usable), default=1) or 1
