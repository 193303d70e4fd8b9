"""Speaks the simulator's wire for many isolated Dispatchers: translates, and decides nothing.

Run as `python -m reedspoke.adapter`; reads batches on standard input, writes one reply for each.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import BinaryIO, TypeVar

import msgspec
from msgspec import Struct

from reedspoke import interface as plain
from reedspoke.logic import Dispatcher

EFFECTS = {"pure": plain.Effect.SAFE, "token": plain.Effect.KEYED, "side_effect": plain.Effect.UNSAFE}
GROUPS = {group.value: group for group in plain.Group}
REASONS = {
    "delivered": plain.Reason.OK,
    "app_error": plain.Reason.ERROR,
    "shed": plain.Reason.FULL,
    "expired": plain.Reason.TIMEOUT,
    "dial_failed": plain.Reason.CONNECT_FAILED,
    "dropped": plain.Reason.RESET,
    "revoked": plain.Reason.CANCELLED,
    "unused": plain.Reason.MOOT,
}
STATES = {"IN": plain.WorkerState.UP, "LAME": plain.WorkerState.DRAINING, "OUT": plain.WorkerState.GONE}
LISTS = {
    "incr": plain.ListKind.CHANGES,
    "total": plain.ListKind.FULL,
    "warm_copy": plain.ListKind.STALE,
    "lost": plain.ListKind.LOST,
}
NOTES = {1: plain.NoteKind.STARTED, 2: plain.NoteKind.PROGRESS}
DISCOVERY = {"pushed": False, "on_request": True}
WORTH_BY = {"work": True, "request": False}
REPORT_HOW = {"answers": True, "probe": False, "none": False}
REPORT_NAMES = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}


class WireError(Exception):
    """The input breaks the protocol; the text names what is wrong."""


# ---- the wire's messages; msgspec checks presence and type of each field and skips unknown ones ----


class Category(Struct):
    name: str
    repeat: str
    hard_limit: int
    aim: int
    importance: float
    group: str = "all"
    window: int = 0
    aim_stretch: float | None = None
    late_share: float = 0.0
    streaming: bool = False


class Ceilings(Struct):
    try_limit: int
    cancelling: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after: int = 0
    connect_timeout: int = 0


class Safety(Struct):
    drain_grace: int
    answer_slack: int
    cold_from: float
    warm_up: int
    tip_multiple: float
    fall: int
    ask_within: int = 0


class Tenant(Struct):
    name: str
    portion: float


class FamilyInfo(Struct):
    class_kind: list[int] = []
    class_stretch: list[float] = []
    tells_start: bool = False
    progress: int = 0


class Report(Struct):
    how: str = "none"
    names: list[str] = []


class Deductions(Struct):
    cross_zone: float = 0.0


class Info(Struct):
    balancers: int
    categories: list[Category]
    ceilings: Ceilings
    discovery: str
    me: int
    safety: Safety
    zone: str
    resolution: int
    worth_by: str = "request"
    tenants: list[Tenant] = []
    flavors: list[str] = []
    family_info: FamilyInfo = msgspec.field(default_factory=FamilyInfo)
    report: Report = msgspec.field(default_factory=Report)
    deductions: Deductions = msgspec.field(default_factory=Deductions)


class Turn(Struct):
    sim_time: int


class Flush(Struct):
    pass


class Hello(Struct):
    who: str
    nonce64: int
    info: Info


class Member(Struct):
    worker: str
    az: str
    condition: str
    sku: str = ""
    bay: int = 0
    power_hint: float = 1.0
    born: int = 0


class Announce(Struct):
    who: str
    kind: str
    members_list: list[Member] = []


class Accept(Struct):
    who: str
    handle: int
    tier_class: str
    valid_until: int
    work: int = 0
    partition_key: str = ""
    mem_needed: float = 0.0
    needs: float = 1
    tenant: str | int = ""


class ReportBack(Struct):
    who: str
    handle: int
    copy: int
    worker: str
    reason: str
    cost_time: int
    ended: bool = False
    stats: list[float] = []


class Change(Struct):
    who: str
    handle: int
    copy: int
    worker: str
    what: int
    x: float = 0.0


class Alarm(Struct):
    who: str
    key_back: str


class Abandoned(Struct):
    who: str
    handle: int


class HeadReceived(Struct):
    who: str
    handle: int
    copy: int


class Checked(Struct):
    who: str
    worker: str
    reason: str
    cost_time: int
    stats: list[float] = []


class NoteFrom(Struct):
    who: str


class Killed(Struct):
    who: str


Told = (
    Accept
    | ReportBack
    | Change
    | Alarm
    | Announce
    | Abandoned
    | Checked
    | Hello
    | Killed
    | HeadReceived
    | NoteFrom
)
MESSAGES: dict[str, type[Turn | Flush | Told]] = {
    "TURN": Turn,
    "FLUSH": Flush,
    "ACCEPT": Accept,
    "REPORT_BACK": ReportBack,
    "CHANGE": Change,
    "ALARM": Alarm,
    "ANNOUNCE": Announce,
    "ABANDONED": Abandoned,
    "CHECKED": Checked,
    "HELLO": Hello,
    "KILLED": Killed,
    "HEAD_RECEIVED": HeadReceived,
    "NOTE_FROM": NoteFrom,
}
SPLIT = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode
DECODE = {name: msgspec.json.Decoder(message).decode for name, message in MESSAGES.items()}


T = TypeVar("T")


def known(table: dict[str, T], word: str, field: str) -> T:
    """The meaning of one of the wire's words."""
    try:
        return table[word]
    except KeyError:
        raise WireError(f"field `{field}` has an unknown value {word!r}") from None


