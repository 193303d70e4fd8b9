"""The fleet's part of the reducer: what comes from the other schedulers, what they are told, who is alive,
who holds which duty. It looks every LOOK from `Joining` until the end.

What is pure stands in `party.py`; here are the reducer's events, the module's picture of the others, the log
and the operators' calls. While this process leaves or is drained it gives its duties back, each to a live
member.
"""

from __future__ import annotations

from zlib import crc32

from reedspoke import interface as api
from reedspoke.fleet.calls import Calls
from reedspoke.fleet.events import Acted, Came, Joining, Keep, Kept, Spread
from reedspoke.fleet.frames import FrameError, Holdings
from reedspoke.fleet.membership import Standing
from reedspoke.fleet.party import ALL, DRAINED, LEAVING, SERVING, Party
from reedspoke.fleet.sharing import Sharing, held_by
from reedspoke.fleet.status import status
from reedspoke.net import effects as fx
from reedspoke.net.core import MS, Concern, Core, Reactions, Rings
from reedspoke.net.state import Life

SELDOM_LOOK = 250 * MS  # where nothing but words on jobs is exchanged
RELEASED = 2  # terms for which a duty that an operator has released is not asked for again here


class Fellowship(Concern):
    """`sharing` is None where no words on jobs are exchanged."""

    def __init__(self, core: Core, party: Party, sharing: Sharing | None) -> None:
        super().__init__(core)
        self.party, self.sharing = party, sharing
        self.duties, self.membership = party.duties, party.membership
        self.look = SELDOM_LOOK
        if self.membership is not None:
            self.look = min(self.look, self.membership.period // 8)
        if self.duties is not None:
            self.look = min([self.look, *(lease.term // 40 for lease in self.duties.leases.values())])
        self._wanted = False
        self._again: dict[str, int] = {}  # duties that an operator has released here, and until when
        self._able = True

    def reactions(self) -> Reactions:
        return {
            Came: self._on_came, Joining: lambda _: self._ring_look(0), Acted: self._on_acted,
            Kept: self._on_kept,
        }  # fmt: skip

    def rings(self) -> Rings:
        return {"peers": self._ring_look}

    # ---- events ----

    def _on_came(self, event: Came) -> None:
        now = self.core.now
        frame = self.party.take(event.body, now, event.sender)
        if frame is None or self.sharing is None:
            return
        changed = False
        for matter in frame.matters:
            if isinstance(matter, Holdings):
                try:
                    changed |= self.sharing.hear(now, frame.sender, frame.incarnation, frame.sequence, matter)
                except FrameError:
                    self.party.mail.counted["malformed"] += 1
        if changed:
            self._tell()

    def _ring_look(self, _: int) -> None:
        now = self.core.now
        if self.sharing is not None and self.sharing.forget(now):
            self._tell()
        for name in [name for name, at in self._again.items() if now >= at]:
            del self._again[name]
            if self._wanted:
                self.party.want(True, ALL, now, [name])
        self.party.look(now)
        if self.duties is not None:
            self._look_for_majority()
        if self.state.life is not Life.OVER:
            self.core.ring(("peers", 0), now + self.look)

    def _look_for_majority(self) -> None:
        able = self.party.majority()
        if able != self._able:
            self._able = able
            text = "is in reach again" if able else "is out of reach: what needs a duty rests"
            self.core.ask(fx.Say(f"fleet: a majority of the granters {text}"))

    def _on_kept(self, event: Kept) -> None:
        self.party.keeping -= 1
        for spread in event.then:
            self.core.ask(spread)

    def _on_acted(self, event: Acted) -> None:
        assert self.duties is not None
        if isinstance(work := self.duties.works.get(event.duty), Calls):
            work.acted(event.status)
        if event.status == 409 and event.token:
            self.party.gather(self.duties.refused(event.duty, event.token, self.core.now))

    # ---- operators ----

    def on_fleet(self, event: fx.Called) -> fx.Reply:
        return fx.Reply(event.caller, fx.Word.YES, text=status(self.party, self.core.now))

    def on_release(self, event: fx.Called) -> fx.Reply:
        """Only who holds a duty can give it back; it is not asked for again here for a while."""
        duties, now = self.duties, self.core.now
        name, to = event.names[0], event.names[1] if len(event.names) > 1 else ""
        if duties is None or name not in duties.leases:
            return fx.Reply(event.caller, fx.Word.ABSENT, text="no such duty\n")
        heir = int(to) if to.isascii() and to.isdigit() and len(to) < 6 else ALL
        if to and (self.membership is None or heir not in self.membership.members):
            return fx.Reply(event.caller, fx.Word.ABSENT, text=f"no other scheduler {to}\n")
        if not duties.holds(name, now):
            grip = duties.holder(name, now)
            held = f"held by scheduler {grip.member}" if grip else "held by nobody that is known here"
            return fx.Reply(event.caller, fx.Word.NO, text=f"{held}\n")
        self._again[name] = now + RELEASED * duties.leases[name].term
        self.party.want(False, heir if to else self.heir(name), now, [name])
        return fx.Reply(event.caller, fx.Word.YES)

    def heir(self, name: str) -> int:
        """A live member, for each duty another one; -1: nobody is known to live."""
        if self.membership is None:
            return ALL
        alive = [at for at, one in self.membership.members.items() if one.standing is Standing.ALIVE]
        return max(alive, key=lambda at: crc32(f"{name}/{at}".encode()), default=ALL)

    # ---- what goes out ----

    def _tell(self) -> None:
        assert self.sharing is not None
        self.core.tell(api.Others(self.sharing.others(self.state.hosts)))

    def after(self) -> None:
        if self.duties is not None:
            self._want()
            for effect in self.duties.effects:
                self.core.ask(effect)  # type: ignore[arg-type]
            self.duties.effects.clear()
            self._say()
        if self.sharing is not None:
            tries = self.state.counted["forwards", ""]
            self.party.out[ALL] += self.sharing.say(self.core.now, held_by(self.core.module), tries)
        spreads = [Spread(tuple(bodies), to) for to, bodies in self.party.flush(self.core.now)]
        if changes := [change for keep in self.party.keeps for change in keep()]:
            self.party.keeping += 1
            self.core.ask(Keep(tuple(changes), tuple(spreads)))
            return
        for spread in spreads:
            self.core.ask(spread)

    def _want(self) -> None:
        """Guards a duty against a process that is about to end: it is handed on, not left to run out."""
        assert self.duties is not None
        wanted = self.state.life is Life.SERVING and not self.state.leaving()
        self.party.phase = SERVING if wanted else DRAINED if self.state.drained else LEAVING
        if wanted != self._wanted:
            self._wanted = wanted
            for name in self.duties.leases:
                if name not in self._again:
                    self.party.want(wanted, ALL if wanted else self.heir(name), self.core.now, [name])

    def _say(self) -> None:
        assert self.duties is not None
        for line in self.duties.changes:
            self.core.ask(fx.Say(line))
        self.duties.changes.clear()
        if self.membership is not None:
            for change in self.membership.changes:
                self.core.count(f"members {change.now.name.lower()}")
                text = f"fleet: scheduler {change.member} is {change.now.name.lower()}"
                self.core.ask(fx.Say(f"{text}, was {change.before.name.lower()}"))
            self.membership.changes.clear()
