"""Whether a file has changed since it was read."""

from __future__ import annotations

from pathlib import Path

from msgspec import Struct


class FileStamp(Struct, frozen=True):
    """What tells that a file has changed."""

    modified_ns: int
    size: int
    inode: int


def stamp_of(path: Path) -> FileStamp | None:
    """The stamp of a file; None where there is none."""
    try:
        found = path.stat()
    except OSError:
        return None
    return FileStamp(found.st_mtime_ns, found.st_size, found.st_ino)
