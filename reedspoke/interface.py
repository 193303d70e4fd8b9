"""The types that go into and come out of reedspoke/logic.py: settings, events and actions.

All times are integer microseconds of the caller's clock; `work` is time on a standard core.
"""

from __future__ import annotations

from enum import Enum

from msgspec import Struct, field


class Effect(Enum):
    """What running a job twice would do."""

    SAFE = "safe"
    KEYED = "keyed"  # repeats are dropped within a group of workers, for a window of time
    UNSAFE = "unsafe"


class Group(Enum):
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
    MOOT = "moot"


class WorkerState(Enum):
    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CHANGES = "changes"
    FULL = "full"
    STALE = "stale"  # the full list as last held before a restart
    LOST = "lost"  # a call for the list failed or the watch broke


class NoteKind(Enum):
    STARTED = "started"
    PROGRESS = "progress"
    MUTE = "mute"  # the worker has not acknowledged the attempt in time, though all of it was sent


# ---- settings ----


def require(holds: bool, key: str, must: str) -> None:
    if not holds:
        raise ValueError(f"setting `{key}` must {must}")


class ClassSettings(Struct, frozen=True):
    name: str
    effect: Effect
    group: Group
    window: int  # a keyed job's repeats are dropped for this long
    aim: int  # an answer within aim + stretch x work earns the full worth
    stretch: float
    deadline: int
    worth: float
    late_worth: float  # share of the worth that a late answer earns
    kind: int = -1  # the one kind of worker that runs it (index into Settings.kinds), -1: any
    stream: bool = False

    def __post_init__(self) -> None:
        require(self.aim > 0, "aim", "be above 0")
        require(self.deadline > 0, "deadline", "be above 0")
        require(self.window >= 0, "window", "not be negative")
        require(self.stretch >= 0, "stretch", "not be negative")


class TenantSettings(Struct, frozen=True):
    name: str
    share: float

    def __post_init__(self) -> None:
        require(self.share > 0, "share", "be above 0")


class Limits(Struct, frozen=True):
    max_attempts: int
    cancel: bool
    probes: bool
    max_retry_after: int  # longest advice that clients heed; 0: they get none
    connect_timeout: int
    peers: bool = False  # schedulers may tell each other what they hold

    def __post_init__(self) -> None:
        require(self.max_attempts >= 1, "max_attempts", "be at least 1")
        require(self.connect_timeout >= 0, "connect_timeout", "not be negative")


class Rules(Struct, frozen=True):
    drain_grace: int
    answer_slack: int
    ask_within: int  # 0: the list is pushed
    cold_from: float
    cold_time: int
    fall_multiple: float
    fall_time: int

    def __post_init__(self) -> None:
        require(0 < self.cold_from <= 1, "cold_from", "be above 0 and at most 1")
        require(self.cold_time >= 0, "cold_time", "not be negative")
        require(self.fall_multiple > 0, "fall_multiple", "be above 0")
        require(self.fall_time >= 0, "fall_time", "not be negative")


class Settings(Struct, frozen=True):
    me: int
    schedulers: int
    zone: str
    classes: tuple[ClassSettings, ...]
    tenants: tuple[TenantSettings, ...]
    kinds: tuple[str, ...]
    limits: Limits
    rules: Rules
    tick: int  # events come no closer together than this
    ask_for_list: bool  # the list of workers comes only when asked for
    tells_start: bool
    progress_every: int  # 0: no progress notes
    report_fields: tuple[str, ...]  # names of the values of a load report, in order
    report_in_answers: bool
    worth_by_work: bool  # a job's worth is its class's for each unit of work, else for each request
    cross_zone_price: float  # share of the service that crossing zones with every attempt costs

    def __post_init__(self) -> None:
        require(self.schedulers >= 1, "schedulers", "be at least 1")
        require(self.tick > 0, "tick", "be above 0")
        require(len(self.classes) > 0, "classes", "name at least one class")
        require(all(cls.kind < len(self.kinds) for cls in self.classes), "kind", "be an index into `kinds`")


# ---- events ----


class Entry(Struct):
    worker: str
    zone: str
    kind: str
    cell: int
    state: WorkerState
    weight: float
    born: int  # time of its latest start, 0: long ago


class Members(Struct):
    kind: ListKind
    entries: list[Entry]


class Request(Struct):
    id: int
    cls: str
    deadline: int
    hint: int = 0  # expected work, 0: not told
    slots: int = 1
    memory: float = 0.0
    tenant: str = ""
    key: str = ""


class Outcome(Struct):
    id: int
    attempt: int
    worker: str
    reason: Reason
    took: int
    ended: bool
    report: tuple[float, ...] = ()


class Note(Struct):
    id: int
    attempt: int
    worker: str
    kind: NoteKind
    share: float = 0.0


class First(Struct):
    """The answer of a streamed class has begun."""

    id: int
    attempt: int


class Gone(Struct):
    """The client has left."""

    id: int


class Probed(Struct):
    worker: str
    reason: Reason
    took: int
    report: tuple[float, ...] = ()


class Timer(Struct):
    token: str


class Suspended(Struct):
    """Operators leave a worker out, or put it back: whatever the list says of it meanwhile."""

    worker: str
    on: bool


class Others(Struct):
    """What the other schedulers hold at workers by their own word: slots and work. All of it, each time."""

    held: dict[str, tuple[int, float]]


class Learned(Struct):
    """What a dispatcher has learned and has sent, for one that takes over from it."""

    fleet: tuple[float, float, float] = (0.0, 0.0, 0.0)  # pace, usual wait and response
    workers: dict[str, tuple[float, float, int]] = field(default_factory=dict)  # pace, cap and peak
    cold: dict[str, list[tuple[int, float]]] = field(default_factory=dict)  # (time, work) sent to cold ones


class Partner(Struct):
    """Other processes act for this scheduler as well, while one replaces another."""

    staying: int  # of them, those that take requests still
    slots: dict[str, int]  # that they hold at each worker
    learned: Learned


Event = Suspended | Partner | Others | Members | Request | Outcome | Note | First | Gone | Probed | Timer

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
    after: int
    token: str


class Log(Struct):
    text: str


Action = Send | Cancel | Refuse | Fail | Watch | Probe | SetTimer | Log
