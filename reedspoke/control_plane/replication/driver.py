"""Drives the replica: events in, effects carried out, the disk on a thread of its own."""

from __future__ import annotations

import asyncio
import os
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Protocol, TypeVar

from msgspec import Struct

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.json_log import ERROR, INFO, log
from reedspoke.common.node_settings import NodeSettings
from reedspoke.common.unhandled_errors import end_process, unhandled_errors
from reedspoke.control_plane.replication.effects import (
    DeliverConfiguration,
    Effect,
    GetCompleted,
    LogEvent,
    PutCompleted,
    SendMessage,
    StoreRecords,
    ViewChanged,
)
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.replication.events import (
    Event,
    GetSubmitted,
    MessageReceived,
    PutSubmitted,
    SeedsChanged,
    ShutdownStarted,
    StoreCompleted,
    Tick,
)
from reedspoke.control_plane.replication.messages import ReplicaMessage
from reedspoke.control_plane.replication.replica import Replica
from reedspoke.control_plane.replication.settings import TICK_S, ReplicaSettings
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.storage.job_thread import JobThread
from reedspoke.control_plane.storage.log_file import OpenedLog, open_log, quarantine_log
from reedspoke.telemetry.invariants import Invariant, check

OPEN_RETRY_S = 0.5
REPLICA_FAILED_EXIT = 3  # exit status

Value = TypeVar("Value")


class ReplicaEnvironment(Protocol):
    """What the driver needs of the process."""

    def send(self, effect: SendMessage) -> None:
        """Send to another replica."""

    def deliver(self, committed: CommittedConfiguration) -> None:
        """The data plane may have this configuration."""

    def view_changed(self, view: View) -> None:
        """A newer view is known."""

    def ticked(self) -> None:
        """TICK_S has passed."""


class RestoredReplica(Struct):
    """An open log and the replica that its records yield."""

    opened: OpenedLog
    replica: Replica


