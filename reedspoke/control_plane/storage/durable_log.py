"""A log in the data folder and the state restored from it: opened, replayed and written on a thread.

A corrupt log is moved to quarantine, and the folder starts with an empty one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Generic, TypeVar

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.json_log import ERROR, log
from reedspoke.control_plane.storage.job_thread import JobThread
from reedspoke.control_plane.storage.log_opening import OpenedLog, open_log, quarantine_log

OPEN_RETRY_S = 0.5

State = TypeVar("State")
Value = TypeVar("Value")


class DurableLog(Generic[State]):
    """Owns the open log. Methods whose names begin with `_thread` run on the storage thread.

    `restore` builds the state from an opened log, on the storage thread. It raises FleetError STORAGE_CORRUPT
    if the records cannot be replayed. `on_opened` receives the log and the state, on the event loop.
    """

    def __init__(
        self,
        directory: Path,
        name: str,
        thread: JobThread,
        restore: Callable[[OpenedLog], State],
        on_opened: Callable[[OpenedLog, State], None],
    ) -> None:
        self.was_corrupt = False  # whether this process has found the log corrupt
        self._directory = directory
        self._name = name
        self._thread = thread
        self._restore = restore
        self._on_opened = on_opened
        self._loop = asyncio.get_running_loop()
        self._log: OpenedLog | None = None

    def open(self) -> None:
        """Open the log, retrying until it succeeds."""
        self._thread.add(self._thread_open)

    def store(
        self, records: Iterable[bytes], replace: bool, on_stored: Callable[[ErrorCode | None], None]
    ) -> None:
        """Append records and sync, or replace the log. Stores complete in the order of the calls."""
        self._thread.add(lambda: self._thread_store(records, replace, on_stored))

    # ---- on the storage thread ----

    def _thread_open(self) -> None:
        try:
            opened = open_log(self._directory, self._name)
            state = self._thread_restore(opened)
        except FleetError as error:
            self._loop.call_soon_threadsafe(self._open_failed, error)
            return
        self._loop.call_soon_threadsafe(self._opened, opened, state)

    def _thread_restore(self, opened: OpenedLog) -> State:
        """Replay the records, which takes long for a long log."""
        try:
            state = self._restore(opened)
        except FleetError:
            opened.writer.close()
            raise
        opened.records = []
        return state

    def _thread_quarantine(self) -> None:
        try:
            quarantine_log(self._directory, self._name)
        except OSError as error:
            failure = FleetError(ErrorCode.STORAGE_FAILED, str(error))
            self._loop.call_soon_threadsafe(self._open_failed, failure)
            return
        self._thread_open()

    def _thread_store(
        self, records: Iterable[bytes], replace: bool, on_stored: Callable[[ErrorCode | None], None]
    ) -> None:
        assert self._log is not None
        try:
            if replace:
                self._log.writer.rewrite(records)
            else:
                self._log.writer.append(records)
        except FleetError as error:
            self._loop.call_soon_threadsafe(on_stored, error.code)
            return
        self._loop.call_soon_threadsafe(on_stored, None)

    # ---- back on the event loop ----

    def _open_failed(self, error: FleetError) -> None:
        log(
            ERROR,
            "log in the data folder cannot be opened",
            log=self._name,
            code=int(error.code),
            message=error.message,
        )
        if error.code is ErrorCode.STORAGE_CORRUPT:
            self.was_corrupt = True
            self._thread.add(self._thread_quarantine)
        else:
            self._loop.call_later(OPEN_RETRY_S, self.open)

    def _opened(self, opened: OpenedLog, state: State) -> None:
        self._log = opened
        self._on_opened(opened, state)
