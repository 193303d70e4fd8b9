"""The data folder of a replica: opened, replayed and written on a thread of its own.

A log that can't be read is put into quarantine, and the replica starts with an empty folder; it then has lost
its part of what the fleet has agreed on, and so takes no part in a first start.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from msgspec import Struct

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.json_log import ERROR, INFO, log
from reedspoke.common.node_settings import NodeSettings
from reedspoke.control_plane.replication.effects import StoreRecords
from reedspoke.control_plane.replication.events import StoreCompleted
from reedspoke.control_plane.replication.replica import Replica
from reedspoke.control_plane.replication.settings import ReplicaSettings
from reedspoke.control_plane.storage.job_thread import JobThread
from reedspoke.control_plane.storage.log_opening import OpenedLog, open_log, quarantine_log

OPEN_RETRY_S = 0.5
INCARNATION_BYTES = 16

Value = TypeVar("Value")


class RestoredReplica(Struct):
    """An open log and the replica that its records yield."""

    opened: OpenedLog
    replica: Replica


class ReplicaStorage:
    """Owns the open log. Methods whose names begin with `_thread` run on the storage thread.

    `on_opened` gets the replica once the folder is open, `on_stored` the end of each store; both are called
    on the event loop.
    """

    def __init__(
        self,
        settings: NodeSettings,
        own_address: str,
        thread: JobThread,
        on_opened: Callable[[Replica], None],
        on_stored: Callable[[StoreCompleted], None],
    ) -> None:
        self._settings = settings
        self._own_address = own_address
        self._directory = Path(settings.data_dir or "")
        self._bootstrap = settings.bootstrap
        self._loop = asyncio.get_running_loop()
        self._thread = thread
        self._on_opened = on_opened
        self._on_stored = on_stored
        self._log: OpenedLog | None = None

    def open(self) -> None:
        """Open the data folder, again and again until it succeeds."""
        self._thread.add(self._thread_open)

    def store(self, effect: StoreRecords) -> None:
        """Write to the log; stores end in the order in which they were begun."""
        self._thread.add(lambda: self._thread_store(effect))

    # ---- on the storage thread ----

    def _thread_open(self) -> None:
        try:
            restored = self._thread_restore(open_log(self._directory))
        except FleetError as error:
            self._call_on_loop(self._open_failed, error)
            return
        self._call_on_loop(self._opened, restored)

    def _thread_restore(self, opened: OpenedLog) -> RestoredReplica:
        """Replay the records; this takes long for a long log."""
        settings = ReplicaSettings(
            folder_id=opened.folder_id,
            address=self._own_address,
            zone=self._settings.zone,
            seeds=self._settings.seed_addresses(),
            bootstrap=self._bootstrap and not opened.succeeds_corrupt,
            machines_tolerated=self._settings.fault_tolerance.machines,
        )
        incarnation = os.urandom(INCARNATION_BYTES).hex()
        try:
            replica = Replica(settings, opened.records, self._loop.time(), incarnation)
        except FleetError:
            opened.writer.close()
            raise
        opened.records = []
        return RestoredReplica(opened, replica)

    def _thread_quarantine(self) -> None:
        try:
            quarantine_log(self._directory)
        except OSError as error:
            failure = FleetError(ErrorCode.STORAGE_FAILED, str(error))
            self._call_on_loop(self._open_failed, failure)
            return
        self._thread_open()

    def _thread_store(self, effect: StoreRecords) -> None:
        assert self._log is not None
        try:
            if effect.replace:
                self._log.writer.rewrite(effect.records)
            else:
                self._log.writer.append(effect.records)
        except FleetError as error:
            self._call_on_loop(self._on_stored, StoreCompleted(effect.token, error.code))
            return
        self._call_on_loop(self._on_stored, StoreCompleted(effect.token))

    def _call_on_loop(self, function: Callable[[Value], None], value: Value) -> None:
        self._loop.call_soon_threadsafe(function, value)

    # ---- back on the event loop ----

    def _open_failed(self, error: FleetError) -> None:
        log(ERROR, "data folder cannot be opened", code=int(error.code), message=error.message)
        if error.code is ErrorCode.STORAGE_CORRUPT:
            self._bootstrap = False  # this folder has lost its part of what the fleet agreed on
            self._thread.add(self._thread_quarantine)
        else:
            self._loop.call_later(OPEN_RETRY_S, self.open)

    def _opened(self, restored: RestoredReplica) -> None:
        opened = self._log = restored.opened
        log(INFO, "data folder open", folder_id=opened.folder_id, created=opened.created)
        self._on_opened(restored.replica)
