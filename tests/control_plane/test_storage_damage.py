"""Changed bytes in a synced file: the same records are read, or the file is reported as corrupt."""

from __future__ import annotations

import pytest

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.storage.log_format import encode_batch
from reedspoke.control_plane.storage.log_opening import open_log, quarantine_log
from reedspoke.control_plane.storage.log_slots import CONTROL_LOG_NAME, CORRUPT_LOG_NAME, OLD_TEMPORARY_NAME
from tests.control_plane.simulated_files import FOLDER, PowerLost, SimulatedFiles, single_copies, use

BATCHES = ([b"one"], [b"two", b""], [b"three" * 5], [b"three" * 5], [b"newest", b"x" * 30])
RECORDS = [record for batch in BATCHES for record in batch]
FOLDER_ID = b"0011223344556677"
MASKS = (0x01, 0x80, 0xFF)


def _content(monkeypatch: pytest.MonkeyPatch, rewritten: bool = False) -> bytes:
    files = use(monkeypatch, SimulatedFiles())
    opened = open_log(FOLDER)
    if rewritten:
        opened.writer.append([b"old" * 50])
        opened.writer.rewrite(BATCHES[0])
    else:
        opened.writer.append(BATCHES[0])
    for batch in BATCHES[1:]:
        opened.writer.append(batch)
    (content,) = files.after_kill().values()
    return content


def _is_undamaged(content: bytes, monkeypatch: pytest.MonkeyPatch) -> bool:
    """Whether opening a file with this content changes nothing."""
    files = use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: content}))
    open_log(FOLDER)
    return files.after_kill() == {CONTROL_LOG_NAME: content}


def _outcome() -> str:
    try:
        opened = open_log(FOLDER)
    except FleetError as error:
        return error.code.name
    assert opened.records == RECORDS
    return "repaired"


@pytest.mark.parametrize("rewritten", [False, True])
@pytest.mark.parametrize("mask", MASKS)
def test_one_changed_byte_anywhere_is_repaired(
    monkeypatch: pytest.MonkeyPatch, mask: int, rewritten: bool
) -> None:
    content = _content(monkeypatch, rewritten)
    for position in range(len(content)):
        damaged = bytearray(content)
        damaged[position] ^= mask
        files = use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: bytes(damaged)}))
        opened = open_log(FOLDER)
        assert opened.records == RECORDS, position
        (left,) = files.after_kill().values()
        assert list(files.after_power_loss()) == [{opened.writer.path.name: left}], (
            "the repair must be synced"
        )
        assert _is_undamaged(left, monkeypatch)


def test_a_run_of_changed_bytes_never_loses_a_batch_that_is_followed_by_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    content = _content(monkeypatch)
    newest = len(content) - len(encode_batch(BATCHES[-1]))
    outcomes = {"repaired": 0, ErrorCode.STORAGE_CORRUPT.name: 0}
    for length in (2, 8, 30, 100):
        for position in range(newest - length):
            damaged = bytearray(content)
            damaged[position : position + length] = bytes(length)
            use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: bytes(damaged)}))
            outcomes[_outcome()] += 1
    assert min(outcomes.values()) > 100


@pytest.mark.parametrize("copy", [0, 1])
def test_the_newest_batch_survives_the_loss_of_one_whole_copy(
    monkeypatch: pytest.MonkeyPatch, copy: int
) -> None:
    content = bytearray(_content(monkeypatch))
    size = len(encode_batch(BATCHES[-1])) // 2
    start = len(content) - (2 - copy) * size
    content[start : start + size] = bytes(size)
    use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: bytes(content)}))
    assert open_log(FOLDER).records == RECORDS


def test_a_newest_batch_without_a_valid_copy_cannot_be_distinguished_from_one_that_was_never_synced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    content = bytearray(_content(monkeypatch))
    size = len(encode_batch(BATCHES[-1])) // 2
    content[-1] ^= 1
    content[-1 - size] ^= 1
    use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: bytes(content)}))
    assert open_log(FOLDER).records == RECORDS[: -len(BATCHES[-1])]