def class_settings(index: int, told: Category, family: FamilyInfo) -> plain.ClassSettings:
    stretch = told.aim_stretch
    if stretch is None:
        stretch = family.class_stretch[index] if index < len(family.class_stretch) else 0.0
    return plain.ClassSettings(
        name=told.name,
        effect=known(EFFECTS, told.repeat, "repeat"),
        group=known(GROUPS, told.group, "group"),
        window=told.window,
        aim=told.aim,
        stretch=stretch,
        deadline=told.hard_limit,
        worth=told.importance,
        late_worth=told.late_share,
        kind=family.class_kind[index] if index < len(family.class_kind) else -1,
        stream=told.streaming,
    )


def settings(info: Info) -> plain.Settings:
    """The wire's settings in the module's words."""
    return plain.Settings(
        me=info.me,
        schedulers=info.balancers,
        zone=info.zone,
        classes=tuple(class_settings(i, told, info.family_info) for i, told in enumerate(info.categories)),
        tenants=tuple(plain.TenantSettings(told.name, told.portion) for told in info.tenants),
        kinds=tuple(info.flavors),
        limits=plain.Limits(
            max_attempts=info.ceilings.try_limit,
            cancel=info.ceilings.cancelling,
            probes=info.ceilings.probes,
            max_retry_after=info.ceilings.max_retry_after if info.ceilings.retry_after else 0,
            connect_timeout=info.ceilings.connect_timeout,
        ),
        rules=plain.Rules(
            drain_grace=info.safety.drain_grace,
            answer_slack=info.safety.answer_slack,
            ask_within=info.safety.ask_within,
            cold_from=info.safety.cold_from,
            cold_time=info.safety.warm_up,
            fall_multiple=info.safety.tip_multiple,
            fall_time=info.safety.fall,
        ),
        tick=info.resolution,
        ask_for_list=known(DISCOVERY, info.discovery, "discovery"),
        tells_start=info.family_info.tells_start,
        progress_every=info.family_info.progress,
        report_fields=tuple(REPORT_NAMES.get(name, name) for name in info.report.names),
        report_in_answers=known(REPORT_HOW, info.report.how, "how"),
        worth_by_work=known(WORTH_BY, info.worth_by, "worth_by"),
        cross_zone_price=info.deductions.cross_zone,
    )


def entry(told: Member) -> plain.Entry:
    state = known(STATES, told.condition, "condition")
    return plain.Entry(told.worker, told.az, told.sku, told.bay, state, told.power_hint, told.born)


def request(told: Accept) -> plain.Request:
    tenant = told.tenant if isinstance(told.tenant, str) else ""
    return plain.Request(
        told.handle, told.tier_class, told.valid_until, told.work, int(told.needs), told.mem_needed, tenant,
        told.partition_key,
    )  # fmt: skip


def outcome(told: ReportBack) -> plain.Outcome:
    reason = known(REASONS, told.reason, "reason")
    report = tuple(told.stats)
    return plain.Outcome(told.handle, told.copy, told.worker, reason, told.cost_time, told.ended, report)


