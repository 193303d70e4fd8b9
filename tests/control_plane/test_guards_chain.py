"""Guard conditions of the chain, one test each: effects that a message must not have."""

from __future__ import annotations

import pytest
from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.messages import (
    AppendRequest,
    CommitNotification,
    InstallSnapshot,
    SuccessorStatus,
)
from reedspoke.control_plane.replication.view import Member
from tests.control_plane.chain_replica import (
    HEAD,
    MIDDLE,
    TAIL,
    VIEW_NUMBER,
    ChainReplica,
    entry,
    packed_history,
    view_of,
)

FIRST, SECOND, THIRD = entry(1), entry(2), entry(3)
JUST_APPENDED = view_of((HEAD, 1), (MIDDLE, VIEW_NUMBER), (TAIL, 1))


def _of_type(messages: list[Struct], *kinds: type[Struct]) -> list[Struct]:
    return [message for message in messages if isinstance(message, kinds)]


def test_a_successor_status_of_another_view_is_ignored() -> None:
    head = ChainReplica(HEAD, held=FIRST)
    head.chain.receive(SuccessorStatus(VIEW_NUMBER - 1, MIDDLE.folder_id, 1, True, 0))
    assert not _of_type(head.sent(), AppendRequest, InstallSnapshot)
    head.chain.receive(SuccessorStatus(VIEW_NUMBER, MIDDLE.folder_id, 1, True, 0))
    assert head.sent() == [AppendRequest(VIEW_NUMBER, FIRST)]


def test_a_successor_status_from_before_it_was_appended_again_is_ignored() -> None:
    head = ChainReplica(HEAD, JUST_APPENDED, held=FIRST)
    head.chain.receive(SuccessorStatus(VIEW_NUMBER, MIDDLE.folder_id, 1, True, 0))
    assert not head.sent()
    head.chain.receive(SuccessorStatus(VIEW_NUMBER, MIDDLE.folder_id, VIEW_NUMBER, False, 0))
    assert head.sent() == [InstallSnapshot(VIEW_NUMBER, VIEW_NUMBER, FIRST, packed_history(FIRST))]


def test_an_incomplete_successor_gets_a_snapshot_even_if_it_lags_by_one_entry() -> None:
    head = ChainReplica(HEAD, JUST_APPENDED, held=SECOND)
    head.chain.receive(SuccessorStatus(VIEW_NUMBER, MIDDLE.folder_id, VIEW_NUMBER, False, 1))
    assert _of_type(head.sent(), AppendRequest, InstallSnapshot) == [
        InstallSnapshot(VIEW_NUMBER, VIEW_NUMBER, SECOND, packed_history(SECOND))
    ]


def test_a_successor_that_lags_by_several_entries_gets_a_snapshot() -> None:
    head = ChainReplica(HEAD, held=THIRD)
    head.chain.receive(SuccessorStatus(VIEW_NUMBER, MIDDLE.folder_id, 1, True, 1))
    assert head.sent() == [InstallSnapshot(VIEW_NUMBER, 1, THIRD, packed_history(THIRD))]


def test_an_incomplete_replica_stores_no_single_entry() -> None:
    middle = ChainReplica(MIDDLE, JUST_APPENDED)
    middle.chain.receive(AppendRequest(VIEW_NUMBER, FIRST))
    middle.sent()
    assert not middle.stores


def test_an_incomplete_replica_forwards_nothing() -> None:
    middle = ChainReplica(MIDDLE, JUST_APPENDED, held=SECOND)
    middle.chain.receive(SuccessorStatus(VIEW_NUMBER, TAIL.folder_id, 1, True, 1))
    assert not _of_type(middle.sent(), AppendRequest, InstallSnapshot)


def test_no_entry_is_stored_after_a_failed_store() -> None:
    middle = ChainReplica(MIDDLE)
    middle.outbox.disk_failed = True
    middle.chain.receive(AppendRequest(VIEW_NUMBER, FIRST))
    middle.sent()
    assert not middle.stores


def test_a_duplicate_entry_during_its_store_is_stored_once() -> None:
    middle = ChainReplica(MIDDLE)
    middle.chain.receive(AppendRequest(VIEW_NUMBER, FIRST))
    middle.chain.receive(AppendRequest(VIEW_NUMBER, entry(1)))
    middle.sent()
    assert len(middle.stores) == 1


def test_an_entry_out_of_sequence_is_not_stored() -> None:
    middle = ChainReplica(MIDDLE, held=FIRST)
    middle.chain.receive(AppendRequest(VIEW_NUMBER, THIRD))
    middle.sent()
    assert not middle.stores
    assert not middle.delivered


