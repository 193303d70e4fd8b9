"""Connects the simulator to its dispatchers: translates messages and decides nothing.

Run as `python -m reedspoke.adapter`. It reads batches of JSON messages from standard input, one message a
line, and writes one reply for each batch. Each simulated scheduler has a dispatcher of its own.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, BinaryIO

import msgspec
from msgspec import Struct

from reedspoke import interface as api
from reedspoke.errors import ReedspokeError
from reedspoke.logic import Dispatcher
from reedspoke.settings import PlatformSettings, convert_settings, lookup

if TYPE_CHECKING:
    from reedspoke.fleet.simulator_transport import SimulatorTransport

REASONS = {
    "delivered": api.Reason.OK,
    "app_error": api.Reason.ERROR,
    "shed": api.Reason.FULL,
    "expired": api.Reason.TIMEOUT,
    "dial_failed": api.Reason.CONNECT_FAILED,
    "dropped": api.Reason.RESET,
    "revoked": api.Reason.CANCELLED,
    "unused": api.Reason.NOT_EXECUTED,
}
STATES = {"IN": api.WorkerState.UP, "LAME": api.WorkerState.DRAINING, "OUT": api.WorkerState.GONE}
LISTS = {
    "incr": api.ListKind.CHANGES,
    "total": api.ListKind.FULL,
    "warm_copy": api.ListKind.STALE,
    "lost": api.ListKind.LOST,
}
NOTES = {1: api.UpdateKind.STARTED, 2: api.UpdateKind.PROGRESS}


class WireError(ReedspokeError):
    """The input violates the protocol; the text names the violation."""

    code = "wire-broken"
    remedy = "the simulator and the adapter differ in their protocol: see the message"


# ---- messages of the simulator; msgspec checks presence and type of each field and skips unknown ones ----


class BatchStart(Struct):
    """The first message of a batch, with the time of all its events."""

    sim_time: int


class BatchEnd(Struct):
    """The last message of a batch: the reply is due."""


class SchedulerStarted(Struct):
    """A scheduler has started, with its random seed and settings."""

    who: str
    nonce64: int
    info: PlatformSettings


class ListedWorker(Struct):
    """A worker in a worker list."""

    worker: str
    az: str
    condition: str
    sku: str = ""
    bay: int = 0
    power_hint: float = 1.0
    born: int = 0


class WorkerListReceived(Struct):
    """A scheduler has received the worker list or a part of it, or has lost its source."""

    who: str
    kind: str
    members_list: list[ListedWorker] = []


class RequestReceived(Struct):
    """A scheduler has received a client's request."""

    who: str
    handle: int
    tier_class: str
    valid_until: int
    work: int = 0
    partition_key: str = ""
    mem_needed: float = 0.0
    needs: float = 1
    tenant: str | int = ""


class AttemptEnded(Struct):
    """An attempt has ended."""

    who: str
    handle: int
    copy: int
    worker: str
    reason: str
    cost_time: int
    ended: bool = False
    stats: list[float] = []


class AttemptChanged(Struct):
    """An attempt has started or made progress; `what` is a key of NOTES."""

    who: str
    handle: int
    copy: int
    worker: str
    what: int
    x: float = 0.0


class TimerExpired(Struct):
    """A timer set by REMIND has expired."""

    who: str
    key_back: str


class ClientLeft(Struct):
    """The client of a request has disconnected."""

    who: str
    handle: int


class ResponseBegun(Struct):
    """The response of an attempt has begun."""

    who: str
    handle: int
    copy: int


class ProbeEnded(Struct):
    """A probe set off by TEST has ended."""

    who: str
    worker: str
    reason: str
    cost_time: int
    stats: list[float] = []


class PeerMessageReceived(Struct):
    """A scheduler has received a message of another one."""

    who: str
    body: str = ""


class SchedulerKilled(Struct):
    """A scheduler's process has been killed."""

    who: str


