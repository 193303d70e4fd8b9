"""Issuer hosts as the directory lists them, and the watch on it.

The watch is off, asked for (`follow`), or alive: `Listed` and `Beaten` keep it alive, `Unlisted` or a
silence ends it. Where discovery is asked, a call costs one service that all share: the module asks for the
first watch (`Watch`). Where lists are pushed, an agent on this machine has them and answers at no cost: the
watch is opened at the start. One that is lost is opened again here in both cases, and the module hears of
lists alone. A host stands in the table from the first list that names it until one says that it is gone, or
leaves it out of a whole list. The module hears of operators' bans before it hears of the list that they bear
on.

What discovery has counts as told 6 s after it could be reached, arrived or not, whatever failed before. So
there is one deadline for the next call, from the last word or the last call made in vain (`word_at`), and no
lot or doubling goes beyond it (`docs/watching.md` has the arithmetic).
"""

from __future__ import annotations

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.attempts import Attempts
from reedspoke.net.clients import Clients
from reedspoke.net.core import MS, SECOND, Component, Core, EventHandlers, TimerHandlers
from reedspoke.net.state import ProcessPhase, Worker

MAX_REMOVED_IDS = 1000  # ids of hosts that have gone and are known still, for the operators' calls
WATCH_TIMEOUT = 3 * SECOND  # of the directory, which beats every 2 s and may keep a call waiting for as long
UPDATE_DEADLINE = 6 * SECOND  # what the directory has counts as told so long after it could be reached
MOVE_DEADLINE = 4 * SECOND  # from a new address of the directory's
ANSWER_TIMEOUT = 2 * SECOND  # that a call may wait at a directory that many ask
MAX_CALL_INTERVAL = (
    UPDATE_DEADLINE - ANSWER_TIMEOUT
)  # from a word, or from a call made in vain, to the next call at the most
CALL_SPACING = 6 * MS  # of one directory's time, for each scheduler that may call at the same moment
AGENT_FIRST_TIMEOUT = SECOND  # for the first word of an agent on this machine, which answers at once
AGENT_START_TIMEOUT = (
    2 * SECOND
)  # of an agent at the start, before its scheduler goes by the list it was given
RETRY_DELAY, MAX_RETRY_DELAY = 50 * MS, SECOND  # until a lost watch is opened again, doubled each time
DRAIN_RETRIES = 3  # while a drain's window lasts; doublings of a lot
SLOT_STEP = 0.618  # of all lots, from one to the next: who came first comes later the next time
OUTDATED_LIMIT = (
    10 * SECOND
)  # of lists older than ours and nothing else: the directory has begun its versions anew


