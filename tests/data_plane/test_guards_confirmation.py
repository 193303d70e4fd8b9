"""Tests of single checks in `Confirmation`, for the mutants of those checks."""

from __future__ import annotations

from reedspoke.data_plane.confirmation import MAX_AGE_FRACTION, Confirmation

APPLY_S = 2.0
STARTED = 100.0
OLDER, NEWER = (1, 1), (1, 2)


def test_late_report_does_not_move_the_last_report_back() -> None:
    confirmation = Confirmation(APPLY_S, STARTED)
    confirmation.record_report(OLDER, STARTED + 5.0)
    confirmation.record_report(OLDER, STARTED + 4.0)
    assert confirmation.last_report_at() == STARTED + 5.0


def test_start_without_any_confirmation_is_overdue_after_a_while() -> None:
    confirmation = Confirmation(APPLY_S, STARTED)
    assert not confirmation.is_overdue(STARTED)
    assert confirmation.is_overdue(STARTED + MAX_AGE_FRACTION * APPLY_S + 0.01)


def test_newer_version_is_confirmed_as_of_its_latest_report() -> None:
    confirmation = Confirmation(APPLY_S, STARTED)
    confirmation.record_report(NEWER, STARTED + 5.0)
    confirmation.record_report(NEWER, STARTED + 4.0)
    confirmation.set_in_force(NEWER)
    assert confirmation.as_of() == STARTED + 5.0
