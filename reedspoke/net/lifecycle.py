"""Start, configuration reload and graceful shutdown.

STARTING -> SERVING (ListenerOpened) -> DRAINING (ShutdownRequested) -> LISTENER_CLOSED (0.7 s later: idle
clients are disconnected) -> ENDED (no client is left, or the longest deadline has passed). Only the first
`ShutdownRequested` has an effect. A new configuration is applied in any phase and only moves the watch.
"""

from __future__ import annotations

from reedspoke.net import effects as fx
from reedspoke.net.attempts import Attempts
from reedspoke.net.core import MS, SECOND, Component, Core, EventHandlers, TimerHandlers
from reedspoke.net.state import IdleState, ProcessPhase
from reedspoke.net.workers import Workers

DIRECTORY_WAIT = 3 * SECOND  # for the directory, before a successor process uses its configured list
ACCEPT_AFTER_STOP = 500 * MS  # clients keep connecting for up to 400 ms after SIGTERM
LAST_REQUEST_WAIT = 200 * MS  # for the first bytes of the clients accepted last
KILL_DELAY = (
    3 * SECOND + ACCEPT_AFTER_STOP + LAST_REQUEST_WAIT
)  # from SIGTERM to SIGKILL, unless the longest deadline is shorter than 3 s
KILL_MARGIN = 100 * MS  # to write the last responses


class Lifecycle(Component):
    """The phases of the process."""

    def __init__(self, core: Core, attempts: Attempts, workers: Workers) -> None:
        super().__init__(core)
        self.attempts, self.workers = attempts, workers

    def event_handlers(self) -> EventHandlers:
        """Return the handlers of its events."""
        return {
            fx.ListenerOpened: self._on_listener_opened,
            fx.ShutdownRequested: self._on_shutdown_requested,
            fx.ReloadRequested: self._on_reload_requested,
            fx.ConfigurationReloaded: self._on_configuration_reloaded,
            fx.ConfigurationRejected: self._on_configuration_rejected,
        }

    def timer_handlers(self) -> TimerHandlers:
        """Return the handlers of its timers."""
        return {
            "leave": self._on_leave_timer,
            "last call": self._on_last_call_timer,
            "end": self._on_end_timer,
        }

    def _on_listener_opened(self, _: fx.ListenerOpened) -> None:
        self.state.phase = ProcessPhase.SERVING
        if self.workers.pushed:  # otherwise the decision module requests the watch
            self.workers.start_watch()
        if not self.state.workers_known:
            self.core.set_timer(("start accepting", 0), self.core.now + DIRECTORY_WAIT)

    def _on_reload_requested(self, _: fx.ReloadRequested) -> None:
        self.core.request_effect(fx.ReloadConfiguration())

    def _on_configuration_reloaded(self, event: fx.ConfigurationReloaded) -> None:
        """Move the watch; the decision module's state, attempts and clients are unaffected."""
        state = self.state
        self.core.count_metric("sighup_applied")
        moved = event.directory != state.directory
        host, port = event.directory
        self.core.request_effect(
            fx.WriteLog(f"reload: directory {'moves to' if moved else 'stays at'} {host}:{port}")
        )
        if moved:
            self.workers.move(event.directory)

    def _on_configuration_rejected(self, _: fx.ConfigurationRejected) -> None:
        self.core.count_metric("sighup_rejected")

    def _on_shutdown_requested(self, _: fx.ShutdownRequested) -> None:
        if self.state.phase not in (ProcessPhase.STARTING, ProcessPhase.SERVING):
            return
        self.state.phase = ProcessPhase.DRAINING
        self.core.request_effect(fx.WriteLog(f"stopping: {len(self.state.open_request_ids)} requests open"))
        if self.state.inherited:  # from now on the successor process accepts clients
            self.core.request_effect(fx.CloseListener())
        self._disconnect_idle(answered_only=True)
        self.core.set_timer(("leave", 0), self.core.now + ACCEPT_AFTER_STOP)
        longest = max(cls.deadline for cls in self.core.settings.classes)
        self.state.kill_at = (
            self.core.now + min(KILL_DELAY, longest + ACCEPT_AFTER_STOP + LAST_REQUEST_WAIT) - KILL_MARGIN
        )
        self.core.set_timer(("end", 0), self.core.now + ACCEPT_AFTER_STOP + longest + SECOND)

    def _disconnect_idle(self, *, answered_only: bool) -> None:
        """Disconnect idle clients; `answered_only`: only those that were answered before.

        The first request of a new client may be in flight."""
        for idle_state in (IdleState.ANSWERED, IdleState.SERVED) if answered_only else IdleState:
            for client in self.state.idle_clients[idle_state]:
                self.core.request_effect(fx.CloseClient(client))

    def _on_leave_timer(self, _: int) -> None:
        if not self.state.inherited:
            self.core.request_effect(fx.CloseListener())
        self.core.set_timer(("last call", 0), self.core.now + LAST_REQUEST_WAIT)

    def _on_last_call_timer(self, _: int) -> None:
        self.state.phase = ProcessPhase.LISTENER_CLOSED
        self._disconnect_idle(answered_only=False)

    def _on_end_timer(self, _: int) -> None:
        self._end_process()

    def after_event(self) -> None:
        """End the process once the last client has disconnected."""
        if self.state.phase is ProcessPhase.LISTENER_CLOSED and not self.state.clients:
            self._end_process()

    def _end_process(self) -> None:
        if self.state.phase is not ProcessPhase.ENDED:
            self.state.phase = ProcessPhase.ENDED
            for conn in list(self.state.connections.values()):
                self.attempts.disconnect(conn)
            self.core.request_effect(fx.StopWatch())
            self.core.request_effect(fx.Exit())
