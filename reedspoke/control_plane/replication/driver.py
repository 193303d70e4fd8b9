"""Runs the replica on the event loop: passes events in, carries out effects, completes operator calls."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.json_log import log
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
    Tick,
)
from reedspoke.control_plane.replication.messages import ReplicaMessage
from reedspoke.control_plane.replication.pending_calls import PendingCalls
from reedspoke.control_plane.replication.replica import Replica
from reedspoke.control_plane.replication.replica_storage import ReplicaStorage
from reedspoke.control_plane.replication.settings import TICK_INTERVAL_S
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.storage.job_thread import JobThread
from reedspoke.telemetry.invariants import Invariant, check

REPLICA_FAILED_EXIT = 3  # exit status of the process after an error in the replica


class ReplicaEnvironment(Protocol):
    """The part of the process that the driver uses."""

    def send(self, effect: SendMessage) -> None:
        """Send a message to another replica."""

    def deliver(self, committed: CommittedConfiguration) -> None:
        """Deliver a committed configuration to the data plane."""

    def view_changed(self, view: View) -> None:
        """Handle the change of the replica to a newer view."""

    def ticked(self) -> None:
        """Handle a tick; called every TICK_INTERVAL_S."""


class ReplicaDriver:
    """Owns the replica and the pending operator calls; `ReplicaStorage` owns the log."""

    def __init__(self, settings: NodeSettings, own_address: str, environment: ReplicaEnvironment) -> None:
        self._environment = environment
        self._loop = asyncio.get_running_loop()
        self._storage_thread = JobThread("storage")
        self._storage = ReplicaStorage(settings, own_address, self._storage_thread, self._opened, self.handle)
        self._replica: Replica | None = None
        self._events: deque[Event] = deque()
        self._handling = False
        self._request_id = 0
        self._puts: PendingCalls[PutCompleted] = PendingCalls(self._loop)
        self._gets: PendingCalls[GetCompleted] = PendingCalls(self._loop)

    # ---- events ----

    def start(self) -> None:
        """Start to open the data folder, and start the ticks."""
        self._storage.open()
        self._tick()

    def handle(self, event: Event) -> None:
        """Pass an event to the replica, and carry out its effects.

        An effect may cause the next event at once, such as a message to a process on the same loop. Events
        are handled one at a time: all effects of one are started before the next is handled.
        """
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
        """End the process, as the replica's state may be wrong and its effects are lost.

        The next process restores the state from disk.
        """
        unhandled_errors.record("unexpected error in the replica; ending the process", error)
        end_process(REPLICA_FAILED_EXIT)

    def receive(self, sender: str, message: ReplicaMessage) -> None:
        """Handle a message of another replica; dropped before the data folder is open."""
        if self._replica is not None:
            self.handle(MessageReceived(sender, message))

    def start_shutdown(self) -> None:
        """Notify the replica that the process is about to end."""
        if self._replica is not None:
            self.handle(ShutdownStarted())

    def seeds_changed(self, seeds: tuple[str, ...]) -> None:
        """Pass new seeds from the settings file to the replica."""
        self.handle(SeedsChanged(seeds))

    def _opened(self, replica: Replica) -> None:
        self._replica = replica
        self.handle(Tick())

    def _tick(self) -> None:
        # The next tick is scheduled first, so that an error in this one does not stop the ticks.
        self._loop.call_later(TICK_INTERVAL_S, self._tick)
        if self._replica is not None:
            self.handle(Tick())
        try:
            self._environment.ticked()
        except Exception as error:
            unhandled_errors.record("unexpected error in a tick", error)

    # ---- calls of the operator ----

    def put(self, match: int, generation: int, document: bytes) -> asyncio.Future[PutCompleted]:
        """Replicate a configuration. Raises FleetError NOT_MEMBER before the data folder is open."""
        self._check_open()
        request_id = self._next_request_id()
        future = self._puts.add(request_id)
        self.handle(PutSubmitted(request_id, match, generation, document))
        return future

    def get(self) -> asyncio.Future[GetCompleted]:
        """Read the newest configuration. Raises FleetError NOT_MEMBER before the data folder is open."""
        self._check_open()
        request_id = self._next_request_id()
        future = self._gets.add(request_id)
        self.handle(GetSubmitted(request_id))
        return future

    @property
    def is_open(self) -> bool:
        """Whether the data folder is open."""
        return self._replica is not None

    @property
    def pending_calls(self) -> int:
        """Number of operator calls without an answer."""
        return len(self._puts) + len(self._gets)

    def _check_open(self) -> None:
        if self._replica is None:
            raise FleetError(ErrorCode.NOT_MEMBER, "the data folder is not open yet")

    def _next_request_id(self) -> int:
        self._request_id += 1
        return self._request_id

    # ---- state of the replica ----

    def holds_majority(self) -> bool:
        """Whether a majority of voters has lately confirmed the replica's view, as of now."""
        return self._replica is not None and self._replica.holds_majority(self._loop.time())

    def majority_as_of(self) -> float | None:
        """The latest time as of which the replica's view was certainly the newest; None if there is none."""
        return None if self._replica is None else self._replica.majority_as_of

    def confirmed_as_of(self) -> float | None:
        """`Replica.confirmed_as_of` as of now; None before the data folder is open."""
        return None if self._replica is None else self._replica.confirmed_as_of(self._loop.time())

    @property
    def disk_works(self) -> bool:
        """Whether the data folder is open and its disk works."""
        return self._replica is not None and self._replica.disk_works

    @property
    def has_peer_not_draining(self) -> bool:
        """Whether another reachable replica is not about to shut down."""
        return self._replica is not None and self._replica.has_peer_not_draining

    # ---- effects ----

    def _check_grant(self, effect: Effect, now: float) -> None:
        if isinstance(effect, PutCompleted | GetCompleted) and effect.error is None:
            granted = self._replica is not None and self._replica.holds_majority(now)
            check(Invariant.READ_HAS_GRANT, granted, answer=type(effect).__name__)

    def _carry_out_isolated(self, effect: Effect) -> None:
        """Carry out one effect; an error does not prevent the later ones, which may include a store."""
        try:
            self._carry_out(effect)
        except Exception as error:
            unhandled_errors.record("unexpected error in an effect", error, effect=type(effect).__name__)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case SendMessage():
                self._environment.send(effect)
            case StoreRecords():
                self._storage.store(effect)
            case PutCompleted():
                self._puts.complete(effect)
            case GetCompleted():
                self._gets.complete(effect)
            case DeliverConfiguration(committed):
                self._environment.deliver(committed)
            case ViewChanged(view):
                self._environment.view_changed(view)
            case LogEvent(level, text, fields):
                log(level, text, **fields)
