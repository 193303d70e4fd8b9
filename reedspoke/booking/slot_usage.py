"""Reserved slots over time, as a step function: a query looks at its own window alone."""

from __future__ import annotations

from collections.abc import Iterator

from sortedcontainers import SortedDict

from reedspoke.booking.messages import FreeWindow


class SlotUsage:
    """`steps[t]` slots are reserved from t up to the next step.

    Ends are open: one window may begin as another ends.
    """

    def __init__(self) -> None:
        self.steps: SortedDict[int, int] = SortedDict({0: 0})

    def add(self, begin: int, end: int, slots: int) -> None:
        """Reserve slots from `begin` to before `end`; a negative number frees them."""
        self._split_at(begin)
        self._split_at(end)
        for at in list(self.steps.irange(begin, end, inclusive=(True, False))):
            self.steps[at] += slots
        for at in (end, begin):
            self._merge_at(at)

    def _split_at(self, at: int) -> None:
        """Begin a step there, at the level that holds."""
        if at not in self.steps:
            self.steps[at] = self.steps.values()[self.steps.bisect_right(at) - 1]

    def _merge_at(self, at: int) -> None:
        """Remove the step there if it is at the level of the one before."""
        position = self.steps.bisect_left(at)
        if position and self.steps.values()[position - 1] == self.steps[at]:
            del self.steps[at]

    def peak(self, begin: int, end: int) -> int:
        """Return the most slots reserved at any moment from `begin` to before `end`."""
        position = self.steps.bisect_right(begin) - 1
        inside = self.steps.irange(begin, end, inclusive=(False, False))
        return max([self.steps.values()[position], *(self.steps[at] for at in inside)])

    def windows_below(self, begin: int, length: int, level: int) -> Iterator[FreeWindow]:
        """Yield windows of that length from `begin` on with at most `level` slots reserved, in order."""
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
