"""The history of accepted changes, and the answers to changes that were evicted from it."""

from __future__ import annotations

from hashlib import sha256

import msgspec
import ormsgpack
import pytest
from msgspec import to_builtins

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.messages import decode, encode
from reedspoke.control_plane.replication.change_history import ROW, ChangeHistory
from reedspoke.control_plane.replication.entry import ChangeId, Entry
from reedspoke.control_plane.replication.log_records import (
    EntryRecord,
    HistoryRecord,
    ListedHistoryRecord,
    encode_record,
    restore,
)
from reedspoke.control_plane.replication.messages import InstallSnapshot, ReplicaMessage
from reedspoke.control_plane.replication.settings import MAX_HISTORY_CHANGES
from tests.control_plane.direct_core import DirectCore

LATER_CHANGES = 5000
FIRST = 5
REJECTED = FIRST + 1  # generation of a change that was rejected in favour of the first


def _document(generation: int) -> bytes:
    return b"generation %d" % generation


def _core_with_competing_changes() -> DirectCore:
    """Generation 5 is accepted; competing changes of the same and of a higher generation are rejected."""
    core = DirectCore()
    assert core.put("m2", 0, FIRST, _document(FIRST)) is None
    assert core.put("m3", 0, FIRST, b"a competing change") is ErrorCode.CONFIGURATION_STALE_MATCH
    assert core.put("m1", 0, REJECTED, b"another competing change") is ErrorCode.CONFIGURATION_STALE_MATCH
    return core


def _change(core: DirectCore, count: int, after: int) -> int:
    for generation in range(after + 1, after + count + 1):
        assert core.put("m1", generation - 1, generation, _document(generation)) is None
    return after + count


def _check_results(core: DirectCore) -> None:
    for address in core.addresses:
        assert core.put(address, 0, FIRST, _document(FIRST)) is None
        assert core.put(address, 0, FIRST, b"a competing change") is ErrorCode.CONFIGURATION_STALE_MATCH
        assert (
            core.put(address, 0, REJECTED, b"another competing change") is ErrorCode.CONFIGURATION_STALE_MATCH
        )


def test_resubmitted_changes_get_the_same_result_after_many_changes_a_restart_and_a_snapshot() -> None:
    core = _core_with_competing_changes()
    _change(core, LATER_CHANGES, after=FIRST)
    _check_results(core)
    core.restart()
    _check_results(core)
    for address in core.addresses:  # in the end every copy was installed by a snapshot
        core.lose_disk(address)
        core.start(address)
        core.run(5.0)
        assert core.replicas[address].in_chain
    _check_results(core)
    core.restart()
    _check_results(core)


def test_a_change_evicted_from_the_history_gets_an_unclear_answer() -> None:
    core = _core_with_competing_changes()
    newest = _change(core, MAX_HISTORY_CHANGES, after=FIRST)
    oldest = newest - MAX_HISTORY_CHANGES + 1
    for _ in range(2):
        assert core.put("m2", 0, FIRST, _document(FIRST)) is ErrorCode.WRITE_UNCLEAR
        assert core.put("m3", 0, FIRST, b"a competing change") is ErrorCode.WRITE_UNCLEAR
        assert core.put("m3", oldest - 1, oldest, _document(oldest)) is None
        assert (
            core.put("m3", oldest - 1, oldest, b"a competing change") is ErrorCode.CONFIGURATION_STALE_MATCH
        )
        assert (
            core.put("m3", newest - 1, newest, b"a competing change") is ErrorCode.CONFIGURATION_STALE_MATCH
        )
        core.restart()


def test_nothing_is_evicted_while_the_history_is_not_full() -> None:
    core = DirectCore()
    assert core.put("m1", 0, 1000, b"the first has a high number") is None
    assert core.put("m1", 0, 10, b"a low number") is ErrorCode.CONFIGURATION_STALE_MATCH


def test_the_packed_history_finds_each_change_and_no_other() -> None:
    changes = [ChangeId(number, sha256(b"%d" % number).digest()) for number in range(3, 900, 3)]
    history = ChangeHistory()
    for change in changes:
        history.add(change)
    assert ChangeHistory(history.packed()) == history
    assert all(change in history for change in changes)
    assert not any(ChangeId(change.generation, bytes(32)) in history for change in changes)
    assert not any(ChangeId(change.generation + 1, change.digest) in history for change in changes)
    assert ChangeId(2**63 - 1, bytes(32)) not in history


def test_an_empty_history_holds_nothing() -> None:
    history = ChangeHistory()
    assert ChangeId(0, bytes(32)) not in history
    assert (len(history), history.oldest_generation, history.newest) == (0, 0, None)


def test_a_longer_packed_history_loses_its_oldest_changes() -> None:
    packed = b"".join(ROW.pack(generation, bytes(32)) for generation in range(1, MAX_HISTORY_CHANGES + 11))
    history = ChangeHistory(packed)
    assert (len(history), history.oldest_generation) == (MAX_HISTORY_CHANGES, 11)


def test_a_log_of_an_earlier_version_is_read() -> None:
    entry = Entry(2, 1, 7, b"seventh")
    listed = (ChangeId(3, bytes(32)), ChangeId(7, sha256(b"seventh").digest()))
    state = restore([encode_record(ListedHistoryRecord(listed)), encode_record(EntryRecord(entry))])
    assert all(change in state.history for change in listed)
    assert len(state.history) == 2
    assert state.entry == entry


def test_a_history_that_is_not_whole_rows_is_rejected() -> None:
    record = ormsgpack.packb(["packed_history", bytes(ROW.size + 1)])
    with pytest.raises(FleetError, match="unknown record"):
        restore([record])
    message = encode(InstallSnapshot(1, 1, None, bytes(ROW.size)))
    assert isinstance(decode(message, ReplicaMessage), InstallSnapshot)
    broken = ormsgpack.packb(["snapshot", 1, 1, None, bytes(ROW.size + 1)])
    with pytest.raises(msgspec.ValidationError, match="packed history"):
        msgspec.convert(ormsgpack.unpackb(broken), type=ReplicaMessage)


def test_a_full_history_stays_small_on_disk() -> None:
    full = HistoryRecord(ROW.pack(2**62, bytes(32)) * MAX_HISTORY_CHANGES)
    assert len(ormsgpack.packb(to_builtins(full, builtin_types=(bytes,)))) < 330_000
