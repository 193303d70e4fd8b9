"""What operators ask for: hosts left out by hand, clients sent away, and the door's callers themselves.

A caller has rung, has called, and is gone (Hungup) or dismissed. An order counts as given only once it is
recorded for both processes (`Record` -> `Ordered` or `Unrecorded`): until then nothing changes here. What
the other process holds (`Accompanied`) changes the budget and is told to the module.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.clients import Clients
from reedspoke.net.core import (
    CALLERS,
    MS,
    OWN_DESCRIPTORS,
    SECOND,
    SPARE_LEGS,
    Budget,
    Concern,
    Core,
    Reactions,
    Rings,
)
from reedspoke.net.hosts import Hosts
from reedspoke.net.state import Life, Standing

CALL = 2 * SECOND  # for the bytes of one call, and for the end of its connection
RECORD_AGAIN = 20 * MS  # the other process holds its lock for far less
MOST_TRIES = 30
LOOK = 100 * MS  # a suspension told to one process is in force in the other well within a drain's window
AWAY = 600 * MS  # from the drain on: the front asks ten times a second and stops 0.2 s after a no
AWAY_AGAIN = 200 * MS  # between looks at who is idle, or has connected and says nothing


class Upkeep(Concern):
    def __init__(self, core: Core, clients: Clients, hosts: Hosts) -> None:
        super().__init__(core)
        self.clients, self.hosts = clients, hosts
        self.further: dict[str, Callable[[fx.Called], fx.Reply | None]] = {}  # calls of other parts

    def reactions(self) -> Reactions:
        return {
            fx.Rang: self._on_rang, fx.Called: self._on_called, fx.Hungup: self._on_hungup,
            fx.Ordered: self._on_ordered, fx.Unrecorded: self._on_unrecorded,
            fx.Accompanied: self._on_accompanied,
        }  # fmt: skip

    def rings(self) -> Rings:
        return {
            "caller": self._ring_caller, "away": self._ring_away, "record": self._ring_record,
            "look": self._ring_look,
        }  # fmt: skip

    # ---- the door ----

    def _on_rang(self, event: fx.Rang) -> None:
        """Guards the door against callers that never end their call: the one that waits longest goes for the
        newest, so that a whole call is always read at once."""
        callers = self.state.callers
        while len(callers) >= CALLERS:
            waiting = (caller for caller, called in callers.items() if not called)
            self._dismiss(next(waiting, next(iter(callers))))
        callers[event.caller] = False
        self.core.ring(("caller", event.caller), self.core.now + CALL)

    def _dismiss(self, caller: int) -> None:
        del self.state.callers[caller]
        self.core.quiet(("caller", caller))
        self.core.count("callers dismissed")
        self.core.ask(fx.Dismiss(caller))

    def _on_hungup(self, event: fx.Hungup) -> None:
        if self.state.callers.pop(event.caller, None) is not None:
            self.core.quiet(("caller", event.caller))

    def _ring_caller(self, caller: int) -> None:
        if caller in self.state.callers:
            self._dismiss(caller)

    def _on_called(self, event: fx.Called) -> None:
        state = self.state
        if event.caller not in state.callers:
            return
        state.callers[event.caller] = True
        word = fx.Word.YES
        match event.order:
            case fx.Order.READY:
                word = fx.Word.YES if state.able() else fx.Word.NO
            case fx.Order.SUSPEND | fx.Order.RESUME:
                if event.host in state.ever_listed or event.host in state.suspended:
                    host = state.hosts.get(event.host)
                    endpoint = host.endpoint if host is not None else ("", 0)
                    self.core.ask(fx.Record(event.caller, event.order, event.host, endpoint))
                    return
                word = fx.Word.UNKNOWN
            case fx.Order.DRAIN | fx.Order.ACTIVATE:
                self.core.ask(fx.Record(event.caller, event.order))
                return
            case fx.Order.FURTHER:
                if (reply := self.further[event.which](event)) is not None:
                    self.core.ask(reply)
                return
        self.core.ask(fx.Reply(event.caller, word, event.order is fx.Order.FIGURES))

    # ---- orders, as kept for both processes ----

    def _on_ordered(self, event: fx.Ordered) -> None:
        """In force once this has returned: nothing that is queued or still dials goes to a suspended host."""
        state = self.state
        for uid in sorted(event.suspended.keys() ^ state.suspended.keys()):
            on = uid in event.suspended
            self.core.ask(fx.Say(f"operators: issuer host {uid} {'suspended' if on else 'resumed'}"))
        state.suspended = event.suspended
        self.hosts.heed_bans()
        self._drain(event.drained)
        if event.caller:
            self.core.ask(fx.Reply(event.caller, fx.Word.YES))

    def _on_unrecorded(self, event: fx.Unrecorded) -> None:
        """An order that the other process could not be told of is not in force here either. Guards the caller
        against one that holds its lock and stands still: the answer is owed within 1 s."""
        caller = event.record.caller
        if caller not in self.state.callers:
            return
        if event.again and event.record.tries < MOST_TRIES:
            self.state.records[caller] = replace(event.record, tries=event.record.tries + 1)
            self.core.ring(("record", caller), self.core.now + RECORD_AGAIN)
        else:
            self.core.ask(fx.Reply(caller, fx.Word.NO))

    def _ring_record(self, caller: int) -> None:
        if (record := self.state.records.pop(caller, None)) is not None:
            self.core.ask(record)

    # ---- the other process, while one replaces the other ----

    def _ring_look(self, _: int) -> None:
        """What is held is told whenever it has changed: the other process counts it as its own."""
        state = self.state
        self.core.ask(fx.Look())
        slots: dict[str, int] = {}
        if state.partners:
            for auth in state.authorisations.values():
                for leg in auth.out.values():
                    slots[leg.host] = slots.get(leg.host, 0) + auth.slots
        clients, door = len(state.clients), len(state.callers) + 2
        descriptors = OWN_DESCRIPTORS + door + clients + max(clients + SPARE_LEGS, len(state.conns))
        learned = self.core.module.learned_state() if state.partners else api.LearnedState()
        held = fx.Hold(state.life is not Life.SERVING, descriptors if state.partners else 0, slots, learned)
        if held != state.held:
            state.held = held
            self.core.ask(held)
        self.core.ring(("look", 0), self.core.now + LOOK)

    def _on_accompanied(self, event: fx.Accompanied) -> None:
        """Guards the limits, which hold for all processes together: while another one takes clients in as
        well, half is ours; once it leaves, what it still holds is not. The module hears of its legs."""
        self.state.partners, whole = event.partners, self.core.whole
        left = whole.sockets - sum(partner.descriptors for partner in event.partners)
        if any(not partner.leaving for partner in event.partners):
            left = min(left, whole.sockets // 2)
        memory = whole.memory_mb / (1 + len(event.partners))
        self.core.budget = Budget.of(left, memory, whole.door, whole.further) if event.partners else whole
        slots: dict[str, int] = {}
        for partner in event.partners:
            for uid, count in partner.slots.items():
                slots[uid] = slots.get(uid, 0) + count
        learned = event.partners[0].learned if event.partners else self.core.module.siblings.learned
        staying = sum(not partner.leaving for partner in event.partners)
        self.core.tell(api.SiblingProcesses(staying, slots, learned))
        self.clients.make_room()

    # ---- clients sent away ----

    def _drain(self, on: bool) -> None:
        if on == self.state.drained:
            return
        self.state.drained = on
        self.core.ask(fx.Say(f"operators: {'drained' if on else 'active'}"))
        if on:
            self.core.ring(("away", 0), self.core.now + AWAY)
        else:
            self.core.quiet(("away", 0))

    def _ring_away(self, _: int) -> None:
        """Sends away those who are owed nothing; who has only just connected may be about to ask."""
        state = self.state
        if not state.drained:
            return
        for standing, clients in state.resting.items():
            for number in clients:
                if standing is not Standing.SILENT or self.core.now >= state.clients[number].joined + AWAY:
                    self.core.ask(fx.Drop(number))
        self.core.ring(("away", 0), self.core.now + AWAY_AGAIN)
