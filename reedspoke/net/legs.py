"""Legs and probes, and the connections to issuer hosts that carry them.

A connection goes DIALLING -> BUSY (Opened) -> ENDING (Concluded) -> IDLE (Freed) -> BUSY ..., and is
forgotten by `hang_up` from any of them; events of one that is forgotten change nothing. A leg has exactly
one outcome: `Concluded` in BUSY, `Broken` or its timer before that. `Written` decides what the outcome
says: before it the job never ran, after it the job may have run and only the module may repeat it.
"""

from __future__ import annotations

from reedspoke import interface as api
from reedspoke.logic import NOT_EXECUTED_REASONS
from reedspoke.net import effects as fx
from reedspoke.net.clients import Clients
from reedspoke.net.core import MS, SECOND, SPARE_LEGS, Concern, Core, Reactions, Rings
from reedspoke.net.state import Conn, Host, Leg, Phase

IDLE_MOST = 300 * SECOND  # that a connection is kept where the settings do not say
IDLE_SHARE = 0.75  # of `conn_idle`: a leg written as its host closes the connection would end as a reset
ENDING = SECOND  # how long the rest of an answer may take behind its outcome
PROBE_WAIT = 500 * MS
MUTE = 300 * MS  # a host that lives begins to answer at once, also what it queues; it may pause for 170 ms
DISTRUST = 60 * SECOND  # for kept connections, since the last one that failed


