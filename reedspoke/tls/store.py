"""The folder of certificates: one file for each, written whole or not at all.

    NAME.pem        key, certificate and chain, 0600
    NAME.order      the order under way, 0600 (see reedspoke/acme/record.py)
    NAME.wanted     an operator asks for a renewal now; empty
    NAME.lock       held by the process that orders NAME; the system frees it where its owner dies
    account-A.json  the account at authority A, 0600
    A.rate          what authority A has told to wait for
    fence           the highest token of a holder that has written here, where one scheduler of a fleet orders
    challenge-HASH  the answer to an open challenge, for the fleet's other schedulers to give

A file is written beside its place, with fsync, and renamed: a kill between two writes leaves the old one.
"""

from __future__ import annotations

import fcntl
import os
import re
import stat
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from reedspoke.errors import ReedspokeError
from reedspoke.tls.certificate import MOST_BYTES, Pair, UnfitError, packed, unpacked

PATIENCE = 2.0  # s with another process that writes into a store shared by a fleet
PLAIN = re.compile(r"[a-z0-9][a-z0-9_.-]{0,80}")


class StoreError(ReedspokeError):
    """The store cannot be used as told; the text says why."""

    code = "store-unusable"
    remedy = "mend the folder's owner, mode (0700) or space"


class LateError(ReedspokeError, OSError):
    """A later holder of the duty has written here: nothing of ours may come behind it."""

    code = "store-taken-over"
    remedy = "nothing: a later holder of the duty writes there now"


class Store:
    """Raises StoreError where the folder cannot be made, or where others could read it."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            found = self.folder.stat()
        except OSError as error:
            raise StoreError(f"tls.store: {self.folder}: {error.strerror}") from None
        if not stat.S_ISDIR(found.st_mode):
            raise StoreError(f"tls.store: {self.folder} is no folder")
        if found.st_mode & 0o077:
            raise StoreError(f"tls.store: {self.folder} can be entered by others: its mode must be 0700")
        if found.st_uid != os.geteuid():
            raise StoreError(f"tls.store: {self.folder} belongs to another user")
        self.token = 0  # of the duty that this process writes by, 0: it writes as the only one

    @contextmanager
    def _fenced(self) -> Iterator[None]:
        """Guards what a fleet shares against a former holder's late writes. Raises LateError."""
        if not self.token:
            yield
            return
        fd = os.open(self.path("fence"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        try:
            self._hold_fence(fd)
            raw = os.read(fd, 64)
            highest = int(raw) if raw.strip().isdigit() else 0  # one that is spoilt is mended here
            if highest > self.token:
                raise LateError(0, f"a later holder has written here, token {highest} above {self.token}")
            if highest < self.token:
                # In place and of one length: no kill and no full disk leaves it without a token.
                os.pwrite(fd, b"%020d\n" % self.token, 0)
                os.fsync(fd)
            yield
        finally:
            os.close(fd)

    def _hold_fence(self, fd: int) -> None:
        """Guards our threads against a holder that was stopped in the middle of a write."""
        end = time.monotonic() + PATIENCE
        while True:
            try:
                fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return
            except BlockingIOError:
                if time.monotonic() >= end:
                    raise TimeoutError(0, "another process is in the middle of a write") from None
                time.sleep(0.02)

    def path(self, name: str) -> Path:
        if not PLAIN.fullmatch(name):
            raise StoreError(f"no name of a file: {name!r}")
        return self.folder / name

    def write(self, name: str, data: bytes) -> None:
        """Whole or not at all. Raises OSError; what was there before stays then."""
        with self._fenced():
            self._write(name, data)

    def _write(self, name: str, data: bytes) -> None:
        path = self.path(name)
        beside = path.with_name(f".{name}.{os.getpid()}.new")
        try:
            fd = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW, 0o600)
            try:
                os.fchmod(fd, 0o600)
                left = memoryview(data)
                while left:
                    left = left[os.write(fd, left) :]
                os.fsync(fd)
            finally:
                os.close(fd)
            os.rename(beside, path)
        except BaseException:
            with suppress(OSError):
                beside.unlink()
            raise
        self._sync()

    def _sync(self) -> None:
        """The rename itself, which lies in the folder."""
        with suppress(OSError):
            fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(fd)
            finally:
                os.close(fd)

    def read(self, name: str) -> bytes | None:
        """None where there is none. Raises UnfitError for what is no file of ours: a folder, a link, one that
        others can read, one too large; OSError where it cannot be read."""
        try:
            fd = os.open(self.path(name), os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK)
        except FileNotFoundError:
            return None
        try:
            found = os.fstat(fd)
            if not stat.S_ISREG(found.st_mode):
                raise UnfitError("it is no plain file")
            if found.st_mode & 0o077:
                raise UnfitError(f"others can read it: its mode is {found.st_mode & 0o777:04o}, not 0600")
            if found.st_size > MOST_BYTES:
                raise UnfitError("it is too large")
            with os.fdopen(fd, "rb", closefd=False) as file:
                return file.read()
        finally:
            os.close(fd)

    def remove(self, name: str) -> bool:
        try:
            self.path(name).unlink()
        except FileNotFoundError:
            return False
        self._sync()
        return True

    def withdraw(self, name: str) -> None:
        """What a fleet shares: also a removal must not come behind a later holder's write. Raises OSError."""
        with self._fenced():
            self.remove(name)

    def stamp(self, name: str) -> tuple[int, int]:
        """Changes whenever the file is replaced; (0, 0): there is none."""
        try:
            found = self.path(name).stat()
        except OSError:
            return 0, 0
        return found.st_ino, found.st_mtime_ns

    # ---- certificates ----

    def install(self, name: str, found: Pair) -> None:
        self.write(f"{name}.pem", packed(found))

    def load(self, name: str) -> Pair | None:
        """None where there is none. Raises UnfitError and OSError."""
        raw = self.read(f"{name}.pem")
        return unpacked(raw) if raw is not None else None

    # ---- one process at a time ----

    def lock(self, name: str) -> int | None:
        """A descriptor to be closed when done; None: another process holds it. Raises OSError."""
        fd = os.open(self.path(f"{name}.lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return None
        except OSError:
            os.close(fd)
            raise
        os.ftruncate(fd, 0)
        os.write(fd, b"%d\n" % os.getpid())
        return fd

    def owner(self, name: str) -> int:
        """The process that holds the lock, 0: nobody does."""
        with suppress(OSError, ValueError):
            fd = os.open(self.path(f"{name}.lock"), os.O_RDONLY | os.O_NOFOLLOW)
            try:
                fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
            except BlockingIOError:
                return int(os.read(fd, 32) or b"0")
            finally:
                os.close(fd)
        return 0
