"""Drives the replica on the event loop: events in, effects carried out, calls of operators answered."""

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

REPLICA_FAILED_EXIT = 3  # exit status


class ReplicaEnvironment(Protocol):
    """What the driver needs of the process."""

    def send(self, effect: SendMessage) -> None:
        """Send to another replica."""

    def deliver(self, committed: CommittedConfiguration) -> None:
        """The data plane may have this configuration."""

    def view_changed(self, view: View) -> None:
        """A newer view is known."""

    def ticked(self) -> None:
        """TICK_INTERVAL_S has passed."""


class ReplicaDriver:
    """Owns the replica and the calls that wait for it; the disk is the part of `ReplicaStorage`."""

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
        """Open the data folder, and go on by ticks from then on."""
        self._storage.open()
        self._tick()

    def handle(self, event: Event) -> None:
        """Give the replica an event, and carry out what follows from it.

        An effect may lead to the next event at once, as a message to a process in the same loop does. Events
        are handled one after the other: the effects of one are all begun before the next is handled.
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
        """Its state is not known to be right, and its effects are lost: it starts again from its disk."""
        unhandled_errors.record("the replica has failed, and its process ends", error)
        end_process(REPLICA_FAILED_EXIT)

    def receive(self, sender: str, message: ReplicaMessage) -> None:
        """A message of another replica; there is none to take it before the data folder is open."""
        if self._replica is not None:
            self.handle(MessageReceived(sender, message))

    def start_shutdown(self) -> None:
        """The process is about to end."""
        if self._replica is not None:
            self.handle(ShutdownStarted())

    def seeds_changed(self, seeds: tuple[str, ...]) -> None:
        """The settings file names other seeds."""
        self.handle(SeedsChanged(seeds))

    def _opened(self, replica: Replica) -> None:
        self._replica = replica
        self.handle(Tick())

    def _tick(self) -> None:
        self._loop.call_later(
            TICK_INTERVAL_S, self._tick
        )  # first: an error in this one must not be the end of all
        if self._replica is not None:
            self.handle(Tick())
        try:
            self._environment.ticked()
        except Exception as error:
            unhandled_errors.record("a tick has failed", error)

    # ---- calls of the operator ----

    def put(self, match: int, generation: int, document: bytes) -> asyncio.Future[PutCompleted]:
        """Have a configuration replicated. Raises FleetError NOT_MEMBER before the data folder is open."""
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
    def pending_calls(self) -> int:
        """Calls without an answer."""
        return len(self._puts) + len(self._gets)

    def _check_open(self) -> None:
        if self._replica is None:
            raise FleetError(ErrorCode.NOT_MEMBER, "the data folder is not open yet")

    def _next_request_id(self) -> int:
        self._request_id += 1
        return self._request_id

    # ---- state of the replica ----

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
    def disk_works(self) -> bool:
        """Whether the data folder is open and its disk answers."""
        return self._replica is not None and self._replica.disk_works

    @property
    def has_peer_not_draining(self) -> bool:
        """Whether a replica in reach is not about to shut down."""
        return self._replica is not None and self._replica.has_peer_not_draining

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
