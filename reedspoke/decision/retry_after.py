"""When a refused client is told to come back.

Clients obey Retry-After up to a third of the time that they have left, and ask few times. So the worse a
shortage has been lately, the later they are asked to come, within that third, and not all at once.
"""

from __future__ import annotations

import math
from zlib import crc32

OBEYED = 1 / 3  # of the time left that clients wait as told
LEAST_PART = 0.25  # of that, when next to nothing is refused
MEMORY_S = 2.0  # over which refusals and sends are counted
SPREAD = 0.25  # by which equal cases differ either way
LEAST_S = 0.02


class RetryAfter:
    """Counts what was sent and refused lately at one service."""

    def __init__(self) -> None:
        self._sent = 0.0
        self._refused = 0.0
        self._at = 0.0

    def sent(self, now: float) -> None:
        """A request was sent to a worker."""
        self._decay(now)
        self._sent += 1

    def refuse(self, job_id: int, left_s: float, now: float) -> float:
        """Count a refusal, and tell the seconds for its Retry-After; `left_s` is left to the client."""
        self._decay(now)
        self._refused += 1
        pressure = self._refused / (self._refused + self._sent)
        most = max(0.0, left_s) * OBEYED / (1 + SPREAD)
        lot = crc32(job_id.to_bytes(8, "big", signed=True)) / 2**32
        spread = 1 + SPREAD * (2 * lot - 1)
        return max(LEAST_S, most * (LEAST_PART + (1 - LEAST_PART) * pressure) * spread)

    def _decay(self, now: float) -> None:
        kept = math.exp(min(0.0, self._at - now) / MEMORY_S)
        self._sent *= kept
        self._refused *= kept
        self._at = max(self._at, now)
