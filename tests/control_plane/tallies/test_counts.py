"""Joining states is commutative, associative and idempotent."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from reedspoke.control_plane.tallies.amounts_by_id import AmountsById
from reedspoke.control_plane.tallies.counts import START, TallyCounts
from reedspoke.control_plane.tallies.messages import TallyAdd, TallyItems
from reedspoke.control_plane.tallies.packed_items import (
    pack_amounts,
    pack_ids,
    unpack_amounts,
    unpack_ids,
)

IDS = st.one_of(st.integers(0, 5), st.integers(0, 2**64 - 1))
AMOUNTS = st.integers(-(2**53), 2**53)
ADDS = st.lists(
    st.builds(TallyAdd, tally=st.sampled_from(["a", "b", "ab"]), add_id=IDS, amount=AMOUNTS), max_size=40
)


def counted(adds: list[TallyAdd]) -> TallyCounts:
    """The state with these adds."""
    counts = TallyCounts()
    for add in adds:
        counts.put(add)
    return counts


def model(adds: list[TallyAdd]) -> dict[tuple[str, int], int]:
    """The expected content: of two amounts for one id, the smaller."""
    found: dict[tuple[str, int], int] = {}
    for add in adds:
        key = (add.tally, add.add_id)
        found[key] = min(add.amount, found.get(key, add.amount))
    return found


def content(counts: TallyCounts, limit: int = 3) -> dict[tuple[str, int], int]:
    """The content of a state, read in parts of `limit` ids."""
    found: dict[tuple[str, int], int] = {}
    cursor = START
    while True:
        part = counts.slice_after(cursor, limit)
        for items in part.items:
            ids = unpack_ids(items.ids)
            for add_id, amount in zip(ids, unpack_amounts(items.amounts, len(ids)), strict=True):
                assert (items.tally, add_id) not in found
                found[(items.tally, add_id)] = amount
        if part.next is None:
            return found
        assert part.next > cursor
        cursor = part.next


@given(ADDS)
def test_a_state_is_the_map_of_its_adds(adds: list[TallyAdd]) -> None:
    counts = counted(adds)
    expected = model(adds)
    assert content(counts) == expected
    assert counts.id_count == len(expected)
    for tally in ("a", "b", "ab", "none"):
        assert counts.total(tally) == sum(amount for (name, _), amount in expected.items() if name == tally)


@given(ADDS, ADDS, st.integers(1, 50))
def test_joined_states_are_the_state_of_all_adds(
    first: list[TallyAdd], second: list[TallyAdd], size: int
) -> None:
    one, other = counted(first), counted(second)
    for target, source in ((one, other), (other, one), (one, other)):  # the repeated join changes nothing
        cursor = START
        while True:
            part = source.slice_after(cursor, size)
            for items in part.items:
                target.join(items)
            if part.next is None:
                break
            cursor = part.next
    assert content(one) == content(other) == model(first + second)
    assert one.total("a") == other.total("a")


@given(ADDS, st.integers(0, 100))
def test_order_and_repetition_make_no_difference(adds: list[TallyAdd], seed: int) -> None:
    again = sorted(adds, key=lambda add: (add.add_id * (seed + 1) % 101, add.tally))
    assert content(counted(adds)) == content(counted(again + adds))


@given(st.lists(IDS, max_size=30), st.integers(1, 6))
def test_ids_are_returned_in_order_and_once(ids: list[int], limit: int) -> None:
    amounts = AmountsById()
    for add_id in ids:
        amounts.put(add_id, 1)
    found: list[int] = []
    last = -1
    while chunk := list(amounts.ids_after(last, limit).ids):
        found += chunk
        last = chunk[-1]
    assert found == sorted(set(ids))
    assert all(add_id in amounts for add_id in ids)
    assert amounts.recomputed_total() == amounts.total == len(set(ids))


@given(st.lists(AMOUNTS, max_size=20))
def test_packed_amounts_and_ids_are_unpacked_unchanged(values: list[int]) -> None:
    assert list(unpack_amounts(pack_amounts(values), len(values))) == values
    ids = [value & (2**64 - 1) for value in values]
    assert list(unpack_ids(pack_ids(ids))) == ids


def test_packed_items_are_small() -> None:
    assert len(pack_amounts([4] * 100)) == 100
    assert len(pack_ids(list(range(100)))) == 800


@pytest.mark.parametrize("items", [TallyItems("a", b"1234567", b"1"), TallyItems("a", bytes(16), b"123")])
def test_items_of_a_wrong_length_are_rejected(items: TallyItems) -> None:
    with pytest.raises(ValueError):  # noqa: PT011 - raised by the array module
        TallyCounts().join(items)


def test_the_audit_finds_a_wrong_total() -> None:
    counts = counted([TallyAdd("a", 1, 4), TallyAdd("b", 2, 5)])
    assert [counts.audit_next(), counts.audit_next()] == [("a", True), ("b", True)]
    counts._tallies["a"].total += 1
    assert counts.audit_next() == ("a", False)


def test_an_audit_without_tallies() -> None:
    assert TallyCounts().audit_next() is None


def test_an_hour_of_adds_takes_little_memory() -> None:
    """50 calls per second are 180,000 ids of 16 bytes each, plus the spare capacity of the arrays."""
    amounts = AmountsById()
    for number in range(180_000):
        amounts.put(number * 0x9E3779B97F4A7C15 & (2**64 - 1), 1)
    sizes = [bucket.ids.__sizeof__() + bucket.amounts.__sizeof__() for bucket in amounts._buckets.values()]
    assert sum(sizes) < 180_000 * 20
