"""The one place where state changes: takes an event and the time, returns the effects to carry out.

Only here is the decision module called. It picks hosts, repeats, declines and delays; what stands here keeps
the platform's rules around it: what counts as sent, what is told of it, and that each authorisation gets one
answer.
"""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from reedspoke import interface as api
from reedspoke.logic import Dispatcher
from reedspoke.net import effects as fx
from reedspoke.net.state import Authorisation, Client, Conn, Host, Leg, Life, Phase, Standing, State

MS = 1000
SECOND = 1000 * MS
OWN_DESCRIPTORS = 20  # standard streams, the loop's own, listener, directory, the configuration
OWN_MEMORY = 24  # MB; 17 MB were measured on calm days
CLIENT_MEMORY = 80  # KB: a body of 64 KB, a head, a stream and its coroutine
SPARE_LEGS = 4  # for probes, beyond one leg for each client
IDLE_SHARE = 0.75  # of `conn_idle`: a leg written as its host closes the connection would end as a reset
ENDING = SECOND  # how long the rest of an answer may take behind its outcome
PROBE_WAIT = 500 * MS
MUTE = 300 * MS  # a host that lives begins to answer at once, also what it queues; it may pause for 170 ms
DISTRUST = 60 * SECOND  # for kept connections, since the last one that failed
SILENCE = 3500 * MS  # of the directory, which beats every 2 s; what changes counts as told after 6 s
CLIENT_IDLE = 300 * SECOND
CLIENT_FIRST = (
    2 * SECOND
)  # from connecting to the last byte of a first authorisation: an answer is due in 3 s
CLIENT_SLOW = 2 * SECOND  # for the bytes of one authorisation
CLIENT_FRESH = 50 * MS  # a client that means to ask has sent its first bytes by then
SELDOM = 10 * SECOND  # between lines on the same matter that clients or hosts can cause at will
LEAVE = 500 * MS  # clients keep connecting for up to 400 ms after SIGTERM
LAST_CALL = 200 * MS  # for the first bytes of those taken in last
GUARD = 0.5  # of the answer slack: where the last guard stands


