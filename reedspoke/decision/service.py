"""The dispatch of one service: its queue, its workers, and the choice of the next job and its worker."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping

from msgspec import Struct

from reedspoke.decision.attempt_fate import Fate, FinalStatus, NextAttempt, final_status, next_attempt
from reedspoke.decision.fair_queue import Charge, FairQueue, finish_tag
from reedspoke.decision.job_class import (
    JobClass,
    JobState,
    Shares,
    cost_key,
    fairness_key,
    head_cost_key,
    priority_rank,
)
from reedspoke.decision.messages import (
    AttemptEnd,
    Cause,
    Decision,
    Expire,
    Fail,
    FailReason,
    Job,
    Load,
    Outcome,
    Refuse,
    RefuseReason,
    Send,
    Upstream,
    WorkerEntry,
)
from reedspoke.decision.placement import ChosenWorker
from reedspoke.decision.retry_after import RetryAfter
from reedspoke.decision.retry_budget import RetryBudget
from reedspoke.decision.size_bands import SizeBands
from reedspoke.decision.worker_pool import WorkerPool
from reedspoke.decision.worker_state import RunningAttempt, WorkerState

CLOCK_WINDOW_S = 2.0  # Averaging time of the rate of finished work, from which the virtual time follows.
CHARGE_INTERVAL_S = 0.010  # Time between charges of running jobs, as in the 2DFQ paper.
# A job waits for a worker for at most this share of its latency target. As the timer may fire late, this is
# less than a quarter, so that a job is refused within a quarter of its target.
MAX_WAIT_SHARE = 0.22
# Below this share of load, an untrusted worker or one in backoff is better than a refusal.
LAST_RESORT_MAX_LOAD = 0.5
POLL_INTERVAL_S = 0.02  # Timer interval while jobs are queued, as backoffs and delays end without an event.
MAX_QUEUED_JOBS = 1000  # Maximum queue length; further jobs are refused at once.
# An idle class keeps the credit for this many jobs: without any, a class whose few jobs arrive at random
# would lose its share in the gaps between them.
IDLE_CREDIT_JOBS = 4.0
# Jobs of a class that are considered at a time: the head, and that of the next fairness key in case the head
# waits for a preferred worker.
LOOK_AHEAD_SUBJECTS = 2
MAX_FAILED_CONNECTIONS = 3  # A job is ended after this many attempts whose connection failed.
CLEANUP_INTERVAL_ARRIVALS = 256  # Arrivals between searches for idle classes.


class InFlightAttempt(Struct, eq=False):
    """An attempt in flight, with the charges for it."""

    state: JobState
    worker: WorkerState
    running: RunningAttempt
    charge: Charge  # The charge to its job class.
    turn_cost: float  # The cost charged to its fairness key, which is refunded if the attempt never ran.


class HeldResources(Struct, frozen=True):
    """The resources that a service holds. All are 0 while it has no job; anything else is a leak."""

    waiting: int  # Jobs in the queues of its classes.
    in_flight: int  # Attempts counted by its classes.
    running: int  # Occupied positions of its workers.
    reserved: int  # Reserved retries of the retry budget.


NOTHING_HELD = HeldResources(0, 0, 0, 0)


class Candidate(Struct, eq=False):
    """A queued job and the worker that it may be sent to now."""

    state: JobState
    chosen: ChosenWorker


class Service:
    """The queue and the workers of one upstream. Methods that make decisions append them to `decisions`."""

    def __init__(self, upstream: Upstream, zone: str, budget: RetryBudget) -> None:
        self.upstream = upstream
        self.budget = budget
        self.pool = WorkerPool(upstream, zone)
        self.decisions: list[Decision] = []
        self._queue = FairQueue(CLOCK_WINDOW_S, CHARGE_INTERVAL_S)
        self._classes: dict[tuple[str, int], JobClass] = {}
        self._reserved: set[str] = set()  # Ids of workers that the last dispatch kept free for large jobs.
        self._shares = Shares()
        self._bands: dict[str, SizeBands] = {}
        self._jobs: dict[int, JobState] = {}
        self._in_flight: dict[int, InFlightAttempt] = {}
        self._wait_ends: list[tuple[float, int]] = []  # A heap of (time, job id).
        self._retry_after = RetryAfter()
        self._arrival_count = 0

    # ---- events ----

    def job_arrived(self, job: Job, now: float) -> None:
        """Queue a job, and send it at once if a worker can take it."""
        self.budget.record_request(now)
        if now >= job.deadline:
            self.decisions.append(Expire(job.job_id, may_have_run=False))
            return
        if self._waiting_count() >= MAX_QUEUED_JOBS:
            after = self._retry_after.record_refusal(job.job_id, job.deadline - now, now)
            self.decisions.append(Refuse(job.job_id, after, RefuseReason.OVERLOAD))
            return
        job_class, cost = self._class_of(job), self.pool.expected_cost(job)
        self._shares.record_arrival(job_class, cost, priority_rank(job), now)
        self._queue.seed_largest(job_class, cost_key(job), self._largest_seen(job, cost))
        state = JobState(
            job, job_class, cost, min(job.arrived + MAX_WAIT_SHARE * job.latency_target_s, job.deadline)
        )
        self._jobs[job.job_id] = state
        self._enqueue(state, now)
        self._drop_idle_classes()
        self.dispatch_waiting(now)
        self._schedule_wait_end(state)

    def client_left(self, job_id: int, now: float) -> None:
        """The client disconnected. An attempt in flight ends with its own event."""
        state = self._jobs.get(job_id)
        if state is None:
            return
        state.client_gone = True
        if state.waiting:
            self._queue.advance_clock(now, self._classes.values())
            self._close(state)

    def first_event_received(self, job_id: int, now: float) -> None:
        """The first event or byte of the answer arrived."""
        if (in_flight := self._in_flight.get(job_id)) is not None:
            self.pool.first_event(job_id, in_flight.worker, now)
            self.dispatch_waiting(now)

    def attempt_ended(self, job_id: int, end: AttemptEnd, now: float) -> None:
        """An attempt has ended: settle its charges, and decide whether there is another one."""
        in_flight = self._in_flight.pop(job_id, None)
        if in_flight is None:
            return
        self._queue.advance_clock(now, self._classes.values())  # While the class still counts as active.
        cost = self.pool.cost(in_flight.worker, in_flight.running, now)
        self.pool.end(job_id, in_flight.worker, end, now)
        in_flight.state.delivered_attempts += end.cause is not Cause.CONNECT_FAILED
        if end.outcome is Outcome.NOT_EXECUTED:
            self._queue.reverse_attempt(in_flight.state.job_class, in_flight.charge)
            in_flight.state.job_class.queue.refund(fairness_key(in_flight.state.job), in_flight.turn_cost)
        else:
            in_flight.state.may_have_run = True
            in_flight.state.partly_forwarded |= (
                in_flight.state.job.streaming and in_flight.running.first_event_at > 0
            )
            whole = end.outcome is Outcome.OK
            self._queue.finish_attempt(in_flight.state.job_class, in_flight.charge, cost, learn=whole)
            if whole:
                in_flight.state.job_class.record_cost(in_flight.state.cost, cost)
        self._after_attempt(in_flight.state, end, now)
        self.dispatch_waiting(now)

    def can_move(self, job_id: int, now: float) -> bool:
        """Whether the job could be sent to another worker at once if its attempt were cancelled."""
        in_flight = self._in_flight.get(job_id)
        if in_flight is None or in_flight.state.delivered_attempts + 1 >= in_flight.state.job.max_attempts:
            return False
        excluded = self._reserved.union(in_flight.state.tried)
        chosen = self.pool.placement.choose(in_flight.state.job, excluded, now)
        return chosen is not None and self.budget.can_reserve(now)

    def set_upstream(self, upstream: Upstream, now: float) -> None:
        """Apply a changed configuration of the service."""
        self.upstream = upstream
        self.pool.set_upstream(upstream)
        self.dispatch_waiting(now)

    def set_workers(self, entries: Iterable[WorkerEntry], now: float) -> None:
        """Replace the list of this service's workers."""
        self.pool.set_entries(entries)
        self.dispatch_waiting(now)

    def set_others(self, loads: Mapping[str, Load], now: float) -> None:
        """Set the load of other schedulers on the workers."""
        self.pool.set_others(loads)
        self.dispatch_waiting(now)

    def timer_fired(self, now: float) -> None:
        """Send the jobs that can be sent, and end those that have waited too long."""
        self.dispatch_waiting(now)
        while self._wait_ends and self._wait_ends[0][0] <= now:
            _, job_id = heapq.heappop(self._wait_ends)
            state = self._jobs.get(job_id)
            if state is None or not state.waiting:
                continue
            if state.wait_until <= now:
                self._end_wait(state, now)
            else:
                self._schedule_wait_end(state)

    def next_timer_at(self, now: float) -> float | None:
        """When to call `timer_fired` next; None if nothing is due before another event."""
        while self._wait_ends and not self._is_waiting(self._wait_ends[0][1]):
            heapq.heappop(self._wait_ends)
        if not self._wait_ends:
            return None
        return min(self._wait_ends[0][0], now + POLL_INTERVAL_S)

    # ---- dispatch ----

    def dispatch_waiting(self, now: float) -> None:
        """Assign free positions to classes with queued jobs by 2DFQ^E."""
        waiting = [job_class for job_class in self._classes.values() if job_class.queue]
        self._reserved.clear()
        if not waiting or not self.pool.has_free_position(now):
            return
        self._queue.advance_clock(now, self._classes.values())
        if len(waiting) > 1:
            self._charge_running(now)
        while waiting:
            front = min(waiting, key=lambda job_class: finish_tag(job_class, head_cost_key(job_class)))
            candidate = self._find_candidate(front, now)
            if candidate is None:
                waiting.remove(front)
                continue
            candidate = self._choose(front, candidate, waiting, now)
            self._send(candidate.state, candidate.chosen, now)
            waiting = [job_class for job_class in waiting if job_class.queue]

    def _choose(
        self, front: JobClass, candidate: Candidate, waiting: list[JobClass], now: float
    ) -> Candidate:
        """The job for the next position of the candidate's worker, which is the best one for the front class.

        The classes whose own candidate has the same worker compete for the position.
        """
        candidates = {id(front): candidate}
        for other in waiting if len(waiting) > 1 else ():
            other_candidate = self._find_candidate(other, now) if other is not front else None
            if other_candidate is not None and other_candidate.chosen.worker is candidate.chosen.worker:
                candidates[id(other)] = other_candidate
        if len(candidates) == 1:
            return candidate
        classes = [job_class for job_class in waiting if id(job_class) in candidates]
        return candidates[
            id(self._queue.choose(classes, head_cost_key, self.pool.stagger(candidate.chosen.worker)))
        ]

    def _find_candidate(self, job_class: JobClass, now: float) -> Candidate | None:
        """The head job of a class and its worker; None if no job of the class can be sent now.

        If the head waits for a preferred worker, or is a retry beyond the budget, the job of the next
        fairness key may be sent before it. If the head lacks only memory, no other job is sent before it, and
        a worker is kept free for it.
        """
        for state in job_class.queue.heads(LOOK_AHEAD_SUBJECTS):
            if state.delivered_attempts and not self.budget.can_use(now):
                continue
            excluded = self._reserved.union(state.tried)
            chosen = self.pool.placement.choose(state.job, excluded, now)
            if chosen is not None:
                return Candidate(state, chosen)
            if self._reserve(state, now):
                return None
        return None

    def _reserve(self, state: JobState, now: float) -> bool:
        """Keep a worker free for a job that lacks only memory, as smaller jobs would starve it otherwise.

        Returns False if the job waits for another reason.
        """
        if self.upstream.engine is None:
            return False
        worker_id = self.pool.placement.with_most_free_memory(
            state.job, self._reserved.union(state.tried), now
        )
        if worker_id is not None:
            self._reserved.add(worker_id)
        return worker_id is not None

    def _send(self, state: JobState, chosen: ChosenWorker, now: float) -> None:
        job_class = state.job_class
        turn_cost = job_class.largest[cost_key(state.job)]
        job_class.queue.take(fairness_key(state.job), state, turn_cost)
        state.waiting = False
        if state.delivered_attempts:
            self.budget.use(now)
        state.tried.append(chosen.worker.entry.instance_id)
        charge = self._queue.begin_attempt(job_class, cost_key(state.job))
        self.pool.start(state.job, chosen)
        self._in_flight[state.job.job_id] = InFlightAttempt(
            state, chosen.worker, chosen.attempt, charge, turn_cost
        )
        self._retry_after.record_sent(now)
        urgency = self.pool.urgency(state.job, chosen.attempt)
        self.decisions.append(Send(state.job.job_id, chosen.worker.entry.instance_id, urgency))

    def _charge_running(self, now: float) -> None:
        if self._queue.charge_due(now):
            for in_flight in self._in_flight.values():
                cost = self.pool.cost(in_flight.worker, in_flight.running, now)
                self._queue.charge_running(in_flight.state.job_class, in_flight.charge, cost)

    # ---- retries and final answers ----

    def _after_attempt(self, state: JobState, end: AttemptEnd, now: float) -> None:
        if state.client_gone or end.outcome in (Outcome.OK, Outcome.CANCELLED):
            self._close(state)
        elif now >= state.job.deadline:
            self._answer(state, Expire(state.job.job_id, state.may_have_run))
        elif next_attempt(fate(state), state.job.repeat, state.partly_forwarded) is NextAttempt.NONE:
            self._answer(state, Fail(state.job.job_id, FailReason.MAY_HAVE_RUN))
        elif (
            state.delivered_attempts >= state.job.max_attempts
            or failed_connections(state) >= MAX_FAILED_CONNECTIONS
        ):
            self._end_without_attempt(state, RefuseReason.ATTEMPTS, FailReason.ATTEMPTS, now)
        elif self.pool.usable and not self.pool.placement.any_can_run(state.job, state.tried):
            self._end_without_attempt(state, RefuseReason.NO_WORKER, FailReason.NO_WORKER, now)
        elif state.delivered_attempts and not self.budget.reserve(now):
            self._end_without_attempt(state, RefuseReason.BUDGET, FailReason.BUDGET, now)
        else:
            self._requeue(state, now)

    def _requeue(self, state: JobState, now: float) -> None:
        """Put a job back at the head of its queue, with a new limit for its wait."""
        state.wait_until = min(now + MAX_WAIT_SHARE * state.job.latency_target_s, state.job.deadline)
        self._enqueue(state, now, head=True)
        self._schedule_wait_end(state)

    def _end_wait(self, state: JobState, now: float) -> None:
        """End the wait of a job: send it as a last resort, or give it a final answer."""
        if now >= state.job.deadline:
            self._answer(state, Expire(state.job.job_id, state.may_have_run))
        elif (chosen := self._last_resort(state, now)) is not None:
            self._queue.advance_clock(now, self._classes.values())
            self._send(state, chosen, now)
        elif self.pool.usable:
            self._end_without_attempt(state, RefuseReason.OVERLOAD, FailReason.NO_WORKER, now)
        else:
            self._end_without_attempt(state, RefuseReason.NO_WORKER, FailReason.NO_WORKER, now)

    def _last_resort(self, state: JobState, now: float) -> ChosenWorker | None:
        """An untrusted worker or one in backoff, which is better than a refusal while the load is low."""
        if (
            self.pool.load_share() >= LAST_RESORT_MAX_LOAD
            or state.delivered_attempts
            and not self.budget.can_use(now)
        ):
            return None
        excluded = self._reserved.union(state.tried)
        return self.pool.placement.choose(state.job, excluded, now, last_resort=True)

    def _end_without_attempt(
        self, state: JobState, reason: RefuseReason, fail_reason: FailReason, now: float
    ) -> None:
        """End a job without another attempt: refuse it if it has not run or may be repeated, else fail it."""
        job_id = state.job.job_id
        retryable = final_status(fate(state), state.job.repeat) is FinalStatus.RETRYABLE
        if state.partly_forwarded or not retryable:
            self._answer(state, Fail(job_id, fail_reason))
        else:
            after = self._retry_after.record_refusal(job_id, state.job.deadline - now, now)
            self._answer(state, Refuse(job_id, after, reason))

    def _answer(self, state: JobState, decision: Decision) -> None:
        self.decisions.append(decision)
        self._close(state)

    def _close(self, state: JobState) -> None:
        if state.waiting:
            state.job_class.queue.remove(fairness_key(state.job), state)
            state.waiting = False
            if state.delivered_attempts:
                self.budget.cancel_reservation()
        self._jobs.pop(state.job.job_id, None)

    # ---- queue ----

    @property
    def idle(self) -> bool:
        """Whether the service has no jobs, neither queued nor in flight."""
        return not (self._jobs or self._in_flight)

    def held_resources(self) -> HeldResources:
        """The resources that are held now."""
        return HeldResources(
            waiting=sum(len(job_class.queue) for job_class in self._classes.values()),
            in_flight=sum(job_class.out for job_class in self._classes.values()),
            running=self.pool.running,
            reserved=self.budget.reserved,
        )

    def job_classes(self) -> list[JobClass]:
        """The job classes, which are the clients of the fair queue."""
        return list(self._classes.values())

    def has_job(self, job_id: int) -> bool:
        """Whether the job is queued or has an attempt in flight."""
        return job_id in self._jobs or job_id in self._in_flight

    def _waiting_count(self) -> int:
        return len(self._jobs) - len(self._in_flight)

    def _enqueue(self, state: JobState, now: float, head: bool = False) -> None:
        job_class = state.job_class
        self._queue.advance_clock(now, self._classes.values())
        if not job_class.queue and not job_class.out:
            self._queue.activate(job_class, cost_key(state.job), IDLE_CREDIT_JOBS)
        state.waiting = True
        if head:
            job_class.queue.push_head(fairness_key(state.job), state)
        else:
            job_class.queue.push(fairness_key(state.job), state)

    def _schedule_wait_end(self, state: JobState) -> None:
        if state.waiting:
            heapq.heappush(self._wait_ends, (state.wait_until, state.job.job_id))

    def _is_waiting(self, job_id: int) -> bool:
        state = self._jobs.get(job_id)
        return state is not None and state.waiting

    def _class_of(self, job: Job) -> JobClass:
        band = self._bands.setdefault(job.route, SizeBands()).add(job.size)
        key = (job.route, int(band))
        if key not in self._classes:
            self._classes[key] = JobClass(job.route, band)
        return self._classes[key]

    def _largest_seen(self, job: Job, expected: float) -> float:
        """The initial L_max of a class: the largest cost seen for its route and cost key in any band."""
        key = cost_key(job)
        route = [self._classes.get((job.route, band)) for band in range(3)]
        return max([known.largest.get(key, 0.0) for known in route if known is not None] + [expected])

    def _drop_idle_classes(self) -> None:
        """At intervals, drop the idle classes whose charges are all covered by their share."""
        self._arrival_count += 1
        if self._arrival_count % CLEANUP_INTERVAL_ARRIVALS:
            return
        kept = {key: c for key, c in self._classes.items() if not self._queue.can_drop(c, IDLE_CREDIT_JOBS)}
        self._classes = kept
        routes = {route for route, _ in kept}
        self._bands = {route: bands for route, bands in self._bands.items() if route in routes}


def failed_connections(state: JobState) -> int:
    """The number of attempts whose connection failed.

    Nothing of them has reached a worker, so they count neither as attempts of the route nor as retries.
    """
    return len(state.tried) - state.delivered_attempts


def fate(state: JobState) -> Fate:
    """Whether any of the job's attempts, all of which ended without an answer, may have run."""
    return Fate.MAY_HAVE_RUN if state.may_have_run else Fate.NEVER_RAN
