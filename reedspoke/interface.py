"""Settings, events and actions of the dispatcher in `reedspoke/logic.py`.

The caller passes events to `Dispatcher.handle` and carries out the actions that it returns. All times are
integer microseconds of the caller's clock. `work` is running time on a standard core, in microseconds too.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct, field


class Idempotency(Enum):
    """What happens if a request is executed twice."""

    SAFE = "safe"  # Repeated execution does no harm.
    KEYED = "keyed"  # Workers of one deduplication scope drop repeats for a limited time.
    UNSAFE = "unsafe"  # It must not be executed twice.


class DedupScope(Enum):
    """The workers that share their record of executed requests and drop each other's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Reason(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # The worker rejected it without executing it.
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_EXECUTED = "moot"  # It was dropped before it was executed, and says nothing about the worker.


class WorkerState(Enum):
    """The state of a worker in the list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a worker list update holds."""

    CHANGES = "changes"
    FULL = "full"
    STALE = "stale"  # The full list as it was known before a restart.
    LOST = "lost"  # No entries: a request for the list failed, or its stream of changes broke.


class UpdateKind(Enum):
    """What an attempt update reports."""

    STARTED = "started"
    PROGRESS = "progress"
    UNACKNOWLEDGED = "mute"  # The request was sent in full, but not acknowledged in time.


# ---- settings ----


def require(holds: bool, key: str, must: str) -> None:
    """Raise ValueError for the setting `key` unless the condition holds.

    Here `key` is the name of the setting in the platform's description, which may differ from the field's.
    """
    if not holds:
        raise ValueError(f"setting `{key}` must {must}")


class ClassSettings(Struct, frozen=True):
    """The service class of a request."""

    name: str
    idempotency: Idempotency
    dedup_scope: DedupScope
    dedup_window: int  # Time for which workers drop repeats of a keyed request.
    latency_target: int  # An answer within latency_target + stretch x work earns the full value.
    stretch: float  # It is added to the latency target for each unit of work.
    deadline: int  # Time from the arrival of a request within which it needs an answer.
    value: float  # What an answer in time is worth, relative to other classes.
    late_value_share: float  # Share of the value that a late answer earns.
    worker_kind: int = -1  # Index into Settings.worker_kinds of the only kind that runs it; -1 for any kind.
    streaming: bool = False

    def __post_init__(self) -> None:
        require(self.latency_target > 0, "aim", "be above 0")
        require(self.deadline > 0, "deadline", "be above 0")
        require(self.dedup_window >= 0, "window", "not be negative")
        require(self.stretch >= 0, "stretch", "not be negative")


class TenantSettings(Struct, frozen=True):
    """A tenant and its weight in fair queueing."""

    name: str
    share: float

    def __post_init__(self) -> None:
        require(self.share > 0, "share", "be above 0")


class Limits(Struct, frozen=True):
    """What the platform allows a scheduler to do."""

    max_attempts: int
    can_cancel: bool
    can_probe: bool
    max_retry_after: int  # Longest retry delay that clients honour; 0 if refusals carry none.
    connect_timeout: int
    peer_messages: bool = False  # Whether schedulers may report their loads to each other.

    def __post_init__(self) -> None:
        require(self.max_attempts >= 1, "max_attempts", "be at least 1")
        require(self.connect_timeout >= 0, "connect_timeout", "not be negative")


class Rules(Struct, frozen=True):
    """Bounds that every scheduler has to keep.

    A worker that has just started is cold: its capacity grows linearly from `cold_min_share` to 1 during
    `warm_up_time`. All schedulers together may send it, within any `overload_window`, at most
    `overload_multiple` times the work that it can do in that time.
    """

    drain_grace: int  # Time after the start of a drain within which a worker may still get attempts.
    answer_slack: int  # Time after its deadline within which a request must have its final answer.
    # Setting `ask_within` of the platform: time within which a scheduler has to request the worker list; 0 if
    # the list is pushed. The dispatcher does not read it, as it requests the list at its first timer.
    list_request_within: int
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
    """Settings of one scheduler."""

    scheduler_index: int  # The index of this scheduler, from 0 to scheduler_count - 1.
    scheduler_count: int
    zone: str  # The scheduler's own zone.
    classes: tuple[ClassSettings, ...]
    tenants: tuple[TenantSettings, ...]
    worker_kinds: tuple[str, ...]
    limits: Limits
    rules: Rules
    min_event_interval: int  # Shortest time between two events.
    list_on_request: bool  # Whether the worker list is sent only on request; else it is pushed.
    reports_start: bool  # Whether workers report that an attempt has started.
    progress_interval: int  # Time between progress reports of an attempt; 0: there are none.
    report_fields: tuple[str, ...]  # Names of the values of a load report, in order.
    report_in_answers: bool  # Whether load reports come with the outcomes of attempts.
    value_by_work: bool  # Whether a request is worth its class's value for each unit of work, else once.
    cross_zone_cost: float  # Share of the total value lost if all attempts were sent to other zones.

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
    """One worker of the list."""

    worker: str
    zone: str
    kind: str
    cell: int  # The number of its group of workers for `DedupScope.CELL`.
    state: WorkerState
    weight: float  # Its size, relative to other workers.
    started_at: int  # Time of its latest start; 0 if it is unknown or long ago.


