"""The dispatcher's records of workers, tenants, requests and attempts, and their bookkeeping.

Decisions are in `reedspoke/logic.py`. Times are microseconds of the caller's clock.
"""

from __future__ import annotations

import math
from collections import deque

from msgspec import Struct, field

from reedspoke.interface import ClassSettings, WorkerState

SAMPLE_WEIGHT = 0.2  # Weight of a new sample in running averages: about the last ten count.
# Weight of the work at a worker that has a free slot: of several such workers the least loaded is preferred.
FREE_SLOT_LOAD_WEIGHT = 0.1
MIN_HINT_WEIGHT = 0.03  # Least weight of a new hint or cost in the mean of its class.
HINT_DECAY = 0.99  # The sums over hints and costs are multiplied by this at each further job.
# Hints count by half until results outweigh this many assumed jobs, each of them with a hint that is one
# logarithmic unit off the mean.
HINT_PRIOR = 5.0
# A sample counts as at most this multiple of the average, so that a single pause of a worker does not make it
# look slow.
MAX_SAMPLE_RATIO = 3.0


class Zone(Struct, eq=False):
    """Whether the workers of a zone can be reached from here."""

    name: str = ""
    contact_at: int = 0  # Time of the latest answer of any of its workers.
    unreachable_since: int = 0  # 0 if it can be reached.
    next_probe_at: int = 0  # Earliest time of its next probe.


class Worker(Struct, eq=False):
    """A worker, as listed and as observed by this dispatcher."""

    id: str
    id_hash: int  # CRC-32 of the id: its position on the hash ring.
    pace: float  # Running time of a unit of work.
    slot_cap: float  # Limit of the slots that attempts of this scheduler may hold.
    weight: float = 1.0  # Its size as listed, relative to other workers.
    zone: Zone = field(default_factory=Zone)
    kind: str = ""
    cell: int = 0  # The number of its group of workers for `DedupScope.CELL`.
    state: WorkerState = WorkerState.GONE
    started_at: int = 0  # Time of its latest start; 0 if it is unknown or long ago.
    resumed_at: int = 0  # When operators resumed it last; 0 if they never did.
    used_slots: int = 0  # Slots held by attempts of this scheduler.
    peer_load: tuple[int, float] = (0, 0.0)  # Slots and work that other schedulers report to hold there.
    used_memory: float = 0.0  # Units of memory held by attempts of this scheduler.
    work_in_flight: float = 0.0  # Work of the attempts of this scheduler.
    running_slots: int = 0  # Slots held by those attempts of this scheduler that have started.
    peak_slots: int = 1  # Most slots seen free or running at once: the estimate of its number of slots.
    start_delay: float = 0.0  # Time that a job waits there for its start, as of `start_delay_at`.
    start_delay_at: int = 0
    cap_lowered_at: int = 0  # When `slot_cap` was lowered last.
    contact_at: int = 0  # Time of its latest answer.
    probe_sent_at: int = 0  # When the probe in flight was sent; 0 if there is none.
    probe_answered_at: int = 0  # When the latest probe ended.
    home_distance: float = 0.0  # Distance from this scheduler's part of the hash ring, from 0 to 1.
    paused_until: int = 0  # It gets no attempts before this time.
    success_rate: float = 1.0  # Share of successes among its outcomes; recent ones have the largest weights.
    connect_failures: int = 0  # Failed and unacknowledged connections since its latest answer.
    # Time and work of the attempts sent to it while it was cold, within the current overload window.
    cold_sends: deque[tuple[int, float]] = field(default_factory=deque)

    def reset(self, slot_cap: float, resumed_at: int = 0) -> None:
        """Forget what was learned of its load and failures, as it has restarted or was resumed."""
        self.slot_cap, self.start_delay, self.paused_until, self.success_rate = slot_cap, 0.0, 0, 1.0
        self.connect_failures, self.resumed_at = 0, resumed_at

    def expected_delay(self, now: int, half_life: float) -> float:
        """The start delay to expect now.

        A queue drains as time passes. A delay that is not seen again is forgotten more slowly.
        """
        elapsed = now - self.start_delay_at
        return max(self.start_delay - elapsed, self.start_delay / (1 + elapsed / half_life))

    def queueing_time(self, slots: int) -> float:
        """Time until that many slots are free, given our jobs there and those that peers report.

        It serves to compare workers. While enough slots are free it is small, as the jobs there do not delay
        a further one. Such a small difference does not justify the choice of a distant worker.
        """
        used, work = self.used_slots + self.peer_load[0], self.work_in_flight + self.peer_load[1]
        over = max(0, used + slots - self.peak_slots) / max(1, used)
        # The slots that peers hold count towards the cap too.
        positions = self.peak_slots if self.peer_load[0] else max(self.peak_slots, int(self.slot_cap))
        return (over / positions + FREE_SLOT_LOAD_WEIGHT) * work * self.pace

    def is_paused(self, now: int) -> bool:
        """Whether it is listed as up, but this dispatcher sends it no attempts for the present."""
        return self.state is WorkerState.UP and (self.paused_until > now or self.zone.unreachable_since > 0)


