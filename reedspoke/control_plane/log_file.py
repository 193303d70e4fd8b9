"""Append-only file of checksummed records in the data folder, with the folder's own random id.

Layout: a header, then batches of length (4 bytes), CRC-32 (4 bytes) and body; a body is records, each after
its length. What one call appends is one batch, so a batch is whole or absent. The first record is the folder
id.
"""

from __future__ import annotations

import errno
import os
import secrets
import struct
import zlib
from collections.abc import Iterable
from pathlib import Path

from msgspec import Struct

from reedspoke.cluster.errors import ErrorCode, FleetError

LOG_NAME = "control.log"
TEMPORARY_NAME = "control.log.new"
ASIDE_NAME = "control.log.corrupt"
HEADER = b"RSCTLOG1"
FOLDER_ID_BYTES = 8
MAX_BATCH_BYTES = 64 * 1024 * 1024
_BATCH_PREFIX = struct.Struct(">II")
_RECORD_PREFIX = struct.Struct(">I")


class LogWriter:
    """Appends and rewrites; each returns only when the bytes are synced. Used by one thread at a time."""

    def __init__(self, directory: Path, folder_id: str, descriptor: int, length: int) -> None:
        self.directory = directory
        self.folder_id = folder_id
        self._descriptor = descriptor
        self._length = length
        self._tail_dirty = False
        self._directory_dirty = False

    @property
    def length(self) -> int:
        """Bytes of the file that are known to be good."""
        return self._length

    def append(self, records: Iterable[bytes]) -> None:
        """Append and sync. Raises FleetError STORAGE_FULL or STORAGE_FAILED; the file then ends as before."""
        data = _batch(records)
        try:
            self._mend()
            self._tail_dirty = True
            _write_at(self._descriptor, data, self._length)
            os.fsync(self._descriptor)
        except OSError as error:
            self._try_to_mend()
            raise _storage_error(error) from error
        self._tail_dirty = False
        self._length += len(data)

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Replace the file by one that holds these records alone. Raises as `append`."""
        data = _file_content(self.folder_id, records)
        temporary = self.directory / TEMPORARY_NAME
        try:
            descriptor = _create(temporary, data)
            self._replace_by(temporary, descriptor, len(data))
            self._sync_directory()
        except OSError as error:
            _remove_quietly(temporary)
            raise _storage_error(error) from error

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def _replace_by(self, temporary: Path, descriptor: int, length: int) -> None:
        try:
            os.replace(temporary, self.directory / LOG_NAME)
        except OSError:
            os.close(descriptor)
            raise
        os.close(self._descriptor)
        self._descriptor = descriptor
        self._length = length
        self._tail_dirty = False
        self._directory_dirty = True

    def _mend(self) -> None:
        """Finish what an earlier failure left: a name that is not synced, bytes after the last good batch."""
        if self._directory_dirty:
            self._sync_directory()
        if self._tail_dirty:
            os.ftruncate(self._descriptor, self._length)
            os.fsync(self._descriptor)
            self._tail_dirty = False

    def _try_to_mend(self) -> None:
        try:
            self._mend()
        except OSError:
            return  # the next append tries this first, and fails with it

    def _sync_directory(self) -> None:
        _sync_directory(self.directory)
        self._directory_dirty = False


class OpenedLog(Struct):
    """What the folder held when it was opened: its id, the records after it, and the writer that goes on."""

    folder_id: str
    records: list[bytes]
    writer: LogWriter
    created: bool


def open_log(directory: Path) -> OpenedLog:
    """Open or make the log of a data folder.

    A torn end is cut back to the last good batch. Raises FleetError STORAGE_CORRUPT where a good batch
    follows a bad one or the header is wrong, and STORAGE_FULL or STORAGE_FAILED where the disk refuses.
    """
    try:
        return _open_or_create(directory)
    except OSError as error:
        raise _storage_error(error) from error


def set_aside(directory: Path) -> Path:
    """Rename a corrupt log so that the folder starts anew; only the newest such file is kept."""
    aside = directory / ASIDE_NAME
    os.replace(directory / LOG_NAME, aside)
    _sync_directory(directory)
    return aside


def read_records(content: bytes) -> tuple[list[bytes], int]:
    """The good records of a file's content and the length up to which it is good."""
    if not content.startswith(HEADER):
        return _without_header(content)
    records: list[bytes] = []
    position = len(HEADER)
    while (body := _batch_at(content, position)) is not None:
        records += _records_of(body)
        position += _BATCH_PREFIX.size + len(body)
    if _good_batch_after(content, position):
        raise FleetError(ErrorCode.STORAGE_CORRUPT, "A bad record is followed by good ones.")
    return records, position


