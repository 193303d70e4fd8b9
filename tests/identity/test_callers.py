"""Rights and limits of callers."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.identity.callers import SECOND_US, Caller, CallerDeniedError, CallerRegistry

NOW = 1_800_000_000 * SECOND_US
STEINER = Caller("steiner", frozenset({"moebel-steiner"}), names=frozenset({"gw.steiner.example"}))
GATEWAY = Caller(
    "gateway", frozenset({"alpenhaus", "tirol-rad"}), frozenset({("https://portal", "gw")}),
    classes=frozenset({"balance-view"}),
)  # fmt: skip


def denied(call: object, *words: object) -> str:
    with pytest.raises(CallerDeniedError) as error:
        call(*words)  # type: ignore[operator]
    return error.value.reason


def test_who_calls() -> None:
    registry = CallerRegistry([STEINER, GATEWAY])
    assert registry.find_by_token("https://portal", "gw") is GATEWAY
    assert registry.find_by_certificate(["other.example", "GW.steiner.example"]) is STEINER
    assert denied(registry.find_by_token, "https://other", "gw") == "unknown_subject"
    assert denied(registry.find_by_certificate, ["other.example"]) == "unknown_certificate"
    assert registry.combine(GATEWAY, None) is GATEWAY
    assert registry.combine(GATEWAY, GATEWAY, "abc", "abc") is GATEWAY
    assert denied(registry.combine, GATEWAY, STEINER) == "disagree"
    assert denied(registry.combine, GATEWAY, None, "abc", "") == "binding"
    assert denied(registry.combine, GATEWAY, GATEWAY, "abc", "abd") == "binding"
    assert denied(registry.combine, None, None) == "nobody"


def test_a_certificate_of_one_partner_books_for_no_other() -> None:
    registry = CallerRegistry([STEINER, GATEWAY])
    assert registry.authorize_tenant(STEINER, "moebel-steiner", "loan-booking") == "moebel-steiner"
    assert registry.authorize_tenant(STEINER, "", "loan-booking") == "moebel-steiner"
    assert denied(registry.authorize_tenant, STEINER, "alpenhaus", "loan-booking") == "tenant"
    assert registry.authorize_tenant(GATEWAY, "tirol-rad", "balance-view") == "tirol-rad"
    assert denied(registry.authorize_tenant, GATEWAY, "", "balance-view") == "tenant_missing"
    assert denied(registry.authorize_tenant, GATEWAY, "tirol-rad", "loan-booking") == "class"


def test_rights_change_between_two_requests_and_a_bad_change_changes_nothing() -> None:
    registry = CallerRegistry([STEINER, GATEWAY])
    registry.open_job(GATEWAY, NOW)
    registry.update([STEINER])
    assert denied(registry.authorize_tenant, GATEWAY, "tirol-rad", "balance-view") == "gone"
    assert registry.open_jobs("gateway") == 1, "what it holds is counted still"
    registry.close_job("gateway")
    assert registry.open_jobs("gateway") == 0
    for bad in (
        [STEINER, STEINER],
        [STEINER, Caller("other", frozenset({"x"}), names=frozenset({"gw.steiner.example"}))],
        [GATEWAY, Caller("other", frozenset({"x"}), frozenset({("https://portal", "gw")}))],
    ):
        with pytest.raises(ValueError, match="twice|two callers"):
            registry.update(bad)
    assert registry.find_by_certificate(["gw.steiner.example"]) is STEINER


def test_limits_on_rate_and_open_jobs() -> None:
    limited = Caller("limited", frozenset({"x"}), rate=2.0, burst=3.0, max_open_jobs=4)
    registry = CallerRegistry([limited])
    for _ in range(3):
        registry.open_job(limited, NOW)
    with pytest.raises(CallerDeniedError) as error:
        registry.open_job(limited, NOW)
    assert (error.value.reason, error.value.status) == ("rate", 429)
    assert 0 < error.value.retry_after <= SECOND_US // 2 + 1
    registry.open_job(limited, NOW + error.value.retry_after)
    assert denied(registry.open_job, limited, NOW + 9 * SECOND_US) == "open"
    registry.close_job("limited")
    registry.open_job(limited, NOW + 9 * SECOND_US)


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 3 * SECOND_US)), max_size=60))
@settings(derandomize=True)
def test_no_more_than_the_rate_and_the_burst_is_ever_taken(steps: list[tuple[bool, int]]) -> None:
    limited = Caller("limited", frozenset({"x"}), rate=2.0, burst=3.0, max_open_jobs=5)
    registry, now, taken = CallerRegistry([limited]), NOW, 0
    for take, wait in steps:
        now += wait
        if take:
            try:
                registry.open_job(limited, now)
                taken += 1
            except CallerDeniedError:
                pass
        else:
            registry.close_job("limited")
        assert 0 <= registry.open_jobs("limited") <= 5
    assert taken <= 3 + 2 * (now - NOW) / SECOND_US + 1e-6
