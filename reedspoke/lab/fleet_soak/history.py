"""What operators asked and were answered, and the rules that this history has to keep."""

from __future__ import annotations

from collections import defaultdict
from enum import Enum

import msgspec
from msgspec import Struct, field


class Verdict(Enum):
    """What an operator knows of an order."""

    UNCLEAR = "unclear"  # it may be in force
    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"  # it never will be


class Order(Struct, eq=False):
    """A change, as it was sent at least once. Times are seconds of one steady clock."""

    operator: str
    match: int
    generation: int
    document: bytes
    sent_at: float
    verdict: Verdict = Verdict.UNCLEAR
    decided_at: float = 0.0
    answers: list[str] = field(default_factory=list)

    def told(self) -> str:
        """For a report."""
        seen = ", ".join(self.answers)
        return f"{self.operator}: {self.generation} on {self.match}, {self.verdict.value} ({seen})"


class Read(Struct, frozen=True):
    """A read that was answered with a configuration."""

    address: str
    sent_at: float
    generation: int
    document: bytes


class History:
    """All orders and reads of a run."""

    def __init__(self) -> None:
        self.orders: list[Order] = []
        self.reads: list[Read] = []
        self.contradictions: list[str] = []
        self.newest = 0  # generation that some operator knows to be in force

    def acknowledged(self, order: Order, at: float) -> None:
        """The order got its 200, perhaps once more."""
        if order.verdict is Verdict.REFUSED:
            self.contradictions.append(f"acknowledged after a refusal: {order.told()}")
        elif order.verdict is Verdict.UNCLEAR:
            order.verdict, order.decided_at = Verdict.ACKNOWLEDGED, at
            self.newest = max(self.newest, order.generation)

    def refused(self, order: Order, at: float) -> None:
        """The order got a 4xx."""
        if order.verdict is Verdict.ACKNOWLEDGED:
            self.contradictions.append(f"refused after an acknowledgement: {order.told()}")
        elif order.verdict is Verdict.UNCLEAR:
            order.verdict, order.decided_at = Verdict.REFUSED, at

    def read(self, read: Read) -> None:
        """A read brought a configuration."""
        self.reads.append(read)
        self.newest = max(self.newest, read.generation)

    def problems(self) -> list[str]:
        """The rules that were broken."""
        return [
            *self.contradictions,
            *self._rivals(),
            *self._old_reads(),
            *self._wrong_reads(),
            *self._chain(),
        ]

    def _acknowledged_orders(self) -> list[Order]:
        return [order for order in self.orders if order.verdict is Verdict.ACKNOWLEDGED]

    def _rivals(self) -> list[str]:
        """Two changes with one number, or on top of one version."""
        found = []
        for name in ("match", "generation"):
            groups: defaultdict[int, list[Order]] = defaultdict(list)
            for order in self._acknowledged_orders():
                groups[getattr(order, name)].append(order)
            found += [
                f"acknowledged with the same {name}: {'; '.join(order.told() for order in group)}"
                for group in groups.values()
                if len(group) > 1
            ]
        return found

    def _old_reads(self) -> list[str]:
        found = []
        for read in self.reads:
            before = [order for order in self._acknowledged_orders() if order.decided_at < read.sent_at]
            newest = max((order.generation for order in before), default=0)
            if read.generation < newest:
                found.append(f"{read.address} answered {read.generation} after {newest} was acknowledged")
        return found

    def _wrong_reads(self) -> list[str]:
        """What was read was sent, was not refused, and is the same each time."""
        found = []
        by_document = {order.document: order for order in self.orders}
        seen: dict[int, bytes] = {}
        for read in self.reads:
            order = by_document.get(read.document)
            if order is None or order.generation != read.generation:
                found.append(f"{read.address} answered {read.generation} as nobody sent it")
            elif order.verdict is Verdict.REFUSED:
                found.append(f"in force though refused: {order.told()}")
            if seen.setdefault(read.generation, read.document) != read.document:
                found.append(f"two documents of generation {read.generation} were read")
        return found

    def _chain(self) -> list[str]:
        """Each acknowledged change is part of the history that led to the last read."""
        if not self.reads:
            return ["nothing was ever read"]
        last = max(self.reads, key=lambda read: read.generation)
        by_generation = {order.generation: order for order in self._acknowledged_orders()}
        order = next((item for item in self.orders if item.document == last.document), None)
        found: list[str] = []
        while order is not None and order.match:
            lost = [number for number in by_generation if order.match < number < order.generation]
            found += [f"lost: {by_generation[number].told()}" for number in lost]
            order = self._in_force(order.match)
        return found

    def _in_force(self, generation: int) -> Order | None:
        """The order of a generation that others were built on: the one acknowledged or read, else any."""
        rivals = [order for order in self.orders if order.generation == generation]
        documents = {read.document for read in self.reads}
        known = [
            order for order in rivals if order.verdict is Verdict.ACKNOWLEDGED or order.document in documents
        ]
        return next(iter(known or rivals), None)

    def counts(self) -> dict[str, int]:
        """For a report."""
        verdicts = [order.verdict for order in self.orders]
        counted = {verdict.value: verdicts.count(verdict) for verdict in Verdict}
        return {"orders": len(self.orders), **counted, "reads": len(self.reads)}


def generation_of(document: bytes) -> int:
    """The number of a configuration."""
    return int(msgspec.json.decode(document)["generation"])
