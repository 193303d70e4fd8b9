"""The newest adds by origin and number, for nodes that lack them, and the version vector of this node."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import islice

from msgspec import Struct

from reedspoke.control_plane.tallies.messages import TallyAdd, TallyEntries, Vector


class Retained(Struct):
    """The entries of one origin that are still there: those from number `first` on."""

    first: int
    entries: list[TallyAdd]

    @property
    def end(self) -> int:
        """The number behind the newest."""
        return self.first + len(self.entries)


class OriginLog:
    """Owns the vector and the retained entries. Entries are appended without gaps for each origin."""

    def __init__(self) -> None:
        self.vector: Vector = {}
        self.retained_count = 0
        self._origins: dict[str, Retained] = {}

    def append(self, origin: str, entries: Sequence[TallyAdd]) -> None:
        """Append the adds that follow the newest of an origin."""
        number = self.vector.get(origin, 0)
        retained = self._origins.setdefault(origin, Retained(number + 1, []))
        retained.entries.extend(entries)
        self.retained_count += len(entries)
        self.vector[origin] = number + len(entries)

    def advance(self, vector: Vector) -> None:
        """Everything up to this vector is in the state now, without its entries."""
        for origin, number in vector.items():
            if number > self.vector.get(origin, 0):
                self._drop(origin, number)
                self.vector[origin] = number

    def entries_after(self, origin: str, number: int, limit: int) -> TallyEntries | None:
        """Up to `limit` entries behind this number; None where they are not retained any more."""
        retained = self._origins.get(origin)
        if retained is None or number + 1 < retained.first:
            return None
        start = number + 1 - retained.first
        return TallyEntries(origin, number + 1, tuple(retained.entries[start : start + limit]))

    def drop_through(self, vector: Vector) -> None:
        """Drop the entries that everybody has."""
        for origin, number in vector.items():
            self._drop(origin, min(number, self.vector.get(origin, 0)))

    def drop_oldest(self, limit: int) -> None:
        """Drop entries of the longest logs until no more than `limit` are retained."""
        while self.retained_count > limit:
            origin = max(self._origins, key=lambda one: len(self._origins[one].entries))
            retained = self._origins[origin]
            excess = min(self.retained_count - limit, (len(retained.entries) + 1) // 2)
            self._drop(origin, retained.first + excess - 1)

    def horizon(self) -> Vector:
        """The vector of what has no retained entries."""
        starts = {origin: retained.first - 1 for origin, retained in self._origins.items()}
        return {origin: starts.get(origin, number) for origin, number in self.vector.items()}

    def all_retained(self, size: int) -> Iterator[TallyEntries]:
        """All retained entries, up to `size` at a time."""
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
