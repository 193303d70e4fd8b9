"""Tests of the versions of the worker list, and of parsing the platform's pages."""

from __future__ import annotations

import msgspec
import pytest

from reedspoke.common.messages import WorkerEntry, WorkerList, ZoneOrder
from reedspoke.common.worker_lists import MarkedWorkers, mark_evacuated, subtract_elapsed
from reedspoke.control_plane.workers.platform_messages import (
    PlatformPage,
    merge_pages,
    parse_page,
    worker_entry,
)
from reedspoke.control_plane.workers.worker_list import (
    RELAY_DELAY_S,
    UNLEASED_TERM,
    WorkerListState,
)

PAGE = b"""{"instances":[{"upstream":"u1","address":"10.0.0.9:8080","zone":"z","generation":"v1","capacity":64
,"state":"draining","cold_left_ms":1500,"stage":"dual","models":[{"name":"m","generation":1,"adapters":[]}],
"instance_id":"i-1"}],"next_token":"p-50"}"""


def worker(name: str, cold: float = 0.0, draining: bool = False) -> WorkerEntry:
    """Build a worker entry."""
    return WorkerEntry(name, "u1", "10.0.0.9:8080", "z", "v1", 4, draining, cold)


def test_unused_fields_of_a_page_are_ignored() -> None:
    page = parse_page(PAGE)
    assert page.next_token == "p-50"
    entry = worker_entry(page.instances[0])
    assert entry == WorkerEntry("i-1", "u1", "10.0.0.9:8080", "z", "v1", 64, True, 1500.0, ("m",))


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"instances":[{}],"next_token":null}', PAGE[:-1]])
def test_an_invalid_page_is_an_error(body: bytes) -> None:
    with pytest.raises(msgspec.DecodeError):
        parse_page(body)


def test_pages_are_merged_in_the_order_of_ids_without_duplicates() -> None:
    first = parse_page(PAGE)
    up = msgspec.structs.replace(first.instances[0], state="up")
    other = msgspec.structs.replace(up, instance_id="i-0")
    merged = merge_pages([first, PlatformPage((up, other))])
    assert [(entry.instance_id, entry.draining) for entry in merged] == [("i-0", False), ("i-1", False)]


def test_a_list_is_published_when_its_content_changes() -> None:
    state = WorkerListState()
    assert state.update_from_platform(3, MarkedWorkers((worker("a", 500),)), 0.0) is not None
    assert state.version == (3, 1)
    assert state.update_from_platform(3, MarkedWorkers((worker("a", 100),)), 0.0) is None
    published = state.update_from_platform(3, MarkedWorkers((worker("a", draining=True),)), 0.0)
    assert published is not None
    assert published.version == (3, 2)


def test_an_empty_list_is_published_first() -> None:
    state = WorkerListState()
    assert state.update_from_platform(1, MarkedWorkers(()), 0.0) == WorkerList((1, 1), ())


def test_a_new_holder_continues_from_the_list_it_has() -> None:
    state = WorkerListState()
    assert state.adopt(WorkerList((3, 5), (worker("a"),)), 0.0)
    assert state.update_from_platform(4, MarkedWorkers((worker("a"),)), 0.0) is None
    assert state.version == (3, 5)
    published = state.update_from_platform(4, MarkedWorkers((worker("b"),)), 0.0)
    assert published is not None
    assert published.version == (4, 1)


def test_a_list_read_without_the_lease_is_replaced_even_if_nothing_has_changed() -> None:
    state = WorkerListState()
    assert state.adopt(WorkerList((UNLEASED_TERM, 1), (worker("a"),)), 0.0)
    published = state.update_from_platform(1, MarkedWorkers((worker("a"),)), 0.0)
    assert published is not None
    assert published.version == (1, 1)
    assert state.update_from_platform(1, MarkedWorkers((worker("a"),)), 0.0) is None


