"""Messages between the forwarder and the dispatcher: jobs, what is known of workers, outcomes, decisions.

All times are seconds of one steady clock, as floats; all token counts are whole tokens.
"""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct


class Repeat(Enum):
    """What may be done with a request whose attempt may have run."""

    IDEMPOTENT = auto()  # may run more than once
    RESUMABLE = auto()  # a stream that another worker may go on with
    NEVER = auto()  # runs at most once


class Outcome(Enum):
    """How an attempt ended, as far as the fate of its request is concerned."""

    OK = auto()  # answered, whole
    NOT_EXECUTED = auto()  # it is proven that the worker has not run it and never will
    FAILED = auto()  # it may have run
    CANCELLED = auto()  # called off by us: the client has left


class Cause(Enum):
    """What was seen of the worker at the end of an attempt."""

    NONE = auto()  # nothing out of the ordinary
    FULL = auto()  # it said that it has no room
    WRONG_INSTANCE = auto()  # another worker answers at its address
    DEADLINE = auto()  # the request's time was over in the worker's queue
    CONNECT_FAILED = auto()  # no connection came up
    TIMED_OUT = auto()  # nothing came in time
    RESET = auto()  # the connection ended before the answer did
    BAD_ANSWER = auto()  # an error of its own, or bytes that are no answer


class PromptPart(Struct, frozen=True):
    """A part of a prompt; parts of the same id hold the same tokens."""

    id: str
    tokens: int


class Job(Struct, frozen=True, kw_only=True):
    """A request that waits for a worker or runs on one."""

    job_id: int
    route: str
    upstream: str
    priority: int  # of its route, 0 is the most urgent
    tenant: str = ""  # empty: it carries no key
    tenant_priority: int | None = None  # goes before that of the route
    repeat: Repeat
    streaming: bool = False
    model: str = ""
    parts: tuple[PromptPart, ...] = ()  # in order; the last is its own or its session's
    prompt_tokens: int = 0
    output_tokens: int = 0  # the most that may come; 0: unknown
    latency_target_s: float
    deadline: float  # after it nobody waits for the answer
    max_attempts: int = 1
    arrived: float

    @property
    def subject(self) -> str:
        """The id of the last shared part of the prompt; empty where there is none."""
        return self.parts[-2].id if len(self.parts) > 1 else ""

    @property
    def size(self) -> int:
        """The size by which requests of a route are compared: tokens in and ten times those out."""
        return self.prompt_tokens + SIZE_OF_OUTPUT * self.output_tokens


SIZE_OF_OUTPUT = 10  # weight of an output token in a request's size


class Engine(Struct, frozen=True):
    """What the configuration tells of the model engine of an upstream's workers."""

    capacity: int
    kv_tokens: int  # memory shared by running requests and kept parts


class Upstream(Struct, frozen=True):
    """A service. Without an engine its workers answer plain requests."""

    name: str
    engine: Engine | None = None


class WorkerEntry(Struct, frozen=True, kw_only=True):
    """A worker as the fleet's list has it."""

    instance_id: str
    upstream: str
    address: str
    zone: str
    capacity: int
    draining: bool = False
    models: tuple[str, ...] = ()  # empty: any
    cold_until: float = 0.0  # slow before this time


class Load(Struct, frozen=True):
    """What schedulers hold at a worker."""

    requests: int = 0
    tokens: int = 0  # prompt and output tokens that the requests keep in its memory


class AttemptEnd(Struct, frozen=True):
    """The end of a job's attempt."""

    outcome: Outcome
    cause: Cause = Cause.NONE
    output_tokens: int = 0  # 0: unknown


class RefuseReason(Enum):
    """Why a request that has not run, or may be repeated, is given back to its client."""

    OVERLOAD = auto()  # the workers that could run it had no room in time
    NO_WORKER = auto()  # no worker may be used
    BUDGET = auto()  # another attempt would exceed the fleet's retry budget
    ATTEMPTS = auto()  # the route allows no more attempts


class FailReason(Enum):
    """Why a request that may have run gets an error that promises nothing."""

    MAY_HAVE_RUN = auto()  # it must not be repeated
    BUDGET = auto()  # it may be repeated or resumed, but the budget is spent
    ATTEMPTS = auto()  # the route allows no more attempts
    NO_WORKER = auto()  # no worker was free in time for another attempt


class Send(Struct, frozen=True):
    """Open an attempt of the job at this worker."""

    job_id: int
    instance_id: str
    urgency: int | None = None  # to tell the worker, 0 the most urgent; None: nothing is told


class Refuse(Struct, frozen=True):
    """Answer 503 with Retry-After: the request has not run, or may be repeated."""

    job_id: int
    retry_after_s: float
    reason: RefuseReason


class Fail(Struct, frozen=True):
    """Answer 502, or end the stream as incomplete: the request may have run."""

    job_id: int
    reason: FailReason


class Expire(Struct, frozen=True):
    """The deadline is over. Where an attempt may have run (`ran`) the answer is 504, else 503."""

    job_id: int
    may_have_run: bool


Decision = Send | Refuse | Fail | Expire
