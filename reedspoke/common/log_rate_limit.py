"""A rate limit on log lines of one kind: a token bucket on the steady clock."""

from __future__ import annotations

from collections.abc import Callable

BURST_LINES = 200.0
LINES_PER_S = 50.0


class LogRateLimiter:
    """Decides whether a line may be written, and counts those that were suppressed.

    `clock` returns seconds of the steady clock.
    """

    def __init__(
        self, clock: Callable[[], float], burst: float = BURST_LINES, per_s: float = LINES_PER_S
    ) -> None:
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