WireEvent = (
    RequestReceived
    | AttemptEnded
    | AttemptChanged
    | TimerExpired
    | WorkerListReceived
    | ClientLeft
    | ProbeEnded
    | SchedulerStarted
    | SchedulerKilled
    | ResponseBegun
    | PeerMessageReceived
)
MESSAGES: dict[str, type[BatchStart | BatchEnd | WireEvent]] = {
    "TURN": BatchStart,
    "FLUSH": BatchEnd,
    "ACCEPT": RequestReceived,
    "REPORT_BACK": AttemptEnded,
    "CHANGE": AttemptChanged,
    "ALARM": TimerExpired,
    "ANNOUNCE": WorkerListReceived,
    "ABANDONED": ClientLeft,
    "CHECKED": ProbeEnded,
    "HELLO": SchedulerStarted,
    "KILLED": SchedulerKilled,
    "HEAD_RECEIVED": ResponseBegun,
    "NOTE_FROM": PeerMessageReceived,
}
DECODE_OBJECT = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode
DECODERS = {name: msgspec.json.Decoder(message).decode for name, message in MESSAGES.items()}


def to_entry(listed: ListedWorker) -> api.WorkerEntry:
    """Translate a listed worker."""
    state = lookup(STATES, listed.condition, "condition")
    return api.WorkerEntry(
        listed.worker, listed.az, listed.sku, listed.bay, state, listed.power_hint, listed.born
    )


def to_request(received: RequestReceived) -> api.Request:
    """Translate a request; a tenant that is not named by a string counts as none."""
    tenant = received.tenant if isinstance(received.tenant, str) else ""
    return api.Request(
        received.handle, received.tier_class, received.valid_until, received.work, int(received.needs),
        received.mem_needed, tenant, received.partition_key,
    )  # fmt: skip


def to_outcome(received: AttemptEnded) -> api.AttemptOutcome:
    """Translate the end of an attempt."""
    reason = lookup(REASONS, received.reason, "reason")
    report = tuple(received.stats)
    return api.AttemptOutcome(
        received.handle,
        received.copy,
        received.worker,
        reason,
        received.cost_time,
        received.ended,
        report,
    )


def to_event(received: WireEvent) -> api.Event | None:
    """Translate an event of the simulator; None if the dispatcher has no use for it."""
    match received:
        case RequestReceived():
            return to_request(received)
        case AttemptEnded():
            return to_outcome(received)
        case AttemptChanged():
            kind = NOTES.get(received.what)
            return (
                api.AttemptUpdate(received.handle, received.copy, received.worker, kind, received.x)
                if kind
                else None
            )
        case TimerExpired():
            return api.Timer(received.key_back)
        case WorkerListReceived():
            entries = [to_entry(member) for member in received.members_list]
            return api.WorkerListUpdate(lookup(LISTS, received.kind, "kind"), entries)
        case ClientLeft():
            return api.ClientDisconnected(received.handle)
        case ProbeEnded():
            reason = lookup(REASONS, received.reason, "reason")
            return api.ProbeResult(received.worker, reason, received.cost_time, tuple(received.stats))
        case ResponseBegun():
            return api.ResponseStarted(received.handle, received.copy)
    return None


def to_message(who: str, action: api.Action) -> dict[str, object]:
    """Translate an action of the dispatcher; the one key of the object is the message's name."""
    match action:
        case api.Send():
            fields = {"who": who, "handle": action.id, "worker": action.worker, "allow_for": action.timeout}
            return {"DISPATCH": fields}
        case api.SetTimer():
            return {"REMIND": {"who": who, "after": action.delay, "key_back": action.token}}
        case api.Cancel():
            return {"RETRACT": {"who": who, "handle": action.id, "copy": action.attempt}}
        case api.Refuse():
            return {"SHED": {"who": who, "handle": action.id, "come_back": action.retry_after}}
        case api.Fail():
            return {"LOSE": {"who": who, "handle": action.id}}
        case api.Watch():
            return {"STREAM_CHANGES": {"who": who, "want": True}}
        case api.Probe():
            return {"TEST": {"who": who, "worker": action.worker}}
        case api.Log():
            return {"NOTE_DOWN": {"who": who, "text": action.text}}


