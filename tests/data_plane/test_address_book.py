"""Which addresses of control schedulers are kept, and when each may be tried."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.common.messages import ControlMember
from reedspoke.data_plane.address_book import (
    FORGET_S,
    LATELY_S,
    MOST_ADDRESSES,
    RETRY_LEAST_S,
    RETRY_MOST_S,
    RETRY_UNCONFIRMED_MOST_S,
    URGENT_RETRY_S,
    AddressBook,
    Entry,
)


def members(*names: str) -> list[ControlMember]:
    return [ControlMember(f"{name}:1", f"z{name}") for name in names]


def addresses(book: AddressBook) -> set[str]:
    return {entry.address for entry in book.entries()}


def test_who_is_not_listed_any_more_is_kept() -> None:
    book = AddressBook()
    book.learnt(members("a", "b", "c"), 0.0, ())
    book.learnt(members("a"), 20.0, ())
    assert addresses(book) == {"a:1", "b:1", "c:1"}


def test_who_was_not_named_for_very_long_is_forgotten() -> None:
    book = AddressBook()
    book.learnt(members("a", "b"), 0.0, ())
    book.learnt(members("a"), FORGET_S + 1, ())
    assert addresses(book) == {"a:1"}


def test_where_nobody_names_anybody_nothing_is_forgotten() -> None:
    book = AddressBook()
    book.learnt(members("a", "b"), 0.0, ())
    book.seeds(["s:1"])
    assert addresses(book) == {"a:1", "b:1", "s:1"}


def test_seeds_and_addresses_in_use_are_kept() -> None:
    book = AddressBook()
    book.seeds(["s:1"])
    book.learnt(members("b"), 0.0, ())
    book.learnt(members("a"), FORGET_S + 1, ["b:1"])
    assert addresses(book) == {"a:1", "b:1", "s:1"}


def test_exchanged_seeds_age_from_then_on() -> None:
    book = AddressBook()
    book.seeds(["s:1"])
    book.seeds(["t:1"])
    now = 5 * FORGET_S
    book.learnt(members("a"), now, ())
    assert addresses(book) == {"a:1", "s:1", "t:1"}
    book.learnt(members("a"), now + FORGET_S + 1, ())
    assert addresses(book) == {"a:1", "t:1"}


def test_the_number_is_bounded_and_the_latest_named_stay() -> None:
    book = AddressBook()
    for number in range(3 * MOST_ADDRESSES):
        book.learnt(members(str(number)), float(number), ())
    assert len(book) == MOST_ADDRESSES
    assert f"{3 * MOST_ADDRESSES - 1}:1" in addresses(book)


def test_a_zone_once_known_is_not_lost() -> None:
    book = AddressBook()
    book.learnt(members("a"), 0.0, ())
    book.learnt([ControlMember("a:1", "")], 1.0, ())
    entry = book.get("a:1")
    assert entry is not None
    assert entry.zone == "za"


def test_pauses_grow_to_a_bound() -> None:
    entry = Entry("a:1")
    assert entry.may_be_tried(0.0, urgent=False)
    failed = [(1, False, RETRY_LEAST_S), (2, False, RETRY_MOST_S), (50, False, RETRY_MOST_S)]
    answered = [(1, True, RETRY_LEAST_S), (2, True, 2 * RETRY_LEAST_S), (50, True, RETRY_UNCONFIRMED_MOST_S)]
    for setbacks, unconfirmed, pause in failed + answered:
        entry.setbacks, entry.setback_at, entry.unconfirmed = setbacks, 100.0, unconfirmed
        assert not entry.may_be_tried(100.0 + pause - 0.01, urgent=False)
        assert entry.may_be_tried(100.0 + pause + 0.01, urgent=False)


def test_a_failed_one_is_tried_soon_where_there_is_no_session_that_counts() -> None:
    entry = Entry("a:1", setbacks=5, setback_at=100.0)
    assert entry.may_be_tried(100.0 + URGENT_RETRY_S, urgent=True)
    entry.unconfirmed = True  # it was there, and had nothing to tell
    assert not entry.may_be_tried(100.0 + URGENT_RETRY_S, urgent=True)


def test_a_setback_is_remembered_for_a_while() -> None:
    entry = Entry("a:1", setbacks=1, setback_at=100.0)
    assert entry.had_setback_lately(100.0 + LATELY_S - 0.1)
    assert not entry.had_setback_lately(100.0 + LATELY_S + 0.1)


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.sets(st.integers(0, 300)), st.floats(0, FORGET_S)), max_size=12))
def test_whatever_is_named_the_book_is_bounded_and_keeps_the_seeds(
    lists: list[tuple[set[int], float]],
) -> None:
    book = AddressBook()
    book.seeds(["s:1", "t:1"])
    now = 0.0
    for numbers, passed in lists:
        now += passed
        book.learnt(members(*map(str, numbers)), now, ["u:1"])
        assert {"s:1", "t:1"} <= addresses(book)
        assert len(book) <= MOST_ADDRESSES
