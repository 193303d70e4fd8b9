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
from reedspoke.net.clients import CLIENT_FIRST, Clients
from reedspoke.net.core import MS, Concern, Core, Reactions, Rings
from reedspoke.net.state import Standing

FRESH = 250 * MS  # that a handshake has at the least, however many wait behind it: two rounds to a far client
FIRST = 1000 * MS  # for the first authorisation behind a handshake that took most of CLIENT_FIRST


class Handshakes(Concern):
    def __init__(self, core: Core, clients: Clients, limit: int, most: int) -> None:
        """`limit`: us for one handshake; `most`: at once."""
        super().__init__(core)
        self.clients = clients
        self.bound(limit, most)
        self._admitting = True

    def bound(self, limit: int, most: int) -> None:
        """New bounds; those that are under way keep the time they were given."""
        self.limit = limit
        self.most = max(1, min(most, self.core.whole.clients // 2))

    def reactions(self) -> Reactions:
        return {fx.Greeted: self._on_greeted, fx.Secured: self._on_secured}

    def rings(self) -> Rings:
        return {"handshake": self._ring_handshake, "admit": lambda _: None}

    def _on_greeted(self, event: fx.Greeted) -> None:
        self.clients.enter(event.client, Standing.SHAKING)
        self.core.count("handshakes")
        self.core.quiet(("client", event.client))
        self.core.ring(("handshake", event.client), self.core.now + self.limit)

    def _on_secured(self, event: fx.Secured) -> None:
        client = self.state.clients.get(event.client)
        if client is None or client.standing is not Standing.SHAKING:
            return
        self.core.quiet(("handshake", client.id))
        if client.id in self.state.parting:
            return
        self.clients.rest(client, Standing.SILENT)
        now = self.core.now
        self.core.ring(("client", client.id), max(client.joined + CLIENT_FIRST, now + FIRST))

    def _ring_handshake(self, number: int) -> None:
        client = self.state.clients.get(number)
        if client is not None and client.standing is Standing.SHAKING:
            self.core.count("handshakes late")
            self.core.ask(fx.Drop(number, fx.Farewell.NOW))

    def after(self) -> None:
        """Guards against clients that stop half way."""
        shaking = self.state.resting[Standing.SHAKING]
        if len(shaking) >= self.most:
            oldest = self.state.clients[next(iter(shaking))]
            if self.core.now >= oldest.joined + FRESH:
                self.core.count("handshakes crowded out")
                self.clients.rest(oldest, None)
                self.state.parting.add(oldest.id)
                self.core.quiet(("handshake", oldest.id))
                self.core.ask(fx.Drop(oldest.id, fx.Farewell.NOW))
            elif self._admitting:
                self.core.ring(("admit", 0), oldest.joined + FRESH)
        admitting = len(shaking) < self.most
        if admitting != self._admitting:
            self._admitting = admitting
            self.core.ask(fx.Admit(admitting))