class Workers(Component):
    def __init__(self, core: Core, clients: Clients, attempts: Attempts) -> None:
        super().__init__(core)
        self.clients, self.attempts = clients, attempts

    def event_handlers(self) -> EventHandlers:
        return {
            fx.WorkersListed: self._on_workers_listed,
            fx.DirectoryHeartbeat: self._on_directory_heartbeat,
            fx.WatchLost: self._on_watch_lost,
        }

    def timer_handlers(self) -> TimerHandlers:
        return {
            "silence": self._on_silence_timer,
            "settle": lambda _: self.settle(),
            "watch": lambda _: self.follow(),
            "unheard": lambda _: self._tell(api.ListKind.CHANGES, []),
        }

    @property
    def pushed(self) -> bool:
        """Lists are an agent's to push: nobody is asked for them, and a watch costs nothing."""
        return not self.core.settings.list_on_request

    def watch(self) -> None:
        """The module asks for the list; a watch that is open, or will be opened again here, is not opened
        twice."""
        if not self.state.watching and not self.state.watch_losses:
            self.follow()

    def follow(self) -> None:
        if self.state.phase is ProcessPhase.ENDED:
            return
        self.core.count("watches")
        self.state.watching, self.state.watch_active_at = True, self.core.now
        self.core.cancel_timer(("watch", 0))
        self.core.request_effect(fx.StartWatch(self.state.directory, self.state.revision))
        self.core.set_timer(
            ("silence", 0), self.core.now + (AGENT_FIRST_TIMEOUT if self.pushed else WATCH_TIMEOUT)
        )

    def move(self, directory: tuple[str, int]) -> None:
        """Versions are the old one's: asked for changes since 0, the new one tells all that it has. All
        schedulers move at the same moment, so each calls by its own lot."""
        state = self.state
        state.directory, state.revision, state.outdated_since = directory, 0, 0
        state.watch_losses = 0
        if self.pushed:
            self.follow()
        else:
            self.core.request_effect(fx.StopWatch())
            self.core.cancel_timer(("silence", 0))
            state.watching = False
            state.watch_active_at = self.core.now + MOVE_DEADLINE - UPDATE_DEADLINE
            self._follow_by_lot()

    def _follow_by_lot(self) -> None:
        self.core.set_timer(("watch", 0), self.core.now + self._lot())
        self.state.watch_losses += 1

    def _lot(self) -> int:
        """This scheduler's part of the time in which all of them may call a directory that answers one after
        another: as long as they need, longer each time they call in vain, and never beyond the deadline of
        the next call. Guards against back-offs: a drain told right behind a call that failed has to be heard
        of before it counts as told."""
        schedulers, losses = self.core.settings.scheduler_count, self.state.watch_losses
        left = max(0, self.state.watch_active_at + MAX_CALL_INTERVAL - self.core.now)
        part = (self.core.settings.scheduler_index + 0.5) / schedulers + losses * SLOT_STEP
        if not losses:
            return int(min(schedulers * CALL_SPACING, max(RETRY_DELAY, left)) * (part % 1))
        span = max(schedulers * CALL_SPACING * 2 ** min(losses, DRAIN_RETRIES), self._again())
        return int(min(span, left / 1.5) * (part % 1 + 0.5))

    def _again(self) -> int:
        doubled: int = RETRY_DELAY * 2 ** min(self.state.watch_losses, 8)
        return min(MAX_RETRY_DELAY, doubled)

    def _heard(self) -> None:
        """A sign of life of the directory: the watch is alive."""
        self.state.watch_losses, self.state.watch_active_at = 0, self.core.now
        self.core.set_timer(("silence", 0), self.core.now + WATCH_TIMEOUT)
        self.settle()

    def _on_workers_listed(self, event: fx.WorkersListed) -> None:
        state = self.state
        if event.kind is not api.ListKind.STALE:
            self._heard()
        if self._older(event):
            return
        state.revision = event.revision
        full = event.kind is not api.ListKind.CHANGES
        named = {target.entry.worker for target in event.targets}
        for host in list(state.workers.values()):
            if full and host.uid not in named:
                self._remove(host)
        for target in event.targets:
            self._learn(target)
        for uid in [uid for uid in state.ever_listed if uid not in state.workers][: -MAX_REMOVED_IDS or None]:
            del state.ever_listed[uid]
        state.workers_listed = state.workers_listed or bool(state.workers)
        self.apply_suspensions()  # before the list, or the module might use who is new on it
        if event.kind is api.ListKind.STALE and self.pushed:
            # Guards drains at a start: what the agent holds is told from the first moment, and this list may
            # be old. Until the agent has spoken, or has not for a while, the module holds what comes.
            state.unannounced_list = event
            self.core.set_timer(("unheard", 0), self.core.now + AGENT_START_TIMEOUT)
        else:
            self._tell(event.kind, event.targets)

    def _tell(self, kind: api.ListKind, targets: list[fx.ListedWorker]) -> None:
        """To the module; changes of a list that it has not heard as one list, or it might use the old one
        before them."""
        entries = {target.entry.worker: target.entry for target in targets}
        if (known := self.state.unannounced_list) is not None:
            self.state.unannounced_list = None
            self.core.cancel_timer(("unheard", 0))
            if kind is api.ListKind.CHANGES:
                kind = api.ListKind.FULL
                entries = {target.entry.worker: target.entry for target in known.targets} | entries
        self.core.notify_module(api.WorkerListUpdate(kind, list(entries.values())))

    def _older(self, event: fx.WorkersListed) -> bool:
        """Guards drains against a directory that has fallen behind us, an agent just restarted, say: hosts
        that have left by a newer list would come back by an older one. Only departures are heeded in it."""
        state = self.state
        if event.kind is api.ListKind.STALE or event.revision >= state.revision:
            state.outdated_since = 0
            return False
        if not state.outdated_since:
            state.outdated_since = self.core.now
            self.core.request_effect(
                fx.WriteLog(
                    f"directory: version {event.revision} is older than {state.revision}: passed over"
                )
            )
        if self.core.now >= state.outdated_since + OUTDATED_LIMIT:
            state.outdated_since = 0
            return False
        left = [target for target in event.targets if target.entry.state is not api.WorkerState.UP]
        if event.kind is api.ListKind.FULL:
            named = {target.entry.worker for target in event.targets}
            left += [self._gone(host) for uid, host in state.workers.items() if uid not in named]
        for target in left:
            self._learn(target)
        if left or state.unannounced_list:
            self._tell(api.ListKind.CHANGES, left)
        return True

    @staticmethod
    def _gone(host: Worker) -> fx.ListedWorker:
        entry = api.WorkerEntry(host.uid, "", "", 0, api.WorkerState.GONE, 1.0, host.started_at)
        return fx.ListedWorker(entry, host.endpoint)

    def settle(self) -> None:
        """From now on clients are taken in."""
        if not self.state.workers_known:
            self.state.workers_known = True
            self.clients.make_room()

    def apply_suspensions(self) -> None:
        """Guards the operators' ban: it is for the machine as well as for its id, which may come back with a
        fresh one at the same address."""
        state, none = self.state, ("", 0)
        for uid in state.suspended:
            if (host := state.workers.get(uid)) is not None:
                state.suspended[uid] = host.endpoint
        places = set(state.suspended.values()) - {none}
        barred = set(state.suspended) | {
            host.uid for host in state.workers.values() if host.endpoint in places
        }
        for uid in sorted(barred ^ state.excluded):
            if (host := state.workers.get(uid)) is not None:
                self._drop_idle(host)  # it is worked on: their other end will be another process
            self.core.notify_module(api.SuspensionChange(uid, uid in barred))
        state.excluded = barred
        for host in state.workers.values():
            host.suspended = host.uid in barred

    def _learn(self, target: fx.ListedWorker) -> None:
        entry = target.entry
        host = self.state.workers.get(entry.worker)
        if entry.state is api.WorkerState.GONE:
            if host is not None:
                self._remove(host)
            return
        if host is None:
            host = Worker(entry.worker, target.endpoint, entry.state, entry.started_at)
            self.state.workers[host.uid] = host
            self.state.ever_listed[host.uid] = None
            return
        if entry.state is not api.WorkerState.UP or (target.endpoint, entry.started_at) != (
            host.endpoint,
            host.started_at,
        ):
            self._drop_idle(host)  # their other end may be another process by now
        host.endpoint, host.state, host.started_at = target.endpoint, entry.state, entry.started_at

    def _remove(self, host: Worker) -> None:
        """Forgotten at once, or the table would grow with every deploy; legs that are out go on."""
        self._drop_idle(host)
        del self.state.workers[host.uid]

    def _drop_idle(self, host: Worker) -> None:
        for conn in list(host.idle):
            self.attempts.hang_up(self.state.connections[conn])

    def _on_directory_heartbeat(self, _: fx.DirectoryHeartbeat) -> None:
        self._heard()
        if self.state.unannounced_list:
            self._tell(api.ListKind.CHANGES, [])

    def _on_watch_lost(self, event: fx.WatchLost) -> None:
        self.state.watching = False
        self.core.cancel_timer(("silence", 0))
        self.core.count("watches lost")
        self.core.log_rate_limited("watch lost", f"directory: watch lost: {event.reason}")
        if self.pushed:
            # What an agent holds is told meanwhile: some times in a drain's window.
            pause = min(
                self._again(), max(RETRY_DELAY, self.core.settings.rules.drain_grace // DRAIN_RETRIES)
            )
            self.core.set_timer(("watch", 0), self.core.now + pause)
            self.state.watch_losses += 1
        else:
            self._follow_by_lot()

    def _on_silence_timer(self, _: int) -> None:
        self.core.request_effect(fx.StopWatch())
        self._on_watch_lost(fx.WatchLost("silence"))
