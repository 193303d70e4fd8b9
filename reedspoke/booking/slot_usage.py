"""Reserved slots over time as a step function; a query reads only the steps in its own window."""

from __future__ import annotations

from collections.abc import Iterator

from sortedcontainers import SortedDict

from reedspoke.booking.messages import FreeWindow


class SlotUsage:
    """The number of reserved slots as a function of time.

    `steps[t]` slots are reserved from time t up to the next key of `steps`. Ends are exclusive: one
    reservation may begin at the time at which another ends.
    """

    def __init__(self) -> None:
        self.steps: SortedDict[int, int] = SortedDict({0: 0})

    def add(self, begin: int, end: int, slots: int) -> None:
        """Reserve slots from `begin` (inclusive) to `end` (exclusive); a negative number frees them."""
        self._split_at(begin)
        self._split_at(end)
        for at in list(self.steps.irange(begin, end, inclusive=(True, False))):
            self.steps[at] += slots
        for at in (end, begin):
            self._merge_at(at)

    def _split_at(self, at: int) -> None:
        """Insert a step at this time with the value of the step that covers it."""
        if at not in self.steps:
            self.steps[at] = self.steps.values()[self.steps.bisect_right(at) - 1]

    def _merge_at(self, at: int) -> None:
        """Remove the step at this time if it has the same value as the preceding one."""
        position = self.steps.bisect_left(at)
        if position and self.steps.values()[position - 1] == self.steps[at]:
            del self.steps[at]

    def peak(self, begin: int, end: int) -> int:
        """Return the maximum number of reserved slots from `begin` (inclusive) to `end` (exclusive)."""
        position = self.steps.bisect_right(begin) - 1
        inside = self.steps.irange(begin, end, inclusive=(False, False))
        return max([self.steps.values()[position], *(self.steps[at] for at in inside)])

    def windows_below(self, begin: int, length: int, level: int) -> Iterator[FreeWindow]:
        """Yield windows of a length with at most `level` reserved slots, in order, none before `begin`."""
        start, position = begin, self.steps.bisect_right(begin) - 1
        keys, levels = self.steps.keys(), self.steps.values()
        while position < len(keys):
            end = keys[position + 1] if position + 1 < len(keys) else None
            if levels[position] > level:
                if end is None:
                    return
                start = end
            elif end is None or end - start >= length:
                yield FreeWindow(start, start + length)
                start += length
                if end is None or start < end:
                    continue
            position += 1
