"""Legs and probes, and the connections to issuer hosts that carry them."""

from __future__ import annotations

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.clients import Clients
from reedspoke.net.core import MS, SECOND, SPARE_LEGS
from reedspoke.net.state import Conn, Host, Leg, Phase

IDLE_MOST = 300 * SECOND  # that a connection is kept where the settings do not say
IDLE_SHARE = 0.75  # of `conn_idle`: a leg written as its host closes the connection would end as a reset
ENDING = SECOND  # how long the rest of an answer may take behind its outcome
PROBE_WAIT = 500 * MS
MUTE = 300 * MS  # a host that lives begins to answer at once, also what it queues; it may pause for 170 ms
DISTRUST = 60 * SECOND  # for kept connections, since the last one that failed


class Legs(Clients):
    conn_idle = IDLE_MOST

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
        # More clients than the budget has stay in service where another process has come to share it.
        most = self.budget.legs
        if state.partners:
            most = max(most, len(state.clients) + SPARE_LEGS)
        if len(state.conns) >= most and state.idle:
            self._hang_up(state.conns[next(iter(state.idle))])
        if len(state.conns) >= most:
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
            # The list, or the operators' mind, may have changed while the connection came up, and a drain
            # counts from the first byte.
            if host is None or not host.takes() or host.endpoint != conn.endpoint:
                leg = conn.leg
                self._hang_up(conn)
                self._outcome(leg, api.Reason.CONNECT_FAILED)
            else:
                self._transmit(conn, conn.leg)

    def _on_written(self, event: fx.Written) -> None:
        if (conn := self.state.conns.get(event.conn)) is not None and conn.leg is not None:
            conn.leg.written = True
            self._tally("forwards")
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
        if host is None or not host.takes() or host.endpoint != conn.endpoint:
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
            ours = host is not None and host.takes() and leg.authorisation.open
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
