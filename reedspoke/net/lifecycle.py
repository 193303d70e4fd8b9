"""The start, a new configuration, and the planned end.

STARTING -> SERVING (Listening) -> LEAVING (Stop) -> SHUT (0.7 s later: no listener, nobody idle) -> OVER
(no client left, or the longest deadline has passed). `Stop` counts once; a new configuration may come in
any of them and moves the watch alone.
"""

from __future__ import annotations

from reedspoke.net import effects as fx
from reedspoke.net.core import MS, SECOND, Concern, Core, Reactions, Rings
from reedspoke.net.hosts import Hosts
from reedspoke.net.legs import Legs
from reedspoke.net.state import Life, Standing

PATIENCE = 3 * SECOND  # of a successor with the directory, before it makes do with the list it was given
LEAVE = 500 * MS  # clients keep connecting for up to 400 ms after SIGTERM
LAST_CALL = 200 * MS  # for the first bytes of those taken in last
KILL = (
    3 * SECOND + LEAVE + LAST_CALL
)  # from SIGTERM to SIGKILL, or the longest deadline where that is shorter
KILL_SPARE = 100 * MS  # for the answers that have to be out by then


class Lifecycle(Concern):
    def __init__(self, core: Core, legs: Legs, hosts: Hosts) -> None:
        super().__init__(core)
        self.legs, self.hosts = legs, hosts

    def reactions(self) -> Reactions:
        return {
            fx.Listening: self._on_listening, fx.Stop: self._on_stop, fx.Reload: self._on_reload,
            fx.Reloaded: self._on_reloaded, fx.Unloaded: self._on_unloaded,
        }  # fmt: skip

    def rings(self) -> Rings:
        return {"leave": self._ring_leave, "last call": self._ring_last_call, "end": self._ring_end}

    def _on_listening(self, _: fx.Listening) -> None:
        self.state.life = Life.SERVING
        if self.hosts.pushed:  # else the module asks by itself
            self.hosts.follow()
        if not self.state.settled:
            self.core.ring(("settle", 0), self.core.now + PATIENCE)

    def _on_reload(self, _: fx.Reload) -> None:
        self.core.ask(fx.Reread())

    def _on_reloaded(self, event: fx.Reloaded) -> None:
        """Moves the watch; the module keeps what it knows, and its legs and clients go on."""
        state = self.state
        self.core.tally("sighup_applied")
        moved = event.directory != state.directory
        host, port = event.directory
        self.core.ask(
            fx.Say(f"reload: directory {'moves to' if moved else 'stays at'} {host}:{port}")
        )  # fmt: skip
        if moved:
            self.hosts.move(event.directory)

    def _on_unloaded(self, _: fx.Unloaded) -> None:
        self.core.tally("sighup_rejected")

    def _on_stop(self, _: fx.Stop) -> None:
        if self.state.life not in (Life.STARTING, Life.SERVING):
            return
        self.state.life = Life.LEAVING
        self.core.ask(fx.Say(f"stopping: {len(self.state.names)} authorisations open"))
        if self.state.inherited:  # from now on its successor takes clients in
            self.core.ask(fx.Shut())
        self._drop_waiting(kept=True)
        self.core.ring(("leave", 0), self.core.now + LEAVE)
        longest = max(cls.deadline for cls in self.core.settings.classes)
        self.state.kill_at = self.core.now + min(KILL, longest + LEAVE + LAST_CALL) - KILL_SPARE
        self.core.ring(("end", 0), self.core.now + LEAVE + longest + SECOND)

    def _drop_waiting(self, *, kept: bool) -> None:
        """`kept`: only those that were answered before; a new client's first bytes may be on their way."""
        for standing in (Standing.ANSWERED, Standing.KEPT) if kept else Standing:
            for client in self.state.resting[standing]:
                self.core.ask(fx.Drop(client))

    def _ring_leave(self, _: int) -> None:
        if not self.state.inherited:
            self.core.ask(fx.Shut())
        self.core.ring(("last call", 0), self.core.now + LAST_CALL)

    def _ring_last_call(self, _: int) -> None:
        self.state.life = Life.SHUT
        self._drop_waiting(kept=False)

    def _ring_end(self, _: int) -> None:
        self._over()

    def after(self) -> None:
        if self.state.life is Life.SHUT and not self.state.clients:
            self._over()

    def _over(self) -> None:
        if self.state.life is not Life.OVER:
            self.state.life = Life.OVER
            for conn in list(self.state.conns.values()):
                self.legs.hang_up(conn)
            self.core.ask(fx.Unfollow())
            self.core.ask(fx.Exit())
