"""The choice of the next view: the search compared with an enumeration, draining members, voters."""

from __future__ import annotations

import itertools
import random
import time

import pytest

from reedspoke.control_plane.replication.view import ChainLink
from reedspoke.control_plane.views.largest_chain import Links, largest_connected_chain
from reedspoke.control_plane.views.next_view import choose_next_view
from tests.control_plane.view_builders import chain_names, links_of, snapshot_of, view_of, voter_names

LARGE_CHAIN = 15
LARGE_CHOICE_LIMIT_S = 0.05
Pairs = frozenset[frozenset[str]]


def _enumerated(links: Links, apart: Pairs, heads: set[str], tail: ChainLink) -> Links:
    """The largest chain by enumeration of all parts, as a reference for the search."""
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


def _searched(links: Links, apart: Pairs, heads: set[str], tail: ChainLink) -> Links:
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
def test_the_search_equals_an_enumeration(size: int, share_apart: float) -> None:
    generator = random.Random(size * 100 + int(share_apart * 10))
    names = [chr(ord("a") + place) for place in range(size)]
    for _ in range(60):
        usable = [name for name in names if generator.random() < 0.85]
        pairs = map(frozenset, itertools.combinations(names, 2))
        apart = frozenset(pair for pair in pairs if generator.random() < share_apart)
        heads = {name for name in names if generator.random() < 0.7}
        tail = links_of(names)[-1]
        arguments = (links_of(usable), apart, heads, tail)
        assert _searched(*arguments) == _enumerated(*arguments)


@pytest.mark.parametrize("share_apart", [0.0, 0.2, 0.5, 0.8, 1.0])
def test_the_search_in_a_large_chain_is_fast(share_apart: float) -> None:
    generator = random.Random(1)
    names = [f"{place:02}" for place in range(LARGE_CHAIN)]
    pairs = map(frozenset, itertools.combinations(names, 2))
    apart = frozenset(pair for pair in pairs if generator.random() < share_apart)
    links = links_of(names)
    started = time.process_time()
    _searched(links, apart, set(names), links[-1])
    assert time.process_time() - started < LARGE_CHOICE_LIMIT_S


@pytest.mark.parametrize("draining", "abc")
def test_a_draining_member_is_removed_at_once_if_enough_others_are_complete(draining: str) -> None:
    following = choose_next_view(view_of("abc"), snapshot_of("abc", draining=draining))
    assert chain_names(following) == "abc".replace(draining, "")


@pytest.mark.parametrize("draining", "ab")
def test_a_draining_member_stays_until_the_newest_member_is_complete(draining: str) -> None:
    view = view_of("abc")
    assert choose_next_view(view, snapshot_of("abc", incomplete="c", draining=draining)) == view
    following = choose_next_view(view, snapshot_of("abc", draining=draining))
    assert chain_names(following) == "abc".replace(draining, "")


def test_a_draining_member_stays_while_its_replacement_is_appended() -> None:
    view = view_of("ab", voters="abc")
    following = choose_next_view(view, snapshot_of("abx", incomplete="x", draining="a", lost="c"))
    assert chain_names(following) == "abx"
    assert "a" in voter_names(following)


def test_only_as_many_draining_members_stay_as_are_needed() -> None:
    assert chain_names(choose_next_view(view_of("abc"), snapshot_of("abc", draining="bc"))) == "ab"
    assert (
        chain_names(choose_next_view(view_of("abcde"), snapshot_of("abcde", draining="abc", tolerated=2)))
        == "ade"
    )


def test_an_incomplete_draining_member_does_not_delay_a_joiner() -> None:
    following = choose_next_view(
        view_of("ax", voters="abx"), snapshot_of("axy", incomplete="xy", draining="x")
    )
    assert chain_names(following) == "ay"


def test_several_members_are_appended_if_one_would_be_too_few() -> None:
    view = view_of("abc", voters="abcde")
    following = choose_next_view(view, snapshot_of("ade", incomplete="de", tolerated=2))
    assert chain_names(following) == "ade"
    assert [link.joined_view for link in following.chain] == [1, 6, 6]
    assert choose_next_view(view, snapshot_of("ad", incomplete="d", tolerated=2)) == view
    assert (
        chain_names(choose_next_view(view_of("abc"), snapshot_of("abcde", incomplete="de", tolerated=2)))
        == "abcd"
    )


def test_a_draining_member_is_not_appended() -> None:
    view = view_of("ab", voters="abc")
    assert choose_next_view(view, snapshot_of("abx", draining="x")) == view


def test_a_lost_voter_is_removed_before_a_draining_one() -> None:
    following = choose_next_view(view_of("ab", voters="abcd"), snapshot_of("abc", draining="c", lost="d"))
    assert voter_names(following) == "abc"


def test_a_draining_voter_that_the_chain_needs_is_not_removed() -> None:
    view = view_of("abx", voters="abcx")
    assert choose_next_view(view, snapshot_of("abcx", incomplete="x", draining="a")) == view


@pytest.mark.parametrize("seed", range(20))
def test_a_view_changes_one_voter_at_most(seed: int) -> None:
    generator = random.Random(seed)
    for _ in range(50):
        view = view_of("abcde", voters=generator.choice(["abc", "abcd", "abcde", "abcdef"]))
        some = [name for name in "abcdefxy" if generator.random() < 0.8]
        away = "".join(name for name in "abcdef" if name not in some)
        draining = "".join(name for name in some if generator.random() < 0.2)
        tolerated = generator.choice([1, 2])
        snapshot = snapshot_of(
            "".join(some), incomplete="xy", draining=draining, lost=away, tolerated=tolerated
        )
        following = choose_next_view(view, snapshot)
        old, new = set(view.voters), set(following.voters)
        assert len(old - new) <= 1
        assert len(new - old) <= 1
        assert len(new) >= min(len(old), snapshot.voters_target)
