"""The choice of the next view for each kind of fault."""

from __future__ import annotations

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.control_plane.views.next_view import choose_next_view
from tests.control_plane.view_builders import chain_names, member_named, snapshot_of, view_of, voter_names


def test_the_view_stays_if_all_members_are_healthy() -> None:
    view = view_of("abc")
    assert choose_next_view(view, snapshot_of("abc")) == view


def test_each_lost_member_is_removed_and_the_order_kept() -> None:
    view = view_of("abc")
    for lost in "abc":
        following = choose_next_view(view, snapshot_of("abc".replace(lost, "")))
        assert chain_names(following) == "abc".replace(lost, "")
        assert following.number == 6
        assert following.voters == view.voters


def test_of_two_that_do_not_reach_each_other_the_tail_is_kept() -> None:
    view = view_of("abc")
    assert chain_names(choose_next_view(view, snapshot_of("abc", apart=["ac"]))) == "bc"
    assert chain_names(choose_next_view(view, snapshot_of("abc", apart=["bc"]))) == "ac"
    assert chain_names(choose_next_view(view, snapshot_of("abc", apart=["ab"]))) == "ac"


def test_the_first_member_is_complete() -> None:
    view = view_of("abc")
    assert choose_next_view(view, snapshot_of("bc", incomplete="bc")) == view
    assert chain_names(choose_next_view(view, snapshot_of("ac", incomplete="c"))) == "ac"


def test_a_chain_does_not_become_too_short_without_a_joiner() -> None:
    view = view_of("ab", voters="abc")
    assert choose_next_view(view, snapshot_of("a")) == view
    following = choose_next_view(view, snapshot_of("a", joiners=[member_named("c")]))
    assert chain_names(following) == "ac"
    assert following.chain[1].joined_view == 6


def test_a_joiner_is_appended_once_all_others_are_complete() -> None:
    view = view_of("ab", voters="abc")
    joiner = [member_named("c")]
    assert chain_names(choose_next_view(view, snapshot_of("ab", joiners=joiner))) == "abc"
    assert choose_next_view(view, snapshot_of("ab", incomplete="b", joiners=joiner)) == view
    assert choose_next_view(view, snapshot_of("ab", apart=["bc"], joiners=joiner)) == view


def test_one_joiner_at_a_time() -> None:
    view = view_of("ab", voters="abc")
    joiners = [member_named("d"), member_named("c")]
    assert chain_names(choose_next_view(view, snapshot_of("ab", joiners=joiners))) == "abc"


def test_a_new_folder_at_an_old_address_votes_in_its_place() -> None:
    view = view_of("ab", voters="abc")
    following = choose_next_view(view, snapshot_of("ab", joiners=[member_named("x", address="at-c")]))
    assert voter_names(following) == "abx"


def test_a_joiner_replaces_a_voter_that_is_lost_or_is_added() -> None:
    view = view_of("ab", voters="abc")
    joiner = [member_named("d")]
    assert voter_names(choose_next_view(view, snapshot_of("ab", lost="c", joiners=joiner))) == "abd"
    assert voter_names(choose_next_view(view, snapshot_of("abc", joiners=[member_named("d")]))) == "abc"
    view = view_of("ab", voters="ab")
    assert voter_names(choose_next_view(view, snapshot_of("ab", joiners=joiner))) == "abd", "one was too few"


def test_above_the_target_established_voters_are_added_in_pairs() -> None:
    view = view_of("abc")
    assert voter_names(choose_next_view(view, snapshot_of("abc", joiners=[member_named("d")]))) == "abc"
    view = view_of("abcde", voters="abc")
    assert choose_next_view(view, snapshot_of("abcde", recent="d")) == view
    assert voter_names(choose_next_view(view, snapshot_of("abcde"))) == "abcd"
    assert voter_names(choose_next_view(view_of("abcde", voters="abcd"), snapshot_of("abcde"))) == "abcde"
    view = view_of("abcd", voters="abc")
    assert choose_next_view(view, snapshot_of("abcd")) == view, "four tolerate no more losses than three"


def test_a_joiner_has_no_vote_besides_a_voter_that_may_be_dead() -> None:
    view = view_of("ab", voters="abc")
    following = choose_next_view(view, snapshot_of("ab", joiners=[member_named("d")]))
    assert (chain_names(following), voter_names(following)) == ("abd", "abc")
    view = view_of("abd", voters="abc")
    assert choose_next_view(view, snapshot_of("abd")) == view
    assert voter_names(choose_next_view(view, snapshot_of("abd", lost="c"))) == "abd"


def test_voters_grow_to_the_target_before_any_is_replaced() -> None:
    view = view_of("ab", voters="abc")
    snapshot = snapshot_of("ab", lost="c", tolerated=2, joiners=[member_named("d")])
    assert voter_names(choose_next_view(view, snapshot)) == "abcd"


def test_surplus_voters_that_are_draining_or_lost_are_removed() -> None:
    view = view_of("abc", voters="abcd")
    assert voter_names(choose_next_view(view, snapshot_of("abc", lost="d"))) == "abc"
    assert voter_names(choose_next_view(view, snapshot_of("abc", draining="d"))) == "abc"
    view = view_of("ab", voters="abc")
    assert choose_next_view(view, snapshot_of("ab", lost="c")) == view


NAMES = "abcde"
PAIRS = ["".join(pair) for pair in itertools.combinations(NAMES, 2)]


@given(
    healthy=st.sets(st.sampled_from(NAMES)),
    incomplete_from=st.integers(1, 5),
    apart=st.sets(st.sampled_from(PAIRS)),
)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_any_choice_is_a_connected_subsequence_with_a_complete_head(
    healthy: set[str], incomplete_from: int, apart: set[str]
) -> None:
    view = view_of(NAMES)
    names = "".join(sorted(healthy))
    incomplete = NAMES[incomplete_from:]
    snapshot = snapshot_of(names, incomplete=incomplete, apart=apart, tolerated=2)
    following = choose_next_view(view, snapshot)
    if following == view:
        return
    chain = chain_names(following)
    assert len(chain) >= 3
    assert chain == "".join(sorted(chain))
    assert set(chain) <= healthy
    assert chain[0] not in incomplete
    assert not any(one + other in apart for one, other in itertools.combinations(chain, 2))