def test_only_a_newer_list_is_adopted() -> None:
    state = WorkerListState()
    assert state.adopt(WorkerList((3, 5), (worker("a"),)), 0.0)
    assert not state.adopt(WorkerList((3, 5), (worker("b"),)), 0.0)
    assert not state.adopt(WorkerList((2, 9), (worker("b"),)), 0.0)
    assert state.adopt(WorkerList((4, 1), (worker("b"),)), 0.0)


def test_a_newer_list_of_another_process_forces_a_new_version_without_changes() -> None:
    state = WorkerListState()
    state.adopt(WorkerList((3, 5), (worker("a"),)), 0.0)
    state.observe_version((3, 6))
    assert state.is_behind()
    published = state.update_from_platform(4, MarkedWorkers((worker("a"),)), 0.0)
    assert published is not None
    assert published.version == (4, 1)
    assert not state.is_behind()


@pytest.mark.parametrize(("seen", "above"), [((4, 1), None), ((5, 1), 5), ((9, 3), 9), ((5, 9), 5)])
def test_a_holder_needs_a_higher_term_where_its_lists_would_be_older(
    seen: tuple[int, int], above: int | None
) -> None:
    state = WorkerListState()
    state.observe_version(seen)
    term = 5
    assert state.term_to_exceed(term) == above
    published = state.update_from_platform(term, MarkedWorkers((worker("a"),)), 0.0)
    assert (published is None) == (above is not None)


def test_versions_of_one_holder_rise_with_each_list() -> None:
    state = WorkerListState()
    versions = []
    for number in range(5):
        published = state.update_from_platform(2, MarkedWorkers((worker(str(number)),)), 0.0)
        assert published is not None
        versions.append(published.version)
    assert versions == [(2, count) for count in range(1, 6)]


def test_elapsed_time_is_subtracted_from_warm_up_times() -> None:
    entries = (worker("a", 500), worker("b", 100), worker("c"))
    assert [entry.cold_left_ms for entry in subtract_elapsed(entries, 200)] == [300, 0, 0]


def test_the_holder_sends_its_list_immediately_and_others_after_a_delay() -> None:
    state = WorkerListState()
    state.adopt(WorkerList((3, 2), (worker("i-1"),)), now=50.0)
    assert state.should_send_to((3, 1), holds_lease=True, now=50.0)
    assert not state.should_send_to((3, 1), holds_lease=False, now=50.0)
    assert state.should_send_to((3, 1), holds_lease=False, now=50.01 + RELAY_DELAY_S)


@pytest.mark.parametrize("version", [(3, 2), (3, 3), (4, 1)])
def test_a_list_is_only_sent_to_processes_with_an_older_one(version: tuple[int, int]) -> None:
    state = WorkerListState()
    state.adopt(WorkerList((3, 2), (worker("i-1"),)), now=50.0)
    assert not state.should_send_to(version, holds_lease=True, now=60.0)


def test_nothing_is_sent_without_a_list() -> None:
    assert not WorkerListState().should_send_to((0, 0), holds_lease=True, now=60.0)


def test_a_list_is_published_when_only_the_reason_of_a_drain_changes() -> None:
    """So that the end of an evacuation does not bring a worker back that the platform drains by then."""
    state = WorkerListState()
    drained = (worker("a", draining=True),)
    assert state.update_from_platform(3, MarkedWorkers(drained, ("a",)), 0.0) is not None
    assert state.update_from_platform(3, MarkedWorkers(drained, ("a",)), 0.0) is None
    assert state.update_from_platform(3, MarkedWorkers(drained), 0.0) is not None


def test_a_published_list_tells_how_the_platform_has_the_workers() -> None:
    state = WorkerListState()
    assert state.platform_entries(0.0) is None
    entries = (worker("a", 500), worker("b", draining=True))
    published = state.update_from_platform(3, mark_evacuated(entries, [ZoneOrder("z", 4, True)]), 10.0)
    assert published is not None
    assert all(entry.draining for entry in published.workers)
    relayed = WorkerListState()
    assert relayed.adopt(published, 11.0)
    assert relayed.platform_entries(11.25) == (worker("a", 250), worker("b", draining=True))
