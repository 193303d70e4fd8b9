"""The choice of the next view, for each kind of trouble."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.control_plane.replication.view import ChainLink, Member, View
from reedspoke.control_plane.views.next_view import MemberCondition, MembershipSnapshot, choose_next_view


def _member(name: str, address: str = "") -> Member:
    return Member(folder_id=name, address=address or f"at-{name}")


def _view(chain: str, voters: str = "", number: int = 5) -> View:
    return View(
        number,
        tuple(_member(name) for name in voters or chain),
        tuple(ChainLink(_member(name), 1) for name in chain),
    )


def _around(
    healthy: str,
    view: View,
    incomplete: str = "",
    apart: Iterable[str] = (),
    gone: str = "",
    leaving: str = "",
    tolerated: int = 1,
    joiners: Iterable[Member] = (),
    fresh: str = "",
) -> MembershipSnapshot:
    placed = {link.member.folder_id for link in view.chain}
    members = [_member(name) for name in healthy] + list(joiners)
    conditions = {
        member.folder_id: MemberCondition(
            member,
            healthy=True,
            complete=member.folder_id in placed and member.folder_id not in incomplete,
            steady=True,
            established=member.folder_id not in fresh,
        )
        for member in members
    }
    pairs = {frozenset(pair) for pair in apart}
    return MembershipSnapshot(
        conditions,
        is_connected=lambda one, other: frozenset((one, other)) not in pairs,
        is_lost=lambda folder_id: folder_id in gone,
        is_draining=lambda folder_id: folder_id in leaving,
        chain_minimum=tolerated + 1,
        voters_target=2 * tolerated + 1,
    )


def _chain(view: View) -> str:
    return "".join(link.member.folder_id for link in view.chain)


def _voters(view: View) -> str:
    return "".join(voter.folder_id for voter in view.voters)


def test_all_well() -> None:
    view = _view("abc")
    assert choose_next_view(view, _around("abc", view)) == view


def test_each_lost_member_is_dropped_and_the_order_kept() -> None:
    view = _view("abc")
    for lost in "abc":
        following = choose_next_view(view, _around("abc".replace(lost, ""), view))
        assert _chain(following) == "abc".replace(lost, "")
        assert following.number == 6
        assert following.voters == view.voters


def test_of_two_that_do_not_reach_each_other_the_tail_is_kept() -> None:
    view = _view("abc")
    assert _chain(choose_next_view(view, _around("abc", view, apart=["ac"]))) == "bc"
    assert _chain(choose_next_view(view, _around("abc", view, apart=["bc"]))) == "ac"
    assert _chain(choose_next_view(view, _around("abc", view, apart=["ab"]))) == "ac"


def test_the_first_member_is_complete() -> None:
    view = _view("abc")
    assert choose_next_view(view, _around("bc", view, incomplete="bc")) == view
    assert _chain(choose_next_view(view, _around("ac", view, incomplete="c"))) == "ac"


def test_a_chain_does_not_become_too_short_without_a_joiner() -> None:
    view = _view("ab", voters="abc")
    assert choose_next_view(view, _around("a", view)) == view
    following = choose_next_view(view, _around("a", view, joiners=[_member("c")]))
    assert _chain(following) == "ac"
    assert following.chain[1].joined == 6


def test_a_joiner_is_appended_once_all_others_are_complete() -> None:
    view = _view("ab", voters="abc")
    joiner = [_member("c")]
    assert _chain(choose_next_view(view, _around("ab", view, joiners=joiner))) == "abc"
    assert choose_next_view(view, _around("ab", view, incomplete="b", joiners=joiner)) == view
    assert choose_next_view(view, _around("ab", view, apart=["bc"], joiners=joiner)) == view


def test_one_joiner_at_a_time() -> None:
    view = _view("ab", voters="abc")
    joiners = [_member("d"), _member("c")]
    assert _chain(choose_next_view(view, _around("ab", view, joiners=joiners))) == "abc"


def test_a_new_folder_at_an_old_address_votes_in_its_place() -> None:
    view = _view("ab", voters="abc")
    following = choose_next_view(view, _around("ab", view, joiners=[_member("x", address="at-c")]))
    assert _voters(following) == "abx"


def test_a_joiner_replaces_a_voter_that_is_gone_or_is_added() -> None:
    view = _view("ab", voters="abc")
    joiner = [_member("d")]
    assert _voters(choose_next_view(view, _around("ab", view, gone="c", joiners=joiner))) == "abd"
    assert _voters(choose_next_view(view, _around("abc", view, joiners=[_member("d")]))) == "abc"
    view = _view("ab", voters="ab")
    assert _voters(choose_next_view(view, _around("ab", view, joiners=joiner))) == "abd", "one was too few"


def test_beside_enough_voters_newcomers_vote_in_pairs_and_only_after_a_while() -> None:
    view = _view("abc")
    assert _voters(choose_next_view(view, _around("abc", view, joiners=[_member("d")]))) == "abc"
    view = _view("abcde", voters="abc")
    assert choose_next_view(view, _around("abcde", view, fresh="d")) == view
    assert _voters(choose_next_view(view, _around("abcde", view))) == "abcd"
    assert _voters(choose_next_view(_view("abcde", voters="abcd"), _around("abcde", view))) == "abcde"
    view = _view("abcd", voters="abc")
    assert choose_next_view(view, _around("abcd", view)) == view, "four bear no more losses than three"


def test_a_joiner_has_no_vote_besides_a_voter_that_may_be_dead() -> None:
    view = _view("ab", voters="abc")
    following = choose_next_view(view, _around("ab", view, joiners=[_member("d")]))
    assert (_chain(following), _voters(following)) == ("abd", "abc")
    view = _view("abd", voters="abc")
    assert choose_next_view(view, _around("abd", view)) == view
    assert _voters(choose_next_view(view, _around("abd", view, gone="c"))) == "abd"


def test_voters_grow_to_the_target_before_any_is_replaced() -> None:
    view = _view("ab", voters="abc")
    around = _around("ab", view, gone="c", tolerated=2, joiners=[_member("d")])
    assert _voters(choose_next_view(view, around)) == "abcd"


def test_spare_voters_that_leave_or_are_gone_are_dropped() -> None:
    view = _view("abc", voters="abcd")
    assert _voters(choose_next_view(view, _around("abc", view, gone="d"))) == "abc"
    assert _voters(choose_next_view(view, _around("abc", view, leaving="d"))) == "abc"
    view = _view("ab", voters="abc")
    assert choose_next_view(view, _around("ab", view, gone="c")) == view


NAMES = "abcde"
PAIRS = ["".join(pair) for pair in itertools.combinations(NAMES, 2)]


@given(
    healthy=st.sets(st.sampled_from(NAMES)),
    incomplete_from=st.integers(1, 5),
    apart=st.sets(st.sampled_from(PAIRS)),
)
@settings(max_examples=150, deadline=None, derandomize=True)
def test_any_choice_is_a_connected_part_in_order_with_a_complete_head(
    healthy: set[str], incomplete_from: int, apart: set[str]
) -> None:
    view = _view(NAMES)
    names = "".join(sorted(healthy))
    incomplete = NAMES[incomplete_from:]
    around = _around(names, view, incomplete=incomplete, apart=apart, tolerated=2)
    following = choose_next_view(view, around)
    if following == view:
        return
    chain = _chain(following)
    assert len(chain) >= 3
    assert chain == "".join(sorted(chain))
    assert set(chain) <= healthy
    assert chain[0] not in incomplete
    assert not any(one + other in apart for one, other in itertools.combinations(chain, 2))
