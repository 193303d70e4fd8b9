"""Changed bytes in a synced file: the same records come back, or the file is told to be corrupt."""

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


def _is_pristine(content: bytes, monkeypatch: pytest.MonkeyPatch) -> bool:
    """Whether opening such a file changes nothing."""
    files = use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: content}))
    open_log(FOLDER)
    return files.after_kill() == {CONTROL_LOG_NAME: content}


def _outcome() -> str:
    try:
        opened = open_log(FOLDER)
    except FleetError as error:
        return error.code.name
    assert opened.records == RECORDS
    return "mended"


@pytest.mark.parametrize("rewritten", [False, True])
@pytest.mark.parametrize("mask", MASKS)
def test_one_changed_byte_anywhere_is_mended(
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
        assert list(files.after_power_loss()) == [{opened.writer.path.name: left}], "it is synced"
        assert _is_pristine(left, monkeypatch)


def test_a_run_of_changed_bytes_never_loses_a_batch_that_is_followed_by_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    content = _content(monkeypatch)
    newest = len(content) - len(encode_batch(BATCHES[-1]))
    outcomes = {"mended": 0, ErrorCode.STORAGE_CORRUPT.name: 0}
    for length in (2, 8, 30, 100):
        for position in range(newest - length):
            damaged = bytearray(content)
            damaged[position : position + length] = bytes(length)
            use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: bytes(damaged)}))
            outcomes[_outcome()] += 1
    assert min(outcomes.values()) > 100


@pytest.mark.parametrize("copy", [0, 1])
def test_the_newest_batch_outlasts_the_loss_of_one_whole_copy(
    monkeypatch: pytest.MonkeyPatch, copy: int
) -> None:
    content = bytearray(_content(monkeypatch))
    size = len(encode_batch(BATCHES[-1])) // 2
    start = len(content) - (2 - copy) * size
    content[start : start + size] = bytes(size)
    use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: bytes(content)}))
    assert open_log(FOLDER).records == RECORDS


def test_a_newest_batch_without_any_good_copy_cannot_be_told_from_one_that_was_never_synced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    content = bytearray(_content(monkeypatch))
    size = len(encode_batch(BATCHES[-1])) // 2
    content[-1] ^= 1
    content[-1 - size] ^= 1
    use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: bytes(content)}))
    assert open_log(FOLDER).records == RECORDS[: -len(BATCHES[-1])]


@pytest.mark.parametrize("batch", range(len(BATCHES) - 1))
def test_an_older_batch_without_any_good_copy_is_told(monkeypatch: pytest.MonkeyPatch, batch: int) -> None:
    content = bytearray(_content(monkeypatch))
    both = encode_batch(BATCHES[batch])
    start = content.index(both)
    for copy in (start, start + len(both) // 2):
        content[copy + 9] ^= 1
    use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: bytes(content)}))
    with pytest.raises(FleetError) as raised:
        open_log(FOLDER)
    assert raised.value.code is ErrorCode.STORAGE_CORRUPT


def test_a_batch_that_is_half_as_long_as_the_next_one_is_not_taken_for_its_copy(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next good copy then begins just where a second copy of its own size would."""
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


def test_a_damaged_file_outlasts_a_loss_of_power_while_it_is_mended(monkeypatch: pytest.MonkeyPatch) -> None:
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


# ---- files with single copies, and folders that were set aside ----


def test_a_file_with_single_copies_is_read_and_doubled(monkeypatch: pytest.MonkeyPatch) -> None:
    old = single_copies([FOLDER_ID], *BATCHES)
    files = use(monkeypatch, SimulatedFiles({CONTROL_LOG_NAME: old, OLD_TEMPORARY_NAME: old[:40]}))
    opened = open_log(FOLDER)
    assert (opened.folder_id, opened.records) == (FOLDER_ID.decode(), RECORDS)
    (left,) = files.after_kill().values()
    assert _is_pristine(left, monkeypatch)


def test_a_whole_rewritten_file_with_single_copies_is_taken_over_where_the_log_is_gone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    old = single_copies([FOLDER_ID], *BATCHES)
    files = use(monkeypatch, SimulatedFiles({OLD_TEMPORARY_NAME: old}))
    opened = open_log(FOLDER)
    assert (opened.folder_id, opened.records) == (FOLDER_ID.decode(), RECORDS)
    assert OLD_TEMPORARY_NAME not in files.after_kill()


def test_a_folder_that_was_set_aside_is_known_to_be_no_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its settings may still say that the whole fleet starts for the first time."""
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


def test_power_is_lost_at_each_call_while_a_folder_is_set_aside(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is found then is the corrupt log again, or a new folder; never the old one with fewer records."""
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
