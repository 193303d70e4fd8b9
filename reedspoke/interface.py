"""The types that go into and come out of reedspoke/logic.py: settings, events and actions.

All times are integer microseconds of the caller's clock; `work` is time on a standard core.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct, field


class Idempotency(Enum):
    """What running a job twice would do."""

    SAFE = "safe"
    KEYED = "keyed"  # repeats are dropped within a group of workers, for a window of time
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """The workers that drop each other's repeats of a keyed job."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Reason(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_EXECUTED = "moot"


class WorkerState(Enum):
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CHANGES = "changes"
    FULL = "full"
    STALE = "stale"  # the full list as last held before a restart
    LOST = "lost"  # a call for the list failed or the watch broke


class UpdateKind(Enum):
    STARTED = "started"
    PROGRESS = "progress"
    UNACKNOWLEDGED = "mute"  # the worker has not acknowledged the attempt in time, though all of it was sent


# ---- settings ----


def require(holds: bool, key: str, must: str) -> None:
    if not holds:
        raise ValueError(f"setting `{key}` must {must}")


class ClassSettings(Struct, frozen=True):
    name: str
    idempotency: Idempotency
    dedup_scope: DedupScope
    dedup_window: int  # a keyed job's repeats are dropped for this long
    latency_target: int  # an answer within aim + stretch x work earns the full worth
    stretch: float
    deadline: int
    value: float
    late_value_share: float  # share of the worth that a late answer earns
    worker_kind: int = -1  # the one kind of worker that runs it (index into Settings.kinds), -1: any
    streaming: bool = False

    def __post_init__(self) -> None:
        require(self.latency_target > 0, "aim", "be above 0")
        require(self.deadline > 0, "deadline", "be above 0")
        require(self.dedup_window >= 0, "window", "not be negative")
        require(self.stretch >= 0, "stretch", "not be negative")


class TenantSettings(Struct, frozen=True):
    name: str
    share: float

    def __post_init__(self) -> None:
        require(self.share > 0, "share", "be above 0")


class Limits(Struct, frozen=True):
    max_attempts: int
    can_cancel: bool
    can_probe: bool
    max_retry_after: int  # longest advice that clients heed; 0: they get none
    connect_timeout: int
    peer_messages: bool = False  # schedulers may tell each other what they hold

    def __post_init__(self) -> None:
        require(self.max_attempts >= 1, "max_attempts", "be at least 1")
        require(self.connect_timeout >= 0, "connect_timeout", "not be negative")


class Rules(Struct, frozen=True):
    drain_grace: int
    answer_slack: int
    list_request_within: int  # 0: the list is pushed
    cold_min_share: float
    warm_up_time: int
    overload_multiple: float
    overload_window: int

    def __post_init__(self) -> None:
        require(0 < self.cold_min_share <= 1, "cold_from", "be above 0 and at most 1")
        require(self.warm_up_time >= 0, "cold_time", "not be negative")
        require(self.overload_multiple > 0, "fall_multiple", "be above 0")
        require(self.overload_window >= 0, "fall_time", "not be negative")


class Settings(Struct, frozen=True):
    scheduler_index: int
    scheduler_count: int
    zone: str
    classes: tuple[ClassSettings, ...]
    tenants: tuple[TenantSettings, ...]
    worker_kinds: tuple[str, ...]
    limits: Limits
    rules: Rules
    min_event_interval: int  # events come no closer together than this
    list_on_request: bool  # the list of workers comes only when asked for
    reports_start: bool
    progress_interval: int  # 0: no progress notes
    report_fields: tuple[str, ...]  # names of the values of a load report, in order
    report_in_answers: bool
    value_by_work: bool  # a job's worth is its class's for each unit of work, else for each request
    cross_zone_cost: float  # share of the service that crossing zones with every attempt costs

    def __post_init__(self) -> None:
        require(self.scheduler_count >= 1, "schedulers", "be at least 1")
        require(self.min_event_interval > 0, "tick", "be above 0")
        require(len(self.classes) > 0, "classes", "name at least one class")
        require(
            all(cls.worker_kind < len(self.worker_kinds) for cls in self.classes),
            "kind",
            "be an index into `kinds`",
        )


# ---- events ----


class WorkerEntry(Struct):
    worker: str
    zone: str
    kind: str
    cell: int
    state: WorkerState
    weight: float
    started_at: int  # time of its latest start, 0: long ago


class WorkerListUpdate(Struct):
    kind: ListKind
    entries: list[WorkerEntry]


class Request(Struct):
    id: int
    class_name: str
    deadline: int
    work_hint: int = 0  # expected work, 0: not told
    slots: int = 1
    memory: float = 0.0
    tenant: str = ""
    job_key: str = ""


class AttemptOutcome(Struct):
    id: int
    attempt: int
    worker: str
    reason: Reason
    duration: int
    request_ended: bool
    report: tuple[float, ...] = ()


class AttemptUpdate(Struct):
    id: int
    attempt: int
    worker: str
    kind: UpdateKind
    progress: float = 0.0


class ResponseStarted(Struct):
    """The answer of a streamed class has begun."""

    id: int
    attempt: int


class ClientDisconnected(Struct):
    """The client has left."""

    id: int


class ProbeResult(Struct):
    worker: str
    reason: Reason
    duration: int
    report: tuple[float, ...] = ()


class Timer(Struct):
    token: str


class SuspensionChange(Struct):
    """Operators leave a worker out, or put it back: whatever the list says of it meanwhile."""

    worker: str
    suspended: bool


class PeerLoads(Struct):
    """What the other schedulers hold at workers by their own word: slots and work. All of it, each time."""

    by_worker: dict[str, tuple[int, float]]


class LearnedState(Struct):
    """What a dispatcher has learned and has sent, for one that takes over from it."""

    fleet: tuple[float, float, float] = (0.0, 0.0, 0.0)  # pace, usual wait and response
    workers: dict[str, tuple[float, float, int]] = field(default_factory=dict)  # pace, cap and peak
    cold: dict[str, list[tuple[int, float]]] = field(default_factory=dict)  # (time, work) sent to cold ones


class SiblingProcesses(Struct):
    """Other processes act for this scheduler as well, while one replaces another."""

    accepting: int  # of them, those that take requests still
    slots_by_worker: dict[str, int]  # that they hold at each worker
    learned: LearnedState


Event = (
    SuspensionChange
    | SiblingProcesses
    | PeerLoads
    | WorkerListUpdate
    | Request
    | AttemptOutcome
    | AttemptUpdate
    | ResponseStarted
    | ClientDisconnected
    | ProbeResult
    | Timer
)

# ---- actions ----


class Send(Struct):
    id: int
    worker: str
    timeout: int = 0  # 0: until the client gives up


class Cancel(Struct):
    id: int
    attempt: int


class Refuse(Struct):
    """Final answer: not done, trying again is harmless."""

    id: int
    retry_after: int = 0


class Fail(Struct):
    """Final answer: promises nothing."""

    id: int


class Watch(Struct):
    """Ask for the changes of the list from now on."""


class Probe(Struct):
    worker: str


class SetTimer(Struct):
    delay: int
    token: str


class Log(Struct):
    text: str


Action = Send | Cancel | Refuse | Fail | Watch | Probe | SetTimer | Log
