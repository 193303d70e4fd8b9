"""The judges of tenants and quotas in soak runs."""

from __future__ import annotations

import pytest

from reedspoke.common.quota_rule import window_limit
from reedspoke.common.tenants import first_tenant_error
from reedspoke.lab.fleet_emulator.ledger import Ledger, Run, SentRequest
from reedspoke.lab.fleet_soak.soak_tenants import (
    BURST,
    LIMITED,
    MOVING_HOLDERS,
    MOVING_KEY,
    RATE_PER_S,
    RULE,
    quota_problems,
    tenants,
)

MOST = int(window_limit(RATE_PER_S, BURST, RULE))


def ledger(times: list[float]) -> Ledger:
    made = Ledger()
    for number, at in enumerate(times):
        made.record_run(Run(f"a{number}", "u", "i1", 0, LIMITED, at))
    return made


def test_as_many_as_the_quota_allows_in_a_window_are_no_problem() -> None:
    times = [100 + number * 1.001 * RULE.window_s / MOST for number in range(4 * MOST)]
    assert list(quota_problems(ledger(times))) == []


def test_more_are_one() -> None:
    times = [100 + number * (RULE.window_s / (MOST + 2)) for number in range(4 * MOST)]
    assert len(list(quota_problems(ledger(times)))) == 1


@pytest.mark.parametrize(
    ("key", "allowed", "told", "wrong"),
    [
        ("k", {"a"}, "a", False),
        ("k", {"a", "b"}, "b", False),
        ("k", {"a"}, "b", True),
        ("k", {"a"}, "", True),
        ("k", set(), "", True),
        ("", set(), "", False),
        ("", set(), "a", True),
    ],
)
def test_a_run_for_another_tenant_is_found(key: str, allowed: set[str], told: str, wrong: bool) -> None:
    made = Ledger()
    made.record_sent(SentRequest("a1", frozenset(("u",)), True, 0, frozenset(allowed), key))
    made.record_run(Run("a1", "u", "i1", 0, told, 1.0))
    assert (made.findings().wrong_tenant == ["a1"]) is wrong


def test_the_moving_key_has_one_holder_at_a_time() -> None:
    for generation in range(4):
        made = tenants(generation)
        assert first_tenant_error(made) is None
        holders = {tenant["name"] for tenant in made if MOVING_KEY in tenant["api_keys"]}
        assert len(holders & MOVING_HOLDERS) == 1
