"""Opens the log in the data folder, with the folder's own random id; see `log_format` for its bytes.

What was never synced may be torn or missing after a loss of power; it is cut off. What was synced is either
read or reported as corrupt, never left out: a replica that has acknowledged an entry and forgets it would
break the chain's promise to hold it.
"""

from __future__ import annotations

import os
import secrets
from pathlib import Path

from msgspec import Struct

from reedspoke.common.errors import FleetError
from reedspoke.control_plane.storage.log_format import read_content
from reedspoke.control_plane.storage.log_slots import (
    CONTROL_LOG_NAME,
    CORRUPT_SUFFIX,
    FIRST_REWRITE_NUMBER,
    FOLDER_ID_BYTES,
    OLD_TEMPORARY_SUFFIX,
    SlotContent,
    parse_slot,
    slot_content,
    slot_names,
)
from reedspoke.control_plane.storage.log_writer import LogWriter
from reedspoke.control_plane.storage.synced_files import (
    create_file,
    read_file,
    remove_file,
    storage_error,
    sync_directory,
    write_at,
)


class OpenedLog(Struct):
    """What the folder held when it was opened: its id, the records after it, and the writer that goes on.

    `follows_corrupt_log` is set where an earlier log of this folder is in quarantine.
    """

    folder_id: str
    records: list[bytes]
    writer: LogWriter
    created: bool
    follows_corrupt_log: bool = False


class _Slot(Struct):
    """A slot whose first batch is good."""

    path: Path
    content: SlotContent
    good_length: int
    last_start: int
    last_batch: bytes  # from `last_start` on
    has_unsynced_end: bool
    damaged: bool


def open_log(directory: Path, name: str = CONTROL_LOG_NAME) -> OpenedLog:
    """Open or make a log of a data folder; all that it returns is synced, and stands twice.

    What was never synced is cut back to the last batch. Raises FleetError STORAGE_CORRUPT where a good batch
    follows a bad one or the header is wrong, and STORAGE_FULL or STORAGE_FAILED where the disk refuses.
    """
    try:
        return _open_or_create(directory, name)
    except OSError as error:
        raise storage_error(error) from error


def quarantine_log(directory: Path, name: str = CONTROL_LOG_NAME) -> Path:
    """Rename a corrupt log so that the folder starts anew; only the newest such file is kept."""
    corrupt = directory / (name + CORRUPT_SUFFIX)
    for slot in slot_names(name):
        if os.path.exists(directory / slot):
            os.replace(directory / slot, corrupt)
    sync_directory(directory)
    return corrupt


def _open_or_create(directory: Path, name: str) -> OpenedLog:
    os.makedirs(directory, exist_ok=True)
    follows_corrupt_log = os.path.exists(directory / (name + CORRUPT_SUFFIX))
    slots = [slot for one in slot_names(name) if (slot := _read_slot(directory / one)) is not None]
    if not slots:
        slots = _old_temporary(directory, name)
    if not slots:
        return _create_log(directory, name, follows_corrupt_log)
    newest = max(slots, key=lambda slot: slot.content.rewrite_number)
    _remove_others(directory, name, newest.path)
    writer = _writer_of(newest)
    content = newest.content
    return OpenedLog(content.folder_id, content.records, writer, False, follows_corrupt_log)


def _old_temporary(directory: Path, name: str) -> list[_Slot]:
    """A complete rewritten file of the old format whose rename was kept only in part by a loss of power."""
    slot = _read_slot(directory / (name + OLD_TEMPORARY_SUFFIX))
    return [] if slot is None else [slot]


def _writer_of(slot: _Slot) -> LogWriter:
    content = slot.content
    descriptor = os.open(slot.path, os.O_RDWR)
    writer = LogWriter(slot.path, content.folder_id, content.rewrite_number, descriptor, slot.good_length)
    try:
        if slot.has_unsynced_end:
            os.ftruncate(descriptor, slot.good_length)
        # A sync that failed before, here or in an earlier process, may have left these bytes in memory alone:
        # the next one says nothing of them unless they are written again.
        write_at(descriptor, slot.last_batch, slot.last_start)
        os.fsync(descriptor)
        sync_directory(slot.path.parent)
        if slot.damaged:
            writer.rewrite(content.records)
    except (OSError, FleetError):
        writer.close()
        raise
    return writer


def _read_slot(path: Path) -> _Slot | None:
    """A slot; None where there is none, or its first write is incomplete."""
    if not os.path.exists(path):
        return None
    content = read_file(path)
    read = read_content(content)
    if not read.batches:
        return None
    return _Slot(
        path=path,
        content=parse_slot(read),
        good_length=read.good_length,
        last_start=read.last_start,
        last_batch=content[read.last_start : read.good_length],
        has_unsynced_end=read.good_length < len(content),
        damaged=read.damaged,
    )


def _create_log(directory: Path, name: str, follows_corrupt_log: bool) -> OpenedLog:
    _remove_others(directory, name, None)
    folder_id = secrets.token_hex(FOLDER_ID_BYTES)
    data = slot_content(folder_id, FIRST_REWRITE_NUMBER, ())
    path = directory / name
    descriptor = create_file(path, data)
    writer = LogWriter(path, folder_id, FIRST_REWRITE_NUMBER, descriptor, len(data))
    return OpenedLog(folder_id, [], writer, True, follows_corrupt_log)


def _remove_others(directory: Path, name: str, except_path: Path | None) -> None:
    """Remove every file of the log but one, for good."""
    for file_name in (*slot_names(name), name + OLD_TEMPORARY_SUFFIX):
        path = directory / file_name
        if path != except_path and os.path.exists(path):
            remove_file(path)
