"""Marks of evacuated zones in lists of workers, and their bytes for other versions of the program."""

from __future__ import annotations

import ormsgpack
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Struct

from reedspoke.common.messages import Version, WorkerEntry, WorkerList, ZoneOrder, decode, encode
from reedspoke.common.worker_lists import MarkedWorkers, mark_evacuated, platform_entries

ZONES = ["za", "zb", "zc"]
entries = st.lists(
    st.builds(
        WorkerEntry,
        st.text(min_size=1, max_size=3),
        st.just("u"),
        st.just("a:1"),
        st.sampled_from(ZONES),
        st.just("v1"),
        st.just(8),
        st.booleans(),
    ),
    unique_by=lambda entry: entry.instance_id,
    max_size=8,
).map(tuple)
orders = st.lists(
    st.builds(ZoneOrder, st.sampled_from(ZONES), st.integers(1, 2**64 - 1), st.booleans()),
    unique_by=lambda order: order.zone,
).map(tuple)


class EarlierWorkerList(Struct, tag="workers", array_like=True):
    """The list of workers as versions before know it."""

    version: Version
    workers: tuple[WorkerEntry, ...]


@given(entries, orders)
def test_marks_can_be_undone(workers: tuple[WorkerEntry, ...], applied: tuple[ZoneOrder, ...]) -> None:
    marked = mark_evacuated(workers, applied)
    evacuated = {order.zone for order in applied if order.evacuated}
    for before, after in zip(workers, marked.workers, strict=True):
        assert after.draining == (before.draining or before.zone in evacuated)
    assert platform_entries(as_list(marked)) == workers


def as_list(marked: MarkedWorkers) -> WorkerList:
    """The list that is published."""
    return WorkerList((1, 1), marked.workers, marked.evacuated, marked.orders)


@given(entries, orders)
def test_a_marked_list_outlives_its_way_through_bytes(
    workers: tuple[WorkerEntry, ...], applied: tuple[ZoneOrder, ...]
) -> None:
    sent = as_list(mark_evacuated(workers, applied))
    assert decode(encode(sent), WorkerList) == sent
    # Versions before obey the marks, and their lists are read as lists without orders.
    assert decode(encode(sent), EarlierWorkerList) == EarlierWorkerList((1, 1), sent.workers)
    earlier = EarlierWorkerList((1, 1), sent.workers)
    assert decode(encode(earlier), WorkerList) == WorkerList((1, 1), sent.workers)


def test_a_list_without_orders_has_the_bytes_of_versions_before() -> None:
    worker = WorkerEntry("i", "u", "a:1", "za", "v1", 8, False)
    assert encode(WorkerList((1, 2), (worker,))) == encode(EarlierWorkerList((1, 2), (worker,)))
    assert len(ormsgpack.unpackb(encode(WorkerList((1, 2), (), (), (ZoneOrder("z", 1, False),))))) == 5
