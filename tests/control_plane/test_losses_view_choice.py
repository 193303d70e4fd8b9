"""The choice of the next view: the cheap search against plain enumeration, members that leave, the voters."""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Iterable

import pytest

from reedspoke.control_plane.replication.view import ChainLink, Member, View
from reedspoke.control_plane.views.largest_chain import Links, largest_connected_chain
from reedspoke.control_plane.views.next_view import MemberCondition, MembershipSnapshot, choose_next_view

LARGE_CHAIN = 15
LARGE_CHOICE_LIMIT_S = 0.05
Pairs = frozenset[frozenset[str]]


def _member(name: str) -> Member:
    return Member(folder_id=name, address=f"at-{name}")


def _links(names: Iterable[str]) -> list[ChainLink]:
    return [ChainLink(_member(name), 1) for name in names]


def _enumerated(links: list[ChainLink], apart: Pairs, heads: set[str], tail: ChainLink) -> Links:
    """All parts, the large ones first: what the choice did before, and what the cheap search must equal."""
    for size in range(len(links), 0, -1):
        candidates = [
            chain
            for chain in itertools.combinations(links, size)
            if chain[0].member.folder_id in heads and not _any_apart(chain, apart)
        ]
        if candidates:
            return next((chain for chain in candidates if chain[-1] == tail), candidates[0])
    return ()


def _any_apart(chain: Links, apart: Pairs) -> bool:
    folders = [link.member.folder_id for link in chain]
    return any(frozenset(pair) in apart for pair in itertools.combinations(folders, 2))


def _searched(links: list[ChainLink], apart: Pairs, heads: set[str], tail: ChainLink) -> Links:
    return largest_connected_chain(
        links,
        is_connected=lambda one, other: (
            frozenset((one.member.folder_id, other.member.folder_id)) not in apart
        ),
        may_be_head=lambda link: link.member.folder_id in heads,
        preferred_tail=tail,
    )


@pytest.mark.parametrize("size", range(1, 8))
@pytest.mark.parametrize("share_apart", [0.0, 0.1, 0.3, 0.6, 0.9])
def test_the_cheap_search_equals_the_enumeration(size: int, share_apart: float) -> None:
    generator = random.Random(size * 100 + int(share_apart * 10))
    names = [chr(ord("a") + place) for place in range(size)]
    for _ in range(60):
        usable = [name for name in names if generator.random() < 0.85]
        pairs = map(frozenset, itertools.combinations(names, 2))
        apart = frozenset(pair for pair in pairs if generator.random() < share_apart)
        heads = {name for name in names if generator.random() < 0.7}
        tail = _links(names)[-1]
        arguments = (_links(usable), apart, heads, tail)
        assert _searched(*arguments) == _enumerated(*arguments)


@pytest.mark.parametrize("share_apart", [0.0, 0.2, 0.5, 0.8, 1.0])
def test_a_choice_among_many_is_quick(share_apart: float) -> None:
    generator = random.Random(1)
    names = [f"{place:02}" for place in range(LARGE_CHAIN)]
    pairs = map(frozenset, itertools.combinations(names, 2))
    apart = frozenset(pair for pair in pairs if generator.random() < share_apart)
    links = _links(names)
    started = time.process_time()
    _searched(links, apart, set(names), links[-1])
    assert time.process_time() - started < LARGE_CHOICE_LIMIT_S


def _view(chain: str, voters: str = "") -> View:
    return View(5, tuple(_member(name) for name in voters or chain), tuple(_links(chain)))


def _around(
    in_reach: str,
    incomplete: str = "",
    leaving: str = "",
    gone: str = "",
    tolerated: int = 1,
    fresh: str = "",
) -> MembershipSnapshot:
    conditions = {
        name: MemberCondition(
            _member(name),
            healthy=True,
            complete=name not in incomplete,
            steady=True,
            established=name not in fresh,
        )
        for name in in_reach
    }
    return MembershipSnapshot(
        conditions,
        is_connected=lambda one, other: True,
        is_lost=lambda folder_id: folder_id in gone,
        is_draining=lambda folder_id: folder_id in leaving,
        chain_minimum=tolerated + 1,
        voters_target=2 * tolerated + 1,
    )


