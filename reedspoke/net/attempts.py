"""Attempts and probes, and the connections to issuer hosts that carry them.

A connection goes CONNECTING -> BUSY (WorkerConnected) -> RESPONSE_ENDING (OutcomeReceived)
-> IDLE (ResponseCompleted) -> BUSY ..., and is
forgotten by `hang_up` from any of them; events of one that is forgotten change nothing. A leg has exactly
one outcome: `Concluded` in BUSY, `Broken` or its timer before that. `Written` decides what the outcome
says: before it the job never ran, after it the job may have run and only the module may repeat it.
"""

from __future__ import annotations

from reedspoke import interface as api
from reedspoke.logic import NOT_EXECUTED_REASONS
from reedspoke.net import effects as fx
from reedspoke.net.clients import Clients
from reedspoke.net.core import MS, SECOND, SPARE_ATTEMPTS, Component, Core, EventHandlers, TimerHandlers
from reedspoke.net.state import Attempt, ConnectionPhase, Worker, WorkerConnection

DEFAULT_IDLE_TIMEOUT = 300 * SECOND  # that a connection is kept where the settings do not say
IDLE_SHARE = 0.75  # of `conn_idle`: a leg written as its host closes the connection would end as a reset
RESPONSE_END_TIMEOUT = SECOND  # how long the rest of an answer may take behind its outcome
PROBE_TIMEOUT = 500 * MS
ACKNOWLEDGE_TIMEOUT = (
    300 * MS
)  # a host that lives begins to answer at once, also what it queues; it may pause for 170 ms
NO_REUSE_PERIOD = 60 * SECOND  # for kept connections, since the last one that failed


