"""As of when a majority stood behind what is held, against a model that remembers all that was told."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.common.messages import NO_VERSION, Version
from reedspoke.data_plane.confirmation import (
    MAX_AGE_FRACTION,
    MAX_NEWER_VERSIONS,
    Confirmation,
    confirmed_as_of,
)

APPLY_S = 2.0
BOUND_S = MAX_AGE_FRACTION * APPLY_S


def make_confirmation(held: Version = NO_VERSION) -> Confirmation:
    confirmation = Confirmation(APPLY_S, started=90.0)
    confirmation.set_in_force(held)
    return confirmation


def test_at_first_all_is_in_doubt() -> None:
    assert make_confirmation().as_of() is None
    assert make_confirmation().in_doubt(0.0)


def test_what_is_held_and_told_as_the_newest_is_confirmed() -> None:
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 7), 100.0)
    assert confirmation.as_of() == 100.0
    assert not confirmation.in_doubt(100.0 + BOUND_S - 0.01)
    assert confirmation.in_doubt(100.0 + BOUND_S + 0.01)


def test_the_bound_is_a_share_of_the_settings() -> None:
    confirmation = Confirmation(10.0, started=90.0)
    confirmation.record_report(NO_VERSION, 100.0)
    assert not confirmation.in_doubt(100.0 + 10 * MAX_AGE_FRACTION - 0.01)
    assert confirmation.in_doubt(100.0 + 10 * MAX_AGE_FRACTION + 0.01)


def test_a_newer_version_that_is_not_fetched_yet_means_doubt() -> None:
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 7), 100.0)
    confirmation.record_report((2, 8), 100.1)
    assert confirmation.in_doubt(100.1)
    assert not confirmation.is_expired(100.1)  # no reason to look for other control schedulers
    confirmation.set_in_force((2, 8))
    assert confirmation.as_of() == 100.1
    assert not confirmation.in_doubt(100.1)


def test_a_fetch_that_brings_an_even_newer_version_confirms_the_time_of_the_answer() -> None:
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 8), 100.0)
    confirmation.set_in_force((3, 1))
    assert confirmation.as_of() == 100.0


def test_a_fetch_that_falls_short_confirms_nothing() -> None:
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 9), 100.0)
    confirmation.set_in_force((2, 8))
    assert confirmation.as_of() is None
    assert confirmation.in_doubt(100.0)


def test_an_older_answer_that_comes_late_takes_nothing_back() -> None:
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 7), 100.0)
    confirmation.record_report((2, 6), 99.0)
    assert confirmation.as_of() == 100.0


def test_a_version_of_a_later_view_goes_before_a_higher_sequence() -> None:
    confirmation = make_confirmation((2, 90))
    confirmation.record_report((3, 1), 100.0)
    assert confirmation.in_doubt(100.0)


def test_a_stopped_process_is_in_doubt_when_it_wakes() -> None:
    """The answer that waited in the buffer vouches for the time before the stop only."""
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 7), 100.0)
    woken = 107.0
    assert confirmation.in_doubt(woken)
    confirmation.record_report(
        (2, 7), confirmed_as_of(sent_at=100.1, waited_s=0.4, confirmed_ago_s=0.1, now=woken)
    )
    assert confirmation.in_doubt(woken)
    confirmation.record_report(
        (2, 7), confirmed_as_of(sent_at=woken, waited_s=0.0, confirmed_ago_s=0.1, now=woken + 0.02)
    )
    assert not confirmation.in_doubt(woken + 0.02)


def test_a_stop_between_check_and_answer_is_no_older_than_the_request() -> None:
    """The check follows the reading: what was confirmed then allows the answer, however late it comes."""
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 7), 100.0)
    request_sent, checked = 101.0, 101.2
    assert not confirmation.in_doubt(checked)
    as_of = confirmation.as_of()
    assert as_of is not None
    assert request_sent - as_of < APPLY_S  # whatever the time of the answer


@pytest.mark.parametrize("jump", [3.0, 60.0, 1e6])
def test_a_clock_that_jumps_on_brings_doubt_and_no_more(jump: float) -> None:
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 7), 100.0)
    assert confirmation.in_doubt(100.0 + jump)
    confirmation.record_report((2, 7), 100.0 + jump)
    assert not confirmation.in_doubt(100.0 + jump)


def test_times_of_an_answer() -> None:
    assert confirmed_as_of(100.0, 0.4, 0.3, 101.0) == pytest.approx(100.1)
    assert confirmed_as_of(100.0, 5.0, 0.0, 101.0) == 101.0  # never in the future


@pytest.mark.parametrize("nonsense", [math.nan, -1.0, math.inf])
def test_an_answer_with_impossible_times_confirms_nothing(nonsense: float) -> None:
    confirmation = make_confirmation()
    confirmation.record_report(NO_VERSION, confirmed_as_of(100.0, 0.0, nonsense, 101.0))
    assert confirmation.as_of() is None


def test_versions_that_are_never_fetched_do_not_pile_up() -> None:
    confirmation = make_confirmation()
    for sequence in range(1, 10 * MAX_NEWER_VERSIONS):
        confirmation.record_report((1, sequence), float(sequence))
    assert len(confirmation._newer_versions) == MAX_NEWER_VERSIONS
    confirmation.set_in_force((1, 10 * MAX_NEWER_VERSIONS))
    assert confirmation.as_of() == 10 * MAX_NEWER_VERSIONS - 1


VERSIONS = st.tuples(st.integers(0, 3), st.integers(0, 4))


@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(st.booleans(), VERSIONS, st.floats(0, 100)), max_size=20), st.floats(0, 110))
def test_it_never_vouches_for_more_than_was_told(
    steps: list[tuple[bool, Version, float]], now: float
) -> None:
    confirmation = Confirmation(APPLY_S, started=90.0)
    held, told = NO_VERSION, []
    for is_told, version, time in steps:
        if is_told:
            confirmation.record_report(version, time)
            told.append((version, time))
        elif version > held:
            confirmation.set_in_force(version)
            held = version
    vouched = [time for version, time in told if version <= held]
    assert confirmation.as_of() == max(vouched, default=None)
    newest_told = max((version for version, _ in told), default=NO_VERSION)
    if not confirmation.in_doubt(now):
        assert held >= newest_told
        assert now - max(vouched) <= BOUND_S
