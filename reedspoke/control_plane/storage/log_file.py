"""The append-only log in the data folder, with the folder's own random id; see `log_format` for its bytes.

The log stands in one of two files, its slots. The first batch of a slot holds the folder id, the number of
the rewriting, and all records that the log then had. A rewriting writes the other slot, syncs it and its
name, and then removes the slot that was in use; nothing is appended before that removal is synced. So no
name ever changes its content by a rename, and of two slots with a good first batch the higher number holds
all that was synced.
"""

from __future__ import annotations

import contextlib
import errno
import os
import secrets
from collections.abc import Iterable, Sequence
from pathlib import Path

from msgspec import Struct

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.storage.log_format import HEADER, LogContent, encode_batch, read_content

LOG_NAME = "control.log"
OTHER_SLOT_NAME = "control.log.2"
SLOT_NAMES = (LOG_NAME, OTHER_SLOT_NAME)
OLD_TEMPORARY_NAME = "control.log.new"  # left by rewritings of files with single copies
CORRUPT_LOG_NAME = "control.log.corrupt"
FOLDER_ID_BYTES = 8
FIRST_REWRITING = 1


class LogWriter:
    """Appends and rewrites; each returns only when the bytes are synced. Used by one thread at a time.

    After an error the next call first removes what the failed one left, and fails where it cannot.
    """

    def __init__(self, path: Path, folder_id: str, rewriting: int, descriptor: int, length: int) -> None:
        self.folder_id = folder_id
        self._path = path
        self._rewriting = rewriting
        self._descriptor = descriptor
        self._length = length
        self._tail_dirty = False
        self._stale_slot: Path | None = None

    @property
    def path(self) -> Path:
        """The slot in use."""
        return self._path

    @property
    def length(self) -> int:
        """Bytes of the file that are known to be good."""
        return self._length

    def append(self, records: Iterable[bytes]) -> None:
        """Append and sync. Raises FleetError STORAGE_FULL or STORAGE_FAILED; the file then ends as before."""
        data = encode_batch(records)
        try:
            self._clean_up()
            self._tail_dirty = True
            _write_at(self._descriptor, data, self._length)
            os.fsync(self._descriptor)
        except OSError as error:
            self._try_to_clean_up()
            raise _storage_error(error) from error
        self._tail_dirty = False
        self._length += len(data)

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Replace the log by one that holds these records alone. Raises as `append`; it then is as before."""
        data = _slot_content(self.folder_id, self._rewriting + 1, records)
        target = _other_slot(self._path)
        try:
            self._remove_stale_slot()
            self._stale_slot = target
            descriptor = _create(target, data)
        except OSError as error:
            self._try_to_clean_up()
            raise _storage_error(error) from error
        self._switch(target, descriptor, len(data))
        self._try_to_clean_up()

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def _switch(self, target: Path, descriptor: int, length: int) -> None:
        os.close(self._descriptor)
        self._stale_slot = self._path
        self._path = target
        self._rewriting += 1
        self._descriptor = descriptor
        self._length = length
        self._tail_dirty = False

    def _clean_up(self) -> None:
        self._remove_stale_slot()
        if self._tail_dirty:
            os.ftruncate(self._descriptor, self._length)
            os.fsync(self._descriptor)
            self._tail_dirty = False

    def _remove_stale_slot(self) -> None:
        if self._stale_slot is not None:
            _remove(self._stale_slot)
            self._stale_slot = None

    def _try_to_clean_up(self) -> None:
        try:
            self._clean_up()
        except OSError:
            return  # the next call tries this first, and fails with it


class OpenedLog(Struct):
    """What the folder held when it was opened: its id, the records after it, and the writer that goes on.

    `succeeds_corrupt` is set where an earlier log of this folder has been set aside.
    """

    folder_id: str
    records: list[bytes]
    writer: LogWriter
    created: bool
    succeeds_corrupt: bool = False


class _Slot(Struct):
    """A slot whose first batch is good."""

    path: Path
    folder_id: str
    rewriting: int
    records: list[bytes]
    good_length: int
    last_start: int
    last_batch: bytes  # from `last_start` on
    torn: bool
    damaged: bool


def open_log(directory: Path) -> OpenedLog:
    """Open or make the log of a data folder; all that it returns is synced, and stands twice.

    What was never synced is cut back to the last batch. Raises FleetError STORAGE_CORRUPT where a good batch
    follows a bad one or the header is wrong, and STORAGE_FULL or STORAGE_FAILED where the disk refuses.
    """
    try:
        return _open_or_create(directory)
    except OSError as error:
        raise _storage_error(error) from error


def quarantine_log(directory: Path) -> Path:
    """Rename a corrupt log so that the folder starts anew; only the newest such file is kept."""
    aside = directory / CORRUPT_LOG_NAME
    for name in SLOT_NAMES:
        if os.path.exists(directory / name):
            os.replace(directory / name, aside)
    _sync_directory(directory)
    return aside


def _open_or_create(directory: Path) -> OpenedLog:
    os.makedirs(directory, exist_ok=True)
    succeeds_corrupt = os.path.exists(directory / CORRUPT_LOG_NAME)
    slots = [slot for name in SLOT_NAMES if (slot := _read_slot(directory / name)) is not None]
    if not slots:
        slots = _old_temporary(directory)
    if not slots:
        return _create_log(directory, succeeds_corrupt)
    newest = max(slots, key=lambda slot: slot.rewriting)
    _remove_others(directory, newest.path)
    writer = _writer_of(newest)
    return OpenedLog(newest.folder_id, newest.records, writer, False, succeeds_corrupt)


def _old_temporary(directory: Path) -> list[_Slot]:
    """A whole rewritten file of the old format whose rename was kept only in part by a loss of power."""
    slot = _read_slot(directory / OLD_TEMPORARY_NAME)
    return [] if slot is None else [slot]


def _writer_of(slot: _Slot) -> LogWriter:
    descriptor = os.open(slot.path, os.O_RDWR)
    writer = LogWriter(slot.path, slot.folder_id, slot.rewriting, descriptor, slot.good_length)
    try:
        if slot.torn:
            os.ftruncate(descriptor, slot.good_length)
        # A sync that failed before, here or in an earlier process, may have left these bytes in memory alone:
        # the next one says nothing of them unless they are written again.
        _write_at(descriptor, slot.last_batch, slot.last_start)
        os.fsync(descriptor)
        _sync_directory(slot.path.parent)
        if slot.damaged:
            writer.rewrite(slot.records)
    except (OSError, FleetError):
        writer.close()
        raise
    return writer


def _read_slot(path: Path) -> _Slot | None:
    """A slot; None where there is none, or its first write was torn."""
    if not os.path.exists(path):
        return None
    content = _read(path)
    read = read_content(content)
    if not read.batches:
        return None
    folder_id, rewriting, records = _parts(read)
    torn = read.good_length < len(content)
    last_batch = content[read.last_start : read.good_length]
    return _Slot(
        path, folder_id, rewriting, records, read.good_length, read.last_start, last_batch, torn, read.damaged
    )


def _parts(read: LogContent) -> tuple[str, int, list[bytes]]:
    """Folder id, number of the rewriting, and records."""
    first, *others = read.batches
    records = [record for batch in others for record in batch]
    if read.single_copies:
        return _folder_id_of(first), 0, first[1:] + records
    return _folder_id_of(first), _number_of(first), first[2:] + records


def _create_log(directory: Path, succeeds_corrupt: bool) -> OpenedLog:
    _remove_others(directory, None)
    folder_id = secrets.token_hex(FOLDER_ID_BYTES)
    data = _slot_content(folder_id, FIRST_REWRITING, ())
    path = directory / LOG_NAME
    descriptor = _create(path, data)
    writer = LogWriter(path, folder_id, FIRST_REWRITING, descriptor, len(data))
    return OpenedLog(folder_id, [], writer, True, succeeds_corrupt)


def _slot_content(folder_id: str, rewriting: int, records: Iterable[bytes]) -> bytes:
    return HEADER + encode_batch([folder_id.encode(), str(rewriting).encode(), *records])


def _folder_id_of(first: Sequence[bytes]) -> str:
    try:
        folder_id = first[0].decode("ascii")
        bytes.fromhex(folder_id)
    except (ValueError, IndexError) as error:
        raise FleetError(ErrorCode.STORAGE_CORRUPT, "The log does not begin with a folder id.") from error
    return folder_id


def _number_of(first: Sequence[bytes]) -> int:
    try:
        return int(first[1])
    except (ValueError, IndexError) as error:
        raise FleetError(ErrorCode.STORAGE_CORRUPT, "The log does not tell its rewriting.") from error


def _other_slot(path: Path) -> Path:
    return path.with_name(LOG_NAME if path.name == OTHER_SLOT_NAME else OTHER_SLOT_NAME)


def _create(path: Path, data: bytes) -> int:
    """Make a file; it and its name are synced."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        _write_at(descriptor, data, 0)
        os.fsync(descriptor)
        _sync_directory(path.parent)
    except OSError:
        os.close(descriptor)
        raise
    return descriptor


def _read(path: Path) -> bytes:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        parts = []
        while part := os.read(descriptor, max(os.fstat(descriptor).st_size, 1)):
            parts.append(part)
    finally:
        os.close(descriptor)
    return b"".join(parts)


def _write_at(descriptor: int, data: bytes, offset: int) -> None:
    os.lseek(descriptor, offset, os.SEEK_SET)
    remaining = memoryview(data)
    while remaining:
        written = os.write(descriptor, remaining)
        remaining = remaining[written:]


def _sync_directory(directory: Path) -> None:
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _remove_others(directory: Path, kept: Path | None) -> None:
    """Remove every file of the log but one, for good."""
    for name in (*SLOT_NAMES, OLD_TEMPORARY_NAME):
        path = directory / name
        if path != kept and os.path.exists(path):
            _remove(path)


def _remove(path: Path) -> None:
    with contextlib.suppress(FileNotFoundError):
        os.unlink(path)
    _sync_directory(path.parent)


def _storage_error(error: OSError) -> FleetError:
    full = error.errno in (errno.ENOSPC, errno.EDQUOT)
    code = ErrorCode.STORAGE_FULL if full else ErrorCode.STORAGE_FAILED
    return FleetError(code, f"The disk refuses: {error.strerror or error}.")
