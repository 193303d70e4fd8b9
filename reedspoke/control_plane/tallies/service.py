"""Tallies at a control plane node: connects the replica with its log, peers, callers and the clock."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Collection
from typing import Protocol

from msgspec import Struct

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.json_log import log
from reedspoke.common.unhandled_errors import end_process, unhandled_errors
from reedspoke.control_plane.tallies.events import (
    AddSubmitted,
    CallCompleted,
    Effect,
    Event,
    LogEvent,
    MessageReceived,
    OrderNumbers,
    SendMessage,
    SendOrderMessage,
    StoreCompleted,
    StoreRecords,
    SyncCompleted,
    SyncSubmitted,
    Tick,
)
from reedspoke.control_plane.tallies.messages import OrderMessage, TallyAdd, TallyMessage
from reedspoke.control_plane.tallies.replica import TallyReplica

DRAIN_INTERVAL_S = 0.02
OPEN_POLL_S = 0.002
TALLIES_FAILED_EXIT_STATUS = 4


class Storage(Protocol):
    """The log of the tallies."""

    def open(self) -> None:
        """Open the log."""

    def store(self, effect: StoreRecords) -> None:
        """Append the records to the log, or replace its content by them."""


StorageFactory = Callable[[Callable[[TallyReplica], None], Callable[[StoreCompleted], None]], Storage]


class TallyService:
    """Owns the waiting calls, and the replica once its log is open.

    `peers` returns the addresses of the other control plane nodes. `send` sends a message to one of them, and
    `send_order_message` one about orders; messages may be lost.
    """

    def __init__(
        self,
        make_storage: StorageFactory,
        peers: Callable[[], Collection[str]],
        send: Callable[[str, Struct], None],
        send_order_message: Callable[[str, Struct], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._peers = peers
        self._send = send
        self._send_order_message = send_order_message
        self._storage = make_storage(self._opened, self._handle)
        self._replica: TallyReplica | None = None
        self._events: deque[Event] = deque()
        self._handling = False
        self._calls: dict[int, asyncio.Future[OrderNumbers | None]] = {}
        self._call_id = 0

    # ---- life cycle ----

    def start(self) -> None:
        """Open the log."""
        self._storage.open()

    async def wait_until_open(self, limit_s: float) -> None:
        """Return once the log is open, or after `limit_s`."""
        deadline = self._loop.time() + limit_s
        while self._replica is None and self._loop.time() < deadline:
            await asyncio.sleep(OPEN_POLL_S)

    def tick(self) -> None:
        """Handle the periodic timer."""
        if self._replica is not None:
            self._handle(Tick(frozenset(self._peers())))

    async def drain(self, limit_s: float) -> None:
        """Wait until the peers in contact have all adds of this node, but at most for `limit_s`."""
        deadline = self._loop.time() + limit_s
        while self._loop.time() < deadline and not self._is_replicated():
            await asyncio.sleep(DRAIN_INTERVAL_S)

    def _is_replicated(self) -> bool:
        return self._replica is None or self._replica.is_replicated(self._loop.time())

    # ---- calls ----

    async def add(self, add: TallyAdd) -> None:
        """Count an add; repeating it has no further effect.

        Raises FleetError: TALLY_UNCLEAR if it may have been counted, another code if it was not.
        """
        await self._call(lambda call_id: AddSubmitted(call_id, add))

    async def synchronize(self) -> OrderNumbers:
        """Return the numbers of all orders, with every order that was acknowledged before this call.

        Raises FleetError NO_QUORUM if too few nodes are reachable.
        """
        numbers = await self._call(SyncSubmitted)
        assert numbers is not None
        return numbers

    async def _call(self, make_event: Callable[[int], Event]) -> OrderNumbers | None:
        if self._replica is None:
            raise FleetError(ErrorCode.TALLIES_BEHIND, "the tallies' log is not open yet")
        self._call_id += 1
        call_id = self._call_id
        future: asyncio.Future[OrderNumbers | None] = self._loop.create_future()
        self._calls[call_id] = future
        try:
            self._handle(make_event(call_id))
            return await future
        finally:
            del self._calls[call_id]

    def newest(self, tally: str) -> TallyAdd | None:
        """The add of a tally with the highest id, as known to this node; None if there is none."""
        return None if self._replica is None else self._replica.newest(tally)

    def newest_by_prefix(self, prefix: str) -> list[TallyAdd]:
        """The newest adds of the tallies that hold orders and have this prefix."""
        return [] if self._replica is None else self._replica.newest_by_prefix(prefix)

    @property
    def folder_id(self) -> str | None:
        """The id of this node's data folder; None before the log is open."""
        return None if self._replica is None else self._replica.folder_id

    def order_numbers(self) -> tuple[TallyAdd, ...]:
        """What this node has in the tallies that hold orders, as in `OrderNumbersReply`."""
        return () if self._replica is None else self._replica.order_numbers()

    def folders_in_contact(self) -> frozenset[str] | None:
        """The data folders of this node and of those in contact; None while no order can be stored here."""
        return None if self._replica is None else self._replica.folders_in_contact(self._loop.time())

    def has_all_acknowledged(self) -> bool:
        """Whether this node has all orders that were acknowledged before it started."""
        return self._replica is not None and self._replica.has_all_acknowledged()

    def total(self, tally: str) -> int:
        """The sum of a tally's adds. Raises FleetError TALLIES_BEHIND if this node may lack adds."""
        if self._replica is None:
            raise FleetError(ErrorCode.TALLIES_BEHIND, "the tallies' log is not open yet")
        return self._replica.total(tally, self._loop.time())

    # ---- peers ----

    def message_received(self, sender: str, message: TallyMessage | OrderMessage) -> None:
        """Handle a message from another node."""
        if self._replica is not None:
            self._handle(MessageReceived(sender, message))

    # ---- events and effects ----

    def _opened(self, replica: TallyReplica) -> None:
        self._replica = replica
        self.tick()

    def _handle(self, event: Event) -> None:
        """Handle an event, and then those that its effects cause, one after the other."""
        self._events.append(event)
        if self._handling or self._replica is None:
            return
        self._handling = True
        try:
            while self._events:
                for effect in self._effects_of(self._replica, self._events.popleft()):
                    self._carry_out_isolated(effect)
        finally:
            self._handling = False

    def _effects_of(self, replica: TallyReplica, event: Event) -> list[Effect]:
        try:
            return replica.handle(self._loop.time(), event)
        except Exception as error:
            # The state may be inconsistent now: the process ends and is restarted from its disk.
            unhandled_errors.record("handling a tally event failed: the process ends", error)
            end_process(TALLIES_FAILED_EXIT_STATUS)
            return []

    def _carry_out_isolated(self, effect: Effect) -> None:
        try:
            self._carry_out(effect)
        except Exception as error:
            unhandled_errors.record(
                "carrying out an effect of the tallies failed", error, effect=type(effect).__name__
            )

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case SendMessage(address, message):
                self._send(address, message)
            case SendOrderMessage(address, order_message):
                self._send_order_message(address, order_message)
            case StoreRecords():
                self._storage.store(effect)
            case CallCompleted():
                self._complete(effect)
            case SyncCompleted(call_id, numbers):
                self._resolve(call_id, numbers)
            case LogEvent(level, text, fields):
                log(level, text, **fields)

    def _complete(self, completed: CallCompleted) -> None:
        if completed.error is None:
            self._resolve(completed.call_id, None)
            return
        future = self._calls.get(completed.call_id)
        if future is not None and not future.done():
            future.set_exception(FleetError(completed.error, completed.message))

    def _resolve(self, call_id: int, numbers: OrderNumbers | None) -> None:
        future = self._calls.get(call_id)
        if future is not None and not future.done():
            future.set_result(numbers)

    def metric_values(self) -> dict[str, float]:
        """The values for the metrics; none before the log is open."""
        return {} if self._replica is None else self._replica.metric_values(self._loop.time())
