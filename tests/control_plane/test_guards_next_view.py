"""Guard conditions of the choice of the next view, one test each."""

from __future__ import annotations

from msgspec import structs

from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.views.largest_chain import largest_connected_chain
from reedspoke.control_plane.views.membership_snapshot import MembershipSnapshot
from reedspoke.control_plane.views.next_view import choose_next_view, choose_view_from_copy
from tests.control_plane.view_builders import (
    chain_names,
    links_of,
    member_named,
    snapshot_of,
    view_of,
    voter_names,
)


def _changed(snapshot: MembershipSnapshot, name: str, **changes: bool) -> MembershipSnapshot:
    """The same, but for the condition of one member."""
    condition = structs.replace(snapshot.conditions[name], **changes)
    return structs.replace(snapshot, conditions={**snapshot.conditions, name: condition})


def test_a_member_whose_disk_fails_is_removed_from_the_chain() -> None:
    view = view_of("abc")
    snapshot = _changed(snapshot_of("abc"), "b", healthy=False)
    assert chain_names(choose_next_view(view, snapshot)) == "ac"


def test_a_joiner_that_is_not_steady_is_not_appended() -> None:
    view = view_of("ab", voters="abc")
    snapshot = snapshot_of("ab", joiners=[member_named("c")])
    assert choose_next_view(view, _changed(snapshot, "c", steady=False)) == view
    assert chain_names(choose_next_view(view, snapshot)) == "abc"


def test_a_joiner_whose_disk_fails_is_not_appended() -> None:
    view = view_of("ab", voters="abc")
    snapshot = snapshot_of("ab", joiners=[member_named("c")])
    assert choose_next_view(view, _changed(snapshot, "c", healthy=False)) == view


def test_one_surplus_voter_is_removed_at_a_time() -> None:
    view = view_of("abc", voters="abcde")
    following = choose_next_view(view, snapshot_of("abc", lost="de"))
    assert voter_names(following) == "abce"
    assert _differing(view, following) == 1


def test_a_joiner_replaces_one_voter() -> None:
    view = view_of("ab", voters="abcd")
    following = choose_next_view(view, snapshot_of("ab", lost="cd", joiners=[member_named("e")]))
    assert voter_names(following) == "abde"


def test_no_vote_is_added_besides_a_voter_that_may_be_dead() -> None:
    view = view_of("abde", voters="abc")
    assert choose_next_view(view, snapshot_of("abde")) == view
    failing = _changed(snapshot_of("abcde"), "c", healthy=False)
    assert choose_next_view(view, failing) == view
    assert voter_names(choose_next_view(view, snapshot_of("abcde"))) == "abcd"


def test_a_draining_member_that_the_chain_needs_gets_no_vote() -> None:
    view = view_of("axb", voters="ab")
    following = choose_next_view(view, snapshot_of("axb", incomplete="b", draining="x"))
    assert (chain_names(following), voter_names(following)) == ("axb", "ab")


def test_an_incomplete_preferred_tail_does_not_form_a_chain_alone() -> None:
    head, tail = view_of("ab").chain
    found = largest_connected_chain([head, tail], lambda one, other: False, lambda link: link is head, tail)
    assert found == (head,)


def test_a_member_that_refuses_its_snapshot_is_appended_again() -> None:
    """It would be incomplete for good, and nothing could be committed."""
    view = view_of("ab", voters="abc")
    snapshot = _changed(snapshot_of("ab", incomplete="b"), "b", refuses_snapshot=True)
    following = choose_next_view(view, snapshot)
    assert chain_names(following) == "ab"
    assert [link.joined_view for link in following.chain] == [1, 6]


def test_beside_an_incomplete_member_only_as_many_join_as_the_chain_lacks() -> None:
    """Else a member whose predecessor is lost could never get another one."""
    view = view_of("abc", voters="abcde")
    following = choose_next_view(view, snapshot_of("acde", incomplete="cde", tolerated=2))
    assert chain_names(following) == "acd"
    whole = snapshot_of("abcd", incomplete="cd", tolerated=2)
    assert choose_next_view(view, whole) == view


def test_a_chain_from_a_copy_has_as_many_members_as_it_needs_to_acknowledge() -> None:
    view = view_of("bc", voters="abc")
    head = links_of("a")[0]
    assert choose_view_from_copy(view, head, snapshot_of("a")) is None
    following = choose_view_from_copy(view, head, snapshot_of("ac", incomplete="c"))
    assert following is not None
    assert chain_names(following) == "ac"
    assert [link.joined_view for link in following.chain] == [1, 6]
    apart = snapshot_of("ac", incomplete="c", apart=["ac"])
    assert choose_view_from_copy(view, head, apart) is None


def _differing(one: View, other: View) -> int:
    return len(set(one.voters) ^ set(other.voters))
