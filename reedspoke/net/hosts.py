"""Issuer hosts as the directory lists them, and the watch on it.

The watch is off, asked for (`follow`), or alive: `Listed` and `Beaten` keep it alive, `Unlisted` or a
silence ends it. Where discovery is asked, a call costs one service that all share: the module says when
(`Watch`) and hears that one was lost. Where lists are pushed, an agent on this machine has them and answers
at no cost: the watch is opened at the start and opened again here, and the module, which on the simulator's
wire is handed its lists without asking, hears of lists alone. A host stands in the table from the first list
that names it until one says that it is gone, or leaves it out of a whole list. The module hears of
operators' bans before it hears of the list that they bear on.
"""

from __future__ import annotations

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.clients import Clients
from reedspoke.net.core import MS, SECOND, Concern, Core, Reactions, Rings
from reedspoke.net.legs import Legs
from reedspoke.net.state import Host, Life

MOST_PAST = 1000  # ids of hosts that have gone and are known still, for the operators' calls
SILENCE = 3500 * MS  # of the directory, which beats every 2 s; what changes counts as told after 6 s
AGAIN, AGAIN_MOST = 50 * MS, SECOND  # until a lost watch on pushed lists is opened again, doubled each time
OLDER = 10 * SECOND  # of lists older than ours and nothing else: the directory has begun its versions anew


class Hosts(Concern):
    def __init__(self, core: Core, clients: Clients, legs: Legs) -> None:
        super().__init__(core)
        self.clients, self.legs = clients, legs

    def reactions(self) -> Reactions:
        return {fx.Listed: self._on_listed, fx.Beaten: self._on_beaten, fx.Unlisted: self._on_unlisted}

    def rings(self) -> Rings:
        return {
            "silence": self._ring_silence, "settle": lambda _: self.settle(),
            "watch": lambda _: self.follow(),
        }  # fmt: skip

    @property
    def pushed(self) -> bool:
        """Lists are an agent's to push: nobody is asked for them, and a watch costs nothing."""
        return not self.core.settings.ask_for_list

    def follow(self) -> None:
        if self.state.life is Life.OVER:
            return
        self.core.count("watches")
        self.state.watching = True
        self.core.quiet(("watch", 0))
        self.core.ask(fx.Follow(self.state.directory, self.state.rev))
        self.core.ring(("silence", 0), self.core.now + SILENCE)

    def _on_listed(self, event: fx.Listed) -> None:
        state = self.state
        state.watch_losses = 0
        if self._older(event):
            return
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

    def _older(self, event: fx.Listed) -> bool:
        """Guards drains against a directory that has fallen behind us, an agent just restarted, say: hosts
        that have left by a newer list would come back by an older one. Only departures are heeded in it."""
        state = self.state
        if event.kind is api.ListKind.STALE or event.rev >= state.rev:
            state.older_at = 0
            return False
        if not state.older_at:
            state.older_at = self.core.now
            self.core.ask(fx.Say(f"directory: version {event.rev} is older than {state.rev}: passed over"))
        if self.core.now >= state.older_at + OLDER:
            state.older_at = 0
            return False
        self.core.ring(("silence", 0), self.core.now + SILENCE)
        self.settle()
        left = [target for target in event.targets if target.entry.state is not api.WorkerState.UP]
        for target in left:
            self._learn(target)
        if left:
            self.core.tell(api.Members(api.ListKind.CHANGES, [target.entry for target in left]))
        return True

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
        self.state.watch_losses = 0
        self.core.ring(("silence", 0), self.core.now + SILENCE)

    def _on_unlisted(self, event: fx.Unlisted) -> None:
        self.state.watching = False
        self.core.quiet(("silence", 0))
        self.core.count("watches lost")
        text = f"directory: watch lost: {event.why}"
        if self.pushed:
            self.core.say_seldom("watch lost", text)
            after = min(AGAIN_MOST, AGAIN * 2 ** min(self.state.watch_losses, 8))
            self.state.watch_losses += 1
            self.core.ring(("watch", 0), self.core.now + after)
        else:
            self.core.ask(fx.Say(text))
            self.core.tell(api.Members(api.ListKind.LOST, []))

    def _ring_silence(self, _: int) -> None:
        self.core.ask(fx.Unfollow())
        self._on_unlisted(fx.Unlisted("silence"))
