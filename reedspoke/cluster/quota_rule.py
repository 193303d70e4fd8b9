"""The bound on what a tenant's requests may take in any window, and how fast control schedulers may grant.

The deployment's rule: of one tenant, no more than (rate x W + burst) x (1 + excess) + slack units reach
workers within any W seconds, over all schedulers, in touch or not. Grants come from token buckets whose
refills and capacities add up to one `Allowance` for the fleet. What such buckets grant within a time T is at
most refill x T + capacity, whatever restarts or is cut off, as a bucket starts empty. A grant may be used for
up to `LAG_S` after it was made, so what reaches workers within W was granted within W + LAG_S.
"""

from __future__ import annotations

from msgspec import Struct

CREDIT_S = 0.3  # for which a data plane scheduler keeps what it has not used
LAG_S = 1.0  # from a grant until its request reaches a worker: credit, queue, connection
COUNTED_SHARE = 0.97  # of the bound: a request that is sent again counts again
LEAST_CAPACITY_SHARE = 0.25  # of the bound, where its excess leaves no more for the capacity


class QuotaRule(Struct, frozen=True):
    """The figures of the deployment's rule."""

    window_s: float
    excess: float
    slack: float


class Allowance(Struct, frozen=True):
    """What all buckets of one tenant together may refill and hold."""

    refill_per_s: float
    capacity: float


def bound(rate: float, burst: float, rule: QuotaRule) -> float:
    """Units that may reach workers within any window."""
    return (rate * rule.window_s + burst) * (1 + rule.excess) + rule.slack


def allowance(rate: float, burst: float, rule: QuotaRule) -> Allowance:
    """Refill and capacity that keep to the bound; the refill is the rate where that leaves enough."""
    counted = bound(rate, burst, rule) * COUNTED_SHARE
    time_s = rule.window_s + LAG_S
    capacity = max(counted - rate * time_s, counted * LEAST_CAPACITY_SHARE)
    refill = min(rate, (counted - capacity) / time_s)
    return Allowance(refill, capacity)
