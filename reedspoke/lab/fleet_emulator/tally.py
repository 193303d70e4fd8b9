"""What clients saw, by kind of request."""

from __future__ import annotations

from collections import Counter
from enum import Enum

import msgspec
from msgspec import Struct, field


class Outcome(Enum):
    """Fate of a request after its last try."""

    SERVED = "served"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class KindTally(Struct):
    """Counts and times of one kind; times in ms."""

    requests: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    tries: int = 0
    first_ms: list[float] = field(default_factory=list)
    gaps_ms: list[float] = field(default_factory=list)

    def count(self, outcome: Outcome) -> int:
        return self.outcomes[outcome.value]


class KindFigures(Struct, frozen=True):
    """Summary of one kind of request."""

    kind: str
    requests: int
    served: int
    late: int
    refused: int
    failed: int
    tries: int
    first_p50_ms: float
    first_p95_ms: float
    gap_p50_ms: float
    gap_p95_ms: float


class Tally:
    """The tallies of all kinds, and why requests failed."""

    def __init__(self) -> None:
        self.kinds: dict[str, KindTally] = {}
        self.mixed: list[str] = []  # broken answers that a client was given as successes
        self.causes: Counter[str] = Counter()

    def kind(self, name: str) -> KindTally:
        return self.kinds.setdefault(name, KindTally())

    def total(self, outcome: Outcome) -> int:
        return sum(tally.count(outcome) for tally in self.kinds.values())

    @property
    def requests(self) -> int:
        return sum(tally.requests for tally in self.kinds.values())

    def figures(self) -> list[KindFigures]:
        """A summary for each kind, by name."""
        return [summarize(name, tally) for name, tally in sorted(self.kinds.items())]


def summarize(name: str, tally: KindTally) -> KindFigures:
    """The figures of one kind."""
    return KindFigures(
        kind=name,
        requests=tally.requests,
        served=tally.count(Outcome.SERVED),
        late=tally.count(Outcome.LATE),
        refused=tally.count(Outcome.REFUSED),
        failed=tally.count(Outcome.FAILED),
        tries=tally.tries,
        first_p50_ms=percentile(tally.first_ms, 50),
        first_p95_ms=percentile(tally.first_ms, 95),
        gap_p50_ms=percentile(tally.gaps_ms, 50),
        gap_p95_ms=percentile(tally.gaps_ms, 95),
    )


def percentile(values: list[float], percent: float) -> float:
    """The nearest rank; 0 where there is no value."""
    if not values:
        return 0.0
    ranked = sorted(values)
    rank = -(-len(ranked) * percent // 100)
    return round(ranked[max(0, int(rank) - 1)], 1)


def figures_json(figures: list[KindFigures]) -> bytes:
    return msgspec.json.encode(figures)