class Attempts(Component):
    def __init__(self, core: Core, clients: Clients, conn_idle: int = 0) -> None:
        super().__init__(core)
        self.clients = clients
        self.conn_idle = int(conn_idle * IDLE_SHARE) or DEFAULT_IDLE_TIMEOUT
        self.windows = {  # us from a leg that may have run to the last that may follow
            cls.name: cls.dedup_window
            for cls in core.settings.classes
            if cls.idempotency is api.Idempotency.KEYED
        }

    def event_handlers(self) -> EventHandlers:
        return {
            fx.WorkerConnected: self._on_worker_connected,
            fx.AttemptWritten: self._on_attempt_written,
            fx.AttemptNotSent: self._on_attempt_not_sent,
            fx.ResponseStarted: self._on_response_started,
            fx.AttemptProgress: self._on_attempt_progress,
            fx.OutcomeReceived: self._on_outcome_received,
            fx.ResponseCompleted: self._on_response_completed,
            fx.WorkerDisconnected: self._on_worker_disconnected,
        }

    def timer_handlers(self) -> TimerHandlers:
        return {"leg": self._on_leg_timer, "idle": self._on_idle_timer, "mute": self._on_mute_timer}

    def send(self, action: api.Send) -> None:
        request, host = self.state.requests.get(action.id), self.state.workers.get(action.worker)
        if request is None:
            self.core.log_fault("the module sends an authorisation that is not known")
            return
        until = (
            min(request.deadline, self.core.now + action.timeout) if action.timeout > 0 else request.deadline
        )
        attempt = Attempt(request, request.attempts, action.worker, self.core.now, until)
        if request.first_run_at and self.windows.get(request.cls):
            attempt.start_before = request.first_run_at + self.windows[request.cls]
        request.attempts += 1
        request.in_flight[attempt.number] = attempt
        self.core.count("legs")
        if host is None or not request.open:
            self.core.log_fault("the module sends to a host that is not listed, or what has its answer")
            self.outcome(attempt, api.Reason.NOT_EXECUTED)
        else:
            self._carry(attempt, host)

    def _carry(self, attempt: Attempt, host: Worker) -> None:
        if (conn := self._kept(host)) is not None:
            conn.attempt, attempt.conn = attempt, conn.id
            self._transmit(conn, attempt)
        elif (dialled := self._dial(host)) is not None:
            dialled.attempt, attempt.conn = attempt, dialled.id
            wait = self.core.settings.limits.connect_timeout or SECOND
            self.core.set_timer(("leg", dialled.id), min(attempt.wait_until, self.core.now + wait))
        else:
            self.outcome(attempt, api.Reason.CONNECT_FAILED)

    def _kept(self, host: Worker) -> WorkerConnection | None:
        """One that is idle, no more to be counted so: the latest used, farthest from its end."""
        if not host.idle:
            return None
        conn = self.state.connections[host.idle.pop()]
        del self.state.idle_connections[conn.id]
        self.core.cancel_timer(("idle", conn.id))
        return conn

    def _dial(self, host: Worker) -> WorkerConnection | None:
        """A new connection, at an idle one's cost where the budget is full."""
        state = self.state
        # More clients than the budget has stay in service where another process has come to share it.
        most = self.core.budget.attempts
        if state.siblings:
            most = max(most, len(state.clients) + SPARE_ATTEMPTS)
        if len(state.connections) >= most and state.idle_connections:
            self.hang_up(state.connections[next(iter(state.idle_connections))])
        elif len(state.connections) >= most:
            # Guards legs against hosts that never end their answers: the outcome is known, the rest is not
            # waited for where its place is needed.
            ending = (
                conn for conn in state.connections.values() if conn.phase is ConnectionPhase.RESPONSE_ENDING
            )
            if (rest := next(ending, None)) is not None:
                self.hang_up(rest)
        if len(state.connections) >= most:
            self.core.log_fault("no descriptor is left for a leg")
            return None
        conn = WorkerConnection(state.next_id(), host.uid, host.endpoint)
        state.connections[conn.id] = conn
        self.core.count("dials")
        self.core.record_maximum("conns", len(state.connections))
        self.core.request_effect(fx.ConnectWorker(conn.id, conn.endpoint))
        return conn

    def _transmit(self, conn: WorkerConnection, attempt: Attempt) -> None:
        request = attempt.request
        if not request.open or attempt.start_before and self.core.now >= attempt.start_before:
            # Guards hosts: its client has gone or has its answer, and the settings forbid the module to call
            # the leg off; or a keyed job's window ended while its connection came up: hosts forget its key
            # with it, and it would run once more.
            conn.attempt = None
            self._rest(conn)
            self.outcome(attempt, api.Reason.NOT_EXECUTED)
            return
        conn.phase, conn.responding = ConnectionPhase.BUSY, False
        self.core.request_effect(
            fx.SendAttempt(conn.id, request.client, request.message, attempt.wait_until - self.core.now)
        )
        self.core.set_timer(("leg", conn.id), attempt.wait_until)

    def _on_worker_connected(self, event: fx.WorkerConnected) -> None:
        if (conn := self.state.connections.get(event.conn)) is None:
            return
        host = self.state.workers.get(conn.host)
        if conn.probe_requested_at:
            self._ask(conn)
        elif conn.attempt is not None:
            # The list, or the operators' mind, may have changed while the connection came up, and a drain
            # counts from the first byte.
            if host is None or not host.accepts_attempts() or host.endpoint != conn.endpoint:
                attempt = conn.attempt
                self.hang_up(conn)
                self.outcome(attempt, api.Reason.CONNECT_FAILED)
            else:
                self._transmit(conn, conn.attempt)

    def _on_attempt_written(self, event: fx.AttemptWritten) -> None:
        if (conn := self.state.connections.get(event.conn)) is not None and conn.attempt is not None:
            conn.attempt.written = True
            self.core.count_metric("forwards")
            if not conn.responding:
                self.core.set_timer(("mute", conn.id), self.core.now + ACKNOWLEDGE_TIMEOUT)

    def _on_attempt_not_sent(self, event: fx.AttemptNotSent) -> None:
        """Guards a client that has gone while its end is still unread, in a burst of others, say: the module
        hears of that before it hears of the attempt, or it would send the job elsewhere."""
        if (conn := self.state.connections.get(event.conn)) is None or (attempt := conn.attempt) is None:
            return
        conn.attempt = None
        if event.ended:
            self.hang_up(conn)
            self._carry_on(conn, attempt, api.Reason.CONNECT_FAILED)
            return
        self.clients.abandon(attempt.request)
        self._rest(conn)
        self.outcome(attempt, api.Reason.NOT_EXECUTED)

    def _carry_on(self, conn: WorkerConnection, attempt: Attempt, reason: api.Reason) -> None:
        """A kept connection had ended before it could carry the attempt: that says nothing of its
        host, and as nothing was sent wholly this is the same attempt on another connection."""
        host = self.state.workers.get(conn.host)
        ours = host is not None and host.accepts_attempts() and attempt.request.open
        if (
            conn.reused
            and not attempt.written
            and ours
            and host is not None
            and self.core.now < attempt.wait_until
        ):
            self._carry(attempt, host)
        else:
            self.outcome(attempt, reason if attempt.written else api.Reason.CONNECT_FAILED)

    def _on_response_started(self, event: fx.ResponseStarted) -> None:
        if (conn := self.state.connections.get(event.conn)) is not None:
            conn.responding = True
            self.core.cancel_timer(("mute", conn.id))

    def _on_mute_timer(self, number: int) -> None:
        conn = self.state.connections.get(number)
        if conn is not None and conn.attempt is not None and not conn.responding:
            self.core.count("mute")
            self._distrust(conn)
            attempt = conn.attempt
            self.core.notify_module(
                api.AttemptUpdate(
                    attempt.request.id, attempt.number, attempt.host, api.UpdateKind.UNACKNOWLEDGED
                )
            )

    def _distrust(self, conn: WorkerConnection) -> None:
        """Guards legs against connections that died unseen while they were kept: nothing tells so before the
        next attempt is written, and then its job may have run. Where one did, more will: for a while each leg
        gets a connection of its own."""
        state = self.state
        if not conn.reused or conn.responding:
            return  # not a kept one, or it lived
        if self.core.now >= state.no_reuse_until:
            self.core.request_effect(
                fx.WriteLog(f"kept connections fail: none is used for {NO_REUSE_PERIOD // SECOND} s")
            )
            for kept in list(state.idle_connections):
                self.hang_up(state.connections[kept])
        self.core.count("kept failed")
        state.no_reuse_until = self.core.now + NO_REUSE_PERIOD

    def _on_attempt_progress(self, event: fx.AttemptProgress) -> None:
        conn = self.state.connections.get(event.conn)
        if conn is not None and (attempt := conn.attempt) is not None:
            self.core.notify_module(
                api.AttemptUpdate(attempt.request.id, attempt.number, attempt.host, event.kind, event.share)
            )

    def _on_outcome_received(self, event: fx.OutcomeReceived) -> None:
        conn = self.state.connections.get(event.conn)
        if conn is None or conn.phase is not ConnectionPhase.BUSY:
            return
        conn.phase = ConnectionPhase.RESPONSE_ENDING
        self.core.set_timer(("leg", conn.id), self.core.now + RESPONSE_END_TIMEOUT)
        if (attempt := conn.attempt) is not None:
            conn.attempt = None
            request = attempt.request
            if event.reason is api.Reason.OK and request.open:
                del request.in_flight[attempt.number]
                self.clients.answer(request, fx.Outcome.SERVED, event.result)
            elif event.invalid and request.open:
                # Guards the hosts: what one of them finds unusable is so for all, and further legs would only
                # hold their slots. It is the host's outcome, passed on as a result is, and no failure of it.
                del request.in_flight[attempt.number]
                self.clients.answer(request, fx.Outcome.INVALID)
            self.outcome(attempt, api.Reason.NOT_EXECUTED if event.invalid else event.reason, event.report)
        else:
            if event.reusable:  # before the module hears: the leg that follows a look goes on its connection
                self._rest(conn)
            self._probed(conn, event.reason, event.report)

    def outcome(self, attempt: Attempt, reason: api.Reason, report: tuple[float, ...] = ()) -> None:
        request = attempt.request
        request.in_flight.pop(attempt.number, None)
        if reason not in NOT_EXECUTED_REASONS and not request.first_run_at:
            request.first_run_at = attempt.created_at
        self.core.count(f"leg {reason.value}")
        self.core.notify_module(
            api.AttemptOutcome(
                request.id,
                attempt.number,
                attempt.host,
                reason,
                self.core.now - attempt.created_at,
                not request.open,
                report,
            )
        )
        self.clients.forget(request)

    def _on_response_completed(self, event: fx.ResponseCompleted) -> None:
        conn = self.state.connections.get(event.conn)
        if conn is not None and conn.phase is ConnectionPhase.RESPONSE_ENDING:
            self._rest(conn)

    def _rest(self, conn: WorkerConnection) -> None:
        host = self.state.workers.get(conn.host)
        if host is None or not host.accepts_attempts() or host.endpoint != conn.endpoint:
            self.hang_up(conn)
            return
        if self.core.now < self.state.no_reuse_until:
            self.hang_up(conn)
            return
        conn.phase, conn.reused = ConnectionPhase.IDLE, True
        host.idle.append(conn.id)
        self.state.idle_connections[conn.id] = None
        self.core.cancel_timer(("leg", conn.id))
        self.core.set_timer(("idle", conn.id), self.core.now + self.conn_idle)

    def _on_worker_disconnected(self, event: fx.WorkerDisconnected) -> None:
        if (conn := self.state.connections.get(event.conn)) is not None:
            self.hang_up(conn)
            self._give_up(conn, api.Reason.RESET)

    def _on_leg_timer(self, number: int) -> None:
        if (conn := self.state.connections.get(number)) is not None:
            self.hang_up(conn)
            self._give_up(conn, api.Reason.TIMEOUT)

    def _give_up(self, conn: WorkerConnection, reason: api.Reason) -> None:
        """What a connection carried ends with it; before its last byte was written it never ran."""
        host = self.state.workers.get(conn.host)
        if conn.attempt is not None:
            self._distrust(conn)
            self._carry_on(conn, conn.attempt, reason)
        elif (
            conn.probe_requested_at
            and conn.reused
            and not conn.responding
            and host is not None
            and reason is api.Reason.RESET
        ):
            self._probe(
                host, conn.probe_requested_at
            )  # the connection had ended, which says nothing of its host
        elif conn.probe_requested_at and conn.phase in (ConnectionPhase.CONNECTING, ConnectionPhase.BUSY):
            self._probed(conn, reason if conn.phase is ConnectionPhase.BUSY else api.Reason.CONNECT_FAILED)

    def _on_idle_timer(self, number: int) -> None:
        if (conn := self.state.connections.get(number)) is not None and conn.phase is ConnectionPhase.IDLE:
            self.hang_up(conn)

    def hang_up(self, conn: WorkerConnection) -> None:
        state = self.state
        state.connections.pop(conn.id, None)
        if conn.id in state.idle_connections:
            del state.idle_connections[conn.id]
            if (host := state.workers.get(conn.host)) is not None:
                host.idle.remove(conn.id)
        self.core.cancel_timer(("leg", conn.id))
        self.core.cancel_timer(("idle", conn.id))
        self.core.cancel_timer(("mute", conn.id))
        self.core.request_effect(fx.DisconnectWorker(conn.id))

    def cancel(self, action: api.Cancel) -> None:
        request = self.state.requests.get(action.id)
        attempt = request.in_flight.get(action.attempt) if request else None
        if attempt is not None:
            self.hang_up(self.state.connections[attempt.conn])
            self.outcome(attempt, api.Reason.CANCELLED)

    def probe(self, action: api.Probe) -> None:
        host = self.state.workers.get(action.worker)
        self.core.count("probes")
        if host is None:
            self.core.notify_module(api.ProbeResult(action.worker, api.Reason.NOT_EXECUTED, 0))
        else:
            self._probe(host, self.core.now)

    def _probe(self, host: Worker, asked: int) -> None:
        """On a kept connection where there is one: a handshake costs its host more than the probe."""
        conn = self._kept(host) or self._dial(host)
        if conn is None:
            self.core.notify_module(api.ProbeResult(host.uid, api.Reason.NOT_EXECUTED, 0))
            return
        conn.probe_requested_at = asked
        if conn.phase is ConnectionPhase.IDLE:
            self._ask(conn)
        else:
            wait = self.core.settings.limits.connect_timeout or SECOND
            self.core.set_timer(("leg", conn.id), self.core.now + wait)

    def _ask(self, conn: WorkerConnection) -> None:
        conn.phase, conn.responding = ConnectionPhase.BUSY, False
        self.core.request_effect(fx.SendProbe(conn.id))
        self.core.set_timer(("leg", conn.id), self.core.now + PROBE_TIMEOUT)

    def _probed(self, conn: WorkerConnection, reason: api.Reason, report: tuple[float, ...] = ()) -> None:
        self.core.notify_module(
            api.ProbeResult(conn.host, reason, self.core.now - conn.probe_requested_at, report)
        )
        conn.probe_requested_at = 0
