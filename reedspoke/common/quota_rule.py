"""The limit on what a tenant's requests may take in any window, and how fast control plane nodes may grant.

The deployment's rule: of one tenant, no more than (rate x W + burst) x (1 + excess) + slack units reach
workers within any W seconds, over all nodes, also while they are partitioned. Grants come from token buckets
whose shares of the limit add up to 1 at most. What a bucket grants within a time T is at most refill x T +
capacity, whatever restarts or is partitioned, as a bucket starts empty. A grant may be used for up to `LAG_S`
after it was made, so what reaches workers within W was granted within W + LAG_S.
"""

from __future__ import annotations

from msgspec import Struct

CREDIT_S = 0.3  # for which a data plane node may use what was granted and not used
LAG_S = 0.7  # from a grant until its request reaches a worker: credit, queue, connection
GRANTED_SHARE = 0.97  # of the limit; the rest is for retries, which count again
MIN_CAPACITY_SHARE = 0.1  # of a bucket's share of the limit: what may be granted at one instant,
MAX_CAPACITY_SHARE = 0.3  # and where large requests need more than the minimum


class QuotaRule(Struct, frozen=True):
    """The parameters of the deployment's rule; `excess` is a ratio, `slack` is units."""

    window_s: float
    excess: float
    slack: float


class Allowance(Struct, frozen=True):
    """The parameters of a token bucket, in units."""

    refill_per_s: float
    capacity: float


def window_limit(rate: float, burst: float, rule: QuotaRule) -> float:
    """Units that may reach workers within any window; `rate` is units a second, `burst` units."""
    return (rate * rule.window_s + burst) * (1 + rule.excess) + rule.slack


def allowance(units: float, largest: float, rule: QuotaRule) -> Allowance:
    """The bucket that grants at most `units`, its share of the limit, in any window.

    Its capacity fits the `largest` request, as far as the maximum allows.
    """
    granted = units * GRANTED_SHARE
    capacity = min(MAX_CAPACITY_SHARE * granted, max(MIN_CAPACITY_SHARE * granted, largest))
    return Allowance((granted - capacity) / (rule.window_s + LAG_S), capacity)
