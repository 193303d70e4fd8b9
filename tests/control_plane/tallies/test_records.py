"""Records of the tallies' log, and the log file."""

from __future__ import annotations

from pathlib import Path

import pytest

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.storage.log_opening import open_log, quarantine_log
from reedspoke.control_plane.tallies.messages import TallyAdd, TallyEntries
from reedspoke.control_plane.tallies.records import (
    TallyState,
    VectorRecord,
    complete_records,
    encode_record,
    entries_record,
    restore,
)
from reedspoke.control_plane.tallies.storage import TALLY_LOG_NAME
from tests.control_plane.tallies.test_counts import content


def entries(origin: str, first: int, count: int) -> TallyEntries:
    """Adds of one origin, each with a different id."""
    adds = tuple(TallyAdd(f"t{n % 3}", n * 1000 + ord(origin), n) for n in range(first, first + count))
    return TallyEntries(origin, first, adds)


def state_of(*all_entries: TallyEntries) -> TallyState:
    """The state after these entries."""
    return restore([entries_record(one) for one in all_entries])


def same(one: TallyState, other: TallyState) -> bool:
    """Whether two states have the same counts, vector and retained entries."""
    if content(one.counts) != content(other.counts) or one.log.vector != other.log.vector:
        return False
    return list(one.log.all_retained(9)) == list(other.log.all_retained(9))


def test_the_complete_records_restore_the_same_state() -> None:
    state = state_of(entries("a", 1, 5000), entries("b", 1, 3), entries("a", 5001, 10))
    state.log.drop_through({"a": 4990, "b": 3})
    restored = restore(list(complete_records(state)))
    assert same(state, restored)
    assert restored.log.unretained_vector() == state.log.unretained_vector() == {"a": 4990, "b": 3}


def test_repeated_records_change_nothing() -> None:
    records = [entries_record(entries("a", 1, 4)), entries_record(entries("a", 3, 4))]
    assert same(restore(records), restore(records * 2))
    assert restore(records).log.vector == {"a": 6}


def test_a_vector_may_include_entries_that_follow_it() -> None:
    state = restore([encode_record(VectorRecord({"a": 2})), entries_record(entries("a", 1, 4))])
    assert (state.log.vector, state.log.unretained_vector()) == ({"a": 4}, {"a": 2})


BAD_RECORDS = {
    "empty": b"",
    "not MessagePack": b"\xc1",
    "unknown kind": b"\x93\xa7nothing\x01\x02",
    "after a gap": entries_record(entries("a", 2, 1)),
}


@pytest.mark.parametrize("record", BAD_RECORDS.values(), ids=BAD_RECORDS)
def test_an_invalid_record_or_a_gap_is_reported_as_corrupt(record: bytes) -> None:
    with pytest.raises(FleetError) as raised:
        restore([record])
    assert raised.value.code is ErrorCode.STORAGE_CORRUPT


def test_the_tallies_log_and_the_control_log_share_a_folder(tmp_path: Path) -> None:
    control = open_log(tmp_path)
    control.writer.append([b"control"])
    tallies = open_log(tmp_path, TALLY_LOG_NAME)
    tallies.writer.append([b"one"])
    tallies.writer.rewrite([b"one", b"two"])
    tallies.writer.rewrite([b"one", b"two", b"three"])
    for opened in (control, tallies):
        opened.writer.close()
    assert open_log(tmp_path).records == [b"control"]
    assert open_log(tmp_path, TALLY_LOG_NAME).records == [b"one", b"two", b"three"]
    assert control.folder_id != tallies.folder_id


def test_quarantine_of_the_tallies_log_leaves_the_control_log_unchanged(tmp_path: Path) -> None:
    open_log(tmp_path).writer.append([b"control"])
    open_log(tmp_path, TALLY_LOG_NAME).writer.append([b"one"])
    quarantine_log(tmp_path, TALLY_LOG_NAME)
    restored = open_log(tmp_path, TALLY_LOG_NAME)
    assert (restored.records, restored.created, restored.follows_corrupt_log) == ([], True, True)
    assert open_log(tmp_path).records == [b"control"]
