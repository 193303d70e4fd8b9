"""A timer wheel with coarse ticks: timers are cheap to set and to cancel, and at most one tick late."""

from __future__ import annotations

from collections.abc import Hashable

SLOTS = 512


class TimerWheel:
    """Timers by key; `advance` returns those that have expired."""

    def __init__(self, tick: int, now: int) -> None:
        self.tick = tick
        self._last_tick = now // tick  # the last tick that was processed
        self._slots: list[dict[Hashable, int]] = [{} for _ in range(SLOTS)]
        self._due: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._due)

    def set(self, key: Hashable, at: int) -> None:
        """Set the timer of a key to the first tick that is not before `at`, replacing an earlier one."""
        self.stop(key)
        due = max(-(-at // self.tick), self._last_tick + 1)
        self._due[key] = due
        self._slots[due % SLOTS][key] = at

    def stop(self, key: Hashable) -> None:
        """Cancel the timer of a key, if there is one."""
        due = self._due.pop(key, None)
        if due is not None:
            del self._slots[due % SLOTS][key]

    def advance(self, now: int) -> list[Hashable]:
        """Remove and return the keys of expired timers, ordered by time, also within one tick.

        A guard timer set for later than a deadline therefore always comes after it.
        """
        now_tick = now // self.tick
        expired: list[tuple[int, Hashable]] = []
        for step in range(self._last_tick + 1, min(now_tick, self._last_tick + SLOTS) + 1):
            slot = self._slots[step % SLOTS]
            expired += [(at, key) for key, at in slot.items() if self._due[key] <= now_tick]
        self._last_tick = max(now_tick, self._last_tick)
        expired.sort(key=lambda pair: pair[0])
        for _, key in expired:
            self.stop(key)
        return [key for _, key in expired]
