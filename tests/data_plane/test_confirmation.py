"""`Confirmation` at its limits, and against a model that remembers all reports."""

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
MAX_AGE_S = MAX_AGE_FRACTION * APPLY_S


def make_confirmation(in_force: Version = NO_VERSION) -> Confirmation:
    confirmation = Confirmation(APPLY_S, started=90.0)
    confirmation.set_in_force(in_force)
    return confirmation


def test_initial_state_is_in_doubt() -> None:
    assert make_confirmation().as_of() is None
    assert make_confirmation().in_doubt(0.0)


def test_version_in_force_reported_as_newest_is_confirmed() -> None:
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 7), 100.0)
    assert confirmation.as_of() == 100.0
    assert not confirmation.in_doubt(100.0 + MAX_AGE_S - 0.01)
    assert confirmation.in_doubt(100.0 + MAX_AGE_S + 0.01)


def test_maximum_age_is_a_fraction_of_the_apply_time() -> None:
    confirmation = Confirmation(10.0, started=90.0)
    confirmation.record_report(NO_VERSION, 100.0)
    assert not confirmation.in_doubt(100.0 + 10 * MAX_AGE_FRACTION - 0.01)
    assert confirmation.in_doubt(100.0 + 10 * MAX_AGE_FRACTION + 0.01)


def test_newer_version_not_fetched_yet_means_in_doubt() -> None:
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 7), 100.0)
    confirmation.record_report((2, 8), 100.1)
    assert confirmation.in_doubt(100.1)
    assert not confirmation.is_expired(100.1)  # so no additional session is needed
    confirmation.set_in_force((2, 8))
    assert confirmation.as_of() == 100.1
    assert not confirmation.in_doubt(100.1)


def test_fetch_of_an_even_newer_version_confirms_as_of_the_report() -> None:
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 8), 100.0)
    confirmation.set_in_force((3, 1))
    assert confirmation.as_of() == 100.0


def test_fetch_of_a_version_older_than_reported_confirms_nothing() -> None:
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 9), 100.0)
    confirmation.set_in_force((2, 8))
    assert confirmation.as_of() is None
    assert confirmation.in_doubt(100.0)


def test_late_report_with_an_older_time_changes_nothing() -> None:
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 7), 100.0)
    confirmation.record_report((2, 6), 99.0)
    assert confirmation.as_of() == 100.0


def test_version_of_a_later_view_is_newer_than_a_higher_sequence() -> None:
    confirmation = make_confirmation((2, 90))
    confirmation.record_report((3, 1), 100.0)
    assert confirmation.in_doubt(100.0)


def test_suspended_process_is_in_doubt_when_it_resumes() -> None:
    """A response buffered during the suspension confirms only a time before it."""
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 7), 100.0)
    resumed_at = 107.0
    assert confirmation.in_doubt(resumed_at)
    confirmation.record_report(
        (2, 7), confirmed_as_of(sent_at=100.1, waited_s=0.4, confirmed_ago_s=0.1, now=resumed_at)
    )
    assert confirmation.in_doubt(resumed_at)
    confirmation.record_report(
        (2, 7), confirmed_as_of(sent_at=resumed_at, waited_s=0.0, confirmed_ago_s=0.1, now=resumed_at + 0.02)
    )
    assert not confirmation.in_doubt(resumed_at + 0.02)


def test_suspension_between_check_and_response_keeps_the_age_limit() -> None:
    """The check follows the receipt of the request, so a late response relies on a recent confirmation."""
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 7), 100.0)
    request_sent, checked = 101.0, 101.2
    assert not confirmation.in_doubt(checked)
    as_of = confirmation.as_of()
    assert as_of is not None
    assert request_sent - as_of < APPLY_S  # whatever the time of the response


@pytest.mark.parametrize("jump", [3.0, 60.0, 1e6])
def test_forward_clock_jump_only_causes_doubt(jump: float) -> None:
    confirmation = make_confirmation((2, 7))
    confirmation.record_report((2, 7), 100.0)
    assert confirmation.in_doubt(100.0 + jump)
    confirmation.record_report((2, 7), 100.0 + jump)
    assert not confirmation.in_doubt(100.0 + jump)


def test_confirmed_as_of_times() -> None:
    assert confirmed_as_of(100.0, 0.4, 0.3, 101.0) == pytest.approx(100.1)
    assert confirmed_as_of(100.0, 5.0, 0.0, 101.0) == 101.0  # never in the future


@pytest.mark.parametrize("invalid", [math.nan, -1.0, math.inf])
def test_response_with_invalid_times_confirms_nothing(invalid: float) -> None:
    confirmation = make_confirmation()
    confirmation.record_report(NO_VERSION, confirmed_as_of(100.0, 0.0, invalid, 101.0))
    assert confirmation.as_of() is None


def test_versions_that_are_never_fetched_are_bounded() -> None:
    confirmation = make_confirmation()
    for sequence in range(1, 10 * MAX_NEWER_VERSIONS):
        confirmation.record_report((1, sequence), float(sequence))
    assert len(confirmation._newer_versions) == MAX_NEWER_VERSIONS
    confirmation.set_in_force((1, 10 * MAX_NEWER_VERSIONS))
    assert confirmation.as_of() == 10 * MAX_NEWER_VERSIONS - 1


VERSIONS = st.tuples(st.integers(0, 3), st.integers(0, 4))


@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(st.booleans(), VERSIONS, st.floats(0, 100)), max_size=20), st.floats(0, 110))
def test_never_confirms_more_than_was_reported(steps: list[tuple[bool, Version, float]], now: float) -> None:
    confirmation = Confirmation(APPLY_S, started=90.0)
    in_force, reports = NO_VERSION, []
    for is_report, version, time in steps:
        if is_report:
            confirmation.record_report(version, time)
            reports.append((version, time))
        elif version > in_force:
            confirmation.set_in_force(version)
            in_force = version
    confirming = [time for version, time in reports if version <= in_force]
    assert confirmation.as_of() == max(confirming, default=None)
    newest_reported = max((version for version, _ in reports), default=NO_VERSION)
    if not confirmation.in_doubt(now):
        assert in_force >= newest_reported
        assert now - max(confirming) <= MAX_AGE_S
