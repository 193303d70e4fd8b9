"""Guard conditions of the state of the disk, one test each."""

from __future__ import annotations

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import StoreRecords
from reedspoke.control_plane.replication.events import StoreCompleted
from reedspoke.control_plane.replication.log_records import ProbeRecord
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import DISK_PROBE_INTERVAL_S

START = 100.0


def _store(outbox: Outbox) -> StoreRecords:
    """The only store among the effects."""
    (store,) = (effect for effect in outbox.take_effects() if isinstance(effect, StoreRecords))
    return store


def _after_a_failed_store() -> Outbox:
    outbox = Outbox("at-a", START, 0)
    outbox.store([ProbeRecord()], lambda error: None)
    outbox.store_completed(StoreCompleted(_store(outbox).token, ErrorCode.STORAGE_FAILED))
    return outbox


def test_a_disk_counts_as_failed_after_a_failed_store() -> None:
    outbox = _after_a_failed_store()
    assert outbox.disk_failed
    assert not outbox.disk_ok


def test_a_disk_counts_as_working_once_the_whole_log_has_been_rewritten() -> None:
    outbox = _after_a_failed_store()
    outbox.now = START + DISK_PROBE_INTERVAL_S
    outbox.tick()
    probe = _store(outbox)
    assert not probe.replace
    outbox.store_completed(StoreCompleted(probe.token, None))
    assert not outbox.disk_ok
    rewriting = _store(outbox)
    assert rewriting.replace
    outbox.store_completed(StoreCompleted(rewriting.token, None))
    assert outbox.disk_ok