class ReplicaDriver:
    """Owns the replica; everything but the disk runs on the event loop."""

    def __init__(self, settings: NodeSettings, own_address: str, surroundings: ReplicaEnvironment) -> None:
        self._settings = settings
        self._own_address = own_address
        self._surroundings = surroundings
        self._directory = Path(settings.data_dir or "")
        self._loop = asyncio.get_running_loop()
        self._storage = JobThread("storage")
        self._log: OpenedLog | None = None
        self._bootstrap = settings.bootstrap
        self._replica: Replica | None = None
        self._events: deque[Event] = deque()
        self._handling = False
        self._request_id = 0
        self._puts: dict[int, asyncio.Future[PutCompleted]] = {}
        self._gets: dict[int, asyncio.Future[GetCompleted]] = {}

    # ---- life ----

    def start(self) -> None:
        """Open the data folder, and go on by ticks from then on."""
        self._storage.add(self._open)
        self._tick()

    def handle(self, event: Event) -> None:
        """Give the replica an event, and carry out what follows from it."""
        self._events.append(event)
        if self._handling or self._replica is None:
            return
        self._handling = True
        try:
            while self._events:
                self._handle_one(self._replica, self._events.popleft())
        finally:
            self._handling = False

    def _handle_one(self, replica: Replica, event: Event) -> None:
        now = self._loop.time()
        try:
            effects = replica.handle(now, event)
        except Exception as error:
            self._replica_failed(error)
            return
        for effect in effects:
            self._check_grant(effect, now)
            self._carry_out_isolated(effect)

    def _replica_failed(self, error: Exception) -> None:
        """Its state is not known to be right, and its effects are lost: it starts again from its disk."""
        unhandled_errors.record("the replica has failed, and its process ends", error)
        end_process(REPLICA_FAILED_EXIT)

    def received(self, sender: str, message: ReplicaMessage) -> None:
        """A message of another replica; there is none to take it before the data folder is open."""
        if self._replica is not None:
            self.handle(MessageReceived(sender, message))

    def leave(self) -> None:
        """The process is about to end."""
        if self._replica is not None:
            self.handle(ShutdownStarted())

    def seeds_changed(self, seeds: tuple[str, ...]) -> None:
        """The settings file names other seeds."""
        self.handle(SeedsChanged(seeds))

    # ---- calls of the operator ----

    def put(self, match: int, generation: int, document: bytes) -> asyncio.Future[PutCompleted]:
        """Have a configuration replicated. Raises FleetError before the data folder is open."""
        self._check_open()
        future: asyncio.Future[PutCompleted] = self._loop.create_future()
        request_id = self._next_request_id()
        self._puts[request_id] = future
        future.add_done_callback(lambda _: self._puts.pop(request_id, None))
        self.handle(PutSubmitted(request_id, match, generation, document))
        return future

    def get(self) -> asyncio.Future[GetCompleted]:
        """Read the newest configuration. Raises FleetError before the data folder is open."""
        self._check_open()
        future: asyncio.Future[GetCompleted] = self._loop.create_future()
        request_id = self._next_request_id()
        self._gets[request_id] = future
        future.add_done_callback(lambda _: self._gets.pop(request_id, None))
        self.handle(GetSubmitted(request_id))
        return future

    def holds_majority(self) -> bool:
        """Whether a majority of voters stands behind this replica at this instant."""
        return self._replica is not None and self._replica.holds_majority(self._loop.time())

    def majority_as_of(self) -> float | None:
        """The latest time as of which the view known here was certainly the newest; None: never yet."""
        return None if self._replica is None else self._replica.majority_as_of

    def confirmed_as_of(self) -> float | None:
        """As `Replica.confirmed_as_of`, at this instant; None before the data folder is open."""
        return None if self._replica is None else self._replica.confirmed_as_of(self._loop.time())

    @property
    def waiting_calls(self) -> int:
        """Calls without an answer."""
        return len(self._puts) + len(self._gets)

    @property
    def disk_works(self) -> bool:
        """Whether the data folder is open and its disk answers."""
        return self._replica is not None and self._replica.disk_works

    @property
    def has_staying_peer(self) -> bool:
        """Whether a replica in reach is not about to leave."""
        return self._replica is not None and self._replica.has_staying_peer

    def _check_open(self) -> None:
        if self._replica is None:
            raise FleetError(ErrorCode.NOT_MEMBER, "the data folder is not open yet")

    def _next_request_id(self) -> int:
        self._request_id += 1
        return self._request_id

    # ---- effects ----

    def _check_grant(self, effect: Effect, now: float) -> None:
        if isinstance(effect, PutCompleted | GetCompleted) and effect.error is None:
            granted = self._replica is not None and self._replica.holds_majority(now)
            check(Invariant.READ_HAS_GRANT, granted, answer=type(effect).__name__)

    def _carry_out_isolated(self, effect: Effect) -> None:
        """An error around the replica must not cost the effects behind this one, as a store."""
        try:
            self._carry_out(effect)
        except Exception as error:
            unhandled_errors.record("an effect has failed", error, effect=type(effect).__name__)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case SendMessage():
                self._surroundings.send(effect)
            case StoreRecords():
                self._storage.add(lambda: self._store(effect))
            case PutCompleted(request_id):
                _settle(self._puts.get(request_id), effect)
            case GetCompleted(request_id):
                _settle(self._gets.get(request_id), effect)
            case DeliverConfiguration(committed):
                self._surroundings.deliver(committed)
            case ViewChanged(view):
                self._surroundings.view_changed(view)
            case LogEvent(level, text, fields):
                log(level, text, **fields)

    def _tick(self) -> None:
        self._loop.call_later(TICK_S, self._tick)  # first: an error in this one must not be the end of all
        if self._replica is not None:
            self.handle(Tick())
        try:
            self._surroundings.ticked()
        except Exception as error:
            unhandled_errors.record("a tick has failed", error)

    # ---- on the storage thread ----

    def _open(self) -> None:
        try:
            restored = self._restore(open_log(self._directory))
        except FleetError as error:
            self._call(self._open_failed, error)
            return
        self._call(self._opened, restored)

    def _restore(self, opened: OpenedLog) -> RestoredReplica:
        """Replay the records; this takes long for a long log."""
        settings = ReplicaSettings(
            folder_id=opened.folder_id,
            address=self._own_address,
            zone=self._settings.zone,
            seeds=self._settings.seed_addresses(),
            bootstrap=self._bootstrap and not opened.succeeds_corrupt,
            machines_tolerated=self._settings.fault_tolerance.machines,
        )
        try:
            replica = Replica(settings, opened.records, self._loop.time(), os.urandom(16).hex())
        except FleetError:
            opened.writer.close()
            raise
        opened.records = []
        return RestoredReplica(opened, replica)

    def _set_aside(self) -> None:
        try:
            quarantine_log(self._directory)
        except OSError as error:
            self._call(self._open_failed, FleetError(ErrorCode.STORAGE_FAILED, str(error)))
            return
        self._open()

    def _store(self, effect: StoreRecords) -> None:
        assert self._log is not None
        try:
            if effect.replace:
                self._log.writer.rewrite(effect.records)
            else:
                self._log.writer.append(effect.records)
        except FleetError as error:
            self._call(self.handle, StoreCompleted(effect.token, error.code))
            return
        self._call(self.handle, StoreCompleted(effect.token))

    def _call(self, function: Callable[[Value], None], value: Value) -> None:
        self._loop.call_soon_threadsafe(function, value)

    # ---- back on the event loop ----

    def _open_failed(self, error: FleetError) -> None:
        log(ERROR, "data folder cannot be opened", code=int(error.code), message=error.message)
        if error.code is ErrorCode.STORAGE_CORRUPT:
            self._bootstrap = False  # this folder has lost its part of what the fleet agreed
            self._storage.add(self._set_aside)
        else:
            self._loop.call_later(OPEN_RETRY_S, self._storage.add, self._open)

    def _opened(self, restored: RestoredReplica) -> None:
        opened = self._log = restored.opened
        self._replica = restored.replica
        log(INFO, "data folder open", folder_id=opened.folder_id, created=opened.created)
        self.handle(Tick())


def _settle(future: asyncio.Future[Value] | None, answer: Value) -> None:
    if future is not None and not future.done():
        future.set_result(answer)
