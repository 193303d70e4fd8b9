"""Speaks the simulator's wire for many isolated Dispatchers: translates, and decides nothing.

Run as `python -m reedspoke.adapter`; reads batches on standard input, writes one reply for each.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, BinaryIO

import msgspec
from msgspec import Struct

from reedspoke import interface as plain
from reedspoke.errors import ReedspokeError
from reedspoke.logic import Dispatcher
from reedspoke.settings import Info, known, settings

if TYPE_CHECKING:
    from reedspoke.fleet.simulator_transport import SimulatorTransport

REASONS = {
    "delivered": plain.Reason.OK,
    "app_error": plain.Reason.ERROR,
    "shed": plain.Reason.FULL,
    "expired": plain.Reason.TIMEOUT,
    "dial_failed": plain.Reason.CONNECT_FAILED,
    "dropped": plain.Reason.RESET,
    "revoked": plain.Reason.CANCELLED,
    "unused": plain.Reason.NOT_EXECUTED,
}
STATES = {"IN": plain.WorkerState.UP, "LAME": plain.WorkerState.DRAINING, "OUT": plain.WorkerState.GONE}
LISTS = {
    "incr": plain.ListKind.CHANGES,
    "total": plain.ListKind.FULL,
    "warm_copy": plain.ListKind.STALE,
    "lost": plain.ListKind.LOST,
}
NOTES = {1: plain.UpdateKind.STARTED, 2: plain.UpdateKind.PROGRESS}


class WireError(ReedspokeError):
    """The input breaks the protocol; the text names what is wrong."""

    code = "wire-broken"
    remedy = "the simulator and the adapter differ in their protocol: see the message"


# ---- the wire's messages; msgspec checks presence and type of each field and skips unknown ones ----


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
    body: str = ""


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


def entry(told: Member) -> plain.WorkerEntry:
    state = known(STATES, told.condition, "condition")
    return plain.WorkerEntry(told.worker, told.az, told.sku, told.bay, state, told.power_hint, told.born)


def request(told: Accept) -> plain.Request:
    tenant = told.tenant if isinstance(told.tenant, str) else ""
    return plain.Request(
        told.handle, told.tier_class, told.valid_until, told.work, int(told.needs), told.mem_needed, tenant,
        told.partition_key,
    )  # fmt: skip


def outcome(told: ReportBack) -> plain.AttemptOutcome:
    reason = known(REASONS, told.reason, "reason")
    report = tuple(told.stats)
    return plain.AttemptOutcome(
        told.handle, told.copy, told.worker, reason, told.cost_time, told.ended, report
    )


def event(told: Told) -> plain.Event | None:
    """The wire's event in the module's words; None for what the module has no use for."""
    match told:
        case Accept():
            return request(told)
        case ReportBack():
            return outcome(told)
        case Change():
            kind = NOTES.get(told.what)
            return plain.AttemptUpdate(told.handle, told.copy, told.worker, kind, told.x) if kind else None
        case Alarm():
            return plain.Timer(told.key_back)
        case Announce():
            entries = [entry(member) for member in told.members_list]
            return plain.WorkerListUpdate(known(LISTS, told.kind, "kind"), entries)
        case Abandoned():
            return plain.ClientDisconnected(told.handle)
        case Checked():
            reason = known(REASONS, told.reason, "reason")
            return plain.ProbeResult(told.worker, reason, told.cost_time, tuple(told.stats))
        case HeadReceived():
            return plain.ResponseStarted(told.handle, told.copy)
    return None


def message(who: str, action: plain.Action) -> dict[str, object]:
    """The module's action in the wire's words."""
    match action:
        case plain.Send():
            fields = {"who": who, "handle": action.id, "worker": action.worker, "allow_for": action.timeout}
            return {"DISPATCH": fields}
        case plain.SetTimer():
            return {"REMIND": {"who": who, "after": action.delay, "key_back": action.token}}
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
        self._transports: dict[str, SimulatorTransport] = {}  # of those that may send messages
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
            self._transports.pop(told.who, None)
            if told.info.ceilings.peer_messages:
                from reedspoke.fleet.simulator_transport import SimulatorTransport

                self._transports[told.who] = SimulatorTransport(
                    told.info.me, told.info.balancers, told.nonce64
                )
            return
        if isinstance(told, Killed):
            self._instances.pop(told.who, None)
            self._transports.pop(told.who, None)
            return
        instance, transport = self._instances.get(told.who), self._transports.get(told.who)
        happened = event(told)
        if instance is not None and transport is not None:
            self._share(instance, transport, told)
        if instance is None or happened is None:
            return
        if isinstance(told, Accept) and told.tier_class not in instance.classes:
            raise WireError(f"field `tier_class` has an unknown value {told.tier_class!r}")
        assert self._clock is not None
        actions = instance.handle(self._clock, happened)
        for action in actions:
            self._reply.append(self._encode(message(told.who, action)))
        if transport is not None:
            transport.count_attempts(actions)
            self._say(told.who, instance, transport)

    def _share(self, instance: Dispatcher, transport: SimulatorTransport, told: Told) -> None:
        """The module hears what the others hold, before what has happened."""
        assert self._clock is not None
        changed = transport.load_sharing.expire(self._clock)
        if isinstance(told, NoteFrom):
            changed |= transport.receive(self._clock, told.body)
        if changed:
            actions = instance.handle(
                self._clock, plain.PeerLoads(transport.load_sharing.loads_of_others(instance.workers))
            )
            for action in actions:
                self._reply.append(self._encode(message(told.who, action)))
            transport.count_attempts(actions)
            self._say(told.who, instance, transport)

    def _say(self, who: str, instance: Dispatcher, transport: SimulatorTransport) -> None:
        assert self._clock is not None
        for body in transport.messages(self._clock, instance):
            self._reply.append(self._encode({"NOTIFY": {"who": who, "recipient": -1, "body": body}}))


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
