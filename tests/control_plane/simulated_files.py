"""A simulated file system that replaces `os` in the modules of the log.

Its calls are numbered, and power may be lost at each of them.

Synced data survives a power loss. Each write to a file after its last sync is kept, lost or torn,
independently of the others. Each name that was created, renamed or removed after the last sync of the folder
has either its old or its new state, independently of the others.
"""

from __future__ import annotations

import errno
import itertools
import os
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from reedspoke.control_plane.storage import log_opening, log_writer, synced_files
from reedspoke.control_plane.storage.log_format import BATCH_COPIES, SINGLE_COPY_HEADER, encode_batch

FOLDER = Path("/data")
TORN_PARTS = 20  # the parts into which a torn write is divided


class PowerLost(BaseException):
    """Power is lost at a numbered call; later operations do not happen."""


@dataclass(frozen=True)
class Write:
    """Bytes written at an offset."""

    offset: int
    data: bytes

    def outcomes(self, torn_parts: int) -> list[list[Change]]:
        """The possible effects of this write after a power loss, the first two being all and nothing."""
        size = len(self.data)
        cuts = range(1, size, max(1, size // torn_parts))
        beginnings: list[list[Change]] = [[self._part(0, cut)] for cut in cuts]
        ends: list[list[Change]] = [[self._part(cut, size)] for cut in cuts]
        holes: list[list[Change]] = [
            [self._part(0, one), self._part(other, size)] for one, other in itertools.pairwise(cuts)
        ]
        every_second: list[Change] = [
            self._part(one, other) for one, other in itertools.pairwise([0, *cuts, size])
        ]
        return [[self], [], *beginnings, *ends, *holes, every_second[::2], every_second[1::2]]

    def _part(self, start: int, end: int) -> Write:
        return Write(self.offset + start, self.data[start:end])


@dataclass(frozen=True)
class Truncate:
    """A truncation, or an extension, of a file to a length."""

    length: int

    def outcomes(self, _: int) -> list[list[Change]]:
        """All possible effects after a power loss."""
        return [[self], []]


Change = Write | Truncate


class Inode:
    """A file: its synced content, the changes since, and the content that a reader sees."""

    def __init__(self, content: bytes = b"") -> None:
        self.synced = bytearray(content)
        self.content = bytearray(content)
        self.changes: list[Change] = []
        # The changes since the first failed sync. Those of a failed sync (False) may be on the disk or not:
        # readers see them, but no later sync writes them.
        self.since_failed_sync: list[tuple[Change, bool]] = []

    def change(self, change: Change) -> None:
        """Apply a write or a truncation, without a sync."""
        _apply(self.content, change)
        self.changes.append(change)

    def sync(self) -> None:
        """Sync the changes, except those of an earlier failed sync."""
        for change in self.changes:
            if self.since_failed_sync:
                self.since_failed_sync.append((change, True))
            else:
                _apply(self.synced, change)
        self.changes.clear()

    def sync_failed(self) -> None:
        """Let a sync fail: the system then treats the unsynced changes as written."""
        self.since_failed_sync += [(change, False) for change in self.changes]
        self.changes.clear()

    def after_power_loss(self, torn_parts: int) -> set[bytes]:
        """All contents that a power loss may leave."""
        since_failed_sync: list[list[list[Change]]] = [
            [[change]] if synced else [[change], []] for change, synced in self.since_failed_sync
        ]
        kept = itertools.product(
            *since_failed_sync, *(change.outcomes(torn_parts) for change in self.changes)
        )
        return {self._synced_with(itertools.chain(*choice)) for choice in kept}

    def _synced_with(self, changes: Iterable[Change]) -> bytes:
        content = bytearray(self.synced)
        for change in changes:
            _apply(content, change)
        return bytes(content)


@dataclass
class Descriptor:
    """An open file or folder."""

    inode: Inode | None  # None for the folder
    position: int = 0


class SimulatedFiles:
    """One folder. Calls that change or sync something are numbered.

    The calls with numbers in `failing_calls` fail with `error`. Power is lost at the call `lose_power_at`.
    """

    O_RDWR, O_CREAT, O_TRUNC, O_RDONLY = os.O_RDWR, os.O_CREAT, os.O_TRUNC, os.O_RDONLY
    SEEK_SET = os.SEEK_SET

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        inodes = {name: Inode(content) for name, content in (files or {}).items()}
        self.synced_names = dict(inodes)
        self.names = inodes
        self.calls = 0
        self.failing_calls = range(0)
        self.error = errno.EIO
        self.lose_power_at = 0
        self.max_bytes = 0
        self.path = self
        self._descriptors: dict[int, Descriptor] = {}
        self._next_descriptor = itertools.count(3)

    # ---- what the modules of the log use of `os` ----

    def makedirs(self, path: Path, exist_ok: bool) -> None:
        """Do nothing, as the folder always exists."""
        assert path == FOLDER
        assert exist_ok

    def exists(self, path: Path) -> bool:
        """Whether a file exists."""
        return path.name in self.names

    def open(self, path: Path, flags: int, mode: int = 0) -> int:
        """Open a file or the folder."""
        descriptor = next(self._next_descriptor)
        if path == FOLDER:
            self._descriptors[descriptor] = Descriptor(None)
            return descriptor
        if flags & os.O_CREAT:
            self._count()
            inode = self.names.setdefault(path.name, Inode())
            if inode.content:
                inode.change(Truncate(0))
        if path.name not in self.names:
            raise FileNotFoundError(errno.ENOENT, "no such file")
        self._descriptors[descriptor] = Descriptor(self.names[path.name])
        return descriptor

    def close(self, descriptor: int) -> None:
        """Close a descriptor."""
        del self._descriptors[descriptor]

    def fstat(self, descriptor: int) -> os.stat_result:
        """Return a result of which only the size is set."""
        size = len(self._inode(descriptor).content)
        return os.stat_result((0, 0, 0, 0, 0, 0, size, 0, 0, 0))

    def read(self, descriptor: int, size: int) -> bytes:
        """Read from the current position."""
        opened = self._descriptors[descriptor]
        data = self._inode(descriptor).content[opened.position : opened.position + size]
        opened.position += len(data)
        return bytes(data)

    def lseek(self, descriptor: int, offset: int, whence: int) -> int:
        """Set the position."""
        assert whence == os.SEEK_SET
        self._descriptors[descriptor].position = offset
        return offset

    def write(self, descriptor: int, data: bytes | memoryview) -> int:
        """Write all data; a write that fails writes half of it."""
        opened = self._descriptors[descriptor]
        inode = self._inode(descriptor)
        half = Write(opened.position, bytes(data[: len(data) // 2]))
        whole = Write(opened.position, bytes(data))
        self._count(inode, half, whole)
        inode.change(whole)
        opened.position += len(data)
        self.max_bytes = max(self.max_bytes, sum(len(other.content) for other in self.names.values()))
        return len(data)

    def ftruncate(self, descriptor: int, length: int) -> None:
        """Set the length of a file."""
        inode = self._inode(descriptor)
        self._count(inode, Truncate(length), Truncate(length))
        inode.change(Truncate(length))

    def fsync(self, descriptor: int) -> None:
        """Sync a file or the folder; a sync that fails has no effect."""
        inode = self._descriptors[descriptor].inode
        try:
            self._count()
        except OSError:
            if inode is not None:
                inode.sync_failed()
            raise
        if inode is None:
            self.synced_names = dict(self.names)
        else:
            inode.sync()

    def unlink(self, path: Path) -> None:
        """Remove a name."""
        if path.name not in self.names:
            raise FileNotFoundError(errno.ENOENT, "no such file")
        self._count()
        del self.names[path.name]

    def replace(self, source: Path, target: Path) -> None:
        """Rename a file, replacing the target."""
        self._count()
        self.names[target.name] = self.names.pop(source.name)

    # ---- what tests use ----

    def after_power_loss(self, torn_parts: int = TORN_PARTS) -> Iterator[dict[str, bytes]]:
        """All states of the folder that a power loss may leave."""
        names = sorted({*self.names, *self.synced_names})
        choices = [_entries(self.synced_names.get(name), self.names.get(name)) for name in names]
        for entries in itertools.product(*choices):
            held = {name: inode for name, inode in zip(names, entries, strict=True) if inode}
            contents = [sorted(inode.after_power_loss(torn_parts)) for inode in held.values()]
            for content in itertools.product(*contents):
                yield dict(zip(held, content, strict=True))

    def after_kill(self) -> dict[str, bytes]:
        """The folder as the next process finds it after this one was killed."""
        return {name: bytes(inode.content) for name, inode in self.names.items()}

    def _inode(self, descriptor: int) -> Inode:
        inode = self._descriptors[descriptor].inode
        assert inode is not None
        return inode

    def _count(
        self, inode: Inode | None = None, half: Change | None = None, whole: Change | None = None
    ) -> None:
        """Number a call that changes or syncs something.

        A call at which power is lost leaves `whole` as an unsynced change; a call that fails leaves `half`.
        """
        self.calls += 1
        if self.calls == self.lose_power_at:
            if inode is not None and whole is not None:
                inode.change(whole)
            raise PowerLost
        if self.calls in self.failing_calls:
            if inode is not None and half is not None:
                inode.change(half)
            raise OSError(self.error, os.strerror(self.error))


def _entries(before: Inode | None, after: Inode | None) -> list[Inode | None]:
    return [after] if before is after else [before, after]


def _apply(content: bytearray, change: Change) -> None:
    if isinstance(change, Truncate):
        del content[change.length :]
        content.extend(bytes(max(0, change.length - len(content))))
    else:
        content.extend(bytes(max(0, change.offset - len(content))))
        content[change.offset : change.offset + len(change.data)] = change.data


def single_copies(*batches: list[bytes]) -> bytes:
    """The content of a file of the older format, with one copy of each batch."""
    copies = [encode_batch(batch) for batch in batches]
    return SINGLE_COPY_HEADER + b"".join(both[: len(both) // BATCH_COPIES] for both in copies)


def use(monkeypatch: pytest.MonkeyPatch, files: SimulatedFiles) -> SimulatedFiles:
    """Make the modules of the log use this file system."""
    for module in (log_opening, log_writer, synced_files):
        monkeypatch.setattr(module, "os", files)
    return files
