"""The workers of one service: their list, placement, and what is learned from their attempts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from reedspoke.decision.engine_speed import EngineSpeed
from reedspoke.decision.messages import AttemptEnd, Cause, Job, Load, Outcome, Upstream, WorkerEntry
from reedspoke.decision.placement import ChosenWorker, Placement
from reedspoke.decision.prefix_cache import chain_of
from reedspoke.decision.urgency import urgency_of
from reedspoke.decision.worker_state import RunningAttempt, WorkerState
from reedspoke.telemetry.invariants import Invariant, check

MAX_SUSPECTED_SHARE = 0.5  # Share of a service's workers above which a scheduler reports none as suspected.
MAX_AVOIDED_SHARE = 0.5  # Share of a service's workers above which none is avoided.


class WorkerPool:
    """The workers of one upstream, with the state that this scheduler has learned about them."""

    def __init__(self, upstream: Upstream, zone: str) -> None:
        self._engine = upstream.engine
        self._speed = EngineSpeed()
        self._workers: dict[str, WorkerState] = {}
        self._usable: list[WorkerState] = []
        self._suspected_by_others: list[str] = []  # Workers that other schedulers suspect.
        self.placement = Placement(zone, upstream.engine is not None, self._speed)

    def set_upstream(self, upstream: Upstream) -> None:
        """Apply a changed configuration of the engine."""
        self._engine = upstream.engine
        self.placement.engine = upstream.engine is not None
        for worker in self._workers.values():
            worker.set_engine(upstream.engine)

    def set_entries(self, entries: Iterable[WorkerEntry]) -> None:
        """Replace the list of workers. An attempt on a removed worker continues until it ends."""
        listed = {entry.instance_id: entry for entry in entries}
        self._workers = {name: worker for name, worker in self._workers.items() if name in listed}
        for name, entry in listed.items():
            worker = self._workers.get(name)
            if worker is None:
                self._workers[name] = WorkerState.of(entry, self._engine)
            else:
                worker.entry = entry
                worker.cap = min(worker.cap, float(max(1, entry.capacity)))
        self._update_usable()

    def _update_usable(self) -> None:
        self._usable = [worker for worker in self._workers.values() if worker.usable]
        self.placement.set_workers(self._usable)

    @property
    def usable(self) -> list[WorkerState]:
        """The workers that accept new requests."""
        return self._usable

    @property
    def running(self) -> int:
        """The number of positions that our requests occupy on all listed workers."""
        return sum(worker.own_requests for worker in self._workers.values())

    def set_others(self, loads: Mapping[str, Load]) -> None:
        """Set the load of other schedulers; a worker that is not named has none."""
        for name, worker in self._workers.items():
            worker.others = loads.get(name, Load())

    def own_load(self) -> dict[str, Load]:
        """The load of our requests on each worker that has any."""
        busy = ((name, worker) for name, worker in self._workers.items() if worker.running)
        return {name: Load(worker.own_requests, worker.memory_tokens) for name, worker in busy}

    def set_others_suspicions(self, suspects: Mapping[str, int], now: float) -> None:
        """Set how many other schedulers suspect each worker."""
        self._suspected_by_others = [name for name in self._workers if suspects.get(name)]
        for name, worker in self._workers.items():
            worker.suspicion.set_others(suspects.get(name, 0), now)
        if self._avoids_too_many(now):
            for name in self._suspected_by_others:
                self._workers[name].suspicion.set_others(0, now)
        check(
            Invariant.MOST_WORKERS_ARE_USED, not self._avoids_too_many(now), avoided=self.avoided_workers(now)
        )

    def _avoids_too_many(self, now: float) -> bool:
        return len(self.avoided_workers(now)) > MAX_AVOIDED_SHARE * len(self._workers)

    def avoided_workers(self, now: float) -> list[str]:
        """The workers that enough schedulers suspect; this scheduler alone is never enough."""
        suspected = ((name, self._workers.get(name)) for name in self._suspected_by_others)
        return [
            name for name, worker in suspected if worker is not None and worker.suspicion.is_confirmed(now)
        ]

    def suspected_workers(self, now: float) -> list[str]:
        """The workers that recently failed our requests.

        None are reported if most workers did, as the fault is then more likely on this scheduler's side.
        """
        names = [name for name, worker in self._workers.items() if worker.suspicion.is_own(now)]
        return names if len(names) <= MAX_SUSPECTED_SHARE * len(self._workers) else []

    def has_free_position(self, now: float) -> bool:
        """Whether any worker has a free position and is not in backoff."""
        return any(worker.free_positions() > 0 and worker.is_backoff_over(now) for worker in self._usable)

    def load_share(self) -> float:
        """The share of the usable workers' positions or memory that is known to be occupied."""
        positions = sum(worker.entry.capacity for worker in self._usable)
        occupied = sum(worker.load_share() * worker.entry.capacity for worker in self._usable)
        return occupied / positions if positions else 1.0

    def stagger(self, worker: WorkerState) -> float:
        """The stagger i/n of the worker's next position.

        Positions are ranked by a hash of the worker's id, and each worker has as many as its cap.
        """
        first = total = 0
        for other in self.placement.ranked:
            if other is worker:
                first = total + worker.own_requests
            total += int(other.cap)
        return first / total if total else 0.0

    def expected_cost(self, job: Job) -> float:
        """The expected engine seconds of a job before a worker is chosen, with its whole prompt uncached."""
        capacity = self._capacity()
        if self._engine is None:
            return self._speed.request_s / capacity
        decode_s = job.output_tokens * self._speed.decode_s_per_token / capacity
        return job.prompt_tokens * self._speed.prefill_s_per_token + max(
            decode_s, self._speed.decode_s_per_token / capacity
        )

    def cost(self, worker: WorkerState, attempt: RunningAttempt, now: float) -> float:
        """The engine seconds that an attempt has used so far.

        Prefill uses the whole engine; afterwards the request occupies one of its positions. Workers do not
        report when they start a request, so the start is derived from the first event.
        """
        capacity = max(1, worker.entry.capacity)
        prefill_s = attempt.prefill_tokens * self._speed.prefill_s_per_token
        if attempt.first_event_at or self._engine is None:
            return prefill_s + (now - (attempt.first_event_at or attempt.sent_at)) / capacity
        return prefill_s + max(0.0, now - attempt.sent_at - attempt.expected_s) / capacity

    def urgency(self, job: Job, attempt: RunningAttempt) -> int | None:
        """The urgency to send to the worker; None if it has no engine."""
        if self._engine is None:
            return None
        return urgency_of(attempt.prefill_tokens * self._speed.prefill_s_per_token, job.latency_target_s)

    def start(self, job: Job, chosen: ChosenWorker) -> None:
        """Record that a job is sent."""
        chosen.worker.start(job.job_id, chosen.attempt)
        if self._engine is not None:
            chain = chain_of(job.model, job.parts)
            chosen.attempt.added = chosen.worker.cache.record(chain, job.parts)

    def first_event(self, job_id: int, worker: WorkerState, now: float) -> None:
        """Record the first event of a job's attempt."""
        pending_before = worker.pending_prefill_tokens
        attempt = worker.first_event(job_id, now, self._speed.has_enough_samples)
        if attempt is None:
            return
        if self._engine is None:
            self._speed.record_request_duration(now - attempt.sent_at)
        elif (
            pending_before == attempt.prefill_tokens
        ):  # Otherwise other prompts delayed it by an unknown time.
            self._speed.record_first_event(attempt.prefill_tokens, now - attempt.sent_at)

    def end(self, job_id: int, worker: WorkerState, end: AttemptEnd, now: float) -> None:
        """Record the end of a job's attempt."""
        attempt = worker.end(job_id)
        if attempt is None:
            return
        worker.record_attempt_end(end.outcome, end.cause, attempt.sent_at, now)
        if end.cause is Cause.WRONG_INSTANCE:
            self._update_usable()
        if end.outcome is Outcome.NOT_EXECUTED:
            worker.cache.drop(attempt.added)
        if end.outcome is Outcome.OK and attempt.first_event_at:
            self._speed.record_output(end.output_tokens, now - attempt.first_event_at)

    def _capacity(self) -> int:
        if self._engine is not None:
            return max(1, self._engine.capacity)
        return max((worker.entry.capacity for worker in self._usable), default=1) or 1
