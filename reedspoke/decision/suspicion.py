"""Whether a worker fails requests, as several schedulers have seen it.

One scheduler sees a small part of a worker's requests: where each had to learn by itself that a worker fails
them, a worker would fail a few requests of each. So schedulers tell each other which workers have lately
failed theirs. What one of them says alone counts for nothing, as the fault may be its own link's. A worker
that two suspect is avoided while others have room; it is never left out, so a false suspicion costs little.
Where most workers of a service would be avoided, none is: the fault is then more likely to lie between them
and the schedulers.

An error that a worker answers is no sign: some requests fail on every worker.

A suspicion ends some time after the last failure, or as soon as an answer comes whole. Then a few requests
try the worker again.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.decision.messages import Cause, Outcome

KEPT_S = 3.0  # after the last failure
LEAST_SCHEDULERS = 2  # that suspect a worker, this one included, for it to be avoided
FAILURES = frozenset({Cause.CONNECT_FAILED, Cause.RESET, Cause.TIMED_OUT, Cause.WRONG_INSTANCE})


class Suspicion(Struct, eq=False):
    """Of one worker; times are those of this scheduler's steady clock."""

    until: float = 0.0  # this scheduler's own
    others: int = 0  # other schedulers that suspect it,
    others_until: float = 0.0  # as long as their word counts

    def judge(self, outcome: Outcome, cause: Cause, now: float) -> None:
        """An attempt there has ended."""
        if cause in FAILURES:
            self.until = now + KEPT_S
        elif outcome is Outcome.OK:
            self.until = 0.0

    def tell(self, others: int, now: float) -> None:
        """So many other schedulers suspect it. Their word fades where no newer one comes, as to a scheduler
        that is cut off."""
        self.others = others
        self.others_until = now + KEPT_S

    def is_own(self, now: float) -> bool:
        """Whether this scheduler suspects the worker."""
        return now < self.until

    def is_shared(self, now: float) -> bool:
        """Whether enough schedulers suspect it."""
        others = self.others if now < self.others_until else 0
        return others + self.is_own(now) >= LEAST_SCHEDULERS