def _chain(view: View) -> str:
    return "".join(link.member.folder_id for link in view.chain)


def _voters(view: View) -> str:
    return "".join(voter.folder_id for voter in view.voters)


@pytest.mark.parametrize("leaving", "abc")
def test_a_member_that_leaves_goes_at_once_while_enough_others_are_complete(leaving: str) -> None:
    following = choose_next_view(_view("abc"), _around("abc", leaving=leaving))
    assert _chain(following) == "abc".replace(leaving, "")


@pytest.mark.parametrize("leaving", "ab")
def test_a_member_that_leaves_stays_until_the_newest_is_complete(leaving: str) -> None:
    view = _view("abc")
    assert choose_next_view(view, _around("abc", incomplete="c", leaving=leaving)) == view
    following = choose_next_view(view, _around("abc", leaving=leaving))
    assert _chain(following) == "abc".replace(leaving, "")


def test_a_member_that_leaves_stays_while_its_successor_is_appended() -> None:
    view = _view("ab", voters="abc")
    following = choose_next_view(view, _around("abx", incomplete="x", leaving="a", gone="c"))
    assert _chain(following) == "abx"
    assert "a" in _voters(following)


def test_of_two_that_leave_only_as_many_stay_as_are_needed() -> None:
    assert _chain(choose_next_view(_view("abc"), _around("abc", leaving="bc"))) == "ab"
    assert _chain(choose_next_view(_view("abcde"), _around("abcde", leaving="abc", tolerated=2))) == "ade"


def test_an_incomplete_member_that_leaves_holds_nobody_up() -> None:
    following = choose_next_view(_view("ax", voters="abx"), _around("axy", incomplete="xy", leaving="x"))
    assert _chain(following) == "ay"


def test_several_are_appended_where_one_would_be_too_few() -> None:
    view = _view("abc", voters="abcde")
    following = choose_next_view(view, _around("ade", incomplete="de", tolerated=2))
    assert _chain(following) == "ade"
    assert [link.joined for link in following.chain] == [1, 6, 6]
    assert choose_next_view(view, _around("ad", incomplete="d", tolerated=2)) == view
    assert _chain(choose_next_view(_view("abc"), _around("abcde", incomplete="de", tolerated=2))) == "abcd"


def test_a_leaving_member_is_not_appended() -> None:
    view = _view("ab", voters="abc")
    assert choose_next_view(view, _around("abx", leaving="x")) == view


def test_a_voter_that_has_gone_is_dropped_before_one_that_leaves() -> None:
    following = choose_next_view(_view("ab", voters="abcd"), _around("abc", leaving="c", gone="d"))
    assert _voters(following) == "abc"


def test_a_voter_that_the_chain_needs_is_not_dropped_while_it_leaves() -> None:
    view = _view("abx", voters="abcx")
    assert choose_next_view(view, _around("abcx", incomplete="x", leaving="a")) == view


@pytest.mark.parametrize("seed", range(20))
def test_a_view_changes_one_voter_at_most(seed: int) -> None:
    generator = random.Random(seed)
    for _ in range(50):
        view = _view("abcde", voters=generator.choice(["abc", "abcd", "abcde", "abcdef"]))
        some = [name for name in "abcdefxy" if generator.random() < 0.8]
        away = "".join(name for name in "abcdef" if name not in some)
        leaving = "".join(name for name in some if generator.random() < 0.2)
        tolerated = generator.choice([1, 2])
        around = _around("".join(some), incomplete="xy", leaving=leaving, gone=away, tolerated=tolerated)
        following = choose_next_view(view, around)
        old, new = set(view.voters), set(following.voters)
        assert len(old - new) <= 1
        assert len(new - old) <= 1
        assert len(new) >= min(len(old), around.voters_target)
