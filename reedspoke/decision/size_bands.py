"""Classifies the requests of a route by size: the largest tenth, the next fifth, and the rest."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from enum import IntEnum

WINDOW_SIZES = 256  # Number of recent sizes that are kept.
MIN_SIZES = 10  # With fewer sizes, all requests are in one band.
LARGEST_TENTH_FROM, NEXT_FIFTH_FROM = 0.9, 0.7  # Quantiles where the bands start.


class Band(IntEnum):
    """The size of a request relative to others of its route."""

    REST = 0
    NEXT_FIFTH = 1
    LARGEST_TENTH = 2


class SizeBands:
    """The sizes of the recent requests of a route."""

    def __init__(self) -> None:
        self._recent: deque[int] = deque()
        self._sorted: list[int] = []

    def add(self, size: int) -> Band:
        """Add a size and return its band."""
        insort(self._sorted, size)
        self._recent.append(size)
        if len(self._recent) > WINDOW_SIZES:
            oldest = self._recent.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]
        return self._band(size)

    def _band(self, size: int) -> Band:
        count = len(self._sorted)
        if count < MIN_SIZES or self._sorted[0] == self._sorted[-1]:
            return Band.REST
        rank = bisect_left(self._sorted, size) / count  # Share of the sizes that are smaller.
        if rank >= LARGEST_TENTH_FROM:
            return Band.LARGEST_TENTH
        return Band.NEXT_FIFTH if rank >= NEXT_FIFTH_FROM else Band.REST
