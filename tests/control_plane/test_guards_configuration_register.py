"""Guard conditions of the register and of its restored records, one test each."""

from __future__ import annotations

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.entry import Entry
from reedspoke.control_plane.replication.log_records import (
    EntryRecord,
    HistoryRecord,
    ViewRecord,
    encode_record,
    restore,
)
from tests.control_plane.chain_replica import (
    FULL_CHAIN,
    MIDDLE,
    VIEW_NUMBER,
    ChainReplica,
    entry,
    packed_history,
    view_of,
)

FIRST, SECOND = entry(1), entry(2)
NOW = 500.0


def test_a_store_that_ends_after_a_snapshot_changes_nothing() -> None:
    replica = ChainReplica(MIDDLE)
    ended: list[bool] = []
    replica.register.append(FIRST, ended.append)
    replica.register.install_snapshot(SECOND, packed_history(SECOND), VIEW_NUMBER, lambda synced: None)
    replica.end_store()
    assert replica.register.entry == SECOND
    assert replica.register.packed_history == packed_history(SECOND)
    assert not ended


def test_an_entry_whose_store_failed_is_not_kept() -> None:
    replica = ChainReplica(MIDDLE, held=FIRST)
    ended: list[bool] = []
    replica.register.append(SECOND, ended.append)
    replica.end_store(ErrorCode.STORAGE_FULL)
    assert replica.register.entry == FIRST
    assert ended == [False]


def test_a_snapshot_whose_store_failed_does_not_count_as_installed() -> None:
    replica = ChainReplica(MIDDLE)
    replica.register.install_snapshot(FIRST, b"", VIEW_NUMBER, lambda synced: None)
    replica.end_store(ErrorCode.STORAGE_FULL)
    assert replica.register.synced_since == 0


def test_a_rewritten_log_has_the_entry_that_is_being_stored() -> None:
    replica = ChainReplica(MIDDLE, held=FIRST)
    replica.register.append(SECOND, lambda synced: None)
    restored = restore([encode_record(record) for record in replica.register.records()])
    assert restored.entry == SECOND


def test_a_committed_entry_is_returned_once() -> None:
    replica = ChainReplica(MIDDLE, held=FIRST)
    assert replica.register.commit() is not None
    assert replica.register.commit() is None


def test_the_newest_view_in_the_log_is_restored() -> None:
    older = view_of(number=VIEW_NUMBER - 1)
    restored = restore([encode_record(ViewRecord(view)) for view in (FULL_CHAIN, older)])
    assert restored.view == FULL_CHAIN


def test_a_snapshot_without_entry_replaces_an_earlier_entry_in_the_log() -> None:
    restored = restore([encode_record(EntryRecord(FIRST)), encode_record(HistoryRecord(b""))])
    assert restored.entry is None


def test_a_replaced_entry_is_removed_from_the_history() -> None:
    replacing = Entry(1, VIEW_NUMBER, 11, b"another document")
    restored = restore([encode_record(EntryRecord(each)) for each in (FIRST, replacing)])
    assert restored.history.packed() == packed_history(replacing)


def test_a_committed_newest_entry_is_the_newest_until_now() -> None:
    replica = ChainReplica(MIDDLE, held=FIRST)
    replica.register.commit()
    assert replica.register.committed_until(NOW) == NOW


def test_an_entry_not_known_to_be_committed_may_be_committed_since_its_sync() -> None:
    replica = ChainReplica(MIDDLE, held=FIRST)
    replica.register.commit()
    replica.register.append(SECOND, lambda synced: None)
    assert replica.register.committed_until(NOW) == NOW, "nothing is committed before it is synced here"
    synced_at = replica.outbox.now
    replica.end_store()
    assert replica.register.committed_until(synced_at + 1.0) == synced_at


def test_the_commit_time_of_a_restored_entry_is_unknown() -> None:
    replica = ChainReplica(MIDDLE, held=FIRST)
    assert replica.register.committed_until(NOW) is None


def test_commits_are_unknown_during_and_after_the_install_of_a_snapshot() -> None:
    replica = ChainReplica(MIDDLE)
    replica.register.install_snapshot(FIRST, packed_history(FIRST), VIEW_NUMBER, lambda synced: None)
    assert replica.register.committed_until(NOW) is None
    replica.end_store()
    assert replica.register.committed_until(NOW) is None


def test_commits_are_unknown_during_the_install_of_an_empty_snapshot() -> None:
    replica = ChainReplica(MIDDLE)
    replica.register.install_snapshot(None, b"", VIEW_NUMBER, lambda synced: None)
    assert replica.register.committed_until(NOW) is None