class WorkerListUpdate(Struct):
    """The worker list or changes of it have been received, or its source was lost."""

    kind: ListKind
    entries: list[WorkerEntry]


class Request(Struct):
    """A client's request has been received; it needs one final answer by its deadline."""

    id: int
    class_name: str
    deadline: int
    work_hint: int = 0  # The work that the client expects; 0: unknown.
    slots: int = 1
    memory: float = 0.0
    tenant: str = ""
    job_key: str = ""  # Requests with the same key share a cost estimate; "": the class's name is the key.


class AttemptOutcome(Struct):
    """An attempt has ended."""

    id: int
    attempt: int
    worker: str
    reason: Reason
    duration: int
    request_ended: bool  # The request has its final answer, or needs none any more.
    report: tuple[float, ...] = ()


class AttemptUpdate(Struct):
    """An attempt in flight has started, made progress, or was not acknowledged in time."""

    id: int
    attempt: int
    worker: str
    kind: UpdateKind
    progress: float = 0.0


class ResponseStarted(Struct):
    """The response of a streaming class has begun: this attempt is the one that answers the client."""

    id: int
    attempt: int


class ClientDisconnected(Struct):
    """The client has disconnected; its request needs no answer any more."""

    id: int


class ProbeResult(Struct):
    """A probe of a worker has ended."""

    worker: str
    reason: Reason
    duration: int
    report: tuple[float, ...] = ()


class Timer(Struct):
    """A timer set by SetTimer has expired."""

    token: str


class SuspensionChange(Struct):
    """An operator has suspended or resumed a worker; worker list updates do not change its suspension."""

    worker: str
    suspended: bool


class PeerLoads(Struct):
    """Slots and work that other schedulers report to hold at each worker; replaces the previous report."""

    by_worker: dict[str, tuple[int, float]]


class LearnedState(Struct):
    """What a dispatcher has measured of workers, and sent to cold ones, for the process that replaces it.

    The field names are those of the handover file.
    """

    fleet: tuple[float, float, float] = (0.0, 0.0, 0.0)  # Averages: pace, start delay, response.
    workers: dict[str, tuple[float, float, int]] = field(default_factory=dict)  # Pace, slot cap, peak slots.
    # Time and work of each attempt that was sent to a worker while it was cold.
    cold: dict[str, list[tuple[int, float]]] = field(default_factory=dict)


class SiblingProcesses(Struct):
    """The other processes of this scheduler, while one process replaces another."""

    accepting: int  # How many of the other processes still accept requests.
    slots_by_worker: dict[str, int]  # Slots that attempts of the other processes hold at each worker.
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
    """Send a new attempt of the request to the worker."""

    id: int
    worker: str
    timeout: int = 0  # 0 sets no limit: the attempt lasts until the client gives up.


class Cancel(Struct):
    """Cancel an attempt in flight."""

    id: int
    attempt: int


class Refuse(Struct):
    """Give the final answer that the request was not executed, or is safe to retry."""

    id: int
    retry_after: int = 0


class Fail(Struct):
    """Give the final answer that the request failed and may have been executed."""

    id: int


class Watch(Struct):
    """Request the worker list and its changes from now on."""


class Probe(Struct):
    """Probe a worker: ask for its health and its load report."""

    worker: str


class SetTimer(Struct):
    """Deliver a Timer event after the delay."""

    delay: int
    token: str


class Log(Struct):
    """Write a line to the log."""

    text: str


Action = Send | Cancel | Refuse | Fail | Watch | Probe | SetTimer | Log
