"""What a client of the fair queue is here, and its share.

No request names a client and the configuration holds no shares. A client is a class of jobs: a route's
requests of one size band. Weighed: a client for each (route, subject) has so few requests at one scheduler
that nearly all are fresh, their start tag the clock, and the smallest job goes first for ever; a client for
each route lets small jobs pass for large ones in L_max. Classes last, so their tags bind, and what must not
starve (kinds of requests, their largest tenth, the fifth below it) has an account of its own. Tenants, or
subjects where requests carry no keys, take turns inside a class: by tenant and class there would again be so
few requests of each that nearly all are fresh.

A class's share is the work that it offers, a little more for urgent routes. So in a shortage all classes
have about the same part of their requests served, the more urgent ones a little more.
"""

from __future__ import annotations

import math

from msgspec import Struct, field

from reedspoke.decision.messages import Job
from reedspoke.decision.size_bands import Band
from reedspoke.decision.subject_queue import SubjectQueue

OFFERED_MEMORY_S = 10.0  # over which offered work is averaged
URGENCY = 1.4  # share of a route against one that is a rank less urgent
LEAST_SHARE = 1e-6  # keeps tags finite
COST_LEARN = 0.05  # weight of a new cost in a class's ratio
COST_RATIO_MOST = 10.0  # one job that hung must not look like a habit
URGENCY_RANKS = 3  # ranks beyond which urgency counts no more: the least urgent must not starve


class JobState(Struct, eq=False):
    """A job from its arrival until its final answer."""

    job: Job
    job_class: JobClass
    cost: float  # expected before a worker is chosen, in engine seconds
    hold_until: float  # it is refused if it still waits then
    waiting: bool = True
    closed: bool = False  # its client has left
    may_have_run: bool = False  # an attempt may have run
    tried: list[str] = field(default_factory=list)  # workers, in order
    arrivals: int = 0  # attempts of which something may have reached a worker; one more is a repeat
    passed: bool = False  # its client has a part of the answer


class JobClass(Struct, eq=False):
    """A client of the fair queue: the jobs of a route and size band."""

    route: str
    band: Band
    phi: float = 1.0
    start: float = -math.inf  # set when its first job arrives
    out: int = 0
    largest: dict[str, float] = field(default_factory=dict)
    queue: SubjectQueue[JobState] = field(default_factory=SubjectQueue)
    cost_ratio: float = 1.0  # what its jobs have cost against what was expected
    offered: float = 0.0  # work of recent arrivals, decayed, by the urgency of their route
    offered_at: float = 0.0

    def learn_cost(self, expected: float, cost: float) -> None:
        """A job has ended that was expected to cost so much."""
        ratio = min(COST_RATIO_MOST, cost / expected)
        self.cost_ratio += COST_LEARN * (ratio - self.cost_ratio)


class Shares:
    """Gives each class its share: its part of the work that all classes have offered lately."""

    def __init__(self) -> None:
        self._total = 0.0
        self._at = 0.0

    def offer(self, job_class: JobClass, cost: float, rank: float, now: float) -> None:
        """A job of that cost and urgency (as `rank_of` has it) arrives: the share of its class follows."""
        work = cost * job_class.cost_ratio * URGENCY**-rank
        self._total = self._total * decay(self._at, now) + work
        job_class.offered = job_class.offered * decay(job_class.offered_at, now) + work
        self._at = job_class.offered_at = now
        job_class.phi = max(LEAST_SHARE, job_class.offered / self._total)


def decay(since: float, now: float) -> float:
    """What is left of offered work after that time."""
    return math.exp(min(0.0, since - now) / OFFERED_MEMORY_S)


def rank_of(job: Job) -> float:
    """The urgency of a job, 0 the most: that of its tenant, and that of its route among the tenant's jobs."""
    route = float(min(max(job.priority, 0), URGENCY_RANKS))
    if job.tenant_priority is None:
        return route
    return min(max(job.tenant_priority, 0), URGENCY_RANKS) + route / (URGENCY_RANKS + 1)


def turn_of(job: Job) -> str:
    """Who takes turns inside a class: tenants where requests carry keys, else subjects."""
    return f"tenant {job.tenant}" if job.tenant else job.subject


def key_of(job: Job) -> str:
    """The job key of L_max: models differ in speed."""
    return job.model


def head_key(job_class: JobClass) -> str:
    """The job key of the class's head job."""
    return key_of(job_class.queue.head().job)
