"""A duty that is done by a part with I/O of its own: it is told when it begins, lasts longer, and ends."""

from __future__ import annotations

from reedspoke.fleet.events import Enter, Leave


class Handed:
    """A `Work`. The part asks its clock before each act, against `until`, and sends the token along."""

    def __init__(self, name: str) -> None:
        self.name, self._token = name, 0

    def begin(self, token: int, until: int, now: int) -> list[object]:
        self._token = token
        return [Enter(self.name, token, until)]

    def extend(self, until: int, now: int) -> list[object]:
        return [Enter(self.name, self._token, until)]

    def end(self, why: str, now: int) -> list[object]:
        return [Leave(self.name)]

    def tick(self, now: int) -> list[object]:
        return []
