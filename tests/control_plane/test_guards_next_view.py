"""Guards of the choice of the next view, one at a time."""

from __future__ import annotations

from msgspec import structs

from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.views.largest_chain import largest_connected_chain
from reedspoke.control_plane.views.next_view import MembershipSnapshot, choose_next_view
from tests.control_plane.test_next_view import _around, _chain, _member, _view, _voters


def _changed(around: MembershipSnapshot, name: str, **changes: bool) -> MembershipSnapshot:
    """The same, but for the condition of one member."""
    condition = structs.replace(around.conditions[name], **changes)
    return structs.replace(around, conditions={**around.conditions, name: condition})


def test_a_member_whose_disk_fails_leaves_the_chain() -> None:
    view = _view("abc")
    around = _changed(_around("abc", view), "b", healthy=False)
    assert _chain(choose_next_view(view, around)) == "ac"


def test_a_joiner_that_has_just_come_waits() -> None:
    view = _view("ab", voters="abc")
    around = _around("ab", view, joiners=[_member("c")])
    assert choose_next_view(view, _changed(around, "c", steady=False)) == view
    assert _chain(choose_next_view(view, around)) == "abc"


def test_a_joiner_whose_disk_fails_waits() -> None:
    view = _view("ab", voters="abc")
    around = _around("ab", view, joiners=[_member("c")])
    assert choose_next_view(view, _changed(around, "c", healthy=False)) == view


def test_one_spare_voter_goes_at_a_time() -> None:
    view = _view("abc", voters="abcde")
    following = choose_next_view(view, _around("abc", view, gone="de"))
    assert _voters(following) == "abce"
    assert _differing(view, following) == 1


def test_a_joiner_takes_the_place_of_one_voter() -> None:
    view = _view("ab", voters="abcd")
    following = choose_next_view(view, _around("ab", view, gone="cd", joiners=[_member("e")]))
    assert _voters(following) == "abde"


def test_no_vote_is_added_besides_a_voter_that_may_be_dead() -> None:
    view = _view("abde", voters="abc")
    assert choose_next_view(view, _around("abde", view)) == view
    failing = _changed(_around("abcde", view), "c", healthy=False)
    assert choose_next_view(view, failing) == view
    assert _voters(choose_next_view(view, _around("abcde", view))) == "abcd"


def test_a_member_that_is_needed_while_it_leaves_gets_no_vote() -> None:
    view = _view("axb", voters="ab")
    following = choose_next_view(view, _around("axb", view, incomplete="b", leaving="x"))
    assert (_chain(following), _voters(following)) == ("axb", "ab")


def test_a_preferred_tail_that_lacks_something_does_not_stand_alone() -> None:
    head, tail = _view("ab").chain
    found = largest_connected_chain([head, tail], lambda one, other: False, lambda link: link is head, tail)
    assert found == (head,)


def _differing(one: View, other: View) -> int:
    return len(set(one.voters) ^ set(other.voters))
