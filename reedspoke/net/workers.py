"""Workers as the directory lists them, and the watch on the directory.

The watch is closed, requested (`start_watch`), or alive: `WorkersListed` and `DirectoryHeartbeat` keep it
alive, `WatchLost` or a time-out ends it. Where discovery is called on request, each call loads a service that
all schedulers share, so the decision module requests the first watch (`Watch`). Where lists are pushed, an
agent on this machine serves them at no cost, and the watch is opened at the start. A lost watch is reopened
here in both cases; the decision module only receives lists. A worker is kept from the first list that names
it until a list says that it is gone or a complete list omits it. The decision module is notified of
suspensions before the list that they apply to.

Updates count as delivered 6 s after the directory became reachable, received or not, whatever failed before.
So there is one deadline for the next call, counted from the last message or the last failed call
(`watch_active_at`), and no delay or backoff exceeds it (`docs/watching.md` has the calculation).
"""

from __future__ import annotations

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.attempts import Attempts
from reedspoke.net.clients import Clients
from reedspoke.net.core import MS, SECOND, Component, Core, EventHandlers, TimerHandlers
from reedspoke.net.state import ProcessPhase, Worker

MAX_REMOVED_IDS = 1000  # ids of removed workers that operator calls may still name
WATCH_TIMEOUT = 3 * SECOND  # the directory sends a heartbeat every 2 s and may delay a response as long
UPDATE_DEADLINE = 6 * SECOND  # updates count as delivered this long after the directory became reachable
MOVE_DEADLINE = 4 * SECOND  # the same, after the directory moved to a new address
ANSWER_TIMEOUT = 2 * SECOND  # for the response of a directory under load
MAX_CALL_INTERVAL = UPDATE_DEADLINE - ANSWER_TIMEOUT  # from the last message or failed call to the next call
CALL_SPACING = 6 * MS  # directory time per call, for all schedulers that may call at once
AGENT_FIRST_TIMEOUT = SECOND  # for the first message of a local agent, which responds at once
AGENT_START_TIMEOUT = 2 * SECOND  # for an agent at the start, before the configured list is used
RETRY_DELAY, MAX_RETRY_DELAY = 50 * MS, SECOND  # before a lost watch is reopened, doubled each time
DRAIN_RETRIES = 3  # retries within a drain's grace period; doublings of the call delay
SLOT_STEP = 0.618  # shift of all call slots per failure, so that the order of schedulers changes
OUTDATED_LIMIT = (
    10 * SECOND
)  # after only outdated lists for so long, the directory has restarted its versions


