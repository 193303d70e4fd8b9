"""The reducer's part for fronts that need a handshake: a bound on how many there are at once and for how
long.

    (Greeted) -> SHAKING -> (Secured) -> SILENT, as any other client

A handshake holds a client's place from its first event on, so descriptors and memory of both count in one
budget. Where all places for handshakes are taken, the one that has had its fair time and is oldest goes
for a new one, and until there is one like that, who comes waits at the listener. The plain front is never
held back by that.
"""

from __future__ import annotations

from reedspoke.net import effects as fx
from reedspoke.net.clients import FIRST_REQUEST_TIMEOUT, Clients
from reedspoke.net.core import MS, Component, Core, EventHandlers, TimerHandlers
from reedspoke.net.state import IdleState

FRESH = 250 * MS  # that a handshake has at the least, however many wait behind it: two rounds to a far client
FIRST = 1000 * MS  # for the first authorisation behind a handshake that took most of FIRST_REQUEST_TIMEOUT


class Handshakes(Component):
    def __init__(self, core: Core, clients: Clients, limit: int, most: int) -> None:
        """`limit`: us for one handshake; `most`: at once."""
        super().__init__(core)
        self.clients = clients
        self.bound(limit, most)
        self._admitting = True

    def bound(self, limit: int, most: int) -> None:
        """New bounds; those that are under way keep the time they were given."""
        self.limit = limit
        self.most = max(1, min(most, self.core.full_budget.clients // 2))

    def event_handlers(self) -> EventHandlers:
        return {fx.HandshakeStarted: self._on_greeted, fx.HandshakeCompleted: self._on_secured}

    def timer_handlers(self) -> TimerHandlers:
        return {"handshake": self._ring_handshake, "admit": lambda _: None}

    def _on_greeted(self, event: fx.HandshakeStarted) -> None:
        self.clients.add(event.client, IdleState.HANDSHAKING)
        self.core.count("handshakes")
        self.core.cancel_timer(("client", event.client))
        self.core.set_timer(("handshake", event.client), self.core.now + self.limit)

    def _on_secured(self, event: fx.HandshakeCompleted) -> None:
        client = self.state.clients.get(event.client)
        if client is None or client.idle_state is not IdleState.HANDSHAKING:
            return
        self.core.cancel_timer(("handshake", client.id))
        if client.id in self.state.closing_clients:
            return
        self.clients.set_idle_state(client, IdleState.NOTHING_ASKED)
        now = self.core.now
        self.core.set_timer(
            ("client", client.id), max(client.connected_at + FIRST_REQUEST_TIMEOUT, now + FIRST)
        )

    def _ring_handshake(self, number: int) -> None:
        client = self.state.clients.get(number)
        if client is not None and client.idle_state is IdleState.HANDSHAKING:
            self.core.count("handshakes late")
            self.core.request_effect(fx.CloseClient(number, fx.CloseMode.IMMEDIATELY))

    def after_event(self) -> None:
        """Guards against clients that stop half way."""
        shaking = self.state.idle_clients[IdleState.HANDSHAKING]
        if len(shaking) >= self.most:
            oldest = self.state.clients[next(iter(shaking))]
            if self.core.now >= oldest.connected_at + FRESH:
                self.core.count("handshakes crowded out")
                self.clients.set_idle_state(oldest, None)
                self.state.closing_clients.add(oldest.id)
                self.core.cancel_timer(("handshake", oldest.id))
                self.core.request_effect(fx.CloseClient(oldest.id, fx.CloseMode.IMMEDIATELY))
            elif self._admitting:
                self.core.set_timer(("admit", 0), oldest.connected_at + FRESH)
        admitting = len(shaking) < self.most
        if admitting != self._admitting:
            self._admitting = admitting
            self.core.request_effect(fx.SetHandshaking(admitting))
