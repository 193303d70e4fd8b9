"""State transfers that have not completed: which are closed, and what of them a log restores."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.copy_state import LOST_COPY, is_complete_for, newest_complete_link
from reedspoke.control_plane.replication.log_records import (
    RestoredState,
    SyncedRecord,
    ViewRecord,
    closed_transfer_record,
    encode_record,
    restore,
)
from reedspoke.control_plane.replication.messages import CommitNotification, InstallSnapshot, SuccessorStatus
from reedspoke.control_plane.replication.pending_transfers import (
    MAX_PENDING_TRANSFERS,
    PendingTransfers,
)
from reedspoke.control_plane.replication.view import ChainLink, View
from tests.control_plane.chain_replica import HEAD, MIDDLE, VIEW_NUMBER, ChainReplica, entry, packed_history
from tests.control_plane.chain_replica import view_of as chain_view_of
from tests.control_plane.view_builders import member_named

OWN = "c"


def _view(number: int, *links: tuple[str, int]) -> View:
    chain = tuple(ChainLink(member_named(name), joined) for name, joined in links)
    return View(number, tuple(link.member for link in chain), chain)


VIEW_2 = _view(2, ("a", 1), ("b", 1))
VIEW_3 = _view(3, ("b", 1), ("c", 3))
VIEW_4 = _view(4, ("b", 1), ("a", 4))


class _Stores:
    """Keeps the stores of closed transfers that have not ended."""

    def __init__(self) -> None:
        self.pending: list[tuple[int, Callable[[bool], None]]] = []

    def __call__(self, joined_view: int, on_stored: Callable[[bool], None]) -> None:
        self.pending.append((joined_view, on_stored))

    def end(self, stored: bool = True) -> None:
        """End the oldest store."""
        self.pending.pop(0)[1](stored)


def _transfers(stores: _Stores, *views: View) -> PendingTransfers:
    transfers = PendingTransfers(OWN, [], [], None, stores)
    for view in views:
        transfers.enter_view(view)
    return transfers


def _restored(*records: Struct) -> RestoredState:
    return restore([encode_record(record) for record in records], OWN)


def test_the_view_that_appends_this_replica_starts_a_transfer_from_the_chain_before() -> None:
    transfer = _transfers(_Stores(), VIEW_2, VIEW_3).present
    assert transfer is not None
    assert (transfer.joined_view, transfer.sources) == (3, VIEW_2.chain)


def test_the_sources_are_unknown_if_the_view_before_was_not_entered() -> None:
    """The chain of an older view is no substitute: the view between may have committed without it."""
    assert _transfers(_Stores(), _view(1, ("a", 1), ("b", 1)), VIEW_3).present is None


def test_a_present_transfer_is_closed_once_its_refusal_is_on_disk() -> None:
    stores = _Stores()
    transfers = _transfers(stores, VIEW_2, VIEW_3)
    assert transfers.present is not None
    assert transfers.closed() == []
    transfers.close(transfers.present)
    assert transfers.refuses(3)
    assert transfers.closed() == []
    stores.end()
    assert [each.joined_view for each in transfers.closed()] == [3]


def test_a_refusal_that_could_not_be_stored_counts_for_nothing() -> None:
    stores = _Stores()
    transfers = _transfers(stores, VIEW_2, VIEW_3)
    assert transfers.present is not None
    transfers.close(transfers.present)
    stores.end(stored=False)
    assert not transfers.refuses(3)
    assert transfers.closed() == []


def test_a_transfer_is_closed_as_the_replica_leaves_the_chain_and_gone_once_one_completes() -> None:
    transfers = _transfers(_Stores(), VIEW_2, VIEW_3, VIEW_4)
    assert [each.joined_view for each in transfers.closed()] == [3]
    transfers.completed()
    assert transfers.closed() == []


def test_only_the_newest_transfers_are_kept() -> None:
    views = [_view(number, ("a", 1), (OWN, number)) for number in range(2, 3 * MAX_PENDING_TRANSFERS)]
    transfers = _transfers(_Stores(), *views)
    assert len(transfers.closed()) == MAX_PENDING_TRANSFERS - 1
    assert transfers.present is not None


@pytest.mark.parametrize("rewritten", [False, True])
@pytest.mark.parametrize("closed", [False, True])
def test_a_log_restores_the_transfers_and_their_refusals(rewritten: bool, closed: bool) -> None:
    stores = _Stores()
    transfers = _transfers(stores, VIEW_2, VIEW_3)
    records: list[Struct] = [ViewRecord(VIEW_2), ViewRecord(VIEW_3)]
    if closed:
        assert transfers.present is not None
        transfers.close(transfers.present)
        stores.end()
        records.append(closed_transfer_record(3))
    if rewritten:
        records = [
            *map(ViewRecord, [*transfers.views(), VIEW_3]),
            *map(closed_transfer_record, transfers.refused_links()),
            SyncedRecord(0),
        ]
    state = _restored(*records)
    again = PendingTransfers(OWN, state.transfers, state.closed_transfers, state.view, _Stores())
    assert again.present == transfers.present
    assert again.closed() == transfers.closed()
    assert again.refuses(3) is closed
    assert state.synced_since == 0


def test_a_stored_snapshot_ends_the_transfers_in_the_log() -> None:
    assert _restored(ViewRecord(VIEW_2), ViewRecord(VIEW_3), SyncedRecord(3)).transfers == []
    older = _restored(ViewRecord(VIEW_2), ViewRecord(VIEW_3), SyncedRecord(2))
    assert [each.joined_view for each in older.transfers] == [3]


def test_a_lost_copy_is_complete_for_no_link() -> None:
    assert is_complete_for(0, 1)
    assert not is_complete_for(0, 2)
    assert is_complete_for(2, 2)
    assert not is_complete_for(LOST_COPY, 1)
    assert newest_complete_link(0) == 1
    assert newest_complete_link(LOST_COPY) < 1


# ---- in the chain ----


def _appended() -> ChainReplica:
    return ChainReplica(MIDDLE, chain_view_of((HEAD, 1), (MIDDLE, VIEW_NUMBER)))


SNAPSHOT = InstallSnapshot(VIEW_NUMBER, VIEW_NUMBER, entry(1), packed_history(entry(1)))


def _start_transfer(replica: ChainReplica) -> None:
    before = chain_view_of((HEAD, 1), number=VIEW_NUMBER - 1)
    replica.transfers.enter_view(before)
    replica.transfers.enter_view(chain_view_of((HEAD, 1), (MIDDLE, VIEW_NUMBER)))


def test_a_refused_snapshot_is_not_stored() -> None:
    replica = _appended()
    _start_transfer(replica)
    assert replica.transfers.present is not None
    replica.transfers.close(replica.transfers.present)
    replica.chain.receive(SNAPSHOT)
    replica.chain.tick()
    assert not [each for each in replica.sent() if isinstance(each, SuccessorStatus)]
    assert replica.stores == []
    assert not replica.chain.complete


def test_a_stored_snapshot_ends_the_transfers() -> None:
    for error in (ErrorCode.STORAGE_FULL, None):
        replica = _appended()
        _start_transfer(replica)
        replica.chain.receive(SNAPSHOT)
        replica.end_store(error)
        assert (replica.transfers.present is None) is (error is None)


@pytest.mark.parametrize("joined_view", [1, VIEW_NUMBER])
def test_a_copy_that_has_lost_entries_is_known_as_such_outside_the_chain(joined_view: int) -> None:
    """And after a restart: otherwise it could stand in for a newer one."""
    view = chain_view_of((HEAD, 1), (MIDDLE, joined_view))
    replica = ChainReplica(MIDDLE, view, entry(1), synced_since=joined_view)
    assert replica.chain.complete
    replica.chain.receive(CommitNotification(VIEW_NUMBER, 2))
    replica.sent()
    assert replica.register.synced_since == LOST_COPY
    restored = restore(replica.stores[-1].records)
    assert restored.synced_since == LOST_COPY
    replica.chain.enter_view(chain_view_of((HEAD, 1), number=VIEW_NUMBER + 1))
    assert replica.register.synced_since == LOST_COPY


def test_a_lost_copy_is_not_reported_as_complete_while_a_snapshot_is_being_stored() -> None:
    replica = ChainReplica(
        MIDDLE, chain_view_of((HEAD, 1), (MIDDLE, VIEW_NUMBER)), entry(1), synced_since=LOST_COPY
    )
    replica.chain.receive(SNAPSHOT)
    assert replica.register.installing_snapshot
    assert replica.register.reported_synced_since == LOST_COPY
    replica.end_store(ErrorCode.STORAGE_FULL)
    assert replica.register.synced_since == LOST_COPY
