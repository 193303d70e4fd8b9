"""Guards of the choice of sessions with control schedulers, one at a time."""

from __future__ import annotations

from reedspoke.data_plane.address_book import RETRY_LEAST_S
from reedspoke.data_plane.session_choice import OPENING_S, SURPLUS_S
from tests.data_plane.test_session_choice import choice_of

THREE = (("a", "za"), ("b", "zb"), ("c", "zc"))
MARGIN_S = 0.01


def test_sessions_that_do_not_come_up_count_for_a_moment_only() -> None:
    made = choice_of(*THREE)
    for address in ("a", "b"):
        made.opened(address, 1.0)
    assert made.next_address(1.0, "za", in_doubt=False) is None
    third = made.next_address(1.0 + OPENING_S + MARGIN_S, "za", in_doubt=False)
    assert third is not None
    assert third.address == "c"


def test_no_sound_session_is_left_during_a_doubt_or_right_after_it() -> None:
    made = choice_of(*THREE)
    for address, _ in THREE:
        made.opened(address, 1.0)
        made.confirmed(address, 1.0)
    made.next_address(1.0, "za", in_doubt=True)
    assert not [address for address, _ in THREE if made.should_leave(address, 1.0)]
    made.next_address(1.0 + MARGIN_S, "za", in_doubt=False)
    assert not [address for address, _ in THREE if made.should_leave(address, 1.0 + MARGIN_S)]
    later = 1.0 + SURPLUS_S + MARGIN_S
    for address, _ in THREE:
        made.confirmed(address, later)
    made.next_address(later, "za", in_doubt=False)
    assert len([address for address, _ in THREE if made.should_leave(address, later)]) == 1


def test_the_word_of_a_lost_majority_counts_once_however_often_it_is_repeated() -> None:
    made = choice_of(("a", "za"))
    made.opened("a", 1.0)
    for _ in range(5):
        made.unconfirmed("a", [], 1.0)
    made.ended("a", 1.0)
    assert made.next_address(1.0 + RETRY_LEAST_S - MARGIN_S, "za", in_doubt=True) is None
    assert made.next_address(1.0 + RETRY_LEAST_S + MARGIN_S, "za", in_doubt=True) is not None
