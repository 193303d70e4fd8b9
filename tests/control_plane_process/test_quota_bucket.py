"""The token bucket of a part of a quota."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.cluster.quota_rule import LAG_S, Allowance, QuotaRule, allowance, bound
from reedspoke.control_plane.quota_bucket import QuotaBucket

FLEET = Allowance(refill_per_s=100.0, capacity=1000.0)


def bucket(level: float = 0.0, share: float = 0.5) -> QuotaBucket:
    made = QuotaBucket(10.0)
    made.set_part(FLEET, share, 10.0)
    made.receive(level)
    return made


def test_it_starts_empty_and_fills_by_its_share() -> None:
    made = bucket()
    assert not made.grant(1)
    made.refill(12.0)
    assert made.level == pytest.approx(100)
    made.refill(1000.0)
    assert made.level == 500


def test_time_that_goes_back_refills_nothing() -> None:
    made = bucket(100)
    made.refill(5.0)
    assert made.level == 100


def test_large_requests_find_as_much_as_small_ones() -> None:
    made = bucket(150)
    assert not made.grant(200)
    assert not made.grant(10)  # the next large one would find less still
    made.receive(50)
    assert made.grant(200)


def test_the_reserve_decays_as_large_requests_stay_away() -> None:
    made = bucket(150)
    assert not made.grant(200)
    granted = [made.grant(1) for _ in range(40)]
    assert not granted[0]
    assert granted[-1]


def test_it_lends_half_and_no_more_than_is_wanted() -> None:
    assert bucket(100).lend(80) == 50
    assert bucket(100).lend(20) == 20
    assert bucket(0).lend(20) == 0


def test_loans_beyond_the_capacity_are_dropped_once_the_round_is_over() -> None:
    made = bucket(500)
    made.receive(200)
    assert made.level == 700
    made.settle()
    assert made.level == 500


def test_how_long_a_request_has_to_wait() -> None:
    made = bucket(100)
    assert made.seconds_until(150) == pytest.approx(1.0)
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
                made.grant(amount)
            case "lend":
                made.lend(amount)
            case "receive":
                made.receive(amount)
            case "settle":
                made.settle()
            case "wait":
                now += amount / 100
                made.refill(now)
        assert made.level >= -1e-6
        assert made.is_conserved


@given(st.floats(0.1, 1e6), st.floats(0, 1e6), st.floats(1, 30), st.floats(0, 0.5), st.floats(0, 1e6))
@settings(max_examples=200, deadline=None)
def test_the_allowance_keeps_to_the_bound(
    rate: float, burst: float, window: float, excess: float, slack: float
) -> None:
    rule = QuotaRule(window, excess, slack)
    fleet = allowance(rate, burst, rule)
    assert fleet.refill_per_s * (window + LAG_S) + fleet.capacity <= bound(rate, burst, rule) * (1 + 1e-9)
    assert 0 <= fleet.refill_per_s <= rate
    assert fleet.capacity >= 0
