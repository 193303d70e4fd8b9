"""Tests of the token bucket of a quota share."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.common.quota_rule import (
    GRANTED_SHARE,
    LAG_S,
    MAX_CAPACITY_SHARE,
    MIN_CAPACITY_SHARE,
    QuotaRule,
    allowance,
    window_limit,
)
from reedspoke.control_plane.quota.token_bucket import TokenBucket

RULE = QuotaRule(window_s=8.0, excess=0.0, slack=0.0)
SHARE = 1000.0  # units within any window
MIN_CAPACITY = MIN_CAPACITY_SHARE * GRANTED_SHARE * SHARE
MAX_CAPACITY = MAX_CAPACITY_SHARE * GRANTED_SHARE * SHARE


def bucket(level: float = 0.0) -> TokenBucket:
    """Build a token bucket with this level."""
    tokens = TokenBucket(10.0)
    tokens.set_share(SHARE, RULE, 10.0)
    tokens.receive_loan(level)
    return tokens


def test_a_bucket_starts_empty_and_fills_by_its_share() -> None:
    tokens = bucket()
    assert not tokens.grant(1, is_scarce=False)
    tokens.refill(10.5)
    assert tokens.level == pytest.approx(0.5 * tokens.refill_per_s)
    tokens.refill(1000.0)
    assert tokens.level == pytest.approx(MIN_CAPACITY)


def test_a_time_in_the_past_refills_nothing() -> None:
    tokens = bucket(50)
    tokens.refill(5.0)
    assert tokens.level == 50


def test_the_capacity_follows_the_largest_request_and_never_shrinks_with_smaller_ones() -> None:
    tokens = bucket()
    for units, capacity in (
        (50.0, MIN_CAPACITY),
        (200.0, 200.0),
        (5000.0, MAX_CAPACITY),
        (1.0, MAX_CAPACITY),
    ):
        tokens.grant(units, is_scarce=False)
        tokens.set_share(SHARE, RULE, 10.0)
        assert tokens.capacity == pytest.approx(capacity)


def test_a_smaller_share_drops_excess_units() -> None:
    tokens = bucket(90)
    tokens.set_share(SHARE / 10, RULE, 10.0)
    assert tokens.level == pytest.approx(MIN_CAPACITY / 10)


def test_large_requests_need_the_same_level_as_small_ones_while_units_are_scarce() -> None:
    tokens = bucket(50)
    tokens.grant(80, is_scarce=True)
    assert not tokens.grant(10, is_scarce=True)  # It would lower the level for the next large request.
    assert tokens.grant(10, is_scarce=False)
    tokens.receive_loan(40)
    assert tokens.grant(80, is_scarce=True)


def test_the_reserve_decays_without_large_requests() -> None:
    tokens = bucket(60)
    assert not tokens.grant(80, is_scarce=True)
    granted = [tokens.grant(1, is_scarce=True) for _ in range(40)]
    assert not granted[0]
    assert granted[-1]


@pytest.mark.parametrize(
    ("level", "requested", "is_scarce", "lent"),
    [(100, 95, False, 90), (100, 20, False, 20), (0, 20, False, 0), (100, 95, True, 50), (40, 20, True, 0)],
)
def test_the_units_lent(level: float, requested: float, is_scarce: bool, lent: float) -> None:
    tokens = bucket(level)
    tokens.largest_recent_request = 50
    assert tokens.lend(requested, is_scarce=is_scarce) == pytest.approx(lent)
    assert tokens.level == pytest.approx(level - lent)


def test_units_above_the_capacity_are_dropped_after_borrowing() -> None:
    tokens = bucket(90)
    tokens.receive_loan(200)
    assert tokens.level == 290
    tokens.remove_overflow()
    assert tokens.level == pytest.approx(MIN_CAPACITY)


def test_the_waiting_time_of_a_request() -> None:
    tokens = bucket(50)
    assert tokens.wait_s(50 + tokens.refill_per_s) == pytest.approx(1.0)
    assert TokenBucket(0.0).wait_s(1) == float("inf")


@given(
    st.lists(st.tuples(st.sampled_from(["grant", "lend", "receive", "wait", "overflow"]), st.floats(0, 400)))
)
@settings(max_examples=200, deadline=None)
def test_a_bucket_never_gives_out_more_than_it_received(steps: list[tuple[str, float]]) -> None:
    tokens, now = bucket(), 10.0
    for step, amount in steps:
        match step:
            case "grant":
                tokens.grant(amount, is_scarce=amount > 200)
            case "lend":
                tokens.lend(amount, is_scarce=amount > 200)
            case "receive":
                tokens.receive_loan(amount)
            case "overflow":
                tokens.remove_overflow()
            case "wait":
                now += amount / 100
                tokens.refill(now)
        assert tokens.level >= -1e-6
        assert tokens.is_conserved


@given(st.floats(0.1, 1e7), st.floats(0, 1e6), st.floats(1, 30))
@settings(max_examples=200, deadline=None)
def test_the_allowance_stays_within_the_share(units: float, largest: float, window: float) -> None:
    share = allowance(units, largest, QuotaRule(window, 0.1, 0.0))
    assert share.refill_per_s * (window + LAG_S) + share.capacity <= units
    assert share.refill_per_s > 0
    assert MIN_CAPACITY_SHARE * GRANTED_SHARE * units <= share.capacity * (1 + 1e-9)


def test_the_limit_follows_from_the_deployments_parameters() -> None:
    assert window_limit(100.0, 50.0, QuotaRule(8.0, 0.1, 7.0)) == pytest.approx(850 * 1.1 + 7)
