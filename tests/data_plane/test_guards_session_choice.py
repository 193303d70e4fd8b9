"""Tests of single checks in `SessionChoice`, for the mutants of those checks."""

from __future__ import annotations

from reedspoke.data_plane.address_book import MIN_RETRY_DELAY_S
from reedspoke.data_plane.session_choice import OPENING_GRACE_S, SURPLUS_GRACE_S
from tests.data_plane.test_session_choice import choice_of

THREE = (("a", "za"), ("b", "zb"), ("c", "zc"))
MARGIN_S = 0.01


def test_sessions_that_do_not_connect_count_for_a_short_time_only() -> None:
    choice = choice_of(*THREE)
    for address in ("a", "b"):
        choice.session_opened(address, 1.0)
    assert choice.next_member(1.0, "za", in_doubt=False) is None
    third = choice.next_member(1.0 + OPENING_GRACE_S + MARGIN_S, "za", in_doubt=False)
    assert third is not None
    assert third.address == "c"


def test_no_confirmed_session_is_closed_in_doubt_or_right_after_it() -> None:
    choice = choice_of(*THREE)
    for address, _ in THREE:
        choice.session_opened(address, 1.0)
        choice.record_confirmed(address, 1.0)
    choice.next_member(1.0, "za", in_doubt=True)
    assert not [address for address, _ in THREE if choice.should_close(address, 1.0)]
    choice.next_member(1.0 + MARGIN_S, "za", in_doubt=False)
    assert not [address for address, _ in THREE if choice.should_close(address, 1.0 + MARGIN_S)]
    later = 1.0 + SURPLUS_GRACE_S + MARGIN_S
    for address, _ in THREE:
        choice.record_confirmed(address, later)
    choice.next_member(later, "za", in_doubt=False)
    assert len([address for address, _ in THREE if choice.should_close(address, later)]) == 1


def test_repeated_unconfirmed_responses_count_as_one_failure() -> None:
    choice = choice_of(("a", "za"))
    choice.session_opened("a", 1.0)
    for _ in range(5):
        choice.record_unconfirmed("a", [], 1.0)
    choice.session_ended("a", 1.0)
    assert choice.next_member(1.0 + MIN_RETRY_DELAY_S - MARGIN_S, "za", in_doubt=True) is None
    assert choice.next_member(1.0 + MIN_RETRY_DELAY_S + MARGIN_S, "za", in_doubt=True) is not None
