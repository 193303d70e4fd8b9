"""Attempts and probes, and the connections to workers that carry them.

A connection goes CONNECTING -> BUSY (WorkerConnected) -> RESPONSE_ENDING (OutcomeReceived) -> IDLE
(ResponseCompleted) -> BUSY ..., and is removed by `disconnect` in any phase; later events of a removed
connection have no effect. An attempt has exactly one outcome: `OutcomeReceived` in BUSY, or before that
`WorkerDisconnected` or its timer. `AttemptWritten` decides what the outcome means: before it the job never
ran; after it the job may have run, and only the decision module may retry it.
"""

from __future__ import annotations

from reedspoke import interface as api
from reedspoke.logic import NOT_EXECUTED_REASONS
from reedspoke.net import effects as fx
from reedspoke.net.clients import Clients
from reedspoke.net.core import MS, SECOND, SPARE_ATTEMPTS, Component, Core, EventHandlers, TimerHandlers
from reedspoke.net.state import Attempt, ConnectionPhase, Worker, WorkerConnection

DEFAULT_IDLE_TIMEOUT = 300 * SECOND  # of an idle connection, if the settings give none
IDLE_SHARE = 0.75  # of `conn_idle`: an attempt written as the worker closes the connection ends as a reset
RESPONSE_END_TIMEOUT = SECOND  # for the rest of a response after its outcome
PROBE_TIMEOUT = 500 * MS
ACKNOWLEDGE_TIMEOUT = (
    300 * MS
)  # a healthy worker responds at once, even to jobs that it queues, but may pause for 170 ms
NO_REUSE_PERIOD = 60 * SECOND  # without reuse of idle connections, after the last one that failed


