"""The replicated state: all tallies with their adds. Two states are joined id by id."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct

from reedspoke.control_plane.tallies.amounts_by_id import AmountsById
from reedspoke.control_plane.tallies.messages import (
    INTERNAL_TALLY_PREFIX,
    TallyAdd,
    TallyCursor,
    TallyItems,
)
from reedspoke.control_plane.tallies.packed_items import (
    pack_amounts,
    pack_ids,
    unpack_amounts,
    unpack_ids,
)

START = TallyCursor()


class StateSlice(Struct, frozen=True):
    """A part of the state. `next` is the position where it ends, or None at the end of the state."""

    items: tuple[TallyItems, ...]
    next: TallyCursor | None


class TallyCounts:
    """Owns the adds of all tallies."""

    def __init__(self) -> None:
        self.id_count = 0
        self._tallies: dict[str, AmountsById] = {}
        # For each tally that holds orders and each amount, the highest id that came with this amount.
        self._highest_ids: dict[tuple[str, int], int] = {}
        self._audits: Iterator[str] = iter(())

    def total(self, tally: str) -> int:
        """The sum of a tally's adds; 0 for an unknown tally."""
        amounts = self._tallies.get(tally)
        return 0 if amounts is None else amounts.total

    def contains(self, tally: str, add_id: int) -> bool:
        """Whether this add has been counted."""
        amounts = self._tallies.get(tally)
        return amounts is not None and add_id in amounts

    def newest(self, tally: str) -> TallyAdd | None:
        """The add with the highest id; None if the tally has no adds."""
        amounts = self._tallies.get(tally)
        highest = None if amounts is None else amounts.highest_id()
        if amounts is None or highest is None:
            return None
        return TallyAdd(tally, highest, amounts.amount_of(highest))

    def order_tallies(self, prefix: str) -> list[str]:
        """The names of the tallies that hold orders and have this prefix, sorted."""
        names = {tally for tally, _ in self._highest_ids}
        return sorted(name for name in names if name.startswith(prefix))

    def is_known(self, tally: str) -> bool:
        """Whether a tally has any adds."""
        return tally in self._tallies

    @property
    def tally_count(self) -> int:
        """The number of tallies."""
        return len(self._tallies)

    def put(self, add: TallyAdd) -> None:
        """Join one add."""
        amounts = self._tallies.setdefault(add.tally, AmountsById())
        self.id_count += amounts.put(add.add_id, add.amount)
        if add.tally.startswith(INTERNAL_TALLY_PREFIX):
            key = (add.tally, add.amount)
            self._highest_ids[key] = max(add.add_id, self._highest_ids.get(key, 0))

    def highest_order_adds(self) -> list[TallyAdd]:
        """For each tally that holds orders and each amount, the add with the highest id."""
        return [TallyAdd(tally, add_id, amount) for (tally, amount), add_id in self._highest_ids.items()]

    def join(self, items: TallyItems) -> None:
        """Join a part of another state. Raises ValueError if the bytes are not packed correctly."""
        ids = unpack_ids(items.ids)
        for add_id, amount in zip(ids, unpack_amounts(items.amounts, len(ids)), strict=True):
            self.put(TallyAdd(items.tally, add_id, amount))

    def slice_after(self, cursor: TallyCursor, limit: int) -> StateSlice:
        """Up to `limit` ids after a position, ordered by tally and id."""
        parts: list[TallyItems] = []
        taken = 0
        for tally in sorted(name for name in self._tallies if name >= cursor.tally):
            above = cursor.add_id if tally == cursor.tally else START.add_id
            found = self._tallies[tally].ids_after(above, limit - taken)
            if not found.ids:
                continue
            parts.append(TallyItems(tally, pack_ids(found.ids), pack_amounts(found.amounts)))
            taken += len(found.ids)
            if taken >= limit:
                return StateSlice(tuple(parts), TallyCursor(tally, found.ids[-1]))
        return StateSlice(tuple(parts), None)

    def audit_next(self) -> tuple[str, bool] | None:
        """Recompute the total of the next tally, cyclically: its name, and whether its total is right.

        None if there are no tallies.
        """
        tally = next(self._audits, None)
        if tally is None:
            self._audits = iter(sorted(self._tallies))
            tally = next(self._audits, None)
        if tally is None:
            return None
        amounts = self._tallies[tally]
        return tally, amounts.recomputed_total() == amounts.total