class HintModel(Struct, eq=False):
    """A running regression of the costs of a class on the work hints of its clients, both as logarithms.

    Hints that vary as widely as the costs, but independently of them, would order jobs at random. Their
    distance from the mean counts only as far as it has predicted costs.
    """

    count: int = 0
    mean_log_hint: float = 0.0
    mean_log_cost: float = 0.0  # Mean cost on a standard worker: one that takes 1 us for a unit of work.
    variance_sum: float = 0.0  # Sum of squared distances of hints from their mean.
    covariance_sum: float = 0.0  # Sum of products of the distances of hints and costs from their means.

    def expected_work(self, hint: float) -> float:
        """The work to expect, in the unit of the hint; until there are results a hint counts by half."""
        log_hint = math.log(hint)
        self.count += 1
        self.mean_log_hint += max(MIN_HINT_WEIGHT, 1 / self.count) * (log_hint - self.mean_log_hint)
        trust = min(1.0, max(0.0, (self.covariance_sum + HINT_PRIOR / 2) / (self.variance_sum + HINT_PRIOR)))
        return math.exp(self.mean_log_hint + trust * (log_hint - self.mean_log_hint))

    def record_cost(self, hint: float, cost: float) -> None:
        """Learn from the running time, on a standard worker, of a job with that hint."""
        log_hint, log_cost = math.log(hint), math.log(max(1.0, cost))
        self.mean_log_cost += (
            MIN_HINT_WEIGHT * (log_cost - self.mean_log_cost) if self.mean_log_cost else log_cost
        )
        self.variance_sum = HINT_DECAY * self.variance_sum + (log_hint - self.mean_log_hint) ** 2
        self.covariance_sum = HINT_DECAY * self.covariance_sum + (log_hint - self.mean_log_hint) * (
            log_cost - self.mean_log_cost
        )


class Flow(Struct, eq=False):
    """A tenant as a flow of 2DFQ^E."""

    phi: float  # Its share; the mean of all tenants is 1.
    start: float = 0.0  # Its start tag S_f.
    queue: list[Job] = field(default_factory=list)  # Its queued jobs, ordered by latest start.
    out: int = 0  # Number of its attempts in flight.
    largest: dict[str, float] = field(default_factory=dict)  # L_max, the largest recent cost, by job key.


class Job(Struct, eq=False):
    """A request, from its arrival until the last of its attempts has ended."""

    id: int
    cls: ClassSettings
    flow: Flow
    job_key: str
    hint: float  # The work that the client has stated, or an estimate if it has stated none.
    work: float  # The work that is expected, given the hint.
    slots: int
    deadline: int
    latest_start: float  # Latest start that meets the latency target and the deadline.
    memory: float = 0.0  # Units of memory that it needs.
    attempts: list[Attempt] = field(default_factory=list)
    unanswered: bool = True  # Whether it still needs a final answer.
    queued: bool = False

    def attempts_in_flight(self) -> int:
        """How many of its attempts have not ended."""
        return sum(not attempt.ended for attempt in self.attempts)

    def first_maybe_executed(self) -> Attempt | None:
        """The earliest attempt that may have run."""
        return next((attempt for attempt in self.attempts if not attempt.not_executed), None)


class Attempt(Struct, eq=False):
    """One attempt to run a job on a worker."""

    job: Job
    number: int
    worker: Worker
    sent_at: int
    charged: float = 0.0  # The part of its cost that its tenant has been charged for so far.
    started_at: int = 0  # 0 until its start is reported.
    ended: bool = False
    not_executed: bool = False  # Whether it is proven that it has not run and never will.
    cancelled: bool = False
    lost_at: int = 0  # When it was given up as lost, since when it holds no slots; 0 if it was not.

    def register(self) -> None:
        """Add it to its job, tenant and worker."""
        self.job.attempts.append(self)
        self.job.flow.out += 1
        self.occupy_worker()

    def occupy_worker(self) -> None:
        """Hold its slots, work and memory at the worker."""
        self.worker.used_slots += self.job.slots
        self.worker.work_in_flight += self.job.work
        self.worker.used_memory += self.job.memory

    def mark_started(self, now: int) -> None:
        """Record its start.

        An attempt that was given up as lost holds its slots again. Otherwise it would count as running for
        ever, and its cost would be negative.
        """
        if self.lost_at:
            self.lost_at = 0
            self.occupy_worker()
        self.started_at = now
        self.worker.running_slots += self.job.slots
        self.worker.peak_slots = max(self.worker.peak_slots, self.worker.running_slots)

    def mark_ended(self, not_executed: bool) -> None:
        """Record its end and free its slots."""
        self.ended, self.not_executed = True, not_executed
        self.job.flow.out -= 1
        if not self.lost_at:
            self.release_worker()

    def mark_lost(self, now: int) -> None:
        """Give it up as lost: free its slots before it has ended."""
        self.lost_at = now
        self.release_worker()

    def release_worker(self) -> None:
        """Free its slots, work and memory at the worker."""
        self.worker.used_slots -= self.job.slots
        self.worker.work_in_flight -= self.job.work
        self.worker.used_memory -= self.job.memory
        if self.started_at:
            self.worker.running_slots -= self.job.slots

    def cost(self, now: int) -> float:
        """Slots times time since its start, or since it was sent if no start was reported."""
        return self.job.slots * float((self.lost_at or now) - (self.started_at or self.sent_at))

    def charge(self, total: float) -> None:
        """Bring what its tenant has been charged for it to `total`."""
        self.job.flow.start += (total - self.charged) / self.job.flow.phi
        self.charged = total


def moving_average(old: float, sample: float) -> float:
    """The average after one more sample, which counts as at most MAX_SAMPLE_RATIO times the average."""
    return old + SAMPLE_WEIGHT * (min(sample, MAX_SAMPLE_RATIO * old) - old)
