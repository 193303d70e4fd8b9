"""The log file on a real directory: torn ends, corrupt batches, full disks and rewrites."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.storage import synced_files
from reedspoke.control_plane.storage.log_format import HEADER
from reedspoke.control_plane.storage.log_opening import open_log, quarantine_log
from reedspoke.control_plane.storage.log_slots import CONTROL_LOG_NAME, OLD_TEMPORARY_NAME, OTHER_SLOT_NAME
from tests.control_plane.simulated_files import single_copies

BATCHES = [[b"one"], [b"two", b"three"], [b"x" * 60]]


def _written(directory: Path) -> bytes:
    opened = open_log(directory)
    for batch in BATCHES:
        opened.writer.append(batch)
    opened.writer.close()
    return (directory / CONTROL_LOG_NAME).read_bytes()


def _copies(content: bytes | bytearray, record: bytes) -> tuple[int, int]:
    """The offsets of the two copies of a record."""
    first = content.index(record)
    return first, content.index(record, first + len(record))


def _reopened(directory: Path) -> list[bytes]:
    opened = open_log(directory)
    opened.writer.close()
    return opened.records


def test_what_was_appended_is_read_back_under_the_same_folder_id(tmp_path: Path) -> None:
    first = open_log(tmp_path / "new" / "folder")
    assert first.created
    assert first.records == []
    assert len(bytes.fromhex(first.folder_id)) == 8
    first.writer.append([b"one", b""])
    first.writer.close()
    second = open_log(tmp_path / "new" / "folder")
    assert not second.created
    assert second.records == [b"one", b""]
    assert second.folder_id == first.folder_id
    second.writer.close()


def test_two_folders_have_two_ids(tmp_path: Path) -> None:
    assert open_log(tmp_path / "a").folder_id != open_log(tmp_path / "b").folder_id


def test_a_file_torn_at_any_byte_keeps_the_complete_batches(tmp_path: Path) -> None:
    content = _written(tmp_path)
    path = tmp_path / CONTROL_LOG_NAME
    whole = [b"one", b"two", b"three", b"x" * 60]
    for length in range(len(HEADER), len(content)):
        path.write_bytes(content[:length])
        records = _reopened(tmp_path)
        assert records == whole[: len(records)]
        assert len(records) != 2, "a batch must be read completely or not at all"
        assert _reopened(tmp_path) == records


@pytest.mark.parametrize("filler", [b"\0", b"\xff", b"garbage"])
def test_trailing_garbage_is_cut_off(tmp_path: Path, filler: bytes) -> None:
    content = _written(tmp_path)
    (tmp_path / CONTROL_LOG_NAME).write_bytes(content + filler * 100)
    assert _reopened(tmp_path) == [b"one", b"two", b"three", b"x" * 60]
    assert (tmp_path / CONTROL_LOG_NAME).read_bytes() == content


def test_a_last_batch_with_a_hole_in_both_copies_is_cut_off(tmp_path: Path) -> None:
    content = bytearray(_written(tmp_path))
    for copy in _copies(content, b"x" * 60):
        content[copy + 10 : copy + 20] = bytes(10)
    (tmp_path / CONTROL_LOG_NAME).write_bytes(content)
    assert _reopened(tmp_path) == [b"one", b"two", b"three"]


def test_appending_continues_after_a_torn_end_was_cut_off(tmp_path: Path) -> None:
    content = _written(tmp_path)
    first_copy, _ = _copies(content, b"x" * 60)
    (tmp_path / CONTROL_LOG_NAME).write_bytes(content[: first_copy + 59])
    opened = open_log(tmp_path)
    opened.writer.append([b"after"])
    opened.writer.close()
    assert _reopened(tmp_path) == [b"one", b"two", b"three", b"after"]


def test_a_corrupt_batch_before_valid_ones_is_an_error(tmp_path: Path) -> None:
    content = bytearray(_written(tmp_path))
    for copy in _copies(content, b"two"):
        content[copy] ^= 1
    (tmp_path / CONTROL_LOG_NAME).write_bytes(content)
    with pytest.raises(FleetError) as raised:
        open_log(tmp_path)
    assert raised.value.code is ErrorCode.STORAGE_CORRUPT


def test_a_damaged_header_before_valid_batches_is_repaired(tmp_path: Path) -> None:
    content = bytearray(_written(tmp_path))
    content[0] ^= 1
    (tmp_path / CONTROL_LOG_NAME).write_bytes(content)
    opened = open_log(tmp_path)
    opened.writer.close()
    assert opened.records == [b"one", b"two", b"three", b"x" * 60]
    assert opened.writer.path.read_bytes().startswith(HEADER)


def test_a_damaged_header_of_a_file_with_single_copies_is_an_error(tmp_path: Path) -> None:
    content = bytearray(single_copies([b"0011223344556677"], *BATCHES))
    content[0] ^= 1
    (tmp_path / CONTROL_LOG_NAME).write_bytes(content)
    with pytest.raises(FleetError) as raised:
        open_log(tmp_path)
    assert raised.value.code is ErrorCode.STORAGE_CORRUPT


def test_after_quarantine_of_a_log_a_new_one_is_created(tmp_path: Path) -> None:
    _written(tmp_path)
    old = open_log(tmp_path)
    old.writer.close()
    quarantined = quarantine_log(tmp_path)
    new = open_log(tmp_path)
    assert quarantined.exists()
    assert new.created
    assert new.folder_id != old.folder_id


def test_a_file_torn_during_its_creation_is_created_again(tmp_path: Path) -> None:
    created = open_log(tmp_path)
    created.writer.close()
    content = (tmp_path / CONTROL_LOG_NAME).read_bytes()
    first_copy_end = (len(HEADER) + len(content)) // 2
    for length in range(len(content)):
        (tmp_path / created.writer.path.name).write_bytes(content[:length])
        opened = open_log(tmp_path)
        opened.writer.close()
        assert opened.created == (length < first_copy_end)
        assert opened.created or opened.folder_id == created.folder_id
        assert opened.records == []
        opened.writer.path.unlink()


def test_a_rewrite_keeps_the_folder_id_and_appending_continues(tmp_path: Path) -> None:
    opened = open_log(tmp_path)
    opened.writer.append([b"old"])
    opened.writer.rewrite([b"new", b"newer"])
    opened.writer.append([b"newest"])
    assert opened.writer.length == opened.writer.path.stat().st_size
    assert [path.name for path in tmp_path.iterdir()] == [opened.writer.path.name]
    opened.writer.close()
    reopened = open_log(tmp_path)
    assert reopened.folder_id == opened.folder_id
    assert reopened.records == [b"new", b"newer", b"newest"]


def test_files_left_by_an_incomplete_rewrite_are_removed(tmp_path: Path) -> None:
    _written(tmp_path)
    for name in (OLD_TEMPORARY_NAME, OTHER_SLOT_NAME):
        (tmp_path / name).write_bytes(b"half")
        assert len(_reopened(tmp_path)) == 4
        assert not (tmp_path / name).exists()


class FailingDisk:
    """Makes some system calls fail. A failing write writes half of its data first."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.failing_calls: set[str] = set()
        self.code = errno.ENOSPC
        for name in ("write", "fsync", "ftruncate", "unlink"):
            monkeypatch.setattr(os, name, self._wrapped(name, getattr(os, name)))

    def _wrapped(self, name: str, original: Callable[..., Any]) -> Callable[..., Any]:
        def call(*arguments: Any) -> Any:
            if name in self.failing_calls:
                if name == "write":
                    descriptor, data = arguments
                    original(descriptor, bytes(data)[: len(data) // 2])
                raise OSError(self.code, os.strerror(self.code))
            return original(*arguments)

        return call


def test_a_full_disk_leaves_the_log_as_it_was(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    opened = open_log(tmp_path)
    opened.writer.append([b"kept"])
    disk = FailingDisk(monkeypatch)
    disk.failing_calls = {"write"}
    for change in (opened.writer.append, opened.writer.rewrite):
        with pytest.raises(FleetError) as raised:
            change([b"refused" * 100])
        assert raised.value.code is ErrorCode.STORAGE_FULL
    disk.failing_calls = set()
    opened.writer.append([b"after"])
    opened.writer.close()
    assert _reopened(tmp_path) == [b"kept", b"after"]


def test_an_append_whose_sync_failed_is_removed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    opened = open_log(tmp_path)
    disk = FailingDisk(monkeypatch)
    disk.code = errno.EIO
    disk.failing_calls = {"fsync"}
    with pytest.raises(FleetError) as raised:
        opened.writer.append([b"refused"])
    assert raised.value.code is ErrorCode.STORAGE_FAILED
    disk.failing_calls = set()
    opened.writer.append([b"after"])
    opened.writer.close()
    assert _reopened(tmp_path) == [b"after"]


def test_appends_fail_while_the_end_cannot_be_cut_off(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    opened = open_log(tmp_path)
    disk = FailingDisk(monkeypatch)
    disk.failing_calls = {"write", "ftruncate"}
    with pytest.raises(FleetError):
        opened.writer.append([b"refused"])
    disk.failing_calls = {"ftruncate"}
    with pytest.raises(FleetError):
        opened.writer.append([b"refused too"])
    disk.failing_calls = set()
    opened.writer.append([b"after"])
    opened.writer.close()
    assert _reopened(tmp_path) == [b"after"]


def test_appends_fail_while_a_failed_rewrite_cannot_be_removed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    opened = open_log(tmp_path)
    opened.writer.append([b"kept"])
    disk = FailingDisk(monkeypatch)
    disk.failing_calls = {"unlink", "fsync"}
    with pytest.raises(FleetError):
        opened.writer.rewrite([b"refused"])
    disk.failing_calls = {"unlink"}
    with pytest.raises(FleetError):
        opened.writer.append([b"refused too"])
    with pytest.raises(FleetError):
        opened.writer.rewrite([b"refused too"])
    disk.failing_calls = set()
    opened.writer.append([b"after"])
    opened.writer.close()
    assert _reopened(tmp_path) == [b"kept", b"after"]


def test_a_rewrite_whose_name_cannot_be_synced_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    opened = open_log(tmp_path)
    failing = [True]
    original = synced_files.sync_directory

    def sync_directory(directory: Path) -> None:
        if failing[0]:
            raise OSError(errno.EIO, "input/output error")
        original(directory)

    monkeypatch.setattr(synced_files, "sync_directory", sync_directory)
    with pytest.raises(FleetError):
        opened.writer.rewrite([b"new"])
    with pytest.raises(FleetError):
        opened.writer.append([b"too early"])
    failing[0] = False
    opened.writer.append([b"after"])
    opened.writer.close()
    assert _reopened(tmp_path) == [b"after"]
