"""Suspicion of a worker that fails requests, shared between schedulers.

One scheduler sees only a small part of a worker's requests. If each had to detect a failing worker by itself,
the worker would fail a few requests of every scheduler. So schedulers share which workers have recently
failed their requests. The report of a single scheduler has no effect, as the fault may be in its own network
link. A worker that two schedulers suspect is avoided while others have free positions. It is never excluded,
so a false suspicion costs little. If most workers of a service would be avoided, none is: the fault is then
more likely in the network between them and the schedulers.

An error answer raises no suspicion, because some requests fail on every worker.

A suspicion ends some time after the last failure, or when a complete answer arrives. Then a few requests try
the worker again.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.decision.messages import Cause, Outcome

SUSPICION_TIMEOUT_S = 3.0  # Time after the last failure at which a suspicion ends.
MIN_SCHEDULERS = 2  # Schedulers, including this one, that must suspect a worker for it to be avoided.
SUSPICIOUS_CAUSES = frozenset({Cause.CONNECT_FAILED, Cause.RESET, Cause.TIMED_OUT, Cause.WRONG_INSTANCE})


class Suspicion(Struct, eq=False):
    """The suspicion of one worker; times are those of this scheduler's monotonic clock."""

    until: float = 0.0  # The end of this scheduler's own suspicion.
    others: int = 0  # The number of other schedulers that suspect the worker.
    others_until: float = 0.0  # The time until which `others` is valid.

    def record_attempt_end(self, outcome: Outcome, cause: Cause, now: float) -> None:
        """Update this scheduler's suspicion with the end of an attempt."""
        if cause in SUSPICIOUS_CAUSES:
            self.until = now + SUSPICION_TIMEOUT_S
        elif outcome is Outcome.OK:
            self.until = 0.0

    def set_others(self, others: int, now: float) -> None:
        """Set the number of other schedulers that suspect the worker.

        It expires without an update, for example while this scheduler is partitioned from the others.
        """
        self.others = others
        self.others_until = now + SUSPICION_TIMEOUT_S

    def is_own(self, now: float) -> bool:
        """Whether this scheduler suspects the worker."""
        return now < self.until

    def is_confirmed(self, now: float) -> bool:
        """Whether enough schedulers suspect the worker for it to be avoided."""
        others = self.others if now < self.others_until else 0
        return others + self.is_own(now) >= MIN_SCHEDULERS
