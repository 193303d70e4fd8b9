"""What applications added and read, and the rules that this history has to keep."""

from __future__ import annotations

import math

from msgspec import Struct, field

Life = tuple[str, int]  # a machine's address, and which life of its process
MERGE_S = 3.0


class Add(Struct, eq=False):
    """One add, and by which lives it was acknowledged when. Times are seconds of one steady clock."""

    tally: str
    instance_id: str
    amount: int
    sent_at: float = math.inf
    acknowledged: dict[Life, float] = field(default_factory=dict)


class TallyRead(Struct, frozen=True):
    """A read that was answered with a total."""

    tally: str
    total: int
    life: Life
    sent_at: float
    answered_at: float


class DiskLoss(Struct, frozen=True):
    """A machine's disk went, and until when what its machine alone may have had is not owed."""

    address: str
    at: float


class Unsettled(Struct):
    """A time in which some control machine was in trouble; `until` is infinite while it lasts."""

    since: float
    until: float = math.inf


class TallyHistory:
    """All adds and reads of a run, and the troubles that bear on what is owed."""

    def __init__(self) -> None:
        self.adds: list[Add] = []
        self.reads: list[TallyRead] = []
        self.disk_losses: list[DiskLoss] = []
        self.unsettled: list[Unsettled] = []

    def acknowledged(self, add: Add, life: Life, at: float) -> None:
        """An add got its 200."""
        add.acknowledged.setdefault(life, at)

    def is_owed(self, add: Add) -> bool:
        """Whether an add has to be there for good.

        It has not where each machine that acknowledged it did so beside another trouble, and lost its disk
        before MERGE_S after that one: more had failed than may at once, or the sides were apart.
        """
        return any(not self._may_be_lost(life, at) for life, at in add.acknowledged.items())

    def _may_be_lost(self, life: Life, at: float) -> bool:
        losses = [loss.at for loss in self.disk_losses if loss.address == life[0] and loss.at >= at - MERGE_S]
        return any(
            trouble.since <= loss and at <= trouble.until + MERGE_S and loss <= trouble.until + MERGE_S
            for loss in losses
            for trouble in self.unsettled
        )

    def counts(self) -> dict[str, int]:
        """How many adds and reads there were."""
        acknowledged = sum(bool(add.acknowledged) for add in self.adds)
        return {"adds": len(self.adds), "acknowledged": acknowledged, "reads": len(self.reads)}

    def problems(self) -> list[str]:
        """What breaks a rule, but for what is still there at the end."""
        found = []
        for read in self.reads:
            adds = [add for add in self.adds if add.tally == read.tally]
            possible = sum(add.amount for add in adds if add.sent_at <= read.answered_at)
            if read.total > possible:
                found.append(f"TWICE: {read}, {possible} could have counted")
            own = sum(add.amount for add in adds if add.acknowledged.get(read.life, math.inf) < read.sent_at)
            if read.total < own:
                found.append(f"STALE: {read}, it had acknowledged {own}")
        return found

    def problems_at_the_end(self, totals: dict[str, dict[str, int | None]]) -> list[str]:
        """What is lost, by the totals of each tally at each machine after a calm time."""
        found = []
        for tally, by_address in totals.items():
            owed = sum(add.amount for add in self.adds if add.tally == tally and self.is_owed(add))
            values = list(by_address.values())
            if any(value is None or value != values[0] or value < owed for value in values):
                found.append(f"LOST: {tally} is {by_address}, owed are {owed}")
        return found
