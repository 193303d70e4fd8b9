"""Sorts the requests of a route by size: the largest tenth, the fifth just below it, and the rest."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from enum import IntEnum

RECENT = 256  # sizes remembered
ENOUGH = 10  # sizes before which all requests are of one band
TENTH, FIFTH = 0.9, 0.7  # quantiles at which the bands begin


class Band(IntEnum):
    """The size of a request against others of its route."""

    REST = 0
    FIFTH = 1
    TENTH = 2


class SizeBands:
    """The sizes of a route's last requests."""

    def __init__(self) -> None:
        self._recent: deque[int] = deque()
        self._sorted: list[int] = []

    def add(self, size: int) -> Band:
        """Remember a size, and tell its band."""
        insort(self._sorted, size)
        self._recent.append(size)
        if len(self._recent) > RECENT:
            oldest = self._recent.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]
        return self._band(size)

    def _band(self, size: int) -> Band:
        count = len(self._sorted)
        if count < ENOUGH or self._sorted[0] == self._sorted[-1]:
            return Band.REST
        rank = bisect_left(self._sorted, size) / count  # share of the sizes below it
        if rank >= TENTH:
            return Band.TENTH
        return Band.FIFTH if rank >= FIFTH else Band.REST
