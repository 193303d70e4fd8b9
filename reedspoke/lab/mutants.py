"""Lease cores that each lack one of the reasons by which a duty has one holder: play must catch every one."""

from __future__ import annotations

from reedspoke.fleet import lease as parts
from reedspoke.fleet.frames import Accept, Prepare, Promise, Propose, Refuse, Release
from reedspoke.fleet.lease import Granter, Lease
from reedspoke.lab.leaseplay import EVEN, RATES, TERM, Fleet, TokenError, TwoHoldersError


class Forgetful(Lease):
    """Its granter answers at once after a start."""

    def __init__(self, *rest: object) -> None:
        super().__init__(*rest)  # type: ignore[arg-type]
        self.granter.silent_until = 0


class Trusting(Lease):
    """A holder that believes in the whole term by its own clock."""

    def __init__(self, *rest: object) -> None:
        super().__init__(*rest)  # type: ignore[arg-type]
        self.end = self.term


class Late(Lease):
    """A holder that counts from when the grant came."""

    def _granted(self, asked: parts.Round, now: int) -> None:
        asked.proposed_at = now
        super()._granted(asked, now)


class Minority(Lease):
    def _majority(self, asked: parts.Round) -> bool:
        return len(asked.answers) >= len(self.granters) // 2


class Blind(Lease):
    """It does not ask who holds."""

    def _answered(self, sender: int, message: Promise | Accept | Refuse, now: int) -> None:
        if isinstance(message, Promise):
            message = Promise(message.ballot, 0)
        super()._answered(sender, message, now)


class Yielding(Lease):
    """Its granter heeds old ballots."""

    def __init__(self, *rest: object) -> None:
        super().__init__(*rest)  # type: ignore[arg-type]
        self.granter = Careless(self.granter.silent_until - self.term, self.term)


class Careless(Granter):
    """Old ballots count as much as new ones."""

    def hear(self, message: Prepare | Propose | Release, now: int) -> Promise | Accept | Refuse | None:
        self.promised = 0
        return super().hear(message, now)


class Reborn(Lease):
    """Its lives look alike: the process that replaces a holder is taken for it."""

    def __init__(self, *rest: object) -> None:
        super().__init__(*rest)  # type: ignore[arg-type]
        self.identity = self.me << parts.LIVES


MUTANTS = (Forgetful, Trusting, Late, Minority, Blind, Yielding, Reborn)
RUNS = 4000  # at the most, for each


def caught(make: type[Lease], runs: int = RUNS) -> int:
    """After how many runs of random play it was; 0: not in all of them."""
    size = 4 if make is Minority else 3
    for seed in range(runs):
        fleet = Replaced(size, seed, make) if make is Reborn else Fleet(size, seed, make)
        fleet.rates = EVEN if make is Reborn else RATES
        try:
            fleet.pass_time(2 * TERM)
            fleet.wild(300)
        except (TwoHoldersError, TokenError):
            return seed + 1
    return 0


class Replaced(Fleet):
    """A member that starts anew has its former process beside it until that one's lease has run out."""

    def restart(self, number: int) -> None:
        self.former = [*getattr(self, "former", []), self.members[number]]
        super().restart(number)

    def holders(self) -> list[int]:
        beside = [
            one.me for one in getattr(self, "former", []) if one.holds(self.clock(one.me))
        ]  # fmt: skip
        return super().holders() + beside