@pytest.mark.parametrize("batch", range(len(BATCHES) - 1))
def test_an_older_batch_without_a_valid_copy_is_reported(monkeypatch: pytest.MonkeyPatch, batch: int) -> None:
    content = bytearray(_content(monkeypatch))
    both = encode_batch(BATCHES[batch])
    start = content.index(both)
    for copy in (start, start + len(both) // 2):
        content[copy + 9] ^= 1
    use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: bytes(content)}))
    with pytest.raises(FleetError) as raised:
        open_log(FOLDER)
    assert raised.value.code is ErrorCode.STORAGE_CORRUPT


def test_the_copies_of_the_next_batch_are_not_taken_for_those_of_a_batch_half_as_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next valid copy begins where a second copy of the same size as it would begin."""
    files = use(monkeypatch, SimulatedFiles())
    opened = open_log(FOLDER)
    opened.writer.append([b"x" * 8])
    opened.writer.append([b"y" * 28])
    opened.writer.append([b"z"])
    short, long = encode_batch([b"x" * 8]), encode_batch([b"y" * 28])
    assert 2 * len(short) == len(long)
    content = bytearray(files.after_kill()[CONTROL_LOG_NAME])
    start = content.index(short)
    content[start : start + len(short)] = bytes(len(short))
    use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: bytes(content)}))
    with pytest.raises(FleetError) as raised:
        open_log(FOLDER)
    assert raised.value.code is ErrorCode.STORAGE_CORRUPT


def test_a_damaged_file_survives_a_power_loss_during_its_repair(monkeypatch: pytest.MonkeyPatch) -> None:
    content = bytearray(_content(monkeypatch))
    content[-1] ^= 1
    calls = 0
    for number in range(1, 30):
        files = use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: bytes(content)}))
        files.lose_power_at = number
        try:
            open_log(FOLDER)
        except PowerLost:
            calls += 1
        for left in files.after_power_loss():
            use(monkeypatch, SimulatedFiles(left))
            assert open_log(FOLDER).records == RECORDS
    assert calls >= 5


# ---- files with single copies, and quarantine ----


def test_a_file_with_single_copies_is_read_and_rewritten_with_two(monkeypatch: pytest.MonkeyPatch) -> None:
    old = single_copies([FOLDER_ID], *BATCHES)
    files = use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: old, OLD_TEMPORARY_NAME: old[:40]}))
    opened = open_log(FOLDER)
    assert (opened.folder_id, opened.records) == (FOLDER_ID.decode(), RECORDS)
    (left,) = files.after_kill().values()
    assert _is_undamaged(left, monkeypatch)


def test_a_complete_temporary_file_of_the_older_format_replaces_a_missing_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    old = single_copies([FOLDER_ID], *BATCHES)
    files = use(monkeypatch, SimulatedFiles({OLD_TEMPORARY_NAME: old}))
    opened = open_log(FOLDER)
    assert (opened.folder_id, opened.records) == (FOLDER_ID.decode(), RECORDS)
    assert OLD_TEMPORARY_NAME not in files.after_kill()


def test_a_folder_with_a_quarantined_log_is_not_treated_as_new(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its settings may still have `bootstrap` set, as at the first start of the whole fleet."""
    files = use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: _content(monkeypatch)}))
    use(monkeypatch, files)
    before = open_log(FOLDER)
    quarantine_log(FOLDER)
    for _ in range(2):
        opened = open_log(FOLDER)
        assert opened.folder_id != before.folder_id
        assert opened.follows_corrupt_log
        assert opened.records == []
    assert CORRUPT_LOG_NAME in files.after_kill()
    assert not before.follows_corrupt_log


def test_power_is_lost_at_each_call_of_a_quarantine(monkeypatch: pytest.MonkeyPatch) -> None:
    """The next opening finds the corrupt log or a new log, but never the old log with fewer records."""
    content = bytearray(_content(monkeypatch))
    both = encode_batch(BATCHES[1])
    start = content.index(both)
    content[start : start + len(both)] = bytes(len(both))
    points = 0
    for number in range(1, 10):
        files = use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: bytes(content)}))
        files.lose_power_at = number
        try:
            quarantine_log(FOLDER)
            open_log(FOLDER)
        except PowerLost:
            points += 1
        for left in files.after_power_loss():
            use(monkeypatch, SimulatedFiles(left))
            assert _outcome_of_new_folder() in (ErrorCode.STORAGE_CORRUPT.name, "new")
    assert points >= 4


def _outcome_of_new_folder() -> str:
    try:
        opened = open_log(FOLDER)
    except FleetError as error:
        return error.code.name
    assert opened.records == []
    return "new"
