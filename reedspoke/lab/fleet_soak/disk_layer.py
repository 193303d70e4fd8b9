"""Stands in for the disk of a control scheduler's process: troubles, and what a loss of power would leave.

The functions of `os` that the log uses are wrapped. Each sync copies what it covers into a second folder; a
loss of power puts that folder's files in place of the real ones (`power_loss.py`). A kill in the middle of a
sync leaves a part of it there, as a torn write would.
"""

from __future__ import annotations

import errno
import os
import stat
import time
from pathlib import Path
from typing import Any

from msgspec import Struct, field

SLOW_S = 0.15  # that each call of a slow disk takes
LOOK_S = 0.02
NONE, FULL, SLOW, STALL = "none", "full", "slow", "stall"


class OpenFile(Struct):
    """A descriptor of a file in the data folder, and the extents that no sync has covered yet."""

    path: Path
    extents: list[tuple[int, int]] = field(default_factory=list)  # offset and length


class DiskLayer:
    """Wraps `os` for the files below `folder`; `trouble_file` names the trouble of the moment."""

    def __init__(self, folder: Path, synced: Path, trouble_file: Path) -> None:
        self._folder = folder
        self._synced = synced
        self._trouble_file = trouble_file
        self._files: dict[int, OpenFile] = {}
        self._removed: set[Path] = set()  # names whose removal no sync of the folder has covered
        self._open, self._write, self._fsync = os.open, os.write, os.fsync
        self._close, self._unlink = os.close, os.unlink

    def install(self) -> None:
        """Wrap the functions."""
        os.open = self.open
        os.write = self.write
        os.fsync = self.fsync  # type: ignore[assignment]
        os.close = self.close  # type: ignore[assignment]
        os.unlink = self.unlink

    def open(self, path: Any, flags: int, mode: int = 0o777, **others: Any) -> int:
        """As `os.open`."""
        descriptor = self._open(path, flags, mode, **others)
        if isinstance(path, str | os.PathLike) and Path(path).parent == self._folder:
            self._files[descriptor] = OpenFile(Path(path))
            self._removed.discard(Path(path))
        return descriptor

    def write(self, descriptor: int, data: Any) -> int:
        """As `os.write`, on the disk as it is now."""
        opened = self._files.get(descriptor)
        if opened is None:
            return self._write(descriptor, data)
        self._suffer(refuse=True)
        offset = os.lseek(descriptor, 0, os.SEEK_CUR)
        count = self._write(descriptor, data)
        opened.extents.append((offset, count))
        return count

    def fsync(self, descriptor: int) -> None:
        """As `os.fsync`; what it covers is copied to the synced folder before it returns."""
        opened = self._files.get(descriptor)
        self._suffer(refuse=False)
        self._fsync(descriptor)
        if opened is not None:
            self._copy(descriptor, opened)
        elif stat.S_ISDIR(os.fstat(descriptor).st_mode):
            for path in self._removed:
                (self._synced / path.name).unlink(missing_ok=True)
            self._removed.clear()

    def close(self, descriptor: int) -> None:
        """As `os.close`."""
        self._files.pop(descriptor, None)
        self._close(descriptor)

    def unlink(self, path: Any, **others: Any) -> None:
        """As `os.unlink`."""
        self._unlink(path, **others)
        if Path(path).parent == self._folder:
            self._removed.add(Path(path))

    def _copy(self, descriptor: int, opened: OpenFile) -> None:
        target = self._open(self._synced / opened.path.name, os.O_RDWR | os.O_CREAT, 0o644)
        for offset, length in opened.extents:
            os.pwrite(target, os.pread(descriptor, length, offset), offset)
        os.ftruncate(target, os.fstat(descriptor).st_size)
        opened.extents.clear()
        self._close(target)

    def _suffer(self, *, refuse: bool) -> None:
        trouble = self._trouble()
        if trouble == FULL and refuse:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if trouble == SLOW:
            time.sleep(SLOW_S)
        while self._trouble() == STALL:
            time.sleep(LOOK_S)

    def _trouble(self) -> str:
        try:
            return self._trouble_file.read_text()
        except OSError:
            return NONE
