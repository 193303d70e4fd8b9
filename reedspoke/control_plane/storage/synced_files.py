"""File operations of the log that outlast a loss of power, but for `write_at`, which the caller syncs.

A created or removed name is synced with its folder: a sync of the file alone does not persist its name.
"""

from __future__ import annotations

import contextlib
import errno
import os
from pathlib import Path

from reedspoke.common.errors import ErrorCode, FleetError

FILE_MODE = 0o644


def create_file(path: Path, data: bytes) -> int:
    """Create a file and return its descriptor; the content and the name are synced."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, FILE_MODE)
    try:
        write_at(descriptor, data, 0)
        os.fsync(descriptor)
        sync_directory(path.parent)
    except OSError:
        os.close(descriptor)
        raise
    return descriptor


def read_file(path: Path) -> bytes:
    """The whole content of a file."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        chunks = []
        while chunk := os.read(descriptor, max(os.fstat(descriptor).st_size, 1)):
            chunks.append(chunk)
    finally:
        os.close(descriptor)
    return b"".join(chunks)


def write_at(descriptor: int, data: bytes, offset: int) -> None:
    """Write all of the data at this offset; it is not synced yet."""
    os.lseek(descriptor, offset, os.SEEK_SET)
    remaining = memoryview(data)
    while remaining:
        written = os.write(descriptor, remaining)
        remaining = remaining[written:]


def sync_directory(directory: Path) -> None:
    """Sync the names in a folder."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def remove_file(path: Path) -> None:
    """Remove a file, if there is one, for good."""
    with contextlib.suppress(FileNotFoundError):
        os.unlink(path)
    sync_directory(path.parent)


def storage_error(error: OSError) -> FleetError:
    """STORAGE_FULL where the disk has no space left, STORAGE_FAILED for any other error."""
    full = error.errno in (errno.ENOSPC, errno.EDQUOT)
    code = ErrorCode.STORAGE_FULL if full else ErrorCode.STORAGE_FAILED
    return FleetError(code, f"The disk refuses: {error.strerror or error}.")
