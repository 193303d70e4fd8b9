"""The fleet's part of the reducer: what comes from the other schedulers, what they are told, who is alive,
who holds which duty. It looks every LOOK from `Joining` until the end.

Matters for one scheduler or for all are gathered while an event is handled and leave together behind it, news
of members with them. While this process leaves or is drained it gives its duties back, each to a live member.
"""

from __future__ import annotations

from collections import defaultdict
from zlib import crc32

from reedspoke import interface as api
from reedspoke.fleet.calls import Calls
from reedspoke.fleet.duties import Duties
from reedspoke.fleet.frames import Creed, FrameError, Holder, Holdings, Leased, Matter, Ping
from reedspoke.fleet.mail import Mail
from reedspoke.fleet.membership import Membership, Standing
from reedspoke.fleet.sharing import Sharing, held_by
from reedspoke.fleet.status import status
from reedspoke.net import effects as fx
from reedspoke.net.core import MS, Concern, Core, Reactions, Rings
from reedspoke.net.state import Life

SELDOM_LOOK = 250 * MS  # where nothing but words on jobs is exchanged
ALL = -1
RELEASED = 2  # terms for which a duty that an operator has released is not asked for again here


class Fellowship(Concern):
    """`sharing`, `membership` and `duties` are None where that is not in use."""

    def __init__(
        self, core: Core, mail: Mail, sharing: Sharing | None, membership: Membership | None = None,
        duties: Duties | None = None,
    ) -> None:  # fmt: skip
        super().__init__(core)
        self.mail, self.sharing, self.membership, self.duties = mail, sharing, membership, duties
        self.look = SELDOM_LOOK
        if membership is not None:
            self.look = min(self.look, membership.period // 8)
        if duties is not None:
            self.look = min([self.look, *(lease.term // 40 for lease in duties.leases.values())])
        self._out: defaultdict[int, list[Matter]] = defaultdict(list)
        self._wanted = False
        self._again: dict[str, int] = {}  # duties that an operator has released here, and until when
        self._able = True

    def reactions(self) -> Reactions:
        return {fx.Came: self._on_came, fx.Joining: lambda _: self._ring_look(0), fx.Acted: self._on_acted}

    def rings(self) -> Rings:
        return {"peers": self._ring_look}

    # ---- events ----

    def _on_came(self, event: fx.Came) -> None:
        frame = self.mail.take(event.body, event.sender)
        if frame is None:
            return
        now, changed = self.core.now, False
        for matter in frame.matters:
            if isinstance(matter, Holdings):
                if self.sharing is not None:
                    try:
                        changed |= self.sharing.hear(
                            now, frame.sender, frame.incarnation, frame.sequence, matter
                        )
                    except FrameError:
                        self.mail.counted["malformed"] += 1
            elif isinstance(matter, Leased | Holder) and self.duties is not None:
                self._gather(self.duties.hear(frame.sender, matter, now))
            elif isinstance(matter, Creed) and self.duties is not None:
                self._gather(self.duties.hear_creed(frame.sender, matter, now))
        if self.membership is not None:
            self._gather(self.membership.hear(frame.sender, frame.incarnation, frame.matters, now))
        if changed:
            self._tell()

    def _ring_look(self, _: int) -> None:
        now = self.core.now
        if self.sharing is not None and self.sharing.forget(now):
            self._tell()
        if self.membership is not None:
            self._gather(self.membership.tick(now))
        if self.duties is not None:
            for name in [name for name, at in self._again.items() if now >= at]:
                del self._again[name]
                if self._wanted:
                    self._gather(self.duties.want(True, -1, now, [name]))
            self._gather(self.duties.tick(now))
            self._look_for_majority()
        if self.state.life is not Life.OVER:
            self.core.ring(("peers", 0), now + self.look)

    def _look_for_majority(self) -> None:
        able = self.majority()
        if able != self._able:
            self._able = able
            text = "is in reach again" if able else "is out of reach: what needs a duty rests"
            self.core.ask(fx.Say(f"fleet: a majority of the granters {text}"))

    def majority(self) -> bool:
        """Whether enough granters are alive for any lease, as far as is known here."""
        if self.duties is None or self.membership is None:
            return False
        granters = self.duties.electorate.granters
        kept = (Standing.ALIVE, Standing.SUSPECT)
        return sum(self.membership.standing(one) in kept for one in granters) > len(granters) // 2

    def _on_acted(self, event: fx.Acted) -> None:
        assert self.duties is not None
        if isinstance(work := self.duties.works.get(event.duty), Calls):
            work.acted(event.status)
        if event.status == 409 and event.token:
            self._gather(self.duties.refused(event.duty, event.token, self.core.now))

    # ---- operators ----

    def on_fleet(self, event: fx.Called) -> fx.Reply:
        return fx.Reply(event.caller, fx.Word.YES, text=status(self, self.core.now))

    def on_release(self, event: fx.Called) -> fx.Reply:
        """Only who holds a duty can give it back; it is not asked for again here for a while."""
        duties, now = self.duties, self.core.now
        name, _, to = event.host.partition("/")
        if duties is None or name not in duties.leases:
            return fx.Reply(event.caller, fx.Word.ABSENT, text="no such duty\n")
        heir = int(to) if to.isascii() and to.isdigit() and len(to) < 6 else -1
        if to and (self.membership is None or heir not in self.membership.members):
            return fx.Reply(event.caller, fx.Word.ABSENT, text=f"no other scheduler {to}\n")
        if not duties.holds(name, now):
            grip = duties.holder(name, now)
            held = f"held by scheduler {grip.member}" if grip else "held by nobody that is known here"
            return fx.Reply(event.caller, fx.Word.NO, text=f"{held}\n")
        self._again[name] = now + RELEASED * duties.leases[name].term
        self._gather(duties.want(False, heir if to else self.heir(name), now, [name]))
        return fx.Reply(event.caller, fx.Word.YES)

    def heir(self, name: str) -> int:
        """A live member, for each duty another one; -1: nobody is known to live."""
        if self.membership is None:
            return -1
        alive = [at for at, one in self.membership.members.items() if one.standing is Standing.ALIVE]
        return max(alive, key=lambda at: crc32(f"{name}/{at}".encode()), default=-1)

    # ---- what goes out ----

    def _tell(self) -> None:
        assert self.sharing is not None
        self.core.tell(api.Others(self.sharing.others(self.state.hosts)))

    def _gather(self, told: list[tuple[int, Matter]] | list[tuple[int, Leased | Holder]]) -> None:
        for to, matter in told:
            self._out[to].append(matter)

    def after(self) -> None:
        if self.duties is not None:
            self._want()
            for effect in self.duties.effects:
                self.core.ask(effect)  # type: ignore[arg-type]
            self.duties.effects.clear()
            self._say()
        if self.sharing is not None:
            tries = self.state.counted["forwards", ""]
            self._out[ALL] += self.sharing.say(self.core.now, held_by(self.core.module), tries)
        for to, matters in self._out.items():
            if not matters:
                continue
            if self.duties is not None and any(isinstance(matter, Ping) for matter in matters):
                matters.append(self.duties.creed)
            if self.membership is not None:
                matters += self.membership.news()
            self.core.ask(fx.Spread(tuple(self.mail.pack(matters)), to))
        self._out.clear()

    def _want(self) -> None:
        """Guards a duty against a process that is about to end: it is handed on, not left to run out."""
        assert self.duties is not None
        wanted = self.state.life is Life.SERVING and not self.state.leaving()
        if wanted != self._wanted:
            self._wanted = wanted
            for name in self.duties.leases:
                if name not in self._again:
                    heir = -1 if wanted else self.heir(name)
                    self._gather(self.duties.want(wanted, heir, self.core.now, [name]))

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
