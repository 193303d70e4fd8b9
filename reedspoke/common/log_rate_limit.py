"""Bounds how many log lines of one kind are written: a token bucket on the steady clock."""

from __future__ import annotations

from collections.abc import Callable

BURST = 200.0  # lines at once
PER_S = 50.0  # and in the long run


class LogRateLimiter:
    """Says whether a line may be written, and counts those that were not."""

    def __init__(self, clock: Callable[[], float], burst: float = BURST, per_s: float = PER_S) -> None:
        self.suppressed = 0
        self._clock = clock
        self._burst = burst
        self._per_s = per_s
        self._tokens = burst
        self._filled_at = clock()

    def allows(self) -> bool:
        """Whether a line may be written now; it then counts as written."""
        now = self._clock()
        self._tokens = min(self._burst, self._tokens + (now - self._filled_at) * self._per_s)
        self._filled_at = now
        if self._tokens < 1:
            self.suppressed += 1
            return False
        self._tokens -= 1
        return True
