"""Computes Retry-After for refused requests.

Clients obey Retry-After only up to a third of the time left until their deadline, and retry only a few times.
So the delay grows with the recent overload up to that third, with jitter so that they do not return all at
once.
"""

from __future__ import annotations

import math
from zlib import crc32

MAX_SHARE_OF_TIME_LEFT = 1 / 3  # Clients ignore a Retry-After beyond this.
MIN_DELAY_SHARE = 0.25  # Share of the maximum delay that is used when almost nothing is refused.
COUNT_DECAY_S = 2.0  # Time constant of the counts of refused and sent requests.
JITTER = 0.25  # Delays vary by this share in both directions.
MIN_RETRY_AFTER_S = 0.02


class RetryAfter:
    """Counts recently sent and refused requests of one service."""

    def __init__(self) -> None:
        self._sent = 0.0
        self._refused = 0.0
        self._at = 0.0

    def record_sent(self, now: float) -> None:
        """Count a request that was sent to a worker."""
        self._decay(now)
        self._sent += 1

    def record_refusal(self, job_id: int, time_left_s: float, now: float) -> float:
        """Count a refusal and return its Retry-After; `time_left_s` is the time until the deadline."""
        self._decay(now)
        self._refused += 1
        pressure = self._refused / (self._refused + self._sent)
        max_delay_s = max(0.0, time_left_s) * MAX_SHARE_OF_TIME_LEFT / (1 + JITTER)
        uniform = crc32(job_id.to_bytes(8, "big", signed=True)) / 2**32
        jitter = 1 + JITTER * (2 * uniform - 1)
        return max(
            MIN_RETRY_AFTER_S, max_delay_s * (MIN_DELAY_SHARE + (1 - MIN_DELAY_SHARE) * pressure) * jitter
        )

    def _decay(self, now: float) -> None:
        decay = math.exp(min(0.0, self._at - now) / COUNT_DECAY_S)
        self._sent *= decay
        self._refused *= decay
        self._at = max(self._at, now)