def test_an_entry_whose_store_failed_is_neither_acknowledged_nor_forwarded() -> None:
    middle = ChainReplica(MIDDLE)
    middle.chain.receive(SuccessorStatus(VIEW_NUMBER, TAIL.folder_id, 1, True, 0))
    middle.chain.receive(AppendRequest(VIEW_NUMBER, FIRST))
    middle.end_store(ErrorCode.STORAGE_FULL)
    assert not middle.sent()


def test_a_snapshot_for_an_earlier_joining_is_not_installed() -> None:
    middle = ChainReplica(MIDDLE, JUST_APPENDED)
    middle.chain.receive(InstallSnapshot(VIEW_NUMBER, 1, FIRST, packed_history(FIRST)))
    middle.sent()
    assert not middle.stores
    middle.chain.receive(InstallSnapshot(VIEW_NUMBER, VIEW_NUMBER, FIRST, packed_history(FIRST)))
    middle.sent()
    assert len(middle.stores) == 1


def test_a_complete_replica_installs_no_snapshot() -> None:
    middle = ChainReplica(MIDDLE, held=SECOND)
    middle.chain.receive(InstallSnapshot(VIEW_NUMBER, 1, FIRST, packed_history(FIRST)))
    middle.sent()
    assert middle.register.entry == SECOND
    assert not middle.stores


def test_a_replica_is_complete_once_its_snapshot_is_on_disk() -> None:
    middle = ChainReplica(MIDDLE, JUST_APPENDED)
    assert not middle.chain.complete
    middle.chain.receive(InstallSnapshot(VIEW_NUMBER, VIEW_NUMBER, FIRST, packed_history(FIRST)))
    assert not middle.chain.complete
    middle.end_store()
    assert middle.chain.complete


def test_a_replica_whose_store_of_the_snapshot_failed_is_not_complete() -> None:
    middle = ChainReplica(MIDDLE, JUST_APPENDED)
    middle.chain.receive(InstallSnapshot(VIEW_NUMBER, VIEW_NUMBER, FIRST, packed_history(FIRST)))
    middle.end_store(ErrorCode.STORAGE_FULL)
    assert not middle.chain.complete


def test_a_commit_above_the_newest_entry_commits_it_and_one_below_does_not() -> None:
    middle = ChainReplica(MIDDLE, held=SECOND)
    middle.chain.receive(CommitNotification(VIEW_NUMBER, 1))
    assert not middle.delivered
    middle.chain.receive(CommitNotification(VIEW_NUMBER, 3))
    assert [committed.sequence for committed in middle.delivered] == [2]


def test_an_incomplete_replica_commits_no_entry_on_a_notification() -> None:
    middle = ChainReplica(MIDDLE, JUST_APPENDED, held=SECOND)
    middle.chain.receive(CommitNotification(VIEW_NUMBER, 2))
    assert not middle.delivered


@pytest.mark.parametrize(("member", "committed"), [(HEAD, False), (MIDDLE, False), (TAIL, True)])
def test_only_the_tail_commits_its_newest_entry(member: Member, committed: bool) -> None:
    replica = ChainReplica(member, held=FIRST)
    assert bool(replica.delivered) is committed


def test_an_incomplete_tail_commits_nothing() -> None:
    chain = view_of((HEAD, 1), (TAIL, VIEW_NUMBER))
    assert not ChainReplica(TAIL, chain, held=FIRST).delivered
    assert ChainReplica(TAIL, chain, held=FIRST, synced_since=VIEW_NUMBER).delivered


def test_a_chain_below_the_minimum_length_commits_nothing() -> None:
    chain = view_of((HEAD, 1), (TAIL, 1))
    assert not ChainReplica(TAIL, chain, held=FIRST, tolerated=2).delivered
    assert ChainReplica(TAIL, chain, held=FIRST, tolerated=1).delivered


def test_a_member_before_the_tail_commits_nothing_after_its_successors_status() -> None:
    head = ChainReplica(HEAD)
    head.chain.receive(SuccessorStatus(VIEW_NUMBER, MIDDLE.folder_id, 1, True, 0))
    head.chain.append(FIRST.generation, FIRST.document, lambda stored: None)
    head.end_store()
    assert head.register.entry == FIRST
    assert not head.delivered


@pytest.mark.parametrize("view", [VIEW_NUMBER - 1, VIEW_NUMBER + 1])
def test_an_entry_or_a_snapshot_of_another_view_is_not_stored(view: int) -> None:
    complete, appended = ChainReplica(MIDDLE), ChainReplica(MIDDLE, JUST_APPENDED)
    complete.chain.receive(AppendRequest(view, FIRST))
    appended.chain.receive(InstallSnapshot(view, VIEW_NUMBER, FIRST, packed_history(FIRST)))
    for replica in (complete, appended):
        replica.sent()
        assert not replica.stores
