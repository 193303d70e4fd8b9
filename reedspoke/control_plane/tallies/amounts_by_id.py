"""The adds of one tally: a compact, grow-only map from id to amount, and its total."""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right

from msgspec import Struct

from reedspoke.control_plane.tallies.packed_items import AMOUNT_TYPE_CODE, ID_TYPE_CODE

ID_BITS = 64
BUCKET_BITS = 10  # up to 1,024 sorted arrays, so that an insertion moves few bytes
BUCKET_SHIFT = ID_BITS - BUCKET_BITS


class Bucket:
    """Ids with the same highest bits, in ascending order, and their amounts."""

    __slots__ = ("amounts", "ids")

    def __init__(self) -> None:
        self.ids = array(ID_TYPE_CODE)
        self.amounts = array(AMOUNT_TYPE_CODE)


class IdRange(Struct, frozen=True):
    """A range of ids in ascending order, and their amounts."""

    ids: array[int]
    amounts: array[int]


class AmountsById:
    """Owns the ids of one tally. `total` is the sum of their amounts, and `count` the number of ids."""

    def __init__(self) -> None:
        self.total = 0
        self.count = 0
        self._buckets: dict[int, Bucket] = {}

    def put(self, add_id: int, amount: int) -> bool:
        """Join one add. Returns whether its id is new. Of two amounts for one id the smaller counts."""
        bucket = self._buckets.setdefault(add_id >> BUCKET_SHIFT, Bucket())
        index = bisect_left(bucket.ids, add_id)
        # A known id is already counted, whichever node accepted it: only a smaller amount changes the total.
        if index < len(bucket.ids) and bucket.ids[index] == add_id:
            known = bucket.amounts[index]
            if amount < known:
                bucket.amounts[index] = amount
                self.total += amount - known
            return False
        bucket.ids.insert(index, add_id)
        bucket.amounts.insert(index, amount)
        self.total += amount
        self.count += 1
        return True

    def __contains__(self, add_id: int) -> bool:
        bucket = self._buckets.get(add_id >> BUCKET_SHIFT)
        if bucket is None:
            return False
        index = bisect_left(bucket.ids, add_id)
        return index < len(bucket.ids) and bucket.ids[index] == add_id

    def ids_after(self, add_id: int, limit: int) -> IdRange:
        """Up to `limit` ids above `add_id`, in ascending order."""
        found = IdRange(array(ID_TYPE_CODE), array(AMOUNT_TYPE_CODE))
        first = max(add_id, 0) >> BUCKET_SHIFT
        for key in sorted(key for key in self._buckets if key >= first):
            bucket = self._buckets[key]
            start = bisect_right(bucket.ids, add_id) if add_id >= 0 else 0
            end = start + limit - len(found.ids)
            found.ids.extend(bucket.ids[start:end])
            found.amounts.extend(bucket.amounts[start:end])
            if len(found.ids) >= limit:
                break
        return found

    def highest_id(self) -> int | None:
        """The highest id; None if there are no ids."""
        if not self._buckets:
            return None
        return self._buckets[max(self._buckets)].ids[-1]

    def amount_of(self, add_id: int) -> int:
        """The amount of an id, which must be present."""
        bucket = self._buckets[add_id >> BUCKET_SHIFT]
        return bucket.amounts[bisect_left(bucket.ids, add_id)]

    def recomputed_total(self) -> int:
        """The sum of all amounts, recomputed in time proportional to the number of ids."""
        return sum(sum(bucket.amounts) for bucket in self._buckets.values())
