"""A duty that calls an operator's address every so often: what must be done by one, for all of the fleet.

Pure: `Act` asks for one call, `acted` hears of its end. One call at a time, the next `every` after the
last one was due; where calls take longer, or the duty was elsewhere, no burst makes up for it.
"""

from __future__ import annotations

from reedspoke.fleet.events import Act


class Calls:
    """A `Work`. `done` and `failed` count calls, by whether their answer was a 2xx."""

    def __init__(self, name: str, every: int) -> None:
        self.name, self.every = name, every
        self.token = self.until = self.done = self.failed = 0
        self._due, self._busy = 0, False

    def begin(self, token: int, until: int, now: int) -> list[object]:
        self.token, self.until, self._due = token, until, now
        return self.tick(now)

    def extend(self, until: int, now: int) -> list[object]:
        self.until = until
        return []

    def end(self, why: str, now: int) -> list[object]:
        self.token = 0
        return []

    def tick(self, now: int) -> list[object]:
        if not self.token or self._busy or now < self._due or now >= self.until:
            return []
        self._busy, self._due = True, max(self._due, now - self.every // 2) + self.every
        return [Act(self.name, self.token, self.until)]

    def acted(self, status: int) -> None:
        self._busy = False
        if 200 <= status < 300:
            self.done += 1
        else:
            self.failed += 1