@dataclass(slots=True, frozen=True)
class Budget:
    """Descriptors: a client that is served needs one of its own and one for its leg."""

    clients: int
    legs: int

    @classmethod
    def of(cls, sockets: int, memory_mb: float = 192) -> Budget:
        """Each client may hold the largest body. Usual ones take a third of the descriptors at most, and that
        many are always taken in."""
        clients = (sockets - OWN_DESCRIPTORS - SPARE_LEGS) // 2
        held = int((memory_mb - OWN_MEMORY) * 1024 / CLIENT_MEMORY)
        clients = min(clients, max(held, sockets // 3))
        return cls(clients, clients + SPARE_LEGS)


class Reducer:
    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        budget: Budget,
        conn_idle: int = 0,
        directory: tuple[str, int] = ("", 0),
    ) -> None:
        self.state = State(directory=directory)
        self.module = Dispatcher(settings, seed)
        self.settings = settings
        self.budget = budget
        self.conn_idle = int(conn_idle * IDLE_SHARE) or CLIENT_IDLE
        # Guards the module's tables: where the settings name the tenants, all others are one to it.
        self.tenants = frozenset(tenant.name for tenant in settings.tenants)
        self.now = 0
        self._effects: list[fx.Effect] = []
        self._told: deque[api.Event] = deque()  # for the module, in the order in which it happened
        self._reactions: dict[type, Callable[[Any], None]] = {
            fx.Joined: self._on_joined, fx.Reading: self._on_reading, fx.Arrived: self._on_arrived,
            fx.Answered: self._on_answered, fx.Parted: self._on_parted, fx.Opened: self._on_opened,
            fx.Heard: self._on_heard, fx.Ending: self._on_ending, fx.Refused: self._on_refused,
            fx.Written: self._on_written, fx.Noted: self._on_noted, fx.Concluded: self._on_concluded,
            fx.Freed: self._on_freed, fx.Broken: self._on_broken, fx.Listed: self._on_listed,
            fx.Beaten: self._on_beaten, fx.Unlisted: self._on_unlisted, fx.Rung: self._on_rung,
            fx.Listening: self._on_listening, fx.Stop: self._on_stop, fx.Reload: self._on_reload,
            fx.Reloaded: self._on_reloaded,
        }  # fmt: skip
        self._rings: dict[str, Callable[[int], None]] = {
            "module": self._ring_module, "leg": self._ring_leg, "idle": self._ring_idle,
            "mute": self._ring_mute, "guard": self._ring_guard, "client": self._ring_client,
            "silence": self._ring_silence, "room": lambda _: self._make_room(), "leave": self._ring_leave,
            "last call": self._ring_last_call, "end": self._ring_end,
        }  # fmt: skip

    def handle(self, event: fx.Event, now: int) -> list[fx.Effect]:
        self.now, self._effects = now, []
        self._reactions[type(event)](event)
        while self._told:
            self._tell(self._told.popleft())
        self._see_end()
        return self._effects

    # ---- the module ----

    def _tell(self, event: api.Event) -> None:
        try:
            actions = self.module.handle(self.now, event)
        except Exception:  # a fault there costs one authorisation, not all the others
            self._fault(f"decision module, at {type(event).__name__}: {traceback.format_exc(limit=-3)}")
            if isinstance(event, api.Request) and (auth := self.state.authorisations.get(event.id)):
                self._answer(auth, fx.Verdict.FAILED)
            actions = []
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.SetTimer():
                timer = self.state.next_id()
                self.state.timers[timer] = action.token
                self._ring(("module", timer), self.now + action.after)
            case api.Cancel():
                self._cancel(action)
            case api.Refuse():
                self._final(action.id, fx.Verdict.DECLINED, action.retry_after)
            case api.Fail():
                self._final(action.id, fx.Verdict.FAILED)
            case api.Watch():
                self._count("watches")
                self._follow()
            case api.Probe():
                self._probe(action)
            case api.Log():
                self._effects.append(fx.Say(f"module: {action.text}"))

    def _final(self, number: int, verdict: fx.Verdict, retry_after: int = 0) -> None:
        auth = self.state.authorisations.get(number)
        if auth is None or not auth.open:
            self._fault(f"the module answers an authorisation that is not open ({verdict.value})")
            return
        self._answer(auth, verdict, retry_after=retry_after)

    def _cancel(self, action: api.Cancel) -> None:
        auth = self.state.authorisations.get(action.id)
        leg = auth.out.get(action.attempt) if auth else None
        if leg is not None:
            self._hang_up(self.state.conns[leg.conn])
            self._outcome(leg, api.Reason.CANCELLED)

    # ---- acquirer side ----

    def _on_joined(self, event: fx.Joined) -> None:
        client = self.state.clients[event.client] = Client(event.client, self.now)
        self._rest(client, Standing.SILENT)
        self._most("clients", len(self.state.clients))
        self._ring(("client", client.id), self.now + CLIENT_FIRST)
        self._make_room()

    def _rest(self, client: Client, standing: Standing | None) -> None:
        if client.standing is not None:
            self.state.resting[client.standing].pop(client.id, None)
        client.standing = standing
        if standing is not None:
            self.state.resting[standing][client.id] = None

    def _make_room(self) -> None:
        """Guards against clients that crowd out others by holding connections: where the budget is full, one
        that is owed nothing goes. Only where all wait for answers nobody else is taken in meanwhile."""
        state = self.state
        while len(state.clients) - len(state.parting) >= self.budget.clients:
            if (client := self._least_missed()) is None:
                break
            self._count("crowded out")
            self._rest(client, None)
            state.parting.add(client.id)
            self._effects.append(fx.Drop(client.id, fx.Farewell.NOW))
        accepting = len(state.clients) - len(state.parting) < self.budget.clients
        if accepting != state.accepting:
            state.accepting = accepting
            self._effects.append(fx.Accept(accepting))
            if not accepting:
                self._count("budget full")
                self._say_seldom("full", "clients: budget is full")

    def _least_missed(self) -> Client | None:
        """Who was answered before sends again elsewhere what crosses the end. Who has only just connected
        would have failed: it stays until its first bytes had the time to come, and meanwhile others wait."""
        state = self.state
        for standing in (Standing.ENDING, Standing.ANSWERED, Standing.SILENT, Standing.KEPT):
            if (number := next(iter(state.resting[standing]), None)) is None:
                continue
            client = state.clients[number]
            if standing is not Standing.SILENT or self.now >= client.joined + CLIENT_FRESH:
                return client
        if state.resting[Standing.SILENT]:
            self._ring(("room", 0), self.now + CLIENT_FRESH)
        return None

    def _on_reading(self, event: fx.Reading) -> None:
        if (client := self.state.clients.get(event.client)) is not None:
            client.reading = True
            self.state.parting.discard(client.id)
            if client.answered:  # else its time runs since it has connected
                self._rest(client, None)
                self._ring(("client", client.id), self.now + CLIENT_SLOW)

    def _on_refused(self, event: fx.Refused) -> None:
        self._count(f"malformed {event.status}")
        self._say_seldom(f"malformed {event.status}", f"authorisation malformed: {event.status} {event.why}")

    def _on_arrived(self, event: fx.Arrived) -> None:
        state = self.state
        if (client := state.clients.get(event.client)) is None:
            return
        client.reading = False
        state.parting.discard(client.id)
        self._rest(client, None)
        self._quiet(("client", client.id))
        self._count("authorisations")
        if event.name in state.names:  # its twin is out and might run twice
            self._count("invalid")
            self._effects.append(fx.Answer(client.id, fx.Verdict.INVALID, last=self._leaving()))
            return
        auth = Authorisation(
            state.next_id(), event.name, client.id, event.message, self.now + event.span
        )  # fmt: skip
        state.authorisations[auth.id] = client.authorisation = auth
        state.names.add(event.name)
        self._most("open", len(state.names))
        slack = int(GUARD * self.settings.rules.answer_slack)
        self._ring(("guard", auth.id), auth.deadline + slack)
        self._told.append(
            api.Request(
                auth.id,
                event.cls,
                auth.deadline,
                event.hint,
                event.slots,
                event.memory,
                event.tenant if not self.tenants or event.tenant in self.tenants else "",
                event.key,
            )
        )

    def _answer(
        self, auth: Authorisation, verdict: fx.Verdict, result: bytes = b"", retry_after: int = 0
    ) -> None:
        """The one final answer."""
        self._count(verdict.value)
        self._close(auth)
        if (client := self.state.clients.get(auth.client)) is not None and client.authorisation is auth:
            client.authorisation = None
            client.served |= verdict is fx.Verdict.SERVED
            self._effects.append(fx.Answer(client.id, verdict, result, retry_after, self._leaving()))

    def _close(self, auth: Authorisation) -> None:
        auth.open = False
        auth.message = None
        self.state.names.discard(auth.name)
        self._quiet(("guard", auth.id))
        self._forget(auth)

    def _forget(self, auth: Authorisation) -> None:
        if not auth.open and not auth.out:
            self.state.authorisations.pop(auth.id, None)

    def _on_answered(self, event: fx.Answered) -> None:
        if (client := self.state.clients.get(event.client)) is not None:
            client.answered += 1
            client.reading = False
            self._rest(client, Standing.KEPT if client.served else Standing.ANSWERED)
            self._ring(("client", client.id), self.now + CLIENT_IDLE)
            if self.state.life is Life.SHUT:
                self._effects.append(fx.Drop(client.id))
            else:
                self._make_room()

    def _on_ending(self, event: fx.Ending) -> None:
        if (client := self.state.clients.get(event.client)) is not None:
            self._rest(client, Standing.ENDING)
            self._make_room()

    def _on_parted(self, event: fx.Parted) -> None:
        if (client := self.state.clients.pop(event.client, None)) is None:
            return
        self._rest(client, None)
        self.state.parting.discard(client.id)
        self._quiet(("client", client.id))
        if (auth := client.authorisation) is not None:
            self._count("gone")
            self._close(auth)
            self._told.append(api.Gone(auth.id))
        if self.state.life in (Life.STARTING, Life.SERVING, Life.LEAVING):
            self._make_room()

    def _ring_client(self, number: int) -> None:
        client = self.state.clients.get(number)
        if client is not None and client.authorisation is None:
            if not client.answered and not client.reading:
                self._count("silent")
            self._effects.append(fx.Drop(number, fx.Farewell.TOLD if client.reading else fx.Farewell.IDLE))

    def _ring_guard(self, number: int) -> None:
        """Guards against an authorisation that nobody answers: its time is up whatever the module does."""
        auth = self.state.authorisations.get(number)
        if auth is not None and auth.open:
            self._fault(
                f"no final answer in time, the last guard gives one (legs {auth.legs}, out {len(auth.out)})"
            )
            self._answer(auth, fx.Verdict.LATE)
            self._told.append(api.Gone(auth.id))

    # ---- legs ----

    def _send(self, action: api.Send) -> None:
        auth, host = self.state.authorisations.get(action.id), self.state.hosts.get(action.worker)
        if auth is None:
            self._fault("the module sends an authorisation that is not known")
            return
        until = min(auth.deadline, self.now + action.timeout) if action.timeout > 0 else auth.deadline
        leg = Leg(auth, auth.legs, action.worker, self.now, until)
        auth.legs += 1
        auth.out[leg.number] = leg
        self._count("legs")
        if host is None or not auth.open:
            self._fault("the module sends to a host that is not listed, or what has its answer")
            self._outcome(leg, api.Reason.MOOT)
        else:
            self._carry(leg, host)

    def _carry(self, leg: Leg, host: Host) -> None:
        if host.idle:
            conn = self.state.conns[host.idle.pop()]  # the latest used: it is the farthest from its end
            del self.state.idle[conn.id]
            self._quiet(("idle", conn.id))
            conn.leg, leg.conn = leg, conn.id
            self._transmit(conn, leg)
        elif (dialled := self._dial(host)) is not None:
            dialled.leg, leg.conn = leg, dialled.id
            wait = self.settings.limits.connect_timeout or SECOND
            self._ring(("leg", dialled.id), min(leg.until, self.now + wait))
        else:
            self._outcome(leg, api.Reason.CONNECT_FAILED)

    def _dial(self, host: Host) -> Conn | None:
        """A new connection, at an idle one's cost where the budget is full."""
        state = self.state
        if len(state.conns) >= self.budget.legs and state.idle:
            self._hang_up(state.conns[next(iter(state.idle))])
        if len(state.conns) >= self.budget.legs:
            self._fault("no descriptor is left for a leg")
            return None
        conn = Conn(state.next_id(), host.uid, host.endpoint)
        state.conns[conn.id] = conn
        self._count("dials")
        self._most("conns", len(state.conns))
        self._effects.append(fx.Dial(conn.id, conn.endpoint))
        return conn

    def _transmit(self, conn: Conn, leg: Leg) -> None:
        conn.phase, conn.heard, conn.legs = Phase.BUSY, False, conn.legs + 1
        self._effects.append(fx.Transmit(conn.id, leg.authorisation.message, leg.until - self.now))
        self._ring(("leg", conn.id), leg.until)

    def _on_opened(self, event: fx.Opened) -> None:
        if (conn := self.state.conns.get(event.conn)) is None:
            return
        host = self.state.hosts.get(conn.host)
        if conn.probe_at:
            conn.phase = Phase.BUSY
            self._effects.append(fx.Ask(conn.id))
            self._ring(("leg", conn.id), self.now + PROBE_WAIT)
        elif conn.leg is not None:
            # The list may have changed while the connection came up, and a drain counts from the first byte.
            if host is None or host.state is not api.WorkerState.UP or host.endpoint != conn.endpoint:
                leg = conn.leg
                self._hang_up(conn)
                self._outcome(leg, api.Reason.CONNECT_FAILED)
            else:
                self._transmit(conn, conn.leg)

    def _on_written(self, event: fx.Written) -> None:
        if (conn := self.state.conns.get(event.conn)) is not None and conn.leg is not None:
            conn.leg.written = True
            if not conn.heard:
                self._ring(("mute", conn.id), self.now + MUTE)

    def _on_heard(self, event: fx.Heard) -> None:
        if (conn := self.state.conns.get(event.conn)) is not None:
            conn.heard = True
            self._quiet(("mute", conn.id))

    def _ring_mute(self, number: int) -> None:
        conn = self.state.conns.get(number)
        if conn is not None and conn.leg is not None and not conn.heard:
            self._count("mute")
            self._distrust(conn)
            leg = conn.leg
            self._told.append(api.Note(leg.authorisation.id, leg.number, leg.host, api.NoteKind.MUTE))

    def _distrust(self, conn: Conn) -> None:
        """Guards legs against connections that died unseen while they were kept: nothing tells so before the
        next leg is written, and then its job may have run. Where one did, more will: for a while each leg
        gets a connection of its own."""
        state = self.state
        if conn.legs < 2 or conn.heard:
            return  # not a kept one, or it lived
        if self.now >= state.distrust_until:
            self._effects.append(fx.Say(f"kept connections fail: none is used for {DISTRUST // SECOND} s"))
            for kept in list(state.idle):
                self._hang_up(state.conns[kept])
        self._count("kept failed")
        state.distrust_until = self.now + DISTRUST

    def _on_noted(self, event: fx.Noted) -> None:
        conn = self.state.conns.get(event.conn)
        if conn is not None and (leg := conn.leg) is not None:
            self._told.append(api.Note(leg.authorisation.id, leg.number, leg.host, event.kind, event.share))

    def _on_concluded(self, event: fx.Concluded) -> None:
        conn = self.state.conns.get(event.conn)
        if conn is None or conn.phase is not Phase.BUSY:
            return
        conn.phase = Phase.ENDING
        self._ring(("leg", conn.id), self.now + ENDING)
        if (leg := conn.leg) is not None:
            conn.leg = None
            auth = leg.authorisation
            if event.reason is api.Reason.OK and auth.open:
                del auth.out[leg.number]
                self._answer(auth, fx.Verdict.SERVED, event.result)
            elif event.invalid and auth.open:
                # Guards the hosts: what one of them finds unusable is so for all, and further legs would only
                # hold their slots. It is the host's verdict, passed on as a result is, and no failure of it.
                del auth.out[leg.number]
                self._answer(auth, fx.Verdict.INVALID)
            self._outcome(leg, api.Reason.MOOT if event.invalid else event.reason, event.report)
        else:
            self._probed(conn, event.reason, event.report)

    def _outcome(self, leg: Leg, reason: api.Reason, report: tuple[float, ...] = ()) -> None:
        auth = leg.authorisation
        auth.out.pop(leg.number, None)
        self._count(f"leg {reason.value}")
        self._told.append(
            api.Outcome(auth.id, leg.number, leg.host, reason, self.now - leg.made, not auth.open, report)
        )
        self._forget(auth)

    def _on_freed(self, event: fx.Freed) -> None:
        conn = self.state.conns.get(event.conn)
        if conn is None or conn.phase is not Phase.ENDING:
            return
        host = self.state.hosts.get(conn.host)
        if host is None or host.state is not api.WorkerState.UP or host.endpoint != conn.endpoint:
            self._hang_up(conn)
            return
        if self.now < self.state.distrust_until:
            self._hang_up(conn)
            return
        conn.phase = Phase.IDLE
        host.idle.append(conn.id)
        self.state.idle[conn.id] = None
        self._quiet(("leg", conn.id))
        self._ring(("idle", conn.id), self.now + self.conn_idle)

    def _on_broken(self, event: fx.Broken) -> None:
        if (conn := self.state.conns.get(event.conn)) is not None:
            self._hang_up(conn)
            self._give_up(conn, api.Reason.RESET)

    def _ring_leg(self, number: int) -> None:
        if (conn := self.state.conns.get(number)) is not None:
            self._hang_up(conn)
            self._give_up(conn, api.Reason.TIMEOUT)

    def _give_up(self, conn: Conn, reason: api.Reason) -> None:
        """What a connection carried ends with it; before its last byte was written it never ran."""
        if conn.leg is not None:
            leg = conn.leg
            self._distrust(conn)
            host = self.state.hosts.get(conn.host)
            ours = host is not None and host.state is api.WorkerState.UP and leg.authorisation.open
            if conn.legs > 1 and not leg.written and ours and host is not None and self.now < leg.until:
                # A kept connection had ended before it could carry the leg: that says nothing of its host,
                # and as nothing was sent wholly this is the same leg on another connection.
                self._carry(leg, host)
                return
            self._outcome(leg, reason if conn.leg.written else api.Reason.CONNECT_FAILED)
        elif conn.probe_at and conn.phase in (Phase.DIALLING, Phase.BUSY):
            self._probed(conn, reason if conn.phase is Phase.BUSY else api.Reason.CONNECT_FAILED)

    def _ring_idle(self, number: int) -> None:
        if (conn := self.state.conns.get(number)) is not None and conn.phase is Phase.IDLE:
            self._hang_up(conn)

    def _hang_up(self, conn: Conn) -> None:
        state = self.state
        state.conns.pop(conn.id, None)
        if conn.id in state.idle:
            del state.idle[conn.id]
            if (host := state.hosts.get(conn.host)) is not None:
                host.idle.remove(conn.id)
        self._quiet(("leg", conn.id))
        self._quiet(("idle", conn.id))
        self._quiet(("mute", conn.id))
        self._effects.append(fx.Hangup(conn.id))

    def _probe(self, action: api.Probe) -> None:
        host = self.state.hosts.get(action.worker)
        conn = self._dial(host) if host is not None else None
        self._count("probes")
        if conn is None:
            self._told.append(api.Probed(action.worker, api.Reason.MOOT, 0))
            return
        conn.probe_at = self.now
        self._ring(("leg", conn.id), self.now + (self.settings.limits.connect_timeout or SECOND))

    def _probed(self, conn: Conn, reason: api.Reason, report: tuple[float, ...] = ()) -> None:
        self._told.append(api.Probed(conn.host, reason, self.now - conn.probe_at, report))
        conn.probe_at = 0

    # ---- the directory ----

    def _follow(self) -> None:
        self.state.watching = True
        self._effects.append(fx.Follow(self.state.directory, self.state.rev))
        self._ring(("silence", 0), self.now + SILENCE)

    def _on_listed(self, event: fx.Listed) -> None:
        state = self.state
        state.rev = event.rev
        full = event.kind is not api.ListKind.CHANGES
        named = {target.entry.worker for target in event.targets}
        for host in list(state.hosts.values()):
            if full and host.uid not in named:
                self._remove(host)
        for target in event.targets:
            self._learn(target)
        state.listed = state.listed or bool(state.hosts)
        if event.kind is not api.ListKind.STALE:
            self._ring(("silence", 0), self.now + SILENCE)
        self._told.append(api.Members(event.kind, [target.entry for target in event.targets]))

    def _learn(self, target: fx.Target) -> None:
        entry = target.entry
        host = self.state.hosts.get(entry.worker)
        if entry.state is api.WorkerState.GONE:
            if host is not None:
                self._remove(host)
            return
        if host is None:
            host = Host(entry.worker, target.endpoint, entry.state, entry.born)
            self.state.hosts[host.uid] = host
            return
        if entry.state is not api.WorkerState.UP or (target.endpoint, entry.born) != (
            host.endpoint,
            host.born,
        ):
            self._drop_idle(host)  # their other end may be another process by now
        host.endpoint, host.state, host.born = target.endpoint, entry.state, entry.born

    def _remove(self, host: Host) -> None:
        """Forgotten at once, or the table would grow with every deploy; legs that are out go on."""
        self._drop_idle(host)
        del self.state.hosts[host.uid]

    def _drop_idle(self, host: Host) -> None:
        for conn in list(host.idle):
            self._hang_up(self.state.conns[conn])

    def _on_beaten(self, _: fx.Beaten) -> None:
        self._ring(("silence", 0), self.now + SILENCE)

    def _on_unlisted(self, event: fx.Unlisted) -> None:
        self.state.watching = False
        self._quiet(("silence", 0))
        self._count("watches lost")
        self._effects.append(fx.Say(f"directory: watch lost: {event.why}"))
        self._told.append(api.Members(api.ListKind.LOST, []))

    def _ring_silence(self, _: int) -> None:
        self._effects.append(fx.Unfollow())
        self._on_unlisted(fx.Unlisted("silence"))

    # ---- lifecycle ----

    def _on_listening(self, _: fx.Listening) -> None:
        self.state.life = Life.SERVING

    def _leaving(self) -> bool:
        return self.state.life in (Life.LEAVING, Life.SHUT)

    def _on_reload(self, _: fx.Reload) -> None:
        self._effects.append(fx.Reread())

    def _on_reloaded(self, event: fx.Reloaded) -> None:
        """Moves the watch; the module keeps what it knows, and its legs and clients go on."""
        state = self.state
        moved = event.directory != state.directory
        host, port = event.directory
        self._effects.append(
            fx.Say(f"reload: directory {'moves to' if moved else 'stays at'} {host}:{port}")
        )  # fmt: skip
        if moved:
            # Versions are the old one's: asked for changes since 0, the new one tells all that it has.
            state.directory, state.rev = event.directory, 0
            if state.watching:  # else the module asks for a new watch by itself
                self._follow()

    def _on_stop(self, _: fx.Stop) -> None:
        if self._leaving():
            return
        self.state.life = Life.LEAVING
        self._effects.append(fx.Say(f"stopping: {len(self.state.names)} authorisations open"))
        self._drop_waiting(kept=True)
        self._ring(("leave", 0), self.now + LEAVE)
        longest = max(cls.deadline for cls in self.settings.classes)
        self._ring(("end", 0), self.now + LEAVE + longest + SECOND)

    def _drop_waiting(self, *, kept: bool) -> None:
        """`kept`: only those that were answered before; a new client's first bytes may be on their way."""
        for standing in (Standing.ANSWERED, Standing.KEPT) if kept else Standing:
            for client in self.state.resting[standing]:
                self._effects.append(fx.Drop(client))

    def _ring_leave(self, _: int) -> None:
        self._effects.append(fx.Shut())
        self._ring(("last call", 0), self.now + LAST_CALL)

    def _ring_last_call(self, _: int) -> None:
        self.state.life = Life.SHUT
        self._drop_waiting(kept=False)

    def _ring_end(self, _: int) -> None:
        self._over()

    def _see_end(self) -> None:
        if self.state.life is Life.SHUT and not self.state.clients:
            self._over()

    def _over(self) -> None:
        if self.state.life is not Life.OVER:
            self.state.life = Life.OVER
            for conn in list(self.state.conns.values()):
                self._hang_up(conn)
            self._effects.append(fx.Unfollow())
            self._effects.append(fx.Exit())

    # ---- small helpers ----

    def _on_rung(self, event: fx.Rung) -> None:
        what, number = event.key
        self._rings[what](number)

    def _ring_module(self, number: int) -> None:
        self._told.append(api.Timer(self.state.timers.pop(number)))

    def _ring(self, key: fx.TimerKey, at: int) -> None:
        self._effects.append(fx.Ring(key, at))

    def _quiet(self, key: fx.TimerKey) -> None:
        self._effects.append(fx.Quiet(key))

    def _fault(self, text: str) -> None:
        self._count("faults")
        self._effects.append(fx.Say(text, fault=True))

    def _say_seldom(self, about: str, text: str) -> None:
        """Guards the log against those who can cause a line as often as they like."""
        if self.now - self.state.told.get(about, 0) >= SELDOM:
            self.state.told[about] = self.now
            self._effects.append(fx.Say(text))

    def _count(self, what: str) -> None:
        self.state.figures[what] += 1

    def _most(self, what: str, number: int) -> None:
        self.state.figures[f"most {what}"] = max(self.state.figures[f"most {what}"], number)
