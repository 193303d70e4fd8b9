"""File operations whose effect survives a power loss, except `write_at`, after which the caller syncs.

Creating or removing a file includes a sync of its folder: a sync of the file does not persist its name.
"""

from __future__ import annotations

import contextlib
import errno
import os
from pathlib import Path

from reedspoke.common.errors import ErrorCode, FleetError

FILE_MODE = 0o644


def create_file(path: Path, data: bytes) -> int:
    """Create a file, sync its content and its name, and return its descriptor."""
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
    """Read the whole content of a file."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        chunks = []
        while chunk := os.read(descriptor, max(os.fstat(descriptor).st_size, 1)):
            chunks.append(chunk)
    finally:
        os.close(descriptor)
    return b"".join(chunks)


def write_at(descriptor: int, data: bytes, offset: int) -> None:
    """Write all data at this offset, without a sync."""
    os.lseek(descriptor, offset, os.SEEK_SET)
    remaining = memoryview(data)
    while remaining:
        written = os.write(descriptor, remaining)
        remaining = remaining[written:]


def sync_directory(directory: Path) -> None:
    """Sync a folder, that is, the names of its files."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def remove_file(path: Path) -> None:
    """Remove a file, if it exists, and sync the removal."""
    with contextlib.suppress(FileNotFoundError):
        os.unlink(path)
    sync_directory(path.parent)


def storage_error(error: OSError) -> FleetError:
    """Convert an OSError to STORAGE_FULL if the disk or the quota is full, else to STORAGE_FAILED."""
    full = error.errno in (errno.ENOSPC, errno.EDQUOT)
    code = ErrorCode.STORAGE_FULL if full else ErrorCode.STORAGE_FAILED
    return FleetError(code, f"A file operation in the data folder failed: {error.strerror or error}.")
