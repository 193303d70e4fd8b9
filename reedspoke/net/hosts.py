"""Issuer hosts as the directory lists them, and the watch on it.

The watch is off, asked for (`follow`), or alive: `Listed` and `Beaten` keep it alive, `Unlisted` or a
silence ends it, and the module asks for the next one. A host stands in the table from the first list that
names it until one says that it is gone, or leaves it out of a whole list. The module hears of operators'
bans before it hears of the list that they bear on.
"""

from __future__ import annotations

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.clients import Clients
from reedspoke.net.core import MS, Concern, Core, Reactions, Rings
from reedspoke.net.legs import Legs
from reedspoke.net.state import Host

MOST_PAST = 1000  # ids of hosts that have gone and are known still, for the operators' calls
SILENCE = 3500 * MS  # of the directory, which beats every 2 s; what changes counts as told after 6 s


class Hosts(Concern):
    def __init__(self, core: Core, clients: Clients, legs: Legs) -> None:
        super().__init__(core)
        self.clients, self.legs = clients, legs

    def reactions(self) -> Reactions:
        return {fx.Listed: self._on_listed, fx.Beaten: self._on_beaten, fx.Unlisted: self._on_unlisted}

    def rings(self) -> Rings:
        return {"silence": self._ring_silence, "settle": lambda _: self.settle()}

    def follow(self) -> None:
        self.state.watching = True
        self.core.ask(fx.Follow(self.state.directory, self.state.rev))
        self.core.ring(("silence", 0), self.core.now + SILENCE)

    def _on_listed(self, event: fx.Listed) -> None:
        state = self.state
        state.rev = event.rev
        full = event.kind is not api.ListKind.CHANGES
        named = {target.entry.worker for target in event.targets}
        for host in list(state.hosts.values()):
            if full and host.uid not in named:
                self._remove(host)
        for target in event.targets:
            self._learn(target)
        for uid in [uid for uid in state.ever_listed if uid not in state.hosts][: -MOST_PAST or None]:
            del state.ever_listed[uid]
        state.listed = state.listed or bool(state.hosts)
        if event.kind is not api.ListKind.STALE:
            self.core.ring(("silence", 0), self.core.now + SILENCE)
            self.settle()
        self.heed_bans()  # before the list, or the module might use who is new on it
        self.core.tell(api.Members(event.kind, [target.entry for target in event.targets]))

    def settle(self) -> None:
        """From now on clients are taken in."""
        if not self.state.settled:
            self.state.settled = True
            self.clients.make_room()

    def heed_bans(self) -> None:
        """Guards the operators' ban: it is for the machine as well as for its id, which may come back with a
        fresh one at the same address."""
        state, none = self.state, ("", 0)
        for uid in state.suspended:
            if (host := state.hosts.get(uid)) is not None:
                state.suspended[uid] = host.endpoint
        places = set(state.suspended.values()) - {none}
        barred = set(state.suspended) | {host.uid for host in state.hosts.values() if host.endpoint in places}
        for uid in sorted(barred ^ state.barred):
            if (host := state.hosts.get(uid)) is not None:
                self._drop_idle(host)  # it is worked on: their other end will be another process
            self.core.tell(api.Suspended(uid, uid in barred))
        state.barred = barred
        for host in state.hosts.values():
            host.suspended = host.uid in barred

    def _learn(self, target: fx.Target) -> None:
        entry = target.entry
        host = self.state.hosts.get(entry.worker)
        if entry.state is api.WorkerState.GONE:
            if host is not None:
                self._remove(host)
            return
        if host is None:
            host = Host(entry.worker, target.endpoint, entry.state, entry.born)
            self.state.hosts[host.uid] = host
            self.state.ever_listed[host.uid] = None
            return
        if entry.state is not api.WorkerState.UP or (target.endpoint, entry.born) != (
            host.endpoint,
            host.born,
        ):
            self._drop_idle(host)  # their other end may be another process by now
        host.endpoint, host.state, host.born = target.endpoint, entry.state, entry.born

    def _remove(self, host: Host) -> None:
        """Forgotten at once, or the table would grow with every deploy; legs that are out go on."""
        self._drop_idle(host)
        del self.state.hosts[host.uid]

    def _drop_idle(self, host: Host) -> None:
        for conn in list(host.idle):
            self.legs.hang_up(self.state.conns[conn])

    def _on_beaten(self, _: fx.Beaten) -> None:
        self.core.ring(("silence", 0), self.core.now + SILENCE)

    def _on_unlisted(self, event: fx.Unlisted) -> None:
        self.state.watching = False
        self.core.quiet(("silence", 0))
        self.core.count("watches lost")
        self.core.ask(fx.Say(f"directory: watch lost: {event.why}"))
        self.core.tell(api.Members(api.ListKind.LOST, []))

    def _ring_silence(self, _: int) -> None:
        self.core.ask(fx.Unfollow())
        self._on_unlisted(fx.Unlisted("silence"))
