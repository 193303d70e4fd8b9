"""Random interleavings of reducer events: clients, workers, lists, signals and time, in any order that the
protocols allow. Earlier effects determine which events are possible."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
from hypothesis import Phase, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from msgspec import Struct

from reedspoke import interface as api
from reedspoke.logic import NOT_EXECUTED_REASONS
from reedspoke.net import effects as fx
from reedspoke.net.core import SECOND, Budget
from reedspoke.net.state import ProcessPhase
from tests.test_reducer import ReducerHarness
from tests.world import CLASSES, MS, settings

HOSTS = ("a", "b", "c")
EFFECTS = {cls.name: cls for cls in CLASSES}
ENDS = (api.Reason.OK, api.Reason.ERROR, api.Reason.FULL, api.Reason.RESET)
PICK = st.integers(0, 30)


class ClientModel(Struct):
    """A client, as its own side sees the connection."""

    waiting: str = ""  # the name of the job that waits for its response
    answered: bool = False  # its response is being written
    gone: bool = False  # it has closed, and that is still unread


class ConnectionModel(Struct):
    """A connection to a worker."""

    host: str
    job: str = ""  # "": none, or a probe
    client: int = 0
    up: bool = False
    busy: bool = False
    written: bool = False
    ending: bool = False


class JobModel(Struct):
    """The attempts of a job."""

    at: int = 0  # when the first attempt that may have run ended
    out: int = 0
    maybe: bool = False  # an attempt may have run
    ended: bool = False  # it has its final response, or its client has disconnected


class Interleavings:
    def __init__(self, cancel: bool, schedulers: int, ask: bool, places: int) -> None:
        self.clients: dict[int, ClientModel] = {}
        self.wires: dict[int, ConnectionModel] = {}
        self.past: list[int] = []  # ids of removed connections
        self.jobs: dict[str, JobModel] = {}
        self.classes: dict[str, api.ClassSettings] = {}
        self.left_at: dict[str, int] = {}
        self.number = self.rev = 0
        self.over = self.stopping = False
        self.config = settings(can_cancel=cancel, scheduler_count=schedulers, list_on_request=ask)
        self.play = ReducerHarness(Budget(places, places + 4), self.config)
        self.tell(self.list_of(api.ListKind.STALE, *HOSTS), fx.ListenerOpened(), fx.DirectoryHeartbeat())

    # ---- events and effects ----

    def list_of(
        self, kind: api.ListKind, *uids: str, state: api.WorkerState = api.WorkerState.UP, born: int = 0
    ) -> fx.WorkersListed:
        self.rev += 1
        entries = [api.WorkerEntry(uid, "here", "big", 0, state, 1.0, born) for uid in uids]
        for uid in uids:
            if state is api.WorkerState.UP:
                self.left_at.pop(uid, None)
            else:
                self.left_at.setdefault(uid, self.play.now)
        return fx.WorkersListed(
            kind, self.rev, [fx.ListedWorker(entry, ("127.0.0.1", 80)) for entry in entries]
        )

    def tell(self, *events: fx.Event) -> None:
        for event in events:
            self.check_effects(self.play.tell(event))

    def check_effects(self, effects: list[fx.Effect]) -> None:
        for effect in effects:
            match effect:
                case fx.SendResponse():
                    self.on_response(effect)
                case fx.ConnectWorker():
                    assert effect.conn not in self.wires
                    self.wires[effect.conn] = ConnectionModel(
                        self.play.reducer.state.connections[effect.conn].worker_id
                    )
                case fx.SendAttempt():
                    self.on_attempt(effect)
                case fx.SendProbe():
                    wire = self.wires[effect.conn]
                    assert wire.up
                    assert not wire.busy
                    wire.busy, wire.written, wire.job = True, True, ""
                case fx.DisconnectWorker():
                    self.on_disconnect(effect.conn)
                case fx.Exit():
                    assert not self.over
                    self.over = True
                case fx.WriteLog():
                    assert not effect.fault, effect.text

    def on_response(self, effect: fx.SendResponse) -> None:
        client = self.clients[effect.client]
        assert client.waiting, "a response that no client waits for"
        assert not client.answered, "a second response"
        client.answered = True
        self.jobs[client.waiting].ended = True

    def on_attempt(self, effect: fx.SendAttempt) -> None:
        wire, name = self.wires[effect.conn], str(effect.message)
        assert wire.up
        assert not wire.busy
        assert not wire.ending
        job, cls = self.jobs[name], self.classes[name]
        client = self.clients.get(effect.client)
        assert client is not None
        assert client.waiting == name, "for a client that is known to have disconnected, or has its response"
        assert not job.ended
        assert not job.out, "two attempts at once"
        if job.maybe:
            assert cls.idempotency is not api.Idempotency.UNSAFE, "it may have run"
            assert (
                cls.idempotency is not api.Idempotency.KEYED or self.play.now < job.at + cls.dedup_window
            ), "the deduplication window has ended"
        if (since := self.left_at.get(wire.host)) is not None:
            assert self.play.now <= since + self.config.rules.drain_grace
        wire.busy, wire.written, wire.job, wire.client = True, False, name, effect.client
        job.out += 1

    def on_disconnect(self, number: int) -> None:
        wire = self.wires.pop(number, None)
        self.past.append(number)
        if wire is not None and wire.job:
            self.end(wire, unrun=not wire.written)

    def end(self, wire: ConnectionModel, unrun: bool) -> None:
        job = self.jobs[wire.job]
        job.out -= 1
        if not unrun:
            job.at = job.at or self.play.now
            job.maybe = True
        wire.job = ""

    def pick(self, which: int, items: list[Any]) -> Any:
        return items[which % len(items)] if items else None

    # ---- clients ----

    def connect_client(self) -> None:
        state = self.play.reducer.state
        if (
            state.accepting
            and state.phase in (ProcessPhase.SERVING, ProcessPhase.DRAINING)
            and len(self.clients) < 8
        ):
            self.number += 1
            self.clients[self.number] = ClientModel()
            self.tell(fx.ClientConnected(self.number))

    def send_request(self, which: int, cls: str, span: int) -> None:
        free = [n for n, client in self.clients.items() if not client.waiting and not client.gone]
        kill_at = self.play.reducer.state.kill_at
        if (number := self.pick(which, free)) is None or kill_at and self.play.now >= kill_at:
            return
        self.number += 1
        name = f"j{self.number}"
        self.clients[number].waiting = name
        self.jobs[name], self.classes[name] = JobModel(), EFFECTS[cls]
        self.tell(fx.RequestStarted(number))
        event = fx.RequestReceived(number, name, name, cls, span * 50 * MS, 50 * MS, 1, 0.0, "", "k")
        self.tell(event)

    def finish_response(self, which: int) -> None:
        done = [n for n, client in self.clients.items() if client.answered and not client.gone]
        if (number := self.pick(which, done)) is not None:
            self.clients[number].waiting, self.clients[number].answered = "", False
            self.tell(fx.ResponseSent(number))

    def part(self, which: int) -> None:
        if (number := self.pick(which, list(self.clients))) is not None:
            client = self.clients.pop(number)
            if client.waiting:
                self.jobs[client.waiting].ended = True
            self.tell(fx.ClientDisconnected(number))

    # ---- workers ----

    def connections_with(self, which: int, **state: bool) -> tuple[int, ConnectionModel] | None:
        found = [
            (number, wire)
            for number, wire in self.wires.items()
            if all(bool(getattr(wire, name)) == value for name, value in state.items())
        ]
        return self.pick(which, found)  # type: ignore[no-any-return]

    def open(self, which: int) -> None:
        if (found := self.connections_with(which, up=False)) is not None:
            found[1].up = True
            self.tell(fx.WorkerConnected(found[0]))

    def write(self, which: int) -> None:
        if (found := self.connections_with(which, busy=True, written=False)) is not None:
            found[1].written = True
            self.tell(fx.AttemptWritten(found[0]))

    def fail_to_send(self, which: int, ended: bool) -> None:
        """When an attempt is to be written, its connection has closed or its client has disconnected."""
        if (found := self.connections_with(which, busy=True, written=False)) is None:
            return
        number, wire = found
        name, client = wire.job, wire.client
        self.end(wire, unrun=True)
        wire.busy = False
        if not ended and client in self.clients:
            self.clients[client].gone = True
            self.jobs[name].ended = True
        elif not ended:
            return
        self.tell(fx.AttemptNotSent(number, ended=ended))

    def hear(self, which: int) -> None:
        if (found := self.connections_with(which, busy=True, written=True)) is not None:
            self.tell(fx.ResponseStarted(found[0]))
            if found[1].job:
                self.tell(fx.AttemptProgress(found[0], api.UpdateKind.STARTED, 0.0))

    def conclude(self, which: int, how: api.Reason, invalid: bool) -> None:
        if (found := self.connections_with(which, busy=True, written=True)) is None:
            return
        number, wire = found
        wire.busy, wire.ending = False, True
        if wire.job:
            self.end(wire, unrun=how in NOT_EXECUTED_REASONS)
            self.tell(
                fx.OutcomeReceived(number, how, (), b"result", invalid=invalid and how is api.Reason.ERROR)
            )
        else:
            wire.ending = False
            self.tell(fx.OutcomeReceived(number, how, (), reusable=True))

    def free(self, which: int) -> None:
        if (found := self.connections_with(which, ending=True)) is not None:
            found[1].ending = False
            self.tell(fx.ResponseCompleted(found[0]))

    def break_one(self, which: int) -> None:
        if (number := self.pick(which, list(self.wires))) is not None:
            wire = self.wires.pop(number)
            if wire.job:
                self.end(wire, unrun=not wire.written)
            self.tell(fx.WorkerDisconnected(number))

    def send_late_event(self, which: int, what: Any) -> None:
        """Events of a removed connection have no effect."""
        late = [number for number in self.past if number not in self.wires]
        if (number := self.pick(which, late)) is not None:
            effects = self.play.tell(what(number))
            assert not [effect for effect in effects if not isinstance(effect, fx.CancelTimer | fx.Exit)]

    # ---- lists, signals, time ----

    def change(self, which: int, state: api.WorkerState, born: int) -> None:
        event = self.list_of(api.ListKind.CHANGES, HOSTS[which], state=state, born=born * self.play.now)
        self.tell(event)

    def list_all(self, first: int) -> None:
        for uid in HOSTS[:first]:
            self.left_at.setdefault(uid, self.play.now)
        self.tell(self.list_of(api.ListKind.FULL, *HOSTS[first:]))

    def watch(self, event: fx.Event) -> None:
        if isinstance(event, fx.ConfigurationReloaded):
            self.rev = max(self.rev, self.play.reducer.state.revision)
        self.tell(event)

    def stop(self) -> None:
        self.stopping = True
        self.tell(fx.ShutdownRequested())

    def wait(self, span: int) -> None:
        for _ in range(span):
            self.check_effects(self.play.advance(5 * MS))
            self.check_deadlines()

    def check_deadlines(self) -> None:
        for request in self.play.reducer.state.requests.values():
            late = request.deadline + self.config.rules.answer_slack
            assert not request.open or self.play.now <= late, "no response by the deadline"

    def check_tables(self) -> None:
        state = self.play.reducer.state
        assert state.connections.keys() == self.wires.keys()
        assert state.clients.keys() == self.clients.keys()
        owed = {c.waiting for c in self.clients.values() if c.waiting and not c.answered and not c.gone}
        assert state.open_request_ids == owed
        idle = {number for host in state.workers.values() for number in host.idle}
        assert idle == set(state.idle_connections)
        assert all(not self.wires[number].busy for number in idle)
        assert len(state.connections) <= self.play.reducer.budget.attempts

    def teardown(self) -> None:
        """Disconnect everything, and check that no state is left."""
        for number in list(self.clients):
            self.clients.pop(number)
            self.tell(fx.ClientDisconnected(number))
        for number in list(self.wires):
            if number in self.wires:
                wire = self.wires.pop(number)
                if wire.job:
                    self.end(wire, unrun=not wire.written)
                self.tell(fx.WorkerDisconnected(number))
        self.check_effects(self.play.advance(20 * SECOND))
        for number in list(self.wires):  # probes of unreachable zones
            self.wires.pop(number)
            self.tell(fx.WorkerDisconnected(number))
        state, module = self.play.reducer.state, self.play.reducer.module
        if self.over:
            assert not self.wires
            return
        assert not [*state.clients, *state.requests, *state.open_request_ids, *state.closing_clients]
        assert not [*state.connections, *state.idle_connections]
        assert not module.jobs
        assert not module.in_flight
        assert all(worker.used_slots == worker.running_slots == 0 for worker in module.workers.values())
        owners = {str(key[0]) for key in self.play.wheel._due}  # type: ignore[index]
        assert owners <= {"watch timeout", "watch", "module", "end", "agent start", "room"}
        assert len(state.timers) <= 1, "the module's periodic timer"
        if self.stopping:
            self.check_effects(self.play.advance(20 * SECOND))
            assert self.over


WHAT = (
    ["ask"] * 5 + ["open"] * 4 + ["write"] * 4 + ["conclude"] * 3 + ["free"] * 2 + ["answered"] * 3
    + ["wait"] * 3 + ["hear", "break", "late", "find", "part", "change", "list", "watch", "stop"]
)  # fmt: skip


def step(play: Interleavings, what: str, which: int, more: int) -> None:
    match what:
        case "ask" if not play.over:
            play.connect_client()
            play.send_request(which, sorted(EFFECTS)[more % len(EFFECTS)], which)
        case "open":
            play.open(which)
        case "write":
            play.write(which)
        case "conclude":
            play.conclude(which, ENDS[more % len(ENDS)], invalid=more > 50)
        case "free":
            play.free(which)
        case "answered" if not play.over:
            play.finish_response(which)
        case "wait":
            play.wait(1 + which // 3 if more < 50 else 10 * which)
        case "hear":
            play.hear(which)
        case "break":
            play.break_one(which)
        case "late":
            late = (
                fx.WorkerConnected,
                fx.AttemptWritten,
                fx.ResponseStarted,
                fx.ResponseCompleted,
                fx.WorkerDisconnected,
                fx.AttemptNotSent,
            )
            play.send_late_event(which, late[more % len(late)])
        case "find":
            play.fail_to_send(which, ended=more % 2 == 0)
        case "part" if not play.over:
            play.part(which)
        case "change":
            play.change(which % 3, list(api.WorkerState)[more % 3], more % 2)
        case "list":
            play.list_all(which % 3)
        case "watch":
            events = (
                fx.WatchLost("it ended"),
                fx.DirectoryHeartbeat(),
                fx.ConfigurationReloaded(("127.0.0.1", 9)),
            )
            play.watch(events[more % 3])
        case "stop" if which > 45 and not play.over:
            play.stop()


def generate(random: Random) -> tuple[Interleavings, list[tuple[str, int, int]]]:
    play = Interleavings(
        random.random() < 0.5, random.choice([1, 1, 20]), random.random() < 0.5, random.randint(2, 6)
    )
    return play, [(random.choice(WHAT), random.randrange(61), random.randrange(61)) for _ in range(80)]


@hypothesis_settings(
    max_examples=400, deadline=None, derandomize=True, database=None, phases=[Phase.generate]
)
@given(st.integers(0, 2**32))
def test_any_interleaving(seed: int) -> None:
    """Steps are generated from a seed: hypothesis generates such short lists that 120 of them sent 15
    attempts."""
    play, steps = generate(Random(seed))
    for what, which, more in steps:
        step(play, what, which, more)
        play.check_tables()
    play.teardown()


@pytest.mark.parametrize("seed", range(8))
def test_two_nodes_with_different_settings_in_one_process_are_independent(seed: int) -> None:
    """The settings of one customer must not affect another: with interleaved steps, each node requests the
    same effects as alone."""

    def asked(*seeds: int) -> list[list[str]]:
        plays = [generate(Random(number)) for number in seeds]
        for steps in zip(*(steps for _, steps in plays), strict=True):
            for (play, _), (what, which, more) in zip(plays, steps, strict=True):
                step(play, what, which, more)
        return [[repr(effect) for effect in play.play.asked] for play, _ in plays]

    first, config = seed, generate(Random(seed))[0].config
    second = next(n for n in range(seed + 100, seed + 200) if generate(Random(n))[0].config != config)
    assert asked(first, second) == asked(first) + asked(second)