class SchedulerHost:
    """The dispatchers of all simulated schedulers; checks that batches are in order."""

    def __init__(self, write: Callable[[bytes], object]) -> None:
        self._write = write
        self._encode = msgspec.json.Encoder().encode
        self._instances: dict[str, Dispatcher] = {}
        self._transports: dict[str, SimulatorTransport] = {}  # of schedulers that may send messages to others
        self._clock: int | None = None
        self._open = False
        self._reply: list[bytes] = []

    def read(self, raw: bytes) -> None:
        """Process one line of input; at the end of a batch, write the whole reply."""
        named = DECODE_OBJECT(raw)
        if len(named) != 1:
            raise WireError("a message is an object with one key, the name of the message")
        name, fields = next(iter(named.items()))
        received = DECODERS.get(name, DECODE_OBJECT)(fields)
        if isinstance(received, BatchStart):
            self._start_batch(received.sim_time)
        elif not self._open:
            raise WireError("a batch must begin with TURN")
        elif isinstance(received, BatchEnd):
            self._end_batch()
        elif not isinstance(received, dict):  # messages of unknown names are skipped
            self._handle(received)

    def _start_batch(self, now: int) -> None:
        if self._open:
            raise WireError("TURN received before the FLUSH of the open batch")
        if self._clock is not None and now < self._clock:
            raise WireError("`sim_time` went back")
        self._clock, self._open = now, True

    def _end_batch(self) -> None:
        self._open = False
        self._reply.append(b'{"READY":{}}\n')
        self._write(b"\n".join(self._reply))
        self._reply.clear()

    def _handle(self, received: WireEvent) -> None:
        if isinstance(received, SchedulerStarted):
            self._instances[received.who] = Dispatcher(convert_settings(received.info), received.nonce64)
            self._transports.pop(received.who, None)
            if received.info.ceilings.peer_messages:
                from reedspoke.fleet.simulator_transport import SimulatorTransport

                self._transports[received.who] = SimulatorTransport(
                    received.info.me, received.info.balancers, received.nonce64
                )
            return
        if isinstance(received, SchedulerKilled):
            self._instances.pop(received.who, None)
            self._transports.pop(received.who, None)
            return
        instance, transport = self._instances.get(received.who), self._transports.get(received.who)
        event = to_event(received)
        if instance is not None and transport is not None:
            self._update_peer_loads(instance, transport, received)
        if instance is None or event is None:
            return
        if isinstance(received, RequestReceived) and received.tier_class not in instance.classes:
            raise WireError(f"field `tier_class` has an unknown value {received.tier_class!r}")
        assert self._clock is not None
        actions = instance.handle(self._clock, event)
        for action in actions:
            self._reply.append(self._encode(to_message(received.who, action)))
        if transport is not None:
            transport.count_attempts(actions)
            self._send_peer_messages(received.who, instance, transport)

    def _update_peer_loads(
        self, instance: Dispatcher, transport: SimulatorTransport, received: WireEvent
    ) -> None:
        """Pass changed loads of the other schedulers to the dispatcher, before the event itself."""
        assert self._clock is not None
        changed = transport.load_sharing.expire(self._clock)
        if isinstance(received, PeerMessageReceived):
            changed |= transport.receive(self._clock, received.body)
        if changed:
            actions = instance.handle(
                self._clock, api.PeerLoads(transport.load_sharing.loads_of_others(instance.workers))
            )
            for action in actions:
                self._reply.append(self._encode(to_message(received.who, action)))
            transport.count_attempts(actions)
            self._send_peer_messages(received.who, instance, transport)

    def _send_peer_messages(self, who: str, instance: Dispatcher, transport: SimulatorTransport) -> None:
        assert self._clock is not None
        for body in transport.messages(self._clock, instance):
            self._reply.append(self._encode({"NOTIFY": {"who": who, "recipient": -1, "body": body}}))


def serve(lines: Iterable[bytes], out: BinaryIO) -> None:
    """Answer batch after batch until the input ends. Raises WireError with the number of the line."""

    def write(reply: bytes) -> None:
        out.write(reply)
        out.flush()

    host = SchedulerHost(write)
    for number, raw in enumerate(lines, 1):
        if not raw.strip():
            continue
        try:
            host.read(raw)
        except (WireError, ValueError) as error:  # msgspec's errors are ValueErrors too
            shown = raw[:160].decode(errors="replace").strip()
            raise WireError(f"line {number}: {error}: {shown}") from error


def main() -> int:
    """Serve standard input and output; return the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"reedspoke.adapter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