def event(told: Told) -> plain.Event | None:
    """The wire's event in the module's words; None for what the module has no use for."""
    match told:
        case Accept():
            return request(told)
        case ReportBack():
            return outcome(told)
        case Change():
            kind = NOTES.get(told.what)
            return plain.Note(told.handle, told.copy, told.worker, kind, told.x) if kind else None
        case Alarm():
            return plain.Timer(told.key_back)
        case Announce():
            entries = [entry(member) for member in told.members_list]
            return plain.Members(known(LISTS, told.kind, "kind"), entries)
        case Abandoned():
            return plain.Gone(told.handle)
        case Checked():
            reason = known(REASONS, told.reason, "reason")
            return plain.Probed(told.worker, reason, told.cost_time, tuple(told.stats))
        case HeadReceived():
            return plain.First(told.handle, told.copy)
    return None


def message(who: str, action: plain.Action) -> dict[str, object]:
    """The module's action in the wire's words."""
    match action:
        case plain.Send():
            fields = {"who": who, "handle": action.id, "worker": action.worker, "allow_for": action.timeout}
            return {"DISPATCH": fields}
        case plain.SetTimer():
            return {"REMIND": {"who": who, "after": action.after, "key_back": action.token}}
        case plain.Cancel():
            return {"RETRACT": {"who": who, "handle": action.id, "copy": action.attempt}}
        case plain.Refuse():
            return {"SHED": {"who": who, "handle": action.id, "come_back": action.retry_after}}
        case plain.Fail():
            return {"LOSE": {"who": who, "handle": action.id}}
        case plain.Watch():
            return {"STREAM_CHANGES": {"who": who, "want": True}}
        case plain.Probe():
            return {"TEST": {"who": who, "worker": action.worker}}
        case plain.Log():
            return {"NOTE_DOWN": {"who": who, "text": action.text}}


class Host:
    """Keeps the instances apart and the batches in order."""

    def __init__(self, write: Callable[[bytes], object]) -> None:
        self._write = write
        self._encode = msgspec.json.Encoder().encode
        self._instances: dict[str, Dispatcher] = {}
        self._clock: int | None = None
        self._open = False
        self._reply: list[bytes] = []

    def read(self, raw: bytes) -> None:
        """Take one line; at the end of a batch, write the whole reply."""
        named = SPLIT(raw)
        if len(named) != 1:
            raise WireError("a message is an object with one key, its name")
        name, fields = next(iter(named.items()))
        told = DECODE.get(name, SPLIT)(fields)
        if isinstance(told, Turn):
            self._begin(told.sim_time)
        elif not self._open:
            raise WireError("a batch must begin with TURN")
        elif isinstance(told, Flush):
            self._finish()
        elif not isinstance(told, dict):  # a message of no known name is skipped
            self._tell(told)

    def _begin(self, now: int) -> None:
        if self._open:
            raise WireError("TURN came before the FLUSH of the batch that is open")
        if self._clock is not None and now < self._clock:
            raise WireError("`sim_time` went back")
        self._clock, self._open = now, True

    def _finish(self) -> None:
        self._open = False
        self._reply.append(b'{"READY":{}}\n')
        self._write(b"\n".join(self._reply))
        self._reply.clear()

    def _tell(self, told: Told) -> None:
        if isinstance(told, Hello):
            self._instances[told.who] = Dispatcher(settings(told.info), told.nonce64)
            return
        if isinstance(told, Killed):
            self._instances.pop(told.who, None)
            return
        instance = self._instances.get(told.who)
        happened = event(told)
        if instance is None or happened is None:
            return
        if isinstance(told, Accept) and told.tier_class not in instance.classes:
            raise WireError(f"field `tier_class` has an unknown value {told.tier_class!r}")
        assert self._clock is not None
        for action in instance.handle(self._clock, happened):
            self._reply.append(self._encode(message(told.who, action)))


def serve(lines: Iterable[bytes], out: BinaryIO) -> None:
    """Answer batch after batch until input ends."""

    def write(reply: bytes) -> None:
        out.write(reply)
        out.flush()

    host = Host(write)
    for number, raw in enumerate(lines, 1):
        if not raw.strip():
            continue
        try:
            host.read(raw)
        except (WireError, ValueError) as error:  # msgspec's errors are ValueErrors too
            shown = raw[:160].decode(errors="replace").strip()
            raise WireError(f"line {number}: {error}: {shown}") from error


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"reedspoke.adapter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
