"""Single guards of the log file: the order of syncs, and which damage is reported."""

from __future__ import annotations

import os
import stat
from collections.abc import Callable
from pathlib import Path

import pytest

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.storage.log_format import HEADER, SINGLE_COPY_HEADER, encode_batch, read_content
from reedspoke.control_plane.storage.log_opening import open_log, quarantine_log
from reedspoke.control_plane.storage.log_slots import CONTROL_LOG_NAME

FILE, DIRECTORY, REPLACED, REMOVED = "file synced", "directory synced", "name replaced", "name removed"


@pytest.fixture
def steps(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """The syncs, renames and removals that the log requests, in order."""
    taken: list[str] = []
    fsync: Callable[[int], None] = os.fsync
    replace = os.replace
    unlink = os.unlink

    def recorded_fsync(descriptor: int) -> None:
        taken.append(DIRECTORY if stat.S_ISDIR(os.fstat(descriptor).st_mode) else FILE)
        fsync(descriptor)

    def recorded_replace(source: Path, target: Path) -> None:
        taken.append(REPLACED)
        replace(source, target)

    def recorded_unlink(path: Path) -> None:
        taken.append(REMOVED)
        unlink(path)

    monkeypatch.setattr(os, "fsync", recorded_fsync)
    monkeypatch.setattr(os, "unlink", recorded_unlink)
    monkeypatch.setattr(os, "replace", recorded_replace)
    return taken


def _in_order(steps: list[str], *expected: str) -> bool:
    """Whether these steps were taken in this order, possibly with others in between."""
    remaining = iter(steps)
    return all(step in remaining for step in expected)


def test_a_new_log_is_synced_and_then_its_name(tmp_path: Path, steps: list[str]) -> None:
    open_log(tmp_path).writer.close()
    assert _in_order(steps, FILE, DIRECTORY)


def test_opening_a_log_syncs_it(tmp_path: Path, steps: list[str]) -> None:
    open_log(tmp_path).writer.close()
    steps.clear()
    open_log(tmp_path).writer.close()
    assert _in_order(steps, FILE)


def test_a_rewritten_log_and_its_name_are_synced_before_the_old_slot_is_removed(
    tmp_path: Path, steps: list[str]
) -> None:
    opened = open_log(tmp_path)
    steps.clear()
    opened.writer.rewrite([b"one"])
    opened.writer.close()
    assert steps == [FILE, DIRECTORY, REMOVED, DIRECTORY]


def test_an_append_is_synced(tmp_path: Path, steps: list[str]) -> None:
    opened = open_log(tmp_path)
    steps.clear()
    opened.writer.append([b"one"])
    opened.writer.close()
    assert _in_order(steps, FILE)


def test_the_name_of_a_quarantined_log_is_synced(tmp_path: Path, steps: list[str]) -> None:
    open_log(tmp_path).writer.close()
    steps.clear()
    quarantine_log(tmp_path)
    assert _in_order(steps, REPLACED, DIRECTORY)


def test_damage_to_the_header_and_the_first_record_is_reported(tmp_path: Path) -> None:
    opened = open_log(tmp_path)
    opened.writer.append([b"one"])
    opened.writer.close()
    path = tmp_path / CONTROL_LOG_NAME
    content = bytearray(path.read_bytes())
    content[0] ^= 1
    first = content.index(opened.folder_id.encode())
    for copy in (first, content.index(opened.folder_id.encode(), first + 1)):
        content[copy] ^= 1
    assert len(content) > len(HEADER)
    path.write_bytes(content)
    with pytest.raises(FleetError) as raised:
        open_log(tmp_path)
    assert raised.value.code is ErrorCode.STORAGE_CORRUPT


def _single_copy(*records: bytes) -> bytes:
    doubled = encode_batch(records)
    return doubled[: len(doubled) // 2]


def test_a_corrupt_batch_before_valid_ones_is_reported_in_a_file_with_single_copies_too() -> None:
    batches = [_single_copy(record) for record in (b"first", b"second", b"third")]
    content = SINGLE_COPY_HEADER + b"".join(batches)
    assert read_content(content).batches == [[b"first"], [b"second"], [b"third"]]
    with pytest.raises(FleetError) as raised:
        read_content(content.replace(b"second", b"secund"))
    assert raised.value.code is ErrorCode.STORAGE_CORRUPT


def test_of_two_slots_the_one_written_later_is_used(tmp_path: Path) -> None:
    opened = open_log(tmp_path)
    opened.writer.append([b"old"])
    old = (tmp_path / CONTROL_LOG_NAME).read_bytes()
    opened.writer.rewrite([b"new"])
    opened.writer.close()
    (tmp_path / CONTROL_LOG_NAME).write_bytes(old)
    reopened = open_log(tmp_path)
    reopened.writer.close()
    assert reopened.records == [b"new"]