def _open_or_create(directory: Path) -> OpenedLog:
    directory.mkdir(parents=True, exist_ok=True)
    _remove_quietly(directory / TEMPORARY_NAME)
    path = directory / LOG_NAME
    content = path.read_bytes() if path.exists() else b""
    records, good_length = read_records(content)
    if not records:
        return _create_log(directory, path)
    folder_id = _folder_id_of(records[0])
    descriptor = os.open(path, os.O_RDWR)
    if good_length < len(content):
        os.ftruncate(descriptor, good_length)
    os.fsync(descriptor)
    writer = LogWriter(directory, folder_id, descriptor, good_length)
    return OpenedLog(folder_id, records[1:], writer, created=False)


def _create_log(directory: Path, path: Path) -> OpenedLog:
    folder_id = secrets.token_hex(FOLDER_ID_BYTES)
    data = _file_content(folder_id, ())
    descriptor = _create(path, data)
    _sync_directory(directory)
    return OpenedLog(folder_id, [], LogWriter(directory, folder_id, descriptor, len(data)), created=True)


def _without_header(content: bytes) -> tuple[list[bytes], int]:
    """A file whose first write was torn holds no good batch; any other file without header is corrupt."""
    if _batch_at(content, len(HEADER)) is not None or _good_batch_after(content, len(HEADER)):
        raise FleetError(ErrorCode.STORAGE_CORRUPT, "The header of the log is bad.")
    return [], 0


def _batch_at(content: bytes, position: int) -> bytes | None:
    start = position + _BATCH_PREFIX.size
    if start > len(content):
        return None
    length, checksum = _BATCH_PREFIX.unpack_from(content, position)
    if length == 0 or length > MAX_BATCH_BYTES or start + length > len(content):
        return None
    body = content[start : start + length]
    return body if zlib.crc32(body) == checksum else None


def _good_batch_after(content: bytes, position: int) -> bool:
    """Whether a good batch follows the bad one at `position`, by the length that the bad one tells."""
    if position + _BATCH_PREFIX.size > len(content):
        return False
    length, _ = _BATCH_PREFIX.unpack_from(content, position)
    if length == 0:
        return False
    return _batch_at(content, position + _BATCH_PREFIX.size + length) is not None


def _records_of(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        (length,) = _RECORD_PREFIX.unpack_from(body, position)
        position += _RECORD_PREFIX.size
        records.append(body[position : position + length])
        position += length
    return records


def _batch(records: Iterable[bytes]) -> bytes:
    body = b"".join(_RECORD_PREFIX.pack(len(record)) + record for record in records)
    return _BATCH_PREFIX.pack(len(body), zlib.crc32(body)) + body


def _file_content(folder_id: str, records: Iterable[bytes]) -> bytes:
    batches = [_batch([folder_id.encode()])]
    batches += [_batch([record]) for record in records]
    return HEADER + b"".join(batches)


def _folder_id_of(record: bytes) -> str:
    try:
        folder_id = record.decode("ascii")
        bytes.fromhex(folder_id)
    except ValueError as error:
        raise FleetError(ErrorCode.STORAGE_CORRUPT, "The log does not begin with a folder id.") from error
    return folder_id


def _create(path: Path, data: bytes) -> int:
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        _write_at(descriptor, data, 0)
        os.fsync(descriptor)
    except OSError:
        os.close(descriptor)
        raise
    return descriptor


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


def _remove_quietly(path: Path) -> None:
    try:
        path.unlink(missing_ok=True)
    except OSError:
        return  # the next rewrite truncates it


def _storage_error(error: OSError) -> FleetError:
    full = error.errno in (errno.ENOSPC, errno.EDQUOT)
    code = ErrorCode.STORAGE_FULL if full else ErrorCode.STORAGE_FAILED
    return FleetError(code, f"The disk refuses: {error.strerror or error}.")
