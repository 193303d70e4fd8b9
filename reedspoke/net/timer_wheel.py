"""A timer wheel of coarse ticks: cheap to set and to stop, and a timer is at most a tick late."""

from __future__ import annotations

from collections.abc import Hashable

SLOTS = 512


class TimerWheel:
    def __init__(self, tick: int, now: int) -> None:
        self.tick = tick
        self._turn = now // tick  # the tick that has been served last
        self._slots: list[dict[Hashable, int]] = [{} for _ in range(SLOTS)]
        self._due: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._due)

    def set(self, key: Hashable, at: int) -> None:
        """Ring `key` at the first tick not before `at`; a timer of that key is replaced."""
        self.stop(key)
        due = max(-(-at // self.tick), self._turn + 1)
        self._due[key] = due
        self._slots[due % SLOTS][key] = at

    def stop(self, key: Hashable) -> None:
        due = self._due.pop(key, None)
        if due is not None:
            del self._slots[due % SLOTS][key]

    def advance(self, now: int) -> list[Hashable]:
        """The keys whose time has come, the earliest first, also within a tick: a guard that stands behind a
        deadline rings behind it, however few ticks lie between them."""
        turn = now // self.tick
        rung: list[tuple[int, Hashable]] = []
        for step in range(self._turn + 1, min(turn, self._turn + SLOTS) + 1):
            slot = self._slots[step % SLOTS]
            rung += [(at, key) for key, at in slot.items() if self._due[key] <= turn]
        self._turn = max(turn, self._turn)
        rung.sort(key=lambda pair: pair[0])
        for _, key in rung:
            self.stop(key)
        return [key for _, key in rung]
