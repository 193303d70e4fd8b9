"""The token bucket of a part of a quota."""

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
from reedspoke.control_plane.quota.bucket import QuotaBucket

RULE = QuotaRule(window_s=8.0, excess=0.0, slack=0.0)
PART = 1000.0  # units within any window
LEAST = MIN_CAPACITY_SHARE * GRANTED_SHARE * PART
MOST = MAX_CAPACITY_SHARE * GRANTED_SHARE * PART


def bucket(level: float = 0.0) -> QuotaBucket:
    made = QuotaBucket(10.0)
    made.set_part(PART, RULE, 10.0)
    made.receive(level)
    return made


def test_it_starts_empty_and_fills_by_its_part() -> None:
    made = bucket()
    assert not made.grant(1, is_short=False)
    made.refill(10.5)
    assert made.level == pytest.approx(0.5 * made.refill_per_s)
    made.refill(1000.0)
    assert made.level == pytest.approx(LEAST)


def test_time_that_goes_back_refills_nothing() -> None:
    made = bucket(50)
    made.refill(5.0)
    assert made.level == 50


def test_the_capacity_follows_the_largest_request_and_never_shrinks_for_it() -> None:
    made = bucket()
    for units, capacity in ((50.0, LEAST), (200.0, 200.0), (5000.0, MOST), (1.0, MOST)):
        made.grant(units, is_short=False)
        made.set_part(PART, RULE, 10.0)
        assert made.capacity == pytest.approx(capacity)


def test_a_smaller_part_drops_what_exceeds_it() -> None:
    made = bucket(90)
    made.set_part(PART / 10, RULE, 10.0)
    assert made.level == pytest.approx(LEAST / 10)


def test_large_requests_find_as_much_as_small_ones_while_units_are_short() -> None:
    made = bucket(50)
    made.grant(80, is_short=True)
    assert not made.grant(10, is_short=True)  # the next large one would find less still
    assert made.grant(10, is_short=False)
    made.receive(40)
    assert made.grant(80, is_short=True)


def test_the_reserve_decays_as_large_requests_stay_away() -> None:
    made = bucket(60)
    assert not made.grant(80, is_short=True)
    granted = [made.grant(1, is_short=True) for _ in range(40)]
    assert not granted[0]
    assert granted[-1]


@pytest.mark.parametrize(
    ("level", "wanted", "is_short", "lent"),
    [(100, 95, False, 90), (100, 20, False, 20), (0, 20, False, 0), (100, 95, True, 50), (40, 20, True, 0)],
)
def test_what_it_lends(level: float, wanted: float, is_short: bool, lent: float) -> None:
    made = bucket(level)
    made.largest = 50
    assert made.lend(wanted, is_short=is_short) == pytest.approx(lent)
    assert made.level == pytest.approx(level - lent)


def test_loans_beyond_the_capacity_are_dropped_once_the_round_is_over() -> None:
    made = bucket(90)
    made.receive(200)
    assert made.level == 290
    made.settle()
    assert made.level == pytest.approx(LEAST)


def test_how_long_a_request_has_to_wait() -> None:
    made = bucket(50)
    assert made.seconds_until(50 + made.refill_per_s) == pytest.approx(1.0)
    assert QuotaBucket(0.0).seconds_until(1) == float("inf")


@given(
    st.lists(st.tuples(st.sampled_from(["grant", "lend", "receive", "wait", "settle"]), st.floats(0, 400)))
)
@settings(max_examples=200, deadline=None)
def test_it_never_gives_more_than_it_received(steps: list[tuple[str, float]]) -> None:
    made, now = bucket(), 10.0
    for step, amount in steps:
        match step:
            case "grant":
                made.grant(amount, is_short=amount > 200)
            case "lend":
                made.lend(amount, is_short=amount > 200)
            case "receive":
                made.receive(amount)
            case "settle":
                made.settle()
            case "wait":
                now += amount / 100
                made.refill(now)
        assert made.level >= -1e-6
        assert made.is_conserved


@given(st.floats(0.1, 1e7), st.floats(0, 1e6), st.floats(1, 30))
@settings(max_examples=200, deadline=None)
def test_the_allowance_keeps_to_the_part(units: float, largest: float, window: float) -> None:
    part = allowance(units, largest, QuotaRule(window, 0.1, 0.0))
    assert part.refill_per_s * (window + LAG_S) + part.capacity <= units
    assert part.refill_per_s > 0
    assert MIN_CAPACITY_SHARE * GRANTED_SHARE * units <= part.capacity * (1 + 1e-9)


def test_the_bound_is_the_deployment_s() -> None:
    assert window_limit(100.0, 50.0, QuotaRule(8.0, 0.1, 7.0)) == pytest.approx(850 * 1.1 + 7)
