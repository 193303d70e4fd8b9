"""The bound on what a tenant's requests may take in any window, and how fast control schedulers may grant.

The deployment's rule: of one tenant, no more than (rate x W + burst) x (1 + excess) + slack units reach
workers within any W seconds, over all schedulers, in touch or not. Grants come from token buckets whose
shares of the bound add up to 1 at most. What a bucket grants within a time T is at most refill x T +
capacity, whatever restarts or is cut off, as a bucket starts empty. A grant may be used for up to `LAG_S`
after it was made, so what reaches workers within W was granted within W + LAG_S.
"""

from __future__ import annotations

from msgspec import Struct

CREDIT_S = 0.3  # for which a data plane scheduler keeps what it has not used
LAG_S = 0.7  # from a grant until its request reaches a worker: credit, queue, connection
COUNTED_SHARE = 0.97  # of the bound: a request that is sent again counts again
LEAST_CAPACITY = 0.1  # of a bucket's part of the bound: what may be granted at one instant,
MOST_CAPACITY = 0.3  # where large requests need more than the least


class QuotaRule(Struct, frozen=True):
    """The figures of the deployment's rule."""

    window_s: float
    excess: float
    slack: float


class Allowance(Struct, frozen=True):
    """What a bucket may refill and hold."""

    refill_per_s: float
    capacity: float


def bound(rate: float, burst: float, rule: QuotaRule) -> float:
    """Units that may reach workers within any window."""
    return (rate * rule.window_s + burst) * (1 + rule.excess) + rule.slack


def allowance(units: float, largest: float, rule: QuotaRule) -> Allowance:
    """What keeps a bucket to its part of the bound, these units. The largest request finds room in it."""
    counted = units * COUNTED_SHARE
    capacity = min(MOST_CAPACITY * counted, max(LEAST_CAPACITY * counted, largest))
    return Allowance((counted - capacity) / (rule.window_s + LAG_S), capacity)
