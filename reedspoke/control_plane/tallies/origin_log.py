"""The version vector of this node, and the newest adds by origin and number, for nodes that lack them."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import islice

from msgspec import Struct

from reedspoke.control_plane.tallies.messages import TallyAdd, TallyEntries, VersionVector


class RetainedEntries(Struct):
    """The retained entries of one origin, numbered from `first`."""

    first: int
    entries: list[TallyAdd]

    @property
    def end(self) -> int:
        """The number that follows the newest entry."""
        return self.first + len(self.entries)


class OriginLog:
    """Owns the vector and the retained entries, which have no gaps within an origin."""

    def __init__(self) -> None:
        self.vector: VersionVector = {}
        self.retained_count = 0
        self._origins: dict[str, RetainedEntries] = {}

    def append(self, origin: str, entries: Sequence[TallyAdd]) -> None:
        """Append the adds that follow the newest entry of an origin."""
        number = self.vector.get(origin, 0)
        retained = self._origins.setdefault(origin, RetainedEntries(number + 1, []))
        retained.entries.extend(entries)
        self.retained_count += len(entries)
        self.vector[origin] = number + len(entries)

    def advance(self, vector: VersionVector) -> None:
        """Record that the state includes everything up to this vector, without the entries."""
        for origin, number in vector.items():
            if number > self.vector.get(origin, 0):
                self._drop(origin, number)
                self.vector[origin] = number

    def entries_after(self, origin: str, number: int, limit: int) -> TallyEntries | None:
        """Up to `limit` entries after this number; None if they are no longer retained."""
        retained = self._origins.get(origin)
        if retained is None or number + 1 < retained.first:
            return None
        start = number + 1 - retained.first
        return TallyEntries(origin, number + 1, tuple(retained.entries[start : start + limit]))

    def drop_through(self, vector: VersionVector) -> None:
        """Drop the entries included in this vector."""
        for origin, number in vector.items():
            self._drop(origin, min(number, self.vector.get(origin, 0)))

    def drop_oldest(self, limit: int) -> None:
        """Drop entries of the longest logs until at most `limit` are retained."""
        while self.retained_count > limit:
            origin = max(self._origins, key=lambda one: len(self._origins[one].entries))
            retained = self._origins[origin]
            excess = min(self.retained_count - limit, (len(retained.entries) + 1) // 2)
            self._drop(origin, retained.first + excess - 1)

    def unretained_vector(self) -> VersionVector:
        """The version vector of the adds whose entries are not retained."""
        starts = {origin: retained.first - 1 for origin, retained in self._origins.items()}
        return {origin: starts.get(origin, number) for origin, number in self.vector.items()}

    def all_retained(self, size: int) -> Iterator[TallyEntries]:
        """All retained entries, in batches of up to `size`."""
        for origin, retained in self._origins.items():
            entries = iter(retained.entries)
            number = retained.first
            while batch := tuple(islice(entries, size)):
                yield TallyEntries(origin, number, batch)
                number += len(batch)

    def _drop(self, origin: str, through: int) -> None:
        retained = self._origins.get(origin)
        if retained is None:
            return
        count = min(max(through + 1 - retained.first, 0), len(retained.entries))
        del retained.entries[:count]
        self.retained_count -= count
        retained.first = max(retained.first + count, through + 1)