class Workers(Component):
    """The table of workers and the watch on the directory."""

    def __init__(self, core: Core, clients: Clients, attempts: Attempts) -> None:
        super().__init__(core)
        self.clients, self.attempts = clients, attempts

    def event_handlers(self) -> EventHandlers:
        """Return the handlers of its events."""
        return {
            fx.WorkersListed: self._on_workers_listed,
            fx.DirectoryHeartbeat: self._on_directory_heartbeat,
            fx.WatchLost: self._on_watch_lost,
        }

    def timer_handlers(self) -> TimerHandlers:
        """Return the handlers of its timers."""
        return {
            "watch timeout": self._on_watch_timer,
            "start accepting": lambda _: self.start_accepting(),
            "watch": lambda _: self.start_watch(),
            "agent start": lambda _: self._notify_list(api.ListKind.CHANGES, []),
        }

    @property
    def pushed(self) -> bool:
        """Whether an agent pushes the lists, so that a watch costs nothing."""
        return not self.core.settings.list_on_request

    def watch(self) -> None:
        """Open the watch that the decision module requests, unless it is open or about to be reopened."""
        if not self.state.watching and not self.state.watch_losses:
            self.start_watch()

    def start_watch(self) -> None:
        """Request a watch on the directory."""
        if self.state.phase is ProcessPhase.ENDED:
            return
        self.core.count("watches")
        self.state.watching, self.state.watch_active_at = True, self.core.now
        self.core.cancel_timer(("watch", 0))
        self.core.request_effect(fx.StartWatch(self.state.directory, self.state.revision))
        self.core.set_timer(
            ("watch timeout", 0), self.core.now + (AGENT_FIRST_TIMEOUT if self.pushed else WATCH_TIMEOUT)
        )

    def move(self, directory: tuple[str, int]) -> None:
        """Move to another directory, and request its complete list, since versions are per directory.

        All schedulers move at the same time, so each calls in its own slot."""
        state = self.state
        state.directory, state.revision, state.outdated_since = directory, 0, 0
        state.watch_losses = 0
        if self.pushed:
            self.start_watch()
        else:
            self.core.request_effect(fx.StopWatch())
            self.core.cancel_timer(("watch timeout", 0))
            state.watching = False
            state.watch_active_at = self.core.now + MOVE_DEADLINE - UPDATE_DEADLINE
            self._schedule_call()

    def _schedule_call(self) -> None:
        self.core.set_timer(("watch", 0), self.core.now + self._call_delay())
        self.state.watch_losses += 1

    def _call_delay(self) -> int:
        """Return the delay until this scheduler's call slot.

        A directory answers calls one after another, so the calls of all schedulers are spread over the time
        that it needs for them, doubled with each failure. The delay never exceeds the deadline of the next
        call: a drain published right after a failed call must be received before it counts as delivered."""
        schedulers, losses = self.core.settings.scheduler_count, self.state.watch_losses
        left = max(0, self.state.watch_active_at + MAX_CALL_INTERVAL - self.core.now)
        part = (self.core.settings.scheduler_index + 0.5) / schedulers + losses * SLOT_STEP
        if not losses:
            return int(min(schedulers * CALL_SPACING, max(RETRY_DELAY, left)) * (part % 1))
        span = max(schedulers * CALL_SPACING * 2 ** min(losses, DRAIN_RETRIES), self._retry_delay())
        return int(min(span, left / 1.5) * (part % 1 + 0.5))

    def _retry_delay(self) -> int:
        doubled: int = RETRY_DELAY * 2 ** min(self.state.watch_losses, 8)
        return min(MAX_RETRY_DELAY, doubled)

    def _on_watch_alive(self) -> None:
        """Record a message of the directory: the watch is alive."""
        self.state.watch_losses, self.state.watch_active_at = 0, self.core.now
        self.core.set_timer(("watch timeout", 0), self.core.now + WATCH_TIMEOUT)
        self.start_accepting()

    def _on_workers_listed(self, event: fx.WorkersListed) -> None:
        state = self.state
        if event.kind is not api.ListKind.STALE:
            self._on_watch_alive()
        if self._is_outdated(event):
            return
        state.revision = event.revision
        full = event.kind is not api.ListKind.CHANGES
        named = {target.entry.worker for target in event.targets}
        for worker in list(state.workers.values()):
            if full and worker.uid not in named:
                self._remove(worker)
        for target in event.targets:
            self._update(target)
        for uid in [uid for uid in state.ever_listed if uid not in state.workers][: -MAX_REMOVED_IDS or None]:
            del state.ever_listed[uid]
        state.workers_listed = state.workers_listed or bool(state.workers)
        self.apply_suspensions()  # before the list, or the module might use a suspended worker
        if event.kind is api.ListKind.STALE and self.pushed:
            # The configured list may be old, while the agent's updates count as delivered at once. Until the
            # agent's first message or a time-out, requests are held, so that no drain is missed at a start.
            state.unannounced_list = event
            self.core.set_timer(("agent start", 0), self.core.now + AGENT_START_TIMEOUT)
        else:
            self._notify_list(event.kind, event.targets)

    def _notify_list(self, kind: api.ListKind, targets: list[fx.ListedWorker]) -> None:
        """Pass a list to the decision module.

        Changes of a list that it has not received yet are merged into it, or the module might use the
        outdated list before the changes."""
        entries = {target.entry.worker: target.entry for target in targets}
        if (known := self.state.unannounced_list) is not None:
            self.state.unannounced_list = None
            self.core.cancel_timer(("agent start", 0))
            if kind is api.ListKind.CHANGES:
                kind = api.ListKind.FULL
                entries = {target.entry.worker: target.entry for target in known.targets} | entries
        self.core.notify_module(api.WorkerListUpdate(kind, list(entries.values())))

    def _is_outdated(self, event: fx.WorkersListed) -> bool:
        """Whether a list is outdated, as after an agent restart; only its departures are applied.

        Otherwise workers that a newer list had drained or removed would return."""
        state = self.state
        if event.kind is api.ListKind.STALE or event.revision >= state.revision:
            state.outdated_since = 0
            return False
        if not state.outdated_since:
            state.outdated_since = self.core.now
            self.core.request_effect(
                fx.WriteLog(f"directory: version {event.revision} is older than {state.revision}: ignored")
            )
        if self.core.now >= state.outdated_since + OUTDATED_LIMIT:
            state.outdated_since = 0
            return False
        left = [target for target in event.targets if target.entry.state is not api.WorkerState.UP]
        if event.kind is api.ListKind.FULL:
            named = {target.entry.worker for target in event.targets}
            left += [self._gone(worker) for uid, worker in state.workers.items() if uid not in named]
        for target in left:
            self._update(target)
        if left or state.unannounced_list:
            self._notify_list(api.ListKind.CHANGES, left)
        return True

    @staticmethod
    def _gone(worker: Worker) -> fx.ListedWorker:
        entry = api.WorkerEntry(worker.uid, "", "", 0, api.WorkerState.GONE, 1.0, worker.started_at)
        return fx.ListedWorker(entry, worker.endpoint)

    def start_accepting(self) -> None:
        """Start to accept clients."""
        if not self.state.workers_known:
            self.state.workers_known = True
            self.clients.make_room()

    def apply_suspensions(self) -> None:
        """Apply the operators' suspensions, by id and by endpoint: a machine may return under a new id."""
        state, none = self.state, ("", 0)
        for uid in state.suspended:
            if (worker := state.workers.get(uid)) is not None:
                state.suspended[uid] = worker.endpoint
        endpoints = set(state.suspended.values()) - {none}
        excluded = set(state.suspended) | {
            worker.uid for worker in state.workers.values() if worker.endpoint in endpoints
        }
        for uid in sorted(excluded ^ state.excluded):
            if (worker := state.workers.get(uid)) is not None:
                self._disconnect_idle(worker)  # under maintenance: another process will listen there
            self.core.notify_module(api.SuspensionChange(uid, uid in excluded))
        state.excluded = excluded
        for worker in state.workers.values():
            worker.suspended = worker.uid in excluded

    def _update(self, target: fx.ListedWorker) -> None:
        entry = target.entry
        worker = self.state.workers.get(entry.worker)
        if entry.state is api.WorkerState.GONE:
            if worker is not None:
                self._remove(worker)
            return
        if worker is None:
            worker = Worker(entry.worker, target.endpoint, entry.state, entry.started_at)
            self.state.workers[worker.uid] = worker
            self.state.ever_listed[worker.uid] = None
            return
        if entry.state is not api.WorkerState.UP or (target.endpoint, entry.started_at) != (
            worker.endpoint,
            worker.started_at,
        ):
            self._disconnect_idle(worker)  # another process may listen there by now
        worker.endpoint, worker.state, worker.started_at = target.endpoint, entry.state, entry.started_at

    def _remove(self, worker: Worker) -> None:
        """Remove a worker at once, or the table would grow with every deployment; its attempts continue."""
        self._disconnect_idle(worker)
        del self.state.workers[worker.uid]

    def _disconnect_idle(self, worker: Worker) -> None:
        for conn in list(worker.idle):
            self.attempts.disconnect(self.state.connections[conn])

    def _on_directory_heartbeat(self, _: fx.DirectoryHeartbeat) -> None:
        self._on_watch_alive()
        if self.state.unannounced_list:
            self._notify_list(api.ListKind.CHANGES, [])

    def _on_watch_lost(self, event: fx.WatchLost) -> None:
        self.state.watching = False
        self.core.cancel_timer(("watch timeout", 0))
        self.core.count("watches lost")
        self.core.log_rate_limited("watch lost", f"directory: watch lost: {event.reason}")
        if self.pushed:
            # The agent's updates count as delivered meanwhile: retry several times per drain grace period.
            pause = min(
                self._retry_delay(), max(RETRY_DELAY, self.core.settings.rules.drain_grace // DRAIN_RETRIES)
            )
            self.core.set_timer(("watch", 0), self.core.now + pause)
            self.state.watch_losses += 1
        else:
            self._schedule_call()

    def _on_watch_timer(self, _: int) -> None:
        self.core.request_effect(fx.StopWatch())
        self._on_watch_lost(fx.WatchLost("time-out"))
