"""Tenants of a run: a key that stays, one that is passed on, one that nobody holds, and a quota."""

from __future__ import annotations

from collections.abc import Iterable

from reedspoke.common.node_settings import Bounds
from reedspoke.common.quota_rule import QuotaRule, window_limit
from reedspoke.common.tenants import Tenant
from reedspoke.lab.fleet_emulator.ledger import Ledger
from reedspoke.lab.fleet_emulator.workload import KeyUse

STEADY, FIRST, SECOND, LIMITED = "steady", "first", "second", "limited"
STEADY_KEY, MOVING_KEY, LIMITED_KEY, UNKNOWN_KEY = "key-steady", "key-moving", "key-limited", "key-unknown"
RATE_PER_S, BURST = 1.0, 2.0  # of the limited tenant, in requests: less than it asks for
RULE = QuotaRule(window_s=8.0, excess=0.1, slack=6.0)
BOUNDS = Bounds(
    revoke_strict=True,
    revoke_ms=5000,
    quota_window_s=RULE.window_s,
    quota_excess=RULE.excess,
    quota_slack=RULE.slack,
)
MOVING_HOLDERS = frozenset((FIRST, SECOND))
CALM_KEYS = (
    KeyUse(STEADY_KEY, frozenset((STEADY,)), 0.7),
    KeyUse(MOVING_KEY, MOVING_HOLDERS, 0.3),
)
TROUBLED_KEYS = (
    KeyUse(STEADY_KEY, frozenset((STEADY,)), 0.55),
    KeyUse(MOVING_KEY, MOVING_HOLDERS, 0.2),
    KeyUse(LIMITED_KEY, frozenset((LIMITED,)), 0.22),
    KeyUse(UNKNOWN_KEY, frozenset(), 0.03),
)


def tenants(generation: int) -> list[Tenant]:
    """The tenants of a configuration: with each generation the moving key may have another holder."""
    first, second = ([MOVING_KEY], []) if generation % 2 else ([], [MOVING_KEY])
    return [
        Tenant(name=STEADY, api_keys=[STEADY_KEY]),
        Tenant(name=FIRST, api_keys=first),
        Tenant(name=SECOND, api_keys=second),
        Tenant(name=LIMITED, api_keys=[LIMITED_KEY], rate_per_s=RATE_PER_S, burst=BURST),
    ]


def quota_problems(ledger: Ledger) -> Iterable[str]:
    """Windows in which more of the limited tenant's requests have run than its quota allows."""
    times = sorted(run.at for runs in ledger.runs.values() for run in runs if run.tenant == LIMITED)
    most = window_limit(RATE_PER_S, BURST, RULE)
    first = 0
    for last, at in enumerate(times):
        while times[first] <= at - RULE.window_s:
            first += 1
        if last - first + 1 > most:
            yield f"quota: {last - first + 1} of {LIMITED} ran within {RULE.window_s:g} s, {most:g} may"
            return
