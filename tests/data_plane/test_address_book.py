"""The address book: which addresses of control plane nodes are kept, and when each may be retried."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.common.messages import ControlMember
from reedspoke.data_plane.address_book import (
    ADDRESS_TTL_S,
    MAX_ADDRESSES,
    MAX_RETRY_DELAY_S,
    MAX_UNCONFIRMED_RETRY_DELAY_S,
    MIN_RETRY_DELAY_S,
    RECENT_FAILURE_S,
    URGENT_RETRY_DELAY_S,
    AddressBook,
    AddressEntry,
)


def members(*names: str) -> list[ControlMember]:
    return [ControlMember(f"{name}:1", f"z{name}") for name in names]


def addresses(book: AddressBook) -> set[str]:
    return {entry.address for entry in book.entries()}


def test_unlisted_address_is_kept() -> None:
    book = AddressBook()
    book.add_members(members("a", "b", "c"), 0.0, ())
    book.add_members(members("a"), 20.0, ())
    assert addresses(book) == {"a:1", "b:1", "c:1"}


def test_address_unlisted_for_the_ttl_is_evicted() -> None:
    book = AddressBook()
    book.add_members(members("a", "b"), 0.0, ())
    book.add_members(members("a"), ADDRESS_TTL_S + 1, ())
    assert addresses(book) == {"a:1"}


def test_without_further_member_lists_nothing_is_evicted() -> None:
    book = AddressBook()
    book.add_members(members("a", "b"), 0.0, ())
    book.set_seeds(["s:1"])
    assert addresses(book) == {"a:1", "b:1", "s:1"}


def test_seeds_and_addresses_in_use_are_kept() -> None:
    book = AddressBook()
    book.set_seeds(["s:1"])
    book.add_members(members("b"), 0.0, ())
    book.add_members(members("a"), ADDRESS_TTL_S + 1, ["b:1"])
    assert addresses(book) == {"a:1", "b:1", "s:1"}


def test_former_seeds_expire_after_the_next_member_list() -> None:
    book = AddressBook()
    book.set_seeds(["s:1"])
    book.set_seeds(["t:1"])
    now = 5 * ADDRESS_TTL_S
    book.add_members(members("a"), now, ())
    assert addresses(book) == {"a:1", "s:1", "t:1"}
    book.add_members(members("a"), now + ADDRESS_TTL_S + 1, ())
    assert addresses(book) == {"a:1", "t:1"}


def test_number_is_bounded_and_latest_listed_addresses_stay() -> None:
    book = AddressBook()
    for number in range(3 * MAX_ADDRESSES):
        book.add_members(members(str(number)), float(number), ())
    assert len(book) == MAX_ADDRESSES
    assert f"{3 * MAX_ADDRESSES - 1}:1" in addresses(book)


def test_known_zone_is_not_lost() -> None:
    book = AddressBook()
    book.add_members(members("a"), 0.0, ())
    book.add_members([ControlMember("a:1", "")], 1.0, ())
    entry = book.get("a:1")
    assert entry is not None
    assert entry.zone == "za"


def test_retry_delays_grow_to_a_maximum() -> None:
    entry = AddressEntry("a:1")
    assert entry.may_connect(0.0, urgent=False)
    failed_cases = [
        (1, False, MIN_RETRY_DELAY_S),
        (2, False, MAX_RETRY_DELAY_S),
        (50, False, MAX_RETRY_DELAY_S),
    ]
    unconfirmed_cases = [
        (1, True, MIN_RETRY_DELAY_S),
        (2, True, 2 * MIN_RETRY_DELAY_S),
        (50, True, MAX_UNCONFIRMED_RETRY_DELAY_S),
    ]
    for failures, unconfirmed, delay_s in failed_cases + unconfirmed_cases:
        entry.failures, entry.last_failure_at, entry.unconfirmed = failures, 100.0, unconfirmed
        assert not entry.may_connect(100.0 + delay_s - 0.01, urgent=False)
        assert entry.may_connect(100.0 + delay_s + 0.01, urgent=False)


def test_failed_address_is_retried_soon_without_a_confirmed_session() -> None:
    entry = AddressEntry("a:1", failures=5, last_failure_at=100.0)
    assert entry.may_connect(100.0 + URGENT_RETRY_DELAY_S, urgent=True)
    entry.unconfirmed = True  # it responded, but without a majority
    assert not entry.may_connect(100.0 + URGENT_RETRY_DELAY_S, urgent=True)


def test_failure_is_recent_for_a_while() -> None:
    entry = AddressEntry("a:1", failures=1, last_failure_at=100.0)
    assert entry.failed_recently(100.0 + RECENT_FAILURE_S - 0.1)
    assert not entry.failed_recently(100.0 + RECENT_FAILURE_S + 0.1)


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.sets(st.integers(0, 300)), st.floats(0, ADDRESS_TTL_S)), max_size=12))
def test_any_member_lists_keep_the_book_bounded_and_the_seeds(
    lists: list[tuple[set[int], float]],
) -> None:
    book = AddressBook()
    book.set_seeds(["s:1", "t:1"])
    now = 0.0
    for numbers, passed in lists:
        now += passed
        book.add_members(members(*map(str, numbers)), now, ["u:1"])
        assert {"s:1", "t:1"} <= addresses(book)
        assert len(book) <= MAX_ADDRESSES
