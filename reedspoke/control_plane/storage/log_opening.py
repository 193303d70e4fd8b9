"""Opens a log in the data folder. The log is in one of two files, its slots (see `log_writer`).

The log holds a random id of the folder; `log_format` describes the bytes. Data that was never synced may be
torn or missing after a power loss; it is cut off. Synced data is either read or reported as corrupt, and
never silently dropped: if a replica lost an entry that it has acknowledged, the replication chain could lose
a committed change.
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
    """An opened log: the id of its folder, its records, and the writer that continues it.

    `created` is set if the log did not exist before, `follows_corrupt_log` if the folder contains an earlier
    log of this name that was renamed as corrupt (`quarantine_log`).
    """

    folder_id: str
    records: list[bytes]
    writer: LogWriter
    created: bool
    follows_corrupt_log: bool = False


class _Slot(Struct):
    """A slot whose first batch is valid. `log_format.LogContent` explains its fields."""

    path: Path
    content: SlotContent
    good_length: int
    last_batch_start: int
    last_batch: bytes  # the bytes from `last_batch_start` to `good_length`
    has_unsynced_end: bool  # whether bytes follow `good_length`
    damaged: bool


def open_log(directory: Path, name: str = CONTROL_LOG_NAME) -> OpenedLog:
    """Open or create a log in a data folder. All returned records are synced, in two copies.

    An incomplete batch at the end, which was never synced, is cut off. Raises FleetError STORAGE_CORRUPT if a
    valid batch follows an invalid one or the first batch lacks the folder id or the rewrite number, and
    STORAGE_FULL or STORAGE_FAILED if a file operation fails.
    """
    try:
        return _open_or_create(directory, name)
    except OSError as error:
        raise storage_error(error) from error


def quarantine_log(directory: Path, name: str = CONTROL_LOG_NAME) -> Path:
    """Rename a corrupt log so that the folder starts with a new one. Only the newest corrupt log is kept."""
    corrupt = directory / (name + CORRUPT_SUFFIX)
    for slot in slot_names(name):
        if os.path.exists(directory / slot):
            os.replace(directory / slot, corrupt)
    sync_directory(directory)
    return corrupt


def _open_or_create(directory: Path, name: str) -> OpenedLog:
    os.makedirs(directory, exist_ok=True)
    follows_corrupt_log = os.path.exists(directory / (name + CORRUPT_SUFFIX))
    slots = [
        slot for slot_name in slot_names(name) if (slot := _read_slot(directory / slot_name)) is not None
    ]
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
    """The temporary file of a rewrite in the older format, if it is complete.

    It is left if a power loss undid part of its rename.
    """
    slot = _read_slot(directory / (name + OLD_TEMPORARY_SUFFIX))
    return [] if slot is None else [slot]


def _writer_of(slot: _Slot) -> LogWriter:
    content = slot.content
    descriptor = os.open(slot.path, os.O_RDWR)
    writer = LogWriter(slot.path, content.folder_id, content.rewrite_number, descriptor, slot.good_length)
    try:
        if slot.has_unsynced_end:
            os.ftruncate(descriptor, slot.good_length)
        # After a failed sync, here or in an earlier process, these bytes may exist only in the page cache. A
        # later sync covers them only if they are written again.
        write_at(descriptor, slot.last_batch, slot.last_batch_start)
        os.fsync(descriptor)
        sync_directory(slot.path.parent)
        if slot.damaged:  # The rewritten log has two valid copies of each batch again.
            writer.rewrite(content.records)
    except (OSError, FleetError):
        writer.close()
        raise
    return writer


def _read_slot(path: Path) -> _Slot | None:
    """Read a slot; None if the file does not exist or its first batch is incomplete."""
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
        last_batch_start=read.last_batch_start,
        last_batch=content[read.last_batch_start : read.good_length],
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
    """Remove all files of the log except one, and sync the removal."""
    for file_name in (*slot_names(name), name + OLD_TEMPORARY_SUFFIX):
        path = directory / file_name
        if path != except_path and os.path.exists(path):
            remove_file(path)
