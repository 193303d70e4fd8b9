"""Job classes: the clients of the fair queue, and their shares.

Requests name no client and the configuration holds no shares, so the client of the fair queue is a job class:
the requests of one route in one size band. Two alternatives are worse. With a client for each route and
subject, one scheduler sees so few requests of each that nearly every client is new and starts at the current
virtual time; then the smallest job always goes first. With a client for each route, small jobs are charged
the L_max of large ones. Job classes live long enough for their tags to matter, and each group that must not
starve (a route, its largest tenth of requests, the fifth below it) has an account of its own. Inside a class,
tenants take turns, or subjects where requests carry no keys. Tenants have no accounts of their own because
there would again be too few requests for each tenant and class.

The share of a class is proportional to the work that it offers, weighted slightly by the urgency of its
route. So under overload all classes have about the same part of their requests served, urgent ones a little
more.
"""

from __future__ import annotations

import math

from msgspec import Struct, field

from reedspoke.decision.messages import Job
from reedspoke.decision.size_bands import Band
from reedspoke.decision.subject_queue import SubjectQueue

OFFERED_WORK_DECAY_S = 10.0  # Time constant of the average of offered work.
SHARE_RATIO_PER_RANK = 1.4  # Weight of a route relative to one that is one rank less urgent.
MIN_SHARE = 1e-6  # Keeps tags finite.
COST_EWMA_WEIGHT = 0.05  # Weight of a new cost in the cost ratio of a class.
MAX_COST_RATIO = 10.0  # Limits the effect of a single job that hung.
MAX_PRIORITY_RANK = 3  # Higher ranks count as this one, so that the least urgent do not starve.


class JobState(Struct, eq=False):
    """A job from its arrival until its final answer."""

    job: Job
    job_class: JobClass
    cost: float  # The cost expected before a worker is chosen, in engine seconds.
    wait_until: float  # If it is still queued then, it is refused or sent as a last resort.
    waiting: bool = True
    client_gone: bool = False  # Whether its client has disconnected.
    may_have_run: bool = False  # Whether an attempt may have run.
    tried: list[str] = field(default_factory=list)  # The workers tried so far, in order.
    # Attempts that may have reached a worker. Any attempt after these counts as a retry.
    delivered_attempts: int = 0
    partly_forwarded: bool = False  # Whether its client has received a part of the answer.


class JobClass(Struct, eq=False):
    """A client of the fair queue: the jobs of one route and size band."""

    route: str
    band: Band
    phi: float = 1.0
    start: float = -math.inf  # Set when its first job arrives.
    out: int = 0
    largest: dict[str, float] = field(default_factory=dict)
    queue: SubjectQueue[JobState] = field(default_factory=SubjectQueue)
    cost_ratio: float = 1.0  # Moving average of the actual over the expected cost of its jobs.
    offered_work: float = 0.0  # Decayed work of recent arrivals, weighted by urgency.
    offered_work_at: float = 0.0

    def record_cost(self, expected: float, cost: float) -> None:
        """Record the expected and the actual cost of a job that has ended."""
        ratio = min(MAX_COST_RATIO, cost / expected)
        self.cost_ratio += COST_EWMA_WEIGHT * (ratio - self.cost_ratio)


class Shares:
    """Sets the share of each class: its part of the work recently offered by all classes."""

    def __init__(self) -> None:
        self._total = 0.0
        self._at = 0.0

    def record_arrival(self, job_class: JobClass, cost: float, rank: float, now: float) -> None:
        """Update the share of a class for an arriving job of this cost and `priority_rank`."""
        work = cost * job_class.cost_ratio * SHARE_RATIO_PER_RANK**-rank
        self._total = self._total * decay(self._at, now) + work
        job_class.offered_work = job_class.offered_work * decay(job_class.offered_work_at, now) + work
        self._at = job_class.offered_work_at = now
        job_class.phi = max(MIN_SHARE, job_class.offered_work / self._total)


def decay(since: float, now: float) -> float:
    """The factor by which offered work has decayed since that time."""
    return math.exp(min(0.0, since - now) / OFFERED_WORK_DECAY_S)


def priority_rank(job: Job) -> float:
    """The rank of a job, 0 the most urgent: by the tenant's priority first, then by the route's."""
    route = float(min(max(job.priority, 0), MAX_PRIORITY_RANK))
    if job.tenant_priority is None:
        return route
    return min(max(job.tenant_priority, 0), MAX_PRIORITY_RANK) + route / (MAX_PRIORITY_RANK + 1)


def fairness_key(job: Job) -> str:
    """The key by which jobs of a class take turns: the tenant if the request has a key, else the subject."""
    return f"tenant {job.tenant}" if job.tenant else job.subject


def cost_key(job: Job) -> str:
    """The job key for L_max: the model, as models differ in speed."""
    return job.model


def head_cost_key(job_class: JobClass) -> str:
    """The cost key of the class's head job."""
    return cost_key(job_class.queue.head().job)
