"""State shared by two processes of one scheduler while one replaces the other, and their inherited listener.

The files in `$TMPDIR`, each replaced atomically by a rename:
- reedspoke-orders: the orders of operators; changed under a lock and read by each process.
- reedspoke-process-TOKEN: the resources that one process uses of the limits that apply to both together.
- reedspoke-locks: never written; byte ranges of it are locked, one for each process and one for each open
  authorisation. The system releases them when the process ends, so nothing waits for a dead process.
Without a folder a process shares nothing and keeps the orders in memory.
"""

from __future__ import annotations

import fcntl
import hashlib
import logging
import os
import secrets
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import msgspec

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.runtime import Runtime

log = logging.getLogger("reedspoke")

ORDERS_FILE = "reedspoke-orders"
PROCESS_FILE_PREFIX = "reedspoke-process-"
LOCKS_FILE = "reedspoke-locks"
MAX_FILE_BYTES = 1024 * 1024
# Offsets in the lock file from here on are authorisations, those below are processes.
AUTHORISATION_LOCKS = 1 << 61


class Orders(msgspec.Struct, forbid_unknown_fields=True):
    """The format of the file with the orders of operators."""

    name: str  # of the scheduler
    version: int
    suspended: dict[str, tuple[str, int]]
    drained: bool


class ProcessHoldings(msgspec.Struct, forbid_unknown_fields=True):
    """The format of the file with the resources that one process uses."""

    name: str
    leaving: bool
    descriptors: int
    slots: dict[str, int]  # at each issuer host
    learned: api.LearnedState


def inherited_listener(number: int) -> socket.socket:
    """Return the listening socket that the platform owns. Raises OSError if it does not listen.

    Another process uses it as well, so it is not bound, set to listen or shut down here.
    """
    listener = socket.socket(fileno=os.dup(number))
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listener.close()
        raise OSError(f"PROXY_FD {number} is not a listening socket")
    listener.setblocking(False)
    return listener


