"""The share of a worker's answers that were whole, the latest count most. No I/O and no clock.

What is missing of it fades with time. Requests that must not be repeated are kept from a worker that is not
trusted; where a service has no others, no answer of it could win the trust back.
"""

from __future__ import annotations

import math

from msgspec import Struct

LEARN = 0.2  # weight of a new answer
RECOVERY_HALF_LIFE_S = 10.0  # of what is missing, while nothing is heard


class Soundness(Struct, eq=False):
    """Of one worker; times are those of this scheduler's steady clock."""

    share: float = 1.0  # as it was at the last answer
    learned_at: float = 0.0

    def at(self, now: float) -> float:
        """From 0 to 1."""
        faded = math.exp2(-max(0.0, now - self.learned_at) / RECOVERY_HALF_LIFE_S)
        return 1 - (1 - self.share) * faded

    def whole(self, now: float) -> None:
        """An answer came whole."""
        share = self.at(now)
        self._set(share + LEARN * (1 - share), now)

    def failed(self, now: float) -> None:
        """A request failed there."""
        self._set((1 - LEARN) * self.at(now), now)

    def _set(self, share: float, now: float) -> None:
        self.share = share
        self.learned_at = now
