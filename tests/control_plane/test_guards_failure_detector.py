"""Guard conditions of the failure detector, the first view and the state of the disk, one test each."""

from __future__ import annotations

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import Effect, StoreRecords
from reedspoke.control_plane.replication.events import StoreCompleted
from reedspoke.control_plane.replication.failure_detector import FailureDetector
from reedspoke.control_plane.replication.log_records import ProbeRecord
from reedspoke.control_plane.replication.messages import Heartbeat
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import (
    DEAD_TIMEOUT_S,
    DISK_PROBE_INTERVAL_S,
    DISK_STALL_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    JOIN_MIN_REACHABLE_S,
    REACHABLE_TIMEOUT_S,
)
from reedspoke.control_plane.replication.view import Member
from reedspoke.control_plane.views.first_view import form_first_view
from tests.control_plane.chain_replica import HEAD, MIDDLE, START, TAIL


def _heartbeat(member: Member, *receives_from: Member, bootstrap: bool = False) -> Heartbeat:
    folders = tuple(other.folder_id for other in receives_from)
    return Heartbeat(member, 1, folders, True, 0, 0, bootstrap_seed=bootstrap)


def _receive(peers: FailureDetector, heartbeat: Heartbeat, begin: float, end: float) -> None:
    now = begin
    while now <= end:
        peers.record_heartbeat(heartbeat, now)
        now += HEARTBEAT_INTERVAL_S


def test_a_voter_whose_heartbeats_reach_another_replica_is_not_lost() -> None:
    end = START + 2 * DEAD_TIMEOUT_S
    for received_elsewhere in (True, False):
        peers = FailureDetector(HEAD, START)
        received = (HEAD, TAIL) if received_elsewhere else (HEAD,)
        _receive(peers, _heartbeat(MIDDLE, *received), START, end)
        assert peers.is_lost(TAIL.folder_id, end) is not received_elsewhere


def test_a_replica_is_steady_after_a_minimum_time_of_reachability() -> None:
    peers = FailureDetector(HEAD, START)
    peers.record_heartbeat(_heartbeat(MIDDLE, HEAD), START)
    assert not peers.is_steady(MIDDLE.folder_id, START + JOIN_MIN_REACHABLE_S / 2)
    _receive(peers, _heartbeat(MIDDLE, HEAD), START, START + JOIN_MIN_REACHABLE_S + HEARTBEAT_INTERVAL_S)
    assert peers.is_steady(MIDDLE.folder_id, START + JOIN_MIN_REACHABLE_S + HEARTBEAT_INTERVAL_S)


def test_a_reachable_replica_sends_and_receives_heartbeats() -> None:
    peers = FailureDetector(HEAD, START)
    peers.record_heartbeat(_heartbeat(MIDDLE, HEAD), START)
    peers.record_heartbeat(_heartbeat(TAIL), START)
    assert peers.mutually_reachable(MIDDLE.folder_id, START + REACHABLE_TIMEOUT_S)
    assert not peers.mutually_reachable(MIDDLE.folder_id, START + REACHABLE_TIMEOUT_S + 0.01)
    assert not peers.mutually_reachable(TAIL.folder_id, START)


def test_the_first_view_waits_for_folders_created_at_the_first_start() -> None:
    seeds = (HEAD.address, MIDDLE.address)
    starting = [_heartbeat(HEAD, bootstrap=True), _heartbeat(MIDDLE, bootstrap=True)]
    assert form_first_view(seeds, starting, min_seeds=2, target_members=3) is not None
    assert (
        form_first_view(
            seeds, [starting[0], _heartbeat(MIDDLE, bootstrap=False)], min_seeds=2, target_members=3
        )
        is None
    )


class FailedDisk:
    """An outbox whose first store has failed."""

    def __init__(self) -> None:
        self.outbox = Outbox(HEAD.address, START, 0)
        self.outbox.store([ProbeRecord()], lambda error: None)
        self.end_store(ErrorCode.STORAGE_FAILED)

    def end_store(self, error: ErrorCode | None = None) -> StoreRecords:
        """End the store in progress."""
        (store,) = _stores(self.outbox.take_effects())
        self.outbox.store_completed(StoreCompleted(store.token, error))
        return store


def _stores(effects: list[Effect]) -> list[StoreRecords]:
    return [effect for effect in effects if isinstance(effect, StoreRecords)]


def test_after_a_failed_store_the_disk_is_failed_until_the_log_is_rewritten() -> None:
    disk = FailedDisk()
    assert disk.outbox.disk_failed
    disk.outbox.now += DISK_PROBE_INTERVAL_S
    disk.outbox.tick()
    assert not disk.end_store().replace
    assert disk.outbox.disk_failed
    assert disk.end_store().replace
    assert not disk.outbox.disk_failed


def test_a_store_that_stalls_makes_the_disk_count_as_failing() -> None:
    outbox = Outbox(HEAD.address, START, 0)
    outbox.store([ProbeRecord()], lambda error: None)
    outbox.now = START + DISK_STALL_TIMEOUT_S
    assert outbox.disk_ok
    outbox.now += 0.01
    assert not outbox.disk_ok
