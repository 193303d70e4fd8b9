"""The health score of a worker: a moving average of its complete answers. No I/O and no clock.

The score also recovers with time. Requests that must not be repeated are not sent to a worker with a low
score, so in a service that has no other requests, no answer could raise the score again.
"""

from __future__ import annotations

import math

from msgspec import Struct

EWMA_WEIGHT = 0.2  # Weight of a new answer.
RECOVERY_HALF_LIFE_S = 10.0  # The distance to a full score halves in this time without answers.


class HealthScore(Struct, eq=False):
    """The score of one worker; times are those of this scheduler's monotonic clock."""

    score: float = 1.0  # The score at the time of the last answer.
    updated_at: float = 0.0  # The time of the last answer.

    def value_at(self, now: float) -> float:
        """The score at this time, from 0 to 1."""
        decay = math.exp2(-max(0.0, now - self.updated_at) / RECOVERY_HALF_LIFE_S)
        return 1 - (1 - self.score) * decay

    def record_success(self, now: float) -> None:
        """Record a complete answer."""
        score = self.value_at(now)
        self._set(score + EWMA_WEIGHT * (1 - score), now)

    def record_failure(self, now: float) -> None:
        """Record a failed request."""
        self._set((1 - EWMA_WEIGHT) * self.value_at(now), now)

    def _set(self, score: float, now: float) -> None:
        self.score = score
        self.updated_at = now
