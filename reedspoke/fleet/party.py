"""One scheduler's whole part in the fleet, without sockets and without the rest of the program: frames in and
out, who lives, what all say of themselves, who holds which duty. Pure; `concern.py` has it in the reducer,
and the laboratory plays hundreds of them in virtual time.

Matters for one scheduler or for all are gathered while something is handled and leave together by `flush`,
with news of members and their entries, as many as fit.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any

from reedspoke.fleet.duties import Duties
from reedspoke.fleet.frames import (
    Branch,
    Creed,
    Entry,
    Frame,
    Holder,
    Leased,
    Matter,
    News,
    Ping,
    Root,
    Want,
    mark,
)
from reedspoke.fleet.mail import Mail
from reedspoke.fleet.membership import Membership, Standing
from reedspoke.fleet.replicated_log.log_state import LogChange
from reedspoke.fleet.view import View

ALL = -1
SERVING, LEAVING, DRAINED = range(3)  # phases that an entry tells


class Party:
    """`membership`, `duties` and `view` are None where that is not in use; `view` needs `membership`."""

    def __init__(
        self, mail: Mail, membership: Membership | None = None, duties: Duties | None = None,
        view: View | None = None,
    ) -> None:  # fmt: skip
        self.mail, self.membership, self.duties, self.view = mail, membership, duties, view
        self.out: defaultdict[int, list[Matter]] = defaultdict(list)
        self.phase = SERVING
        # What further parts of the fleet heed, by kind, and what they do at each look: whom to tell what.
        self.heeds: dict[type, Callable[[int, Any, int], Iterable[tuple[int, Matter]]]] = {}
        self.looks: list[Callable[[int], Iterable[tuple[int, Matter]]]] = []
        # What has to be on disk before anything goes out, taken by each call, and how much is on its way
        # there.
        self.keeps: list[Callable[[], list[LogChange]]] = []
        self.keeping = 0

    # ---- events ----

    def take(self, body: bytes, now: int, sender: int = ALL) -> Frame | None:
        """A datagram has come; None: nothing in it is to be heeded. `sender`: by its address."""
        frame = self.mail.take(body, sender)
        if frame is None:
            return None
        for matter in frame.matters:
            if isinstance(matter, Leased | Holder) and self.duties is not None:
                self.gather(self.duties.hear(frame.sender, matter, now))
            elif isinstance(matter, Creed) and self.duties is not None:
                self.gather(self.duties.hear_creed(frame.sender, matter, now))
            elif (heed := self.heeds.get(type(matter))) is not None:
                self.gather(heed(frame.sender, matter, now))
        if self.membership is not None:
            self.gather(self.membership.hear(frame.sender, frame.incarnation, frame.matters, now))
            if self.view is not None:
                self.view.believe(self.membership.alive(), now)
                told = [one for one in frame.matters if isinstance(one, Entry | Root | Branch | Want)]
                self.gather(self._with_standing(self.view.hear(frame.sender, told, now)))
        return frame

    def _with_standing(self, told: list[tuple[int, Matter]]) -> list[tuple[int, Matter]]:
        """Where entries are compared, what is believed of their members' lives is, too."""
        assert self.membership is not None
        found = list(told)
        for to, matter in told:
            one = self.membership.members.get(matter.number) if isinstance(matter, Entry) else None
            if one is not None and one.life >= 0 and one.standing is not Standing.UNSEEN:
                assert isinstance(matter, Entry)
                found.append((to, News(matter.number, one.life, one.rank, one.standing)))
        return found

    def look(self, now: int) -> None:
        """To be called several times a period and a term."""
        if self.membership is not None:
            self.gather(self.membership.tick(now))
        if self.duties is not None:
            self.gather(self.duties.tick(now))
        for look in self.looks:
            self.gather(look(now))
        if self.view is not None and self.membership is not None:
            self.view.believe(self.membership.alive(), now)
            self.view.say(self.phase, self._held(now), (), now)
            self.gather(self.view.nudge(now))

    def _held(self, now: int) -> list[int]:
        if self.duties is None:
            return []
        return [mark(name) for name in self.duties.leases if self.duties.holds(name, now)]

    def want(self, on: bool, heir: int, now: int, names: Iterable[str] | None = None) -> None:
        """Whether duties are asked for here; given back first, where not."""
        if self.duties is not None:
            self.gather(self.duties.want(on, heir, now, names))

    # ---- what goes out ----

    def gather(self, told: Iterable[tuple[int, Matter]]) -> None:
        for to, matter in told:
            self.out[to].append(matter)

    def flush(self, now: int) -> list[tuple[int, list[bytes]]]:
        """Datagrams by receiver, `ALL` for every other one."""
        found = []
        for to, matters in self.out.items():
            if not matters:
                continue
            pings = any(isinstance(matter, Ping) for matter in matters)
            if self.duties is not None and pings:
                matters.append(self.duties.creed)
            if self.membership is not None:
                matters += self.membership.news()
            if self.view is not None:
                # With whatever goes there: who talks is not pinged, and would never hear of our digest.
                if to >= 0 and (root := self.view.root(to, now)) is not None:
                    matters.append(root)
                matters += self.view.news()
            found.append((to, self.mail.pack(matters)))
        self.out.clear()
        return found

    # ---- what is known ----

    def majority(self) -> bool:
        """Whether enough granters are alive for any lease, as far as is known here."""
        if self.duties is None or self.membership is None:
            return False
        granters = self.duties.electorate.granters
        kept = (Standing.ALIVE, Standing.SUSPECT)
        return sum(self.membership.standing(one) in kept for one in granters) > len(granters) // 2
