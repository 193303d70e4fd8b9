"""Operator calls, suspended workers, draining, and the resources shared with sibling processes.

An operator connects, sends one call, and disconnects or is disconnected. A command takes effect only once it
is recorded for both processes (`RecordOrder` -> `OrdersRecorded` or `OrderNotRecorded`). The resources of the
sibling process (`SiblingsReported`) reduce the budget and are passed to the decision module.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.clients import Clients
from reedspoke.net.core import (
    MAX_OPERATOR_CALLS,
    MS,
    OWN_DESCRIPTORS,
    SECOND,
    SPARE_ATTEMPTS,
    Budget,
    Component,
    Core,
    EventHandlers,
    TimerHandlers,
)
from reedspoke.net.state import IdleState, ProcessPhase
from reedspoke.net.workers import Workers

CALL_TIMEOUT = 2 * SECOND  # from connecting to the close of the connection
RECORD_RETRY_DELAY = 20 * MS  # the sibling process holds the lock for far less
MAX_RECORD_RETRIES = 30
SHARED_STATE_INTERVAL = (
    100 * MS
)  # a suspension takes effect in the sibling process well within a drain's grace period
DRAIN_DELAY = 600 * MS  # the front polls ten times a second and stops 0.2 s after a negative answer
DRAIN_INTERVAL = 200 * MS  # between checks for clients to disconnect


class Administration(Component):
    """Operator calls and commands, and coordination with sibling processes."""

    def __init__(self, core: Core, clients: Clients, workers: Workers) -> None:
        super().__init__(core)
        self.clients, self.workers = clients, workers
        self.extension_calls: dict[
            str, Callable[[fx.OperatorCall], fx.ReplyToOperator | None]
        ] = {}  # calls of extensions

    def event_handlers(self) -> EventHandlers:
        """Return the handlers of its events."""
        return {
            fx.OperatorConnected: self._on_operator_connected,
            fx.OperatorCall: self._on_operator_call,
            fx.OperatorDisconnected: self._on_operator_disconnected,
            fx.OrdersRecorded: self._on_orders_recorded,
            fx.OrderNotRecorded: self._on_order_not_recorded,
            fx.SiblingsReported: self._on_siblings_reported,
        }

    def timer_handlers(self) -> TimerHandlers:
        """Return the handlers of its timers."""
        return {
            "caller": self._on_caller_timer,
            "drain": self._on_drain_timer,
            "record": self._on_record_timer,
            "look": self._on_shared_state_timer,
        }

    # ---- operator connections ----

    def _on_operator_connected(self, event: fx.OperatorConnected) -> None:
        """Accept an operator connection, and evict the oldest one at the limit.

        Connections that never send a complete call thus cannot block further calls."""
        callers = self.state.operator_calls
        while len(callers) >= MAX_OPERATOR_CALLS:
            waiting = (caller for caller, called in callers.items() if not called)
            self._disconnect_operator(next(waiting, next(iter(callers))))
        callers[event.caller] = False
        self.core.set_timer(("caller", event.caller), self.core.now + CALL_TIMEOUT)

    def _disconnect_operator(self, caller: int) -> None:
        del self.state.operator_calls[caller]
        self.core.cancel_timer(("caller", caller))
        self.core.count("callers dismissed")
        self.core.request_effect(fx.DisconnectOperator(caller))

    def _on_operator_disconnected(self, event: fx.OperatorDisconnected) -> None:
        if self.state.operator_calls.pop(event.caller, None) is not None:
            self.core.cancel_timer(("caller", event.caller))

    def _on_caller_timer(self, caller: int) -> None:
        if caller in self.state.operator_calls:
            self._disconnect_operator(caller)

    def _on_operator_call(self, event: fx.OperatorCall) -> None:
        state = self.state
        if event.caller not in state.operator_calls:
            return
        state.operator_calls[event.caller] = True
        result = fx.CallResult.YES
        match event.command:
            case fx.OperatorCommand.READY:
                result = fx.CallResult.YES if state.able_to_serve() else fx.CallResult.NO
            case fx.OperatorCommand.SUSPEND | fx.OperatorCommand.RESUME:
                if event.host in state.ever_listed or event.host in state.suspended:
                    worker = state.workers.get(event.host)
                    endpoint = worker.endpoint if worker is not None else ("", 0)
                    self.core.request_effect(
                        fx.RecordOrder(event.caller, event.command, event.host, endpoint)
                    )
                    return
                result = fx.CallResult.UNKNOWN_WORKER
            case fx.OperatorCommand.DRAIN | fx.OperatorCommand.ACTIVATE:
                self.core.request_effect(fx.RecordOrder(event.caller, event.command))
                return
            case fx.OperatorCommand.EXTENSION:
                if (reply := self.extension_calls[event.which](event)) is not None:
                    self.core.request_effect(reply)
                return
        self.core.request_effect(
            fx.ReplyToOperator(event.caller, result, event.command is fx.OperatorCommand.METRICS)
        )

    # ---- recorded commands ----

    def _on_orders_recorded(self, event: fx.OrdersRecorded) -> None:
        """Apply the recorded commands: once this returns, no queued or connecting attempt goes to a suspended
        worker."""
        state = self.state
        for uid in sorted(event.suspended.keys() ^ state.suspended.keys()):
            on = uid in event.suspended
            self.core.request_effect(
                fx.WriteLog(f"operators: worker {uid} {'suspended' if on else 'resumed'}")
            )
        state.suspended = event.suspended
        self.workers.apply_suspensions()
        self._drain(event.drained)
        if event.caller:
            self.core.request_effect(fx.ReplyToOperator(event.caller, fx.CallResult.YES))

    def _on_order_not_recorded(self, event: fx.OrderNotRecorded) -> None:
        """Retry, or report the failure to the operator: a command that is not recorded is not in force here.

        Retries are bounded since the response is due within 1 s, even if a stalled sibling holds the lock."""
        caller = event.record.caller
        if caller not in self.state.operator_calls:
            return
        if event.again and event.record.retries < MAX_RECORD_RETRIES:
            self.state.pending_orders[caller] = replace(event.record, retries=event.record.retries + 1)
            self.core.set_timer(("record", caller), self.core.now + RECORD_RETRY_DELAY)
        else:
            self.core.request_effect(fx.ReplyToOperator(caller, fx.CallResult.NO))

    def _on_record_timer(self, caller: int) -> None:
        if (record := self.state.pending_orders.pop(caller, None)) is not None:
            self.core.request_effect(record)

    # ---- the sibling process during a handover ----

    def _on_shared_state_timer(self, _: int) -> None:
        """Read the shared state, and publish this process's resources whenever they changed.

        The sibling process subtracts them from its limits."""
        state = self.state
        self.core.request_effect(fx.ReadSharedState())
        slots: dict[str, int] = {}
        if state.siblings:
            for request in state.requests.values():
                for attempt in request.in_flight.values():
                    slots[attempt.worker_id] = slots.get(attempt.worker_id, 0) + request.slots
        clients, for_operators = len(state.clients), len(state.operator_calls) + 2
        descriptors = (
            OWN_DESCRIPTORS + for_operators + clients + max(clients + SPARE_ATTEMPTS, len(state.connections))
        )
        learned = self.core.module.learned_state() if state.siblings else api.LearnedState()
        usage = fx.PublishUsage(
            state.phase is not ProcessPhase.SERVING, descriptors if state.siblings else 0, slots, learned
        )
        if usage != state.published_usage:
            state.published_usage = usage
            self.core.request_effect(usage)
        self.core.set_timer(("look", 0), self.core.now + SHARED_STATE_INTERVAL)

    def _on_siblings_reported(self, event: fx.SiblingsReported) -> None:
        """Adjust the limits, which all processes share, and report the siblings' attempts to the module.

        While a sibling accepts clients, this process gets at most half; once the sibling leaves, this process
        gets all that the sibling does not still use."""
        self.state.siblings, whole = event.partners, self.core.full_budget
        left = whole.sockets - sum(sibling.descriptors for sibling in event.partners)
        if any(not sibling.leaving for sibling in event.partners):
            left = min(left, whole.sockets // 2)
        memory = whole.memory_mb / (1 + len(event.partners))
        self.core.budget = (
            Budget.of(left, memory, whole.operator_descriptors, whole.extensions) if event.partners else whole
        )
        slots: dict[str, int] = {}
        for sibling in event.partners:
            for uid, count in sibling.slots.items():
                slots[uid] = slots.get(uid, 0) + count
        learned = event.partners[0].learned if event.partners else self.core.module.siblings.learned
        staying = sum(not sibling.leaving for sibling in event.partners)
        self.core.notify_module(api.SiblingProcesses(staying, slots, learned))
        self.clients.make_room()

    # ---- draining ----

    def _drain(self, on: bool) -> None:
        if on == self.state.drained:
            return
        self.state.drained = on
        self.core.request_effect(fx.WriteLog(f"operators: {'drained' if on else 'active'}"))
        if on:
            self.core.set_timer(("drain", 0), self.core.now + DRAIN_DELAY)
        else:
            self.core.cancel_timer(("drain", 0))

    def _on_drain_timer(self, _: int) -> None:
        """Disconnect idle clients; a client that has just connected may be about to send a request."""
        state = self.state
        if not state.drained:
            return
        for idle_state, clients in state.idle_clients.items():
            for number in clients:
                if (
                    idle_state is not IdleState.NOTHING_ASKED
                    or self.core.now >= state.clients[number].connected_at + DRAIN_DELAY
                ):
                    self.core.request_effect(fx.CloseClient(number))
        self.core.set_timer(("drain", 0), self.core.now + DRAIN_INTERVAL)
