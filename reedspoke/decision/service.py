"""The ordinary path for one service: its queue, its workers, and who goes next to which of them."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping

from msgspec import Struct

from reedspoke.decision.attempt_fate import Another, Fate, FinalStatus, another_attempt, final_status
from reedspoke.decision.fair_queue import Charge, FairQueue, finish_tag
from reedspoke.decision.job_class import JobClass, JobState, Shares, head_key, key_of, rank_of, turn_of
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
from reedspoke.decision.placement import Placed
from reedspoke.decision.retry_after import RetryAfter
from reedspoke.decision.retry_budget import RetryBudget
from reedspoke.decision.size_bands import SizeBands
from reedspoke.decision.worker_pool import WorkerPool
from reedspoke.decision.worker_state import Running, WorkerState

CLOCK_MEMORY_S = 2.0  # over which the rate of finished work is averaged for the virtual clock
REFRESH_S = 0.010  # between charges of running jobs, as in the paper
HOLD_PART = 0.22  # of the aim that a job waits for a worker: refused within a quarter, with a timer's delay
HALF_TAKEN = 0.5  # share of positions taken under which a job is sent to any worker rather than refused
LOOK_EVERY_S = 0.02  # while jobs wait: rests and delays end as time passes
QUEUE_MOST = 1000  # jobs that wait; what comes beyond them is refused at once
CREDIT_JOBS = 4.0  # jobs of its share that a class without work keeps: those of rare ones come at random
LOOK_AHEAD = 2  # subjects of a class whose next job may go while those before wait for a worker
MOST_UNREACHED = 3  # workers to which no connection came up, before a job is given up
FORGET_EVERY = 256  # arrivals between looks for classes without work


class OutAttempt(Struct, eq=False):
    """An attempt that is out: who pays for it and how much so far."""

    state: JobState
    worker: WorkerState
    running: Running
    charge: Charge
    turn_cost: float  # what its subject was charged


class Residue(Struct, frozen=True):
    """What a service holds; all 0 while it has no job."""

    waiting: int  # in the queues of its classes
    out: int  # attempts that its classes count
    running: int  # positions of its workers
    reserved: int  # repeats set aside of the retry budget


NOTHING_LEFT = Residue(0, 0, 0, 0)


class Fit(Struct, eq=False):
    """A waiting job and the worker that it may go to now."""

    state: JobState
    placed: Placed


class Service:
    """Queue and workers of one upstream. Methods that may decide something add to `decisions`."""

    def __init__(self, upstream: Upstream, zone: str, budget: RetryBudget) -> None:
        self.upstream = upstream
        self.budget = budget
        self.pool = WorkerPool(upstream, zone)
        self.decisions: list[Decision] = []
        self._queue = FairQueue(CLOCK_MEMORY_S, REFRESH_S)
        self._classes: dict[tuple[str, int], JobClass] = {}
        self._reserved: set[str] = set()  # workers left to drain for a large job, as of the last release
        self._shares = Shares()
        self._bands: dict[str, SizeBands] = {}
        self._jobs: dict[int, JobState] = {}
        self._out: dict[int, OutAttempt] = {}
        self._holds: list[tuple[float, int]] = []  # heap of (time, job id)
        self._retry_after = RetryAfter()
        self._arrivals = 0

    # ---- events ----

    def arrive(self, job: Job, now: float) -> None:
        """A client's request; it is sent at once where a worker can take it."""
        self.budget.request(now)
        if now >= job.deadline:
            self.decisions.append(Expire(job.job_id, may_have_run=False))
            return
        if self._waiting_count() >= QUEUE_MOST:
            after = self._retry_after.refuse(job.job_id, job.deadline - now, now)
            self.decisions.append(Refuse(job.job_id, after, RefuseReason.OVERLOAD))
            return
        job_class, cost = self._class_of(job), self.pool.expected_cost(job)
        self._shares.offer(job_class, cost, rank_of(job), now)
        self._queue.seed(job_class, key_of(job), self._largest_seen(job, cost))
        state = JobState(
            job, job_class, cost, min(job.arrived + HOLD_PART * job.latency_target_s, job.deadline)
        )
        self._jobs[job.job_id] = state
        self._enqueue(state, now)
        self._forget_idle()
        self.release(now)
        self._hold(state)

    def leave(self, job_id: int, now: float) -> None:
        """The client has left. An attempt that is out ends with its own event."""
        state = self._jobs.get(job_id)
        if state is None:
            return
        state.closed = True
        if state.waiting:
            self._queue.clock(now, self._classes.values())
            self._close(state)

    def first_event_received(self, job_id: int, now: float) -> None:
        """The first event or byte of the answer has come."""
        if (out := self._out.get(job_id)) is not None:
            self.pool.first_event(job_id, out.worker, now)
            self.release(now)

    def attempt_ended(self, job_id: int, end: AttemptEnd, now: float) -> None:
        """An attempt has ended: settle its account, and decide on the job's next one."""
        out = self._out.pop(job_id, None)
        if out is None:
            return
        self._queue.clock(now, self._classes.values())  # while its class still counts as active
        cost = self.pool.cost(out.worker, out.running, now)
        self.pool.end(job_id, out.worker, end, now)
        out.state.arrivals += end.cause is not Cause.CONNECT_FAILED
        if end.outcome is Outcome.NOT_EXECUTED:
            self._queue.reverse(out.state.job_class, out.charge)
            out.state.job_class.queue.refund(turn_of(out.state.job), out.turn_cost)
        else:
            out.state.may_have_run = True
            out.state.passed |= out.state.job.streaming and out.running.first_event > 0
            whole = end.outcome is Outcome.OK
            self._queue.finish(out.state.job_class, out.charge, cost, learn=whole)
            if whole:
                out.state.job_class.learn_cost(out.state.cost, cost)
        self._after(out.state, end, now)
        self.release(now)

    def can_move(self, job_id: int, now: float) -> bool:
        """Whether the job could go to another worker at once if its attempt were given up."""
        out = self._out.get(job_id)
        if out is None or out.state.arrivals + 1 >= out.state.job.max_attempts:
            return False
        excluded = self._reserved.union(out.state.tried)
        placed = self.pool.placement.best(out.state.job, excluded, now)
        return placed is not None and self.budget.has_left(now)

    def set_upstream(self, upstream: Upstream, now: float) -> None:
        """The configuration has changed the service."""
        self.upstream = upstream
        self.pool.set_upstream(upstream)
        self.release(now)

    def set_workers(self, entries: Iterable[WorkerEntry], now: float) -> None:
        """The whole list of this service's workers."""
        self.pool.set_entries(entries)
        self.release(now)

    def set_others(self, loads: Mapping[str, Load], now: float) -> None:
        """What other schedulers hold at the workers."""
        self.pool.set_others(loads)
        self.release(now)

    def tick(self, now: float) -> None:
        """Time has passed: serve what can be served, answer what has waited too long."""
        self.release(now)
        while self._holds and self._holds[0][0] <= now:
            _, job_id = heapq.heappop(self._holds)
            state = self._jobs.get(job_id)
            if state is None or not state.waiting:
                continue
            if state.hold_until <= now:
                self._give_up(state, now)
            else:
                self._hold(state)

    def next_timer_at(self, now: float) -> float | None:
        """When `tick` is to be called next; None: only after another event."""
        while self._holds and not self._is_held(self._holds[0][1]):
            heapq.heappop(self._holds)
        if not self._holds:
            return None
        return min(self._holds[0][0], now + LOOK_EVERY_S)

    # ---- the ordinary path ----

    def release(self, now: float) -> None:
        """Give free positions to waiting classes by 2DFQ^E."""
        waiting = [job_class for job_class in self._classes.values() if job_class.queue]
        self._reserved.clear()
        if not waiting or not self.pool.has_room(now):
            return
        self._queue.clock(now, self._classes.values())
        if len(waiting) > 1:
            self._charge_running(now)
        while waiting:
            front = min(waiting, key=lambda job_class: finish_tag(job_class, head_key(job_class)))
            fit = self._fit(front, now)
            if fit is None:
                waiting.remove(front)
                continue
            fit = self._choose(front, fit, waiting, now)
            self._send(fit.state, fit.placed, now)
            waiting = [job_class for job_class in waiting if job_class.queue]

    def _choose(self, front: JobClass, fit: Fit, waiting: list[JobClass], now: float) -> Fit:
        """Who gets the next position of the worker that is best for the front class's head."""
        able = {id(front): fit}
        for other in waiting if len(waiting) > 1 else ():
            there = self._fit(other, now) if other is not front else None
            if there is not None and there.placed.worker is fit.placed.worker:
                able[id(other)] = there
        if len(able) == 1:
            return fit
        classes = [job_class for job_class in waiting if id(job_class) in able]
        return able[id(self._queue.choose(classes, head_key, self.pool.stagger(fit.placed.worker)))]

    def _fit(self, job_class: JobClass, now: float) -> Fit | None:
        """The class's head job and its worker. Where the head has to wait for the worker of its prefix, the
        next subject's job may go before it."""
        for state in job_class.queue.heads(LOOK_AHEAD):
            if state.arrivals and not self.budget.covered(now):
                continue
            excluded = self._reserved.union(state.tried)
            placed = self.pool.placement.best(state.job, excluded, now)
            if placed is not None:
                return Fit(state, placed)
            if self._reserve(state, now):
                return None
        return None

    def _reserve(self, state: JobState, now: float) -> bool:
        """Leave a worker to drain for a job whose memory no worker has: smaller ones would keep it from ever
        being served. False where it isn't memory that it lacks."""
        if self.upstream.engine is None:
            return False
        worker_id = self.pool.placement.roomiest(state.job, self._reserved.union(state.tried), now)
        if worker_id is not None:
            self._reserved.add(worker_id)
        return worker_id is not None

    def _send(self, state: JobState, placed: Placed, now: float) -> None:
        job_class = state.job_class
        turn_cost = job_class.largest[key_of(state.job)]
        job_class.queue.take(turn_of(state.job), state, turn_cost)
        state.waiting = False
        if state.arrivals:
            self.budget.use(now)
        state.tried.append(placed.worker.entry.instance_id)
        charge = self._queue.begin(job_class, key_of(state.job))
        self.pool.start(state.job, placed)
        self._out[state.job.job_id] = OutAttempt(state, placed.worker, placed.attempt, charge, turn_cost)
        self._retry_after.sent(now)
        urgency = self.pool.urgency(state.job, placed.attempt)
        self.decisions.append(Send(state.job.job_id, placed.worker.entry.instance_id, urgency))

    def _charge_running(self, now: float) -> None:
        if self._queue.refresh_due(now):
            for out in self._out.values():
                cost = self.pool.cost(out.worker, out.running, now)
                self._queue.refresh(out.state.job_class, out.charge, cost)

    # ---- what follows an attempt, and final answers ----

    def _after(self, state: JobState, end: AttemptEnd, now: float) -> None:
        if state.closed or end.outcome in (Outcome.OK, Outcome.CANCELLED):
            self._close(state)
        elif now >= state.job.deadline:
            self._answer(state, Expire(state.job.job_id, state.may_have_run))
        elif another_attempt(fate(state), state.job.repeat, state.passed) is Another.NO:
            self._answer(state, Fail(state.job.job_id, FailReason.MAY_HAVE_RUN))
        elif state.arrivals >= state.job.max_attempts or unreached(state) >= MOST_UNREACHED:
            self._end_without(state, RefuseReason.ATTEMPTS, FailReason.ATTEMPTS, now)
        elif self.pool.usable and not self.pool.placement.possible(state.job, state.tried):
            self._end_without(state, RefuseReason.NO_WORKER, FailReason.NO_WORKER, now)
        elif state.arrivals and not self.budget.reserve(now):
            self._end_without(state, RefuseReason.BUDGET, FailReason.BUDGET, now)
        else:
            self._requeue(state, now)

    def _requeue(self, state: JobState, now: float) -> None:
        """Back to the head of its queue."""
        state.hold_until = min(now + HOLD_PART * state.job.latency_target_s, state.job.deadline)
        self._enqueue(state, now, head=True)
        self._hold(state)

    def _give_up(self, state: JobState, now: float) -> None:
        """A job has waited as long as it may: its client gets its final answer at once."""
        if now >= state.job.deadline:
            self._answer(state, Expire(state.job.job_id, state.may_have_run))
        elif (placed := self._last_resort(state, now)) is not None:
            self._queue.clock(now, self._classes.values())
            self._send(state, placed, now)
        elif self.pool.usable:
            self._end_without(state, RefuseReason.OVERLOAD, FailReason.NO_WORKER, now)
        else:
            self._end_without(state, RefuseReason.NO_WORKER, FailReason.NO_WORKER, now)

    def _last_resort(self, state: JobState, now: float) -> Placed | None:
        """While under half of the positions are taken, a worker that is in doubt is better than a refusal."""
        if self.pool.taken_share() >= HALF_TAKEN or state.arrivals and not self.budget.covered(now):
            return None
        excluded = self._reserved.union(state.tried)
        return self.pool.placement.best(state.job, excluded, now, last_resort=True)

    def _end_without(self, state: JobState, reason: RefuseReason, failed: FailReason, now: float) -> None:
        """No further attempt: refused where that is true, or harmless since the client may repeat it."""
        job_id = state.job.job_id
        promise = final_status(fate(state), state.job.repeat) is FinalStatus.PROMISE
        if state.passed or not promise:
            self._answer(state, Fail(job_id, failed))
        else:
            after = self._retry_after.refuse(job_id, state.job.deadline - now, now)
            self._answer(state, Refuse(job_id, after, reason))

    def _answer(self, state: JobState, decision: Decision) -> None:
        self.decisions.append(decision)
        self._close(state)

    def _close(self, state: JobState) -> None:
        if state.waiting:
            state.job_class.queue.remove(turn_of(state.job), state)
            state.waiting = False
            if state.arrivals:
                self.budget.give_back()
        self._jobs.pop(state.job.job_id, None)

    # ---- queue ----

    @property
    def idle(self) -> bool:
        """Whether no job is known."""
        return not (self._jobs or self._out)

    def unreleased(self) -> Residue:
        """What is held now."""
        return Residue(
            waiting=sum(len(job_class.queue) for job_class in self._classes.values()),
            out=sum(job_class.out for job_class in self._classes.values()),
            running=self.pool.running,
            reserved=self.budget.reserved,
        )

    def accounts(self) -> list[JobClass]:
        """The clients of the fair queue."""
        return list(self._classes.values())

    def knows(self, job_id: int) -> bool:
        """Whether the job waits or has an attempt out."""
        return job_id in self._jobs or job_id in self._out

    def _waiting_count(self) -> int:
        return len(self._jobs) - len(self._out)

    def _enqueue(self, state: JobState, now: float, head: bool = False) -> None:
        job_class = state.job_class
        self._queue.clock(now, self._classes.values())
        if not job_class.queue and not job_class.out:
            self._queue.activate(job_class, key_of(state.job), CREDIT_JOBS)
        state.waiting = True
        if head:
            job_class.queue.push_head(turn_of(state.job), state)
        else:
            job_class.queue.push(turn_of(state.job), state)

    def _hold(self, state: JobState) -> None:
        if state.waiting:
            heapq.heappush(self._holds, (state.hold_until, state.job.job_id))

    def _is_held(self, job_id: int) -> bool:
        state = self._jobs.get(job_id)
        return state is not None and state.waiting

    def _class_of(self, job: Job) -> JobClass:
        band = self._bands.setdefault(job.route, SizeBands()).add(job.size)
        key = (job.route, int(band))
        if key not in self._classes:
            self._classes[key] = JobClass(job.route, band)
        return self._classes[key]

    def _largest_seen(self, job: Job, expected: float) -> float:
        """L_max starts at the largest cost seen of the route and key."""
        key = key_of(job)
        route = [self._classes.get((job.route, band)) for band in range(3)]
        return max([known.largest.get(key, 0.0) for known in route if known is not None] + [expected])

    def _forget_idle(self) -> None:
        """Drop the accounts of classes that have no work and no debt."""
        self._arrivals += 1
        if self._arrivals % FORGET_EVERY:
            return
        kept = {key: c for key, c in self._classes.items() if not self._queue.forgettable(c, CREDIT_JOBS)}
        self._classes = kept
        routes = {route for route, _ in kept}
        self._bands = {route: bands for route, bands in self._bands.items() if route in routes}


def unreached(state: JobState) -> int:
    """Attempts for which no connection came up: nothing of them has reached a worker, so they count neither
    against the route's attempts nor against the retry budget."""
    return len(state.tried) - state.arrivals


def fate(state: JobState) -> Fate:
    """The fate of all of the job's attempts that have ended without an answer."""
    return Fate.MAY_HAVE_RUN if state.may_have_run else Fate.NEVER_RAN
