"""The adds of one tally: a compact map from id to amount that only grows, and its total."""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right

from msgspec import Struct

from reedspoke.control_plane.tallies.packed_items import AMOUNT_CODE, ID_CODE

ID_BITS = 64
BUCKET_BITS = 10  # ids are spread over up to 1,024 sorted arrays, so that an insertion moves few bytes
BUCKET_SHIFT = ID_BITS - BUCKET_BITS


class Bucket:
    """Ids with the same highest bits, ascending, and their amounts."""

    __slots__ = ("amounts", "ids")

    def __init__(self) -> None:
        self.ids = array(ID_CODE)
        self.amounts = array(AMOUNT_CODE)


class IdRange(Struct, frozen=True):
    """Some ids in ascending order, and their amounts."""

    ids: array[int]
    amounts: array[int]


class AmountsById:
    """Owns the ids of one tally. `total` is the sum of their amounts, and `count` how many there are."""

    def __init__(self) -> None:
        self.total = 0
        self.count = 0
        self._buckets: dict[int, Bucket] = {}

    def put(self, add_id: int, amount: int) -> bool:
        """Join one add. True where its id is new; of two amounts for one id the smaller counts."""
        bucket = self._buckets.setdefault(add_id >> BUCKET_SHIFT, Bucket())
        index = bisect_left(bucket.ids, add_id)
        # An id that stands here has counted, whoever took it: only a smaller amount may change the total.
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
        found = IdRange(array(ID_CODE), array(AMOUNT_CODE))
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
        """The highest id; None where there is none."""
        if not self._buckets:
            return None
        return self._buckets[max(self._buckets)].ids[-1]

    def amount_of(self, add_id: int) -> int:
        """The amount of an id that is there."""
        bucket = self._buckets[add_id >> BUCKET_SHIFT]
        return bucket.amounts[bisect_left(bucket.ids, add_id)]

    def summed(self) -> int:
        """The sum of all amounts, made anew; it takes time in proportion to the ids."""
        return sum(sum(bucket.amounts) for bucket in self._buckets.values())
