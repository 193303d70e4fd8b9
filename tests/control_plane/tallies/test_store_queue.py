"""The queue of records to be stored, and its state after a failed store."""

from __future__ import annotations

from reedspoke.control_plane.tallies.messages import TallyAdd, TallyEntries
from reedspoke.control_plane.tallies.settings import DISK_PROBE_S, DISK_STALL_S
from reedspoke.control_plane.tallies.store_queue import StoreQueue

NOW = 64.0
LATER = NOW + DISK_PROBE_S + 0.01


def entries(first: int, count: int) -> TallyEntries:
    """Adds of one origin."""
    return TallyEntries("a", first, tuple(TallyAdd("t", n, 1) for n in range(first, first + count)))


def test_only_new_entries_are_queued() -> None:
    queue = StoreQueue({"a": 2})
    assert queue.put_entries("p", entries(1, 4))
    assert [received.entries for received in queue.waiting.entries] == [entries(3, 2)]
    assert queue.put_entries("q", entries(3, 2))
    assert len(queue.waiting.entries) == 1
    assert not queue.put_entries("p", entries(6, 1))
    assert queue.expected == {"a": 4}


def test_a_failed_batch_is_no_longer_expected() -> None:
    queue = StoreQueue({"a": 2})
    queue.put_entries("p", entries(3, 1))
    queue.begin(NOW)
    queue.put_entries("p", entries(4, 1))
    queue.put_own(("t", 9), 1, TallyAdd("t", 9, 1))
    lost = queue.failed({"a": 2}, NOW)
    assert queue.expected == {"a": 2}
    assert not queue.waiting
    assert list(lost.own) == [("t", 9)]
    assert queue.put_entries("p", entries(3, 2))


def test_a_failed_disk_is_probed_with_an_empty_batch() -> None:
    queue = StoreQueue({})
    queue.put_own(("t", 9), 1, TallyAdd("t", 9, 1))
    assert queue.is_due(NOW)
    queue.begin(NOW)
    assert not queue.is_due(NOW)
    queue.failed({}, NOW)
    assert not queue.disk_works(NOW)
    assert not queue.is_due(NOW + DISK_PROBE_S / 2)
    assert queue.is_due(LATER)
    assert not queue.begin(LATER)
    queue.succeeded()
    assert queue.disk_works(LATER)


def test_a_store_that_takes_too_long_means_a_failing_disk() -> None:
    queue = StoreQueue({})
    queue.begin(NOW)
    assert queue.disk_works(NOW + DISK_STALL_S / 2)
    assert not queue.disk_works(NOW + DISK_STALL_S)