class Attempts(Component):
    """Attempts, probes and worker connections."""

    def __init__(self, core: Core, clients: Clients, conn_idle: int = 0) -> None:
        super().__init__(core)
        self.clients = clients
        self.conn_idle = int(conn_idle * IDLE_SHARE) or DEFAULT_IDLE_TIMEOUT
        self.dedup_windows = {  # us in which a keyed job that may have run may be retried
            cls.name: cls.dedup_window
            for cls in core.settings.classes
            if cls.idempotency is api.Idempotency.KEYED
        }

    def event_handlers(self) -> EventHandlers:
        """Return the handlers of its events."""
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
        """Return the handlers of its timers."""
        return {
            "attempt": self._on_attempt_timer,
            "idle": self._on_idle_timer,
            "acknowledge": self._on_acknowledge_timer,
        }

    def send(self, action: api.Send) -> None:
        """Start an attempt that the decision module requests."""
        request, worker = self.state.requests.get(action.id), self.state.workers.get(action.worker)
        if request is None:
            self.core.log_fault("decision module: sends an unknown request")
            return
        until = (
            min(request.deadline, self.core.now + action.timeout) if action.timeout > 0 else request.deadline
        )
        attempt = Attempt(request, request.attempts, action.worker, self.core.now, until)
        if request.first_run_at and self.dedup_windows.get(request.cls):
            attempt.start_before = request.first_run_at + self.dedup_windows[request.cls]
        request.attempts += 1
        request.in_flight[attempt.number] = attempt
        self.core.count("legs")
        if worker is None or not request.open:
            self.core.log_fault("decision module: sends to an unlisted worker, or an answered request")
            self.outcome(attempt, api.Reason.NOT_EXECUTED)
        else:
            self._assign_connection(attempt, worker)

    def _assign_connection(self, attempt: Attempt, worker: Worker) -> None:
        if (conn := self._take_idle(worker)) is not None:
            conn.attempt, attempt.conn = attempt, conn.id
            self._write_attempt(conn, attempt)
        elif (connecting := self._connect(worker)) is not None:
            connecting.attempt, attempt.conn = attempt, connecting.id
            wait = self.core.settings.limits.connect_timeout or SECOND
            self.core.set_timer(("attempt", connecting.id), min(attempt.wait_until, self.core.now + wait))
        else:
            self.outcome(attempt, api.Reason.CONNECT_FAILED)

    def _take_idle(self, worker: Worker) -> WorkerConnection | None:
        """Take the most recently used idle connection, which is farthest from its idle time-out."""
        if not worker.idle:
            return None
        conn = self.state.connections[worker.idle.pop()]
        del self.state.idle_connections[conn.id]
        self.core.cancel_timer(("idle", conn.id))
        return conn

    def _connect(self, worker: Worker) -> WorkerConnection | None:
        """Open a connection; at the limit, the longest idle connection is closed to make room."""
        state = self.state
        # Clients beyond a budget that a sibling process has reduced stay in service.
        most = self.core.budget.attempts
        if state.siblings:
            most = max(most, len(state.clients) + SPARE_ATTEMPTS)
        if len(state.connections) >= most and state.idle_connections:
            self.disconnect(state.connections[next(iter(state.idle_connections))])
        elif len(state.connections) >= most:
            # Some workers never end their responses: the outcome is known, so the connection can be closed
            # when its descriptor is needed.
            ending = (
                conn for conn in state.connections.values() if conn.phase is ConnectionPhase.RESPONSE_ENDING
            )
            if (rest := next(ending, None)) is not None:
                self.disconnect(rest)
        if len(state.connections) >= most:
            self.core.log_fault("no descriptor is left for an attempt")
            return None
        conn = WorkerConnection(state.next_id(), worker.uid, worker.endpoint)
        state.connections[conn.id] = conn
        self.core.count("dials")
        self.core.record_maximum("conns", len(state.connections))
        self.core.request_effect(fx.ConnectWorker(conn.id, conn.endpoint))
        return conn

    def _write_attempt(self, conn: WorkerConnection, attempt: Attempt) -> None:
        request = attempt.request
        if not request.open or attempt.start_before and self.core.now >= attempt.start_before:
            # The client has disconnected or has its response, and the settings forbid the module to cancel
            # the attempt; or the deduplication window of a keyed job ended while the connection was being
            # established: workers forget the key with it, and the job would run again.
            conn.attempt = None
            self._release(conn)
            self.outcome(attempt, api.Reason.NOT_EXECUTED)
            return
        conn.phase, conn.responding = ConnectionPhase.BUSY, False
        self.core.request_effect(
            fx.SendAttempt(conn.id, request.client, request.message, attempt.wait_until - self.core.now)
        )
        self.core.set_timer(("attempt", conn.id), attempt.wait_until)

    def _on_worker_connected(self, event: fx.WorkerConnected) -> None:
        if (conn := self.state.connections.get(event.conn)) is None:
            return
        worker = self.state.workers.get(conn.worker_id)
        if conn.probe_requested_at:
            self._send_probe(conn)
        elif conn.attempt is not None:
            # The list or a suspension may have changed while the connection was being established, and the
            # first byte decides whether a drain was obeyed.
            if worker is None or not worker.accepts_attempts() or worker.endpoint != conn.endpoint:
                attempt = conn.attempt
                self.disconnect(conn)
                self.outcome(attempt, api.Reason.CONNECT_FAILED)
            else:
                self._write_attempt(conn, conn.attempt)

    def _on_attempt_written(self, event: fx.AttemptWritten) -> None:
        if (conn := self.state.connections.get(event.conn)) is not None and conn.attempt is not None:
            conn.attempt.written = True
            self.core.count_metric("forwards")
            if not conn.responding:
                self.core.set_timer(("acknowledge", conn.id), self.core.now + ACKNOWLEDGE_TIMEOUT)

    def _on_attempt_not_sent(self, event: fx.AttemptNotSent) -> None:
        """Report the client's disconnect before the outcome of its attempt.

        The disconnect may still be unread, for example in a burst of events. In the other order the decision
        module would retry the job at another worker."""
        if (conn := self.state.connections.get(event.conn)) is None or (attempt := conn.attempt) is None:
            return
        conn.attempt = None
        if event.ended:
            self.disconnect(conn)
            self._retry_unwritten(conn, attempt, api.Reason.CONNECT_FAILED)
            return
        self.clients.abandon(attempt.request)
        self._release(conn)
        self.outcome(attempt, api.Reason.NOT_EXECUTED)

    def _retry_unwritten(self, conn: WorkerConnection, attempt: Attempt, reason: api.Reason) -> None:
        """Retry on another connection if an idle connection had closed before the attempt was fully written.

        That says nothing about the worker, and the job cannot have run, so this is the same attempt."""
        worker = self.state.workers.get(conn.worker_id)
        ours = worker is not None and worker.accepts_attempts() and attempt.request.open
        if (
            conn.reused
            and not attempt.written
            and ours
            and worker is not None
            and self.core.now < attempt.wait_until
        ):
            self._assign_connection(attempt, worker)
        else:
            self.outcome(attempt, reason if attempt.written else api.Reason.CONNECT_FAILED)

    def _on_response_started(self, event: fx.ResponseStarted) -> None:
        if (conn := self.state.connections.get(event.conn)) is not None:
            conn.responding = True
            self.core.cancel_timer(("acknowledge", conn.id))

    def _on_acknowledge_timer(self, number: int) -> None:
        conn = self.state.connections.get(number)
        if conn is not None and conn.attempt is not None and not conn.responding:
            self.core.count("mute")
            self._suspend_reuse(conn)
            attempt = conn.attempt
            self.core.notify_module(
                api.AttemptUpdate(
                    attempt.request.id, attempt.number, attempt.worker_id, api.UpdateKind.UNACKNOWLEDGED
                )
            )

    def _suspend_reuse(self, conn: WorkerConnection) -> None:
        """Stop the reuse of idle connections for a while after one failed.

        A connection that failed while idle is noticed only after the next attempt is written, when its job
        may have run. If one failed, others probably did, so attempts get new connections for a while."""
        state = self.state
        if not conn.reused or conn.responding:
            return  # it was not reused, or it worked
        if self.core.now >= state.no_reuse_until:
            self.core.request_effect(
                fx.WriteLog(f"idle connections fail: none is reused for {NO_REUSE_PERIOD // SECOND} s")
            )
            for number in list(state.idle_connections):
                self.disconnect(state.connections[number])
        self.core.count("kept failed")
        state.no_reuse_until = self.core.now + NO_REUSE_PERIOD

    def _on_attempt_progress(self, event: fx.AttemptProgress) -> None:
        conn = self.state.connections.get(event.conn)
        if conn is not None and (attempt := conn.attempt) is not None:
            self.core.notify_module(
                api.AttemptUpdate(
                    attempt.request.id, attempt.number, attempt.worker_id, event.kind, event.share
                )
            )

    def _on_outcome_received(self, event: fx.OutcomeReceived) -> None:
        conn = self.state.connections.get(event.conn)
        if conn is None or conn.phase is not ConnectionPhase.BUSY:
            return
        conn.phase = ConnectionPhase.RESPONSE_ENDING
        self.core.set_timer(("attempt", conn.id), self.core.now + RESPONSE_END_TIMEOUT)
        if (attempt := conn.attempt) is not None:
            conn.attempt = None
            request = attempt.request
            if event.reason is api.Reason.OK and request.open:
                del request.in_flight[attempt.number]
                self.clients.answer(request, fx.Outcome.SERVED, event.result)
            elif event.invalid and request.open:
                # What one worker rejects as invalid is invalid for all; further attempts would only occupy
                # slots. The outcome is passed on like a result, and is not a failure of the worker.
                del request.in_flight[attempt.number]
                self.clients.answer(request, fx.Outcome.INVALID)
            self.outcome(attempt, api.Reason.NOT_EXECUTED if event.invalid else event.reason, event.report)
        else:
            if event.reusable:  # release it first, so that the attempt after a probe reuses the connection
                self._release(conn)
            self._report_probe(conn, event.reason, event.report)

    def outcome(self, attempt: Attempt, reason: api.Reason, report: tuple[float, ...] = ()) -> None:
        """Report the only outcome of an attempt to the decision module."""
        request = attempt.request
        request.in_flight.pop(attempt.number, None)
        if reason not in NOT_EXECUTED_REASONS and not request.first_run_at:
            request.first_run_at = attempt.created_at
        self.core.count(f"leg {reason.value}")
        self.core.notify_module(
            api.AttemptOutcome(
                request.id,
                attempt.number,
                attempt.worker_id,
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
            self._release(conn)

    def _release(self, conn: WorkerConnection) -> None:
        worker = self.state.workers.get(conn.worker_id)
        if worker is None or not worker.accepts_attempts() or worker.endpoint != conn.endpoint:
            self.disconnect(conn)
            return
        if self.core.now < self.state.no_reuse_until:
            self.disconnect(conn)
            return
        conn.phase, conn.reused = ConnectionPhase.IDLE, True
        worker.idle.append(conn.id)
        self.state.idle_connections[conn.id] = None
        self.core.cancel_timer(("attempt", conn.id))
        self.core.set_timer(("idle", conn.id), self.core.now + self.conn_idle)

    def _on_worker_disconnected(self, event: fx.WorkerDisconnected) -> None:
        if (conn := self.state.connections.get(event.conn)) is not None:
            self.disconnect(conn)
            self._on_connection_lost(conn, api.Reason.RESET)

    def _on_attempt_timer(self, number: int) -> None:
        if (conn := self.state.connections.get(number)) is not None:
            self.disconnect(conn)
            self._on_connection_lost(conn, api.Reason.TIMEOUT)

    def _on_connection_lost(self, conn: WorkerConnection, reason: api.Reason) -> None:
        """End the attempt or probe of a closed connection; an attempt not fully written never ran."""
        worker = self.state.workers.get(conn.worker_id)
        if conn.attempt is not None:
            self._suspend_reuse(conn)
            self._retry_unwritten(conn, conn.attempt, reason)
        elif (
            conn.probe_requested_at
            and conn.reused
            and not conn.responding
            and worker is not None
            and reason is api.Reason.RESET
        ):
            self._probe(
                worker, conn.probe_requested_at
            )  # an idle connection had closed, which says nothing about the worker
        elif conn.probe_requested_at and conn.phase in (ConnectionPhase.CONNECTING, ConnectionPhase.BUSY):
            self._report_probe(
                conn, reason if conn.phase is ConnectionPhase.BUSY else api.Reason.CONNECT_FAILED
            )

    def _on_idle_timer(self, number: int) -> None:
        if (conn := self.state.connections.get(number)) is not None and conn.phase is ConnectionPhase.IDLE:
            self.disconnect(conn)

    def disconnect(self, conn: WorkerConnection) -> None:
        """Close a connection and remove it; its later events have no effect."""
        state = self.state
        state.connections.pop(conn.id, None)
        if conn.id in state.idle_connections:
            del state.idle_connections[conn.id]
            if (worker := state.workers.get(conn.worker_id)) is not None:
                worker.idle.remove(conn.id)
        self.core.cancel_timer(("attempt", conn.id))
        self.core.cancel_timer(("idle", conn.id))
        self.core.cancel_timer(("acknowledge", conn.id))
        self.core.request_effect(fx.DisconnectWorker(conn.id))

    def cancel(self, action: api.Cancel) -> None:
        """Cancel an attempt in flight by closing its connection."""
        request = self.state.requests.get(action.id)
        attempt = request.in_flight.get(action.attempt) if request else None
        if attempt is not None:
            self.disconnect(self.state.connections[attempt.conn])
            self.outcome(attempt, api.Reason.CANCELLED)

    def probe(self, action: api.Probe) -> None:
        """Probe a worker for the decision module."""
        worker = self.state.workers.get(action.worker)
        self.core.count("probes")
        if worker is None:
            self.core.notify_module(api.ProbeResult(action.worker, api.Reason.NOT_EXECUTED, 0))
        else:
            self._probe(worker, self.core.now)

    def _probe(self, worker: Worker, asked: int) -> None:
        """Probe on an idle connection if possible: a new connection costs the worker more than the probe."""
        conn = self._take_idle(worker) or self._connect(worker)
        if conn is None:
            self.core.notify_module(api.ProbeResult(worker.uid, api.Reason.NOT_EXECUTED, 0))
            return
        conn.probe_requested_at = asked
        if conn.phase is ConnectionPhase.IDLE:
            self._send_probe(conn)
        else:
            wait = self.core.settings.limits.connect_timeout or SECOND
            self.core.set_timer(("attempt", conn.id), self.core.now + wait)

    def _send_probe(self, conn: WorkerConnection) -> None:
        conn.phase, conn.responding = ConnectionPhase.BUSY, False
        self.core.request_effect(fx.SendProbe(conn.id))
        self.core.set_timer(("attempt", conn.id), self.core.now + PROBE_TIMEOUT)

    def _report_probe(
        self, conn: WorkerConnection, reason: api.Reason, report: tuple[float, ...] = ()
    ) -> None:
        self.core.notify_module(
            api.ProbeResult(conn.worker_id, reason, self.core.now - conn.probe_requested_at, report)
        )
        conn.probe_requested_at = 0