class Legs(Concern):
    def __init__(self, core: Core, clients: Clients, conn_idle: int = 0) -> None:
        super().__init__(core)
        self.clients = clients
        self.conn_idle = int(conn_idle * IDLE_SHARE) or IDLE_MOST
        self.windows = {  # us from a leg that may have run to the last that may follow
            cls.name: cls.dedup_window
            for cls in core.settings.classes
            if cls.idempotency is api.Idempotency.KEYED
        }

    def reactions(self) -> Reactions:
        return {
            fx.Opened: self._on_opened, fx.Written: self._on_written, fx.Unsent: self._on_unsent,
            fx.Heard: self._on_heard,
            fx.Noted: self._on_noted, fx.Concluded: self._on_concluded, fx.Freed: self._on_freed,
            fx.Broken: self._on_broken,
        }  # fmt: skip

    def rings(self) -> Rings:
        return {"leg": self._ring_leg, "idle": self._ring_idle, "mute": self._ring_mute}

    def send(self, action: api.Send) -> None:
        auth, host = self.state.authorisations.get(action.id), self.state.hosts.get(action.worker)
        if auth is None:
            self.core.fault("the module sends an authorisation that is not known")
            return
        until = min(auth.deadline, self.core.now + action.timeout) if action.timeout > 0 else auth.deadline
        leg = Leg(auth, auth.legs, action.worker, self.core.now, until)
        if auth.ran_at and self.windows.get(auth.cls):
            leg.before = auth.ran_at + self.windows[auth.cls]
        auth.legs += 1
        auth.out[leg.number] = leg
        self.core.count("legs")
        if host is None or not auth.open:
            self.core.fault("the module sends to a host that is not listed, or what has its answer")
            self.outcome(leg, api.Reason.NOT_EXECUTED)
        else:
            self._carry(leg, host)

    def _carry(self, leg: Leg, host: Host) -> None:
        if (conn := self._kept(host)) is not None:
            conn.leg, leg.conn = leg, conn.id
            self._transmit(conn, leg)
        elif (dialled := self._dial(host)) is not None:
            dialled.leg, leg.conn = leg, dialled.id
            wait = self.core.settings.limits.connect_timeout or SECOND
            self.core.ring(("leg", dialled.id), min(leg.until, self.core.now + wait))
        else:
            self.outcome(leg, api.Reason.CONNECT_FAILED)

    def _kept(self, host: Host) -> Conn | None:
        """One that is idle, no more to be counted so: the latest used, farthest from its end."""
        if not host.idle:
            return None
        conn = self.state.conns[host.idle.pop()]
        del self.state.idle[conn.id]
        self.core.quiet(("idle", conn.id))
        return conn

    def _dial(self, host: Host) -> Conn | None:
        """A new connection, at an idle one's cost where the budget is full."""
        state = self.state
        # More clients than the budget has stay in service where another process has come to share it.
        most = self.core.budget.legs
        if state.partners:
            most = max(most, len(state.clients) + SPARE_LEGS)
        if len(state.conns) >= most and state.idle:
            self.hang_up(state.conns[next(iter(state.idle))])
        elif len(state.conns) >= most:
            # Guards legs against hosts that never end their answers: the outcome is known, the rest is not
            # waited for where its place is needed.
            ending = (conn for conn in state.conns.values() if conn.phase is Phase.ENDING)
            if (rest := next(ending, None)) is not None:
                self.hang_up(rest)
        if len(state.conns) >= most:
            self.core.fault("no descriptor is left for a leg")
            return None
        conn = Conn(state.next_id(), host.uid, host.endpoint)
        state.conns[conn.id] = conn
        self.core.count("dials")
        self.core.most("conns", len(state.conns))
        self.core.ask(fx.Dial(conn.id, conn.endpoint))
        return conn

    def _transmit(self, conn: Conn, leg: Leg) -> None:
        auth = leg.authorisation
        if not auth.open or leg.before and self.core.now >= leg.before:
            # Guards hosts: its client has gone or has its answer, and the settings forbid the module to call
            # the leg off; or a keyed job's window ended while its connection came up: hosts forget its key
            # with it, and it would run once more.
            conn.leg = None
            self._rest(conn)
            self.outcome(leg, api.Reason.NOT_EXECUTED)
            return
        conn.phase, conn.heard = Phase.BUSY, False
        self.core.ask(fx.Transmit(conn.id, auth.client, auth.message, leg.until - self.core.now))
        self.core.ring(("leg", conn.id), leg.until)

    def _on_opened(self, event: fx.Opened) -> None:
        if (conn := self.state.conns.get(event.conn)) is None:
            return
        host = self.state.hosts.get(conn.host)
        if conn.probe_at:
            self._ask(conn)
        elif conn.leg is not None:
            # The list, or the operators' mind, may have changed while the connection came up, and a drain
            # counts from the first byte.
            if host is None or not host.takes() or host.endpoint != conn.endpoint:
                leg = conn.leg
                self.hang_up(conn)
                self.outcome(leg, api.Reason.CONNECT_FAILED)
            else:
                self._transmit(conn, conn.leg)

    def _on_written(self, event: fx.Written) -> None:
        if (conn := self.state.conns.get(event.conn)) is not None and conn.leg is not None:
            conn.leg.written = True
            self.core.tally("forwards")
            if not conn.heard:
                self.core.ring(("mute", conn.id), self.core.now + MUTE)

    def _on_unsent(self, event: fx.Unsent) -> None:
        """Guards a client that has gone while its end is still unread, in a burst of others, say: the module
        hears of that before it hears of the leg, or it would send the job elsewhere."""
        if (conn := self.state.conns.get(event.conn)) is None or (leg := conn.leg) is None:
            return
        conn.leg = None
        if event.ended:
            self.hang_up(conn)
            self._carry_on(conn, leg, api.Reason.CONNECT_FAILED)
            return
        self.clients.leave(leg.authorisation)
        self._rest(conn)
        self.outcome(leg, api.Reason.NOT_EXECUTED)

    def _carry_on(self, conn: Conn, leg: Leg, reason: api.Reason) -> None:
        """A kept connection had ended before it could carry the leg: that says nothing of its host, and as
        nothing was sent wholly this is the same leg on another connection."""
        host = self.state.hosts.get(conn.host)
        ours = host is not None and host.takes() and leg.authorisation.open
        if conn.kept and not leg.written and ours and host is not None and self.core.now < leg.until:
            self._carry(leg, host)
        else:
            self.outcome(leg, reason if leg.written else api.Reason.CONNECT_FAILED)

    def _on_heard(self, event: fx.Heard) -> None:
        if (conn := self.state.conns.get(event.conn)) is not None:
            conn.heard = True
            self.core.quiet(("mute", conn.id))

    def _ring_mute(self, number: int) -> None:
        conn = self.state.conns.get(number)
        if conn is not None and conn.leg is not None and not conn.heard:
            self.core.count("mute")
            self._distrust(conn)
            leg = conn.leg
            self.core.tell(
                api.AttemptUpdate(leg.authorisation.id, leg.number, leg.host, api.UpdateKind.UNACKNOWLEDGED)
            )

    def _distrust(self, conn: Conn) -> None:
        """Guards legs against connections that died unseen while they were kept: nothing tells so before the
        next leg is written, and then its job may have run. Where one did, more will: for a while each leg
        gets a connection of its own."""
        state = self.state
        if not conn.kept or conn.heard:
            return  # not a kept one, or it lived
        if self.core.now >= state.distrust_until:
            self.core.ask(fx.Say(f"kept connections fail: none is used for {DISTRUST // SECOND} s"))
            for kept in list(state.idle):
                self.hang_up(state.conns[kept])
        self.core.count("kept failed")
        state.distrust_until = self.core.now + DISTRUST

    def _on_noted(self, event: fx.Noted) -> None:
        conn = self.state.conns.get(event.conn)
        if conn is not None and (leg := conn.leg) is not None:
            self.core.tell(
                api.AttemptUpdate(leg.authorisation.id, leg.number, leg.host, event.kind, event.share)
            )

    def _on_concluded(self, event: fx.Concluded) -> None:
        conn = self.state.conns.get(event.conn)
        if conn is None or conn.phase is not Phase.BUSY:
            return
        conn.phase = Phase.ENDING
        self.core.ring(("leg", conn.id), self.core.now + ENDING)
        if (leg := conn.leg) is not None:
            conn.leg = None
            auth = leg.authorisation
            if event.reason is api.Reason.OK and auth.open:
                del auth.out[leg.number]
                self.clients.answer(auth, fx.Verdict.SERVED, event.result)
            elif event.invalid and auth.open:
                # Guards the hosts: what one of them finds unusable is so for all, and further legs would only
                # hold their slots. It is the host's verdict, passed on as a result is, and no failure of it.
                del auth.out[leg.number]
                self.clients.answer(auth, fx.Verdict.INVALID)
            self.outcome(leg, api.Reason.NOT_EXECUTED if event.invalid else event.reason, event.report)
        else:
            if event.free:  # before the module hears: the leg that follows a look goes on its connection
                self._rest(conn)
            self._probed(conn, event.reason, event.report)

    def outcome(self, leg: Leg, reason: api.Reason, report: tuple[float, ...] = ()) -> None:
        auth = leg.authorisation
        auth.out.pop(leg.number, None)
        if reason not in NOT_EXECUTED_REASONS and not auth.ran_at:
            auth.ran_at = leg.made
        self.core.count(f"leg {reason.value}")
        self.core.tell(
            api.AttemptOutcome(
                auth.id, leg.number, leg.host, reason, self.core.now - leg.made, not auth.open, report
            )
        )
        self.clients.forget(auth)

    def _on_freed(self, event: fx.Freed) -> None:
        conn = self.state.conns.get(event.conn)
        if conn is not None and conn.phase is Phase.ENDING:
            self._rest(conn)

    def _rest(self, conn: Conn) -> None:
        host = self.state.hosts.get(conn.host)
        if host is None or not host.takes() or host.endpoint != conn.endpoint:
            self.hang_up(conn)
            return
        if self.core.now < self.state.distrust_until:
            self.hang_up(conn)
            return
        conn.phase, conn.kept = Phase.IDLE, True
        host.idle.append(conn.id)
        self.state.idle[conn.id] = None
        self.core.quiet(("leg", conn.id))
        self.core.ring(("idle", conn.id), self.core.now + self.conn_idle)

    def _on_broken(self, event: fx.Broken) -> None:
        if (conn := self.state.conns.get(event.conn)) is not None:
            self.hang_up(conn)
            self._give_up(conn, api.Reason.RESET)

    def _ring_leg(self, number: int) -> None:
        if (conn := self.state.conns.get(number)) is not None:
            self.hang_up(conn)
            self._give_up(conn, api.Reason.TIMEOUT)

    def _give_up(self, conn: Conn, reason: api.Reason) -> None:
        """What a connection carried ends with it; before its last byte was written it never ran."""
        host = self.state.hosts.get(conn.host)
        if conn.leg is not None:
            self._distrust(conn)
            self._carry_on(conn, conn.leg, reason)
        elif (
            conn.probe_at and conn.kept and not conn.heard and host is not None and reason is api.Reason.RESET
        ):
            self._probe(host, conn.probe_at)  # the connection had ended, which says nothing of its host
        elif conn.probe_at and conn.phase in (Phase.DIALLING, Phase.BUSY):
            self._probed(conn, reason if conn.phase is Phase.BUSY else api.Reason.CONNECT_FAILED)

    def _ring_idle(self, number: int) -> None:
        if (conn := self.state.conns.get(number)) is not None and conn.phase is Phase.IDLE:
            self.hang_up(conn)

    def hang_up(self, conn: Conn) -> None:
        state = self.state
        state.conns.pop(conn.id, None)
        if conn.id in state.idle:
            del state.idle[conn.id]
            if (host := state.hosts.get(conn.host)) is not None:
                host.idle.remove(conn.id)
        self.core.quiet(("leg", conn.id))
        self.core.quiet(("idle", conn.id))
        self.core.quiet(("mute", conn.id))
        self.core.ask(fx.Hangup(conn.id))

    def cancel(self, action: api.Cancel) -> None:
        auth = self.state.authorisations.get(action.id)
        leg = auth.out.get(action.attempt) if auth else None
        if leg is not None:
            self.hang_up(self.state.conns[leg.conn])
            self.outcome(leg, api.Reason.CANCELLED)

    def probe(self, action: api.Probe) -> None:
        host = self.state.hosts.get(action.worker)
        self.core.count("probes")
        if host is None:
            self.core.tell(api.ProbeResult(action.worker, api.Reason.NOT_EXECUTED, 0))
        else:
            self._probe(host, self.core.now)

    def _probe(self, host: Host, asked: int) -> None:
        """On a kept connection where there is one: a handshake costs its host more than the probe."""
        conn = self._kept(host) or self._dial(host)
        if conn is None:
            self.core.tell(api.ProbeResult(host.uid, api.Reason.NOT_EXECUTED, 0))
            return
        conn.probe_at = asked
        if conn.phase is Phase.IDLE:
            self._ask(conn)
        else:
            wait = self.core.settings.limits.connect_timeout or SECOND
            self.core.ring(("leg", conn.id), self.core.now + wait)

    def _ask(self, conn: Conn) -> None:
        conn.phase, conn.heard = Phase.BUSY, False
        self.core.ask(fx.Ask(conn.id))
        self.core.ring(("leg", conn.id), self.core.now + PROBE_WAIT)

    def _probed(self, conn: Conn, reason: api.Reason, report: tuple[float, ...] = ()) -> None:
        self.core.tell(api.ProbeResult(conn.host, reason, self.core.now - conn.probe_at, report))
        conn.probe_at = 0
