"""What holds an authority's calls back: pauses, rate limits that it has told, a budget of orders a day.
Pure."""

from __future__ import annotations

import msgspec
from msgspec import Struct

SECOND = 1_000_000
DAY = 86_400 * SECOND
LONGEST = 7 * DAY  # that an authority is believed when it says to stay away
LIMITED_UNTOLD = 3600 * SECOND  # a rate limit without a time


class Pause(Struct):
    """Nothing before `until`. It keeps its length where the clock has been set back behind its beginning."""

    since: int = 0
    until: int = 0

    def left(self, now: int) -> int:
        if now < self.since:
            self.since, self.until = now, now + (self.until - self.since)
        return max(0, self.until - now)

    def begin(self, now: int, span: int) -> None:
        """A pause never shortens one that is longer."""
        if span > self.left(now):
            self.since, self.until = now, now + span


def backoff(failures: int, first: int, most: int, luck: float) -> int:
    """us to wait after so many failures in a row. `luck` in [0, 1): between half and the whole."""
    span = min(most, first * 2 ** min(max(failures, 1) - 1, 40))
    return int(span * (0.5 + luck / 2))


class Limits(Struct):
    """Of one authority and our account there; kept on disk, as a restart changes nothing of what it
    counts."""

    pause: Pause = msgspec.field(default_factory=Pause)
    begun: list[int] = []  # when orders were begun there, the oldest first
    down: int = 0  # calls in a row that it has not answered, whatever certificate they were for

    def limited(self, now: int, told: int) -> int:
        """The authority has said that it is too much; the span that is obeyed."""
        span = min(told, LONGEST) if told > 0 else LIMITED_UNTOLD
        self.pause.begin(now, span)
        return span

    def count(self, now: int) -> None:
        self.begun.append(now)

    def left(self, now: int, tries_a_day: int) -> int:
        """us until an order may begin there."""
        self.begun = [at for at in self.begun if now - DAY < at <= now + 60 * SECOND][-10_000:]
        waits = self.pause.left(now)
        if len(self.begun) >= tries_a_day:
            waits = max(waits, self.begun[-tries_a_day] + DAY - now)
        return waits