def lock_offset(name: str) -> int:
    """The offset in the lock file that stands for a name."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big") >> 4


class Handover:
    """Shares orders, resource use and open authorisations with the other process of this scheduler."""

    def __init__(self, runtime: Runtime, name: str, folder: Path | None) -> None:
        self.runtime, self.name, self.folder = runtime, name, folder
        self._orders = Orders(name, 0, {}, False)
        self._orders_stat: tuple[int, ...] = ()  # identity of the orders file at the last check
        self._reported: set[str] = set()  # files that have been logged as unusable
        self._partners: list[fx.SiblingProcess] = []
        self._locks = -1
        self._token = secrets.token_hex(8)
        if folder is not None:
            try:
                self._locks = os.open(folder / LOCKS_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
                self._lock(lock_offset(self._token))
            except OSError as error:  # the folder is not writable: this process serves without sharing
                log.error("handover: nothing is shared with another process: %s", error)
                self.folder = None

    def effects(self) -> dict[type, Callable[[Any], None]]:
        """The handlers of the effects that this part executes."""
        return {
            fx.RecordOrder: self._record,
            fx.ReadSharedState: self._look,
            fx.PublishUsage: self._hold,
            fx.ReleaseRequestId: self._unclaim,
        }

    # ---- locks ----

    def _lock(self, offset: int) -> bool:
        try:
            fcntl.lockf(self._locks, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, offset)
        except (BlockingIOError, PermissionError):
            return False
        return True

    def claim(self, name: str) -> bool:
        """Claim an id. Returns False if an authorisation with this id is open in the other process."""
        return self._locks < 0 or self._lock(AUTHORISATION_LOCKS | lock_offset(name))

    def _unclaim(self, effect: fx.ReleaseRequestId) -> None:
        if self._locks >= 0:
            fcntl.lockf(self._locks, fcntl.LOCK_UN, 1, AUTHORISATION_LOCKS | lock_offset(effect.name))

    # ---- files ----

    def _replace(self, path: Path, data: bytes) -> None:
        temporary = path.with_name(f"{path.name}.{self._token}")
        try:
            temporary.write_bytes(data)
            temporary.replace(path)
        except OSError:
            with suppress(OSError):
                temporary.unlink()
            raise

    def _skip(self, path: Path, why: object) -> None:
        """Log an unusable file, but only once, so that it does not flood the log."""
        if path.name not in self._reported:
            self._reported.add(path.name)
            log.warning("handover: %s is unusable and skipped: %s", path.name, why)

    def _read_orders(self) -> Orders | None:
        """Read the orders file. Returns None if it is missing, damaged, outdated or of another scheduler."""
        assert self.folder is not None
        path = self.folder / ORDERS_FILE
        try:
            with path.open("rb") as file:
                orders = msgspec.json.decode(file.read(MAX_FILE_BYTES), type=Orders)
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:  # msgspec's errors are ValueErrors as well
            self._skip(path, error)
            return None
        if orders.name != self.name:
            self._skip(path, f"it belongs to {orders.name!r}")
        elif orders.version < self._orders.version:
            self._skip(
                path, f"version {orders.version} is older than {self._orders.version}, which is in force"
            )
        else:
            self._reported.discard(path.name)
            return orders
        return None

    # ---- orders ----

    @contextmanager
    def _exclusive(self) -> Iterator[None]:
        """Lock the orders. Raises BlockingIOError if another process is changing them."""
        assert self.folder is not None
        lock = os.open(self.folder / f"{ORDERS_FILE}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            yield
        finally:
            os.close(lock)

    def _record(self, effect: fx.RecordOrder) -> None:
        """Change the orders for both processes."""
        try:
            if self.folder is None:
                self._orders = self._changed(self._orders, effect)
            else:
                with self._exclusive():
                    orders = self._changed(self._read_orders() or self._orders, effect)
                    self._replace(self.folder / ORDERS_FILE, msgspec.json.encode(orders))
                    self._orders = orders
        except BlockingIOError:  # the other process is changing them, which takes only moments
            self.runtime.emit(fx.OrderNotRecorded(effect, again=True))
        except OSError as error:
            log.error("handover: orders cannot be stored: %s", error)
            self.runtime.emit(fx.OrderNotRecorded(effect, again=False))
        else:
            self.runtime.emit(
                fx.OrdersRecorded(dict(self._orders.suspended), self._orders.drained, effect.caller)
            )

    def _changed(self, old: Orders, effect: fx.RecordOrder) -> Orders:
        suspended, drained = dict(old.suspended), old.drained
        match effect.command:
            case fx.OperatorCommand.SUSPEND:
                suspended.setdefault(effect.host, effect.endpoint)
            case fx.OperatorCommand.RESUME:
                suspended.pop(effect.host, None)
            case fx.OperatorCommand.DRAIN:
                drained = True
            case fx.OperatorCommand.ACTIVATE:
                drained = False
        if (suspended, drained) == (old.suspended, old.drained):
            return old
        return Orders(self.name, old.version + 1, suspended, drained)

    def _look(self, _: fx.ReadSharedState) -> None:
        if self.folder is None:
            return
        seen: tuple[int, ...] = ()
        with suppress(OSError):
            info = os.stat(self.folder / ORDERS_FILE)
            seen = (info.st_ino, info.st_mtime_ns, info.st_size)
        if seen != self._orders_stat:
            self._orders_stat = seen
            if seen and (orders := self._read_orders()) is not None and orders != self._orders:
                self._orders = orders
                self.runtime.emit(fx.OrdersRecorded(dict(orders.suspended), orders.drained))
        partners = list(self._others())
        if partners != self._partners:
            self._partners = partners
            self.runtime.emit(fx.SiblingsReported(tuple(partners)))

    # ---- the other process ----

    def _hold(self, effect: fx.PublishUsage) -> None:
        if self.folder is None:
            return
        state = ProcessHoldings(self.name, effect.leaving, effect.descriptors, effect.slots, effect.learned)
        try:
            self._replace(self.folder / (PROCESS_FILE_PREFIX + self._token), msgspec.json.encode(state))
        except OSError as error:
            self._skip(self.folder / PROCESS_FILE_PREFIX, error)

    def _others(self) -> Iterator[fx.SiblingProcess]:
        """The other live processes of this scheduler. Files of dead processes are removed."""
        assert self.folder is not None
        try:
            names = sorted(name for name in os.listdir(self.folder) if name.startswith(PROCESS_FILE_PREFIX))
        except OSError:
            return
        for name in names:
            token, path = name.removeprefix(PROCESS_FILE_PREFIX), self.folder / name
            if token == self._token or "." in token:
                continue
            if self._lock(lock_offset(token)):
                fcntl.lockf(self._locks, fcntl.LOCK_UN, 1, lock_offset(token))
                with suppress(OSError):
                    path.unlink()
                continue
            try:
                state = msgspec.json.decode(path.read_bytes()[:MAX_FILE_BYTES], type=ProcessHoldings)
            except FileNotFoundError:
                continue
            except (OSError, ValueError) as error:
                self._skip(path, error)
                continue
            if state.name == self.name:
                yield fx.SiblingProcess(state.leaving, state.descriptors, state.slots, state.learned)

    def close(self) -> None:
        """Remove the file of this process and release its locks."""
        if self.folder is not None:
            with suppress(OSError):
                (self.folder / (PROCESS_FILE_PREFIX + self._token)).unlink()
            os.close(self._locks)
            self.folder, self._locks = None, -1
