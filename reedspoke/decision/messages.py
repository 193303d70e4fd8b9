"""Types exchanged between the forwarder and the dispatcher: jobs, workers, attempt outcomes, decisions.

All times are seconds of one monotonic clock, as floats.
"""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct


class Repeat(Enum):
    """Whether a request may be repeated after an attempt that may have run."""

    IDEMPOTENT = auto()  # The request may run more than once.
    RESUMABLE = auto()  # The answer is a stream that another worker can continue.
    NEVER = auto()  # The request must run at most once.


class Outcome(Enum):
    """How an attempt ended, with regard to whether its request ran."""

    OK = auto()  # A complete answer was received.
    NOT_EXECUTED = auto()  # It is proven that the worker has not run the request and never will.
    FAILED = auto()  # The request may have run.
    CANCELLED = auto()  # The scheduler cancelled the attempt, for example because the client left.


class Cause(Enum):
    """What the end of an attempt shows about its worker."""

    NONE = auto()  # No fault.
    FULL = auto()  # The worker reported that it is at capacity.
    WRONG_INSTANCE = auto()  # Another worker instance answers at its address.
    DEADLINE = auto()  # The request's deadline passed in the worker's queue.
    CONNECT_FAILED = auto()  # No connection could be opened.
    TIMED_OUT = auto()  # The worker sent nothing in time.
    RESET = auto()  # The connection ended before the answer was complete.
    BAD_ANSWER = auto()  # The worker answered with a server error or with invalid bytes.


class PromptPart(Struct, frozen=True):
    """A part of a prompt. Parts with the same id hold the same tokens."""

    id: str
    tokens: int


class Job(Struct, frozen=True, kw_only=True):
    """A request that is queued or running on a worker."""

    job_id: int
    route: str
    upstream: str
    priority: int  # The priority of its route; 0 is the most urgent.
    tenant: str = ""  # Empty if the request carries no key.
    tenant_priority: int | None = None  # Takes precedence over the route's priority.
    repeat: Repeat
    streaming: bool = False
    model: str = ""
    parts: tuple[PromptPart, ...] = ()  # In order; the last one belongs to this request or session only.
    prompt_tokens: int = 0
    output_tokens: int = 0  # The maximum number of output tokens; 0 if unknown.
    latency_target_s: float  # Target for the time to the first event.
    deadline: float  # After it no one waits for the answer.
    max_attempts: int = 1
    arrived: float

    @property
    def subject(self) -> str:
        """The id of the last shared part of the prompt; empty if there is none."""
        return self.parts[-2].id if len(self.parts) > 1 else ""

    @property
    def size(self) -> int:
        """The size for comparing requests of a route: prompt tokens plus weighted output tokens."""
        return self.prompt_tokens + OUTPUT_TOKEN_WEIGHT * self.output_tokens


OUTPUT_TOKEN_WEIGHT = 10  # Weight of an output token in the size of a request.


class Engine(Struct, frozen=True):
    """The configured properties of the model engine on an upstream's workers."""

    capacity: int
    kv_tokens: int  # Size of the KV memory that running requests and cached prefixes share.


class Upstream(Struct, frozen=True):
    """A service. Without an engine, its workers serve plain requests instead of a model."""

    name: str
    engine: Engine | None = None


class WorkerEntry(Struct, frozen=True, kw_only=True):
    """An entry in the fleet's list of workers."""

    instance_id: str
    upstream: str
    address: str
    zone: str
    capacity: int
    draining: bool = False
    models: tuple[str, ...] = ()  # Empty if the worker serves any model.
    cold_until: float = 0.0  # The worker is slow until this time.


class Load(Struct, frozen=True):
    """The load that schedulers have placed on a worker."""

    requests: int = 0
    tokens: int = 0  # Prompt and output tokens of the requests in its KV memory.


class AttemptEnd(Struct, frozen=True):
    """How a job's attempt ended."""

    outcome: Outcome
    cause: Cause = Cause.NONE
    output_tokens: int = 0  # 0 if unknown.


class RefuseReason(Enum):
    """Why a request that has not run, or may be repeated, is refused."""

    OVERLOAD = auto()  # The workers that could run it had no free position in time.
    NO_WORKER = auto()  # There is no usable worker.
    BUDGET = auto()  # Another attempt would exceed the fleet's retry budget.
    ATTEMPTS = auto()  # The route allows no more attempts.


class FailReason(Enum):
    """Why a request that may have run gets an error that does not invite a retry."""

    MAY_HAVE_RUN = auto()  # It must not be repeated.
    BUDGET = auto()  # It may be repeated or resumed, but the retry budget is exhausted.
    ATTEMPTS = auto()  # The route allows no more attempts.
    NO_WORKER = auto()  # No worker was free in time for another attempt.


class Send(Struct, frozen=True):
    """Start an attempt of the job at this worker."""

    job_id: int
    instance_id: str
    urgency: int | None = None  # Sent to the worker; 0 is the most urgent, None sends no urgency.


class Refuse(Struct, frozen=True):
    """Answer 503 with Retry-After, as the request has not run or may be repeated."""

    job_id: int
    retry_after_s: float
    reason: RefuseReason


class Fail(Struct, frozen=True):
    """Answer 502, or end the stream as incomplete, as the request may have run."""

    job_id: int
    reason: FailReason


class Expire(Struct, frozen=True):
    """The deadline has passed. The answer is 504 if an attempt may have run, else 503."""

    job_id: int
    may_have_run: bool


Decision = Send | Refuse | Fail | Expire
