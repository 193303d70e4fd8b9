"""The data folder of a replica: opened, replayed and written on a separate thread.

A log that cannot be read is quarantined, and the replica starts with an empty folder. As it may have lost
votes and entries, it takes no part in a first start.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path

from reedspoke.common.errors import ErrorCode
from reedspoke.common.json_log import INFO, log
from reedspoke.common.node_settings import NodeSettings
from reedspoke.control_plane.replication.effects import StoreRecords
from reedspoke.control_plane.replication.events import StoreCompleted
from reedspoke.control_plane.replication.replica import Replica
from reedspoke.control_plane.replication.settings import ReplicaSettings
from reedspoke.control_plane.storage.durable_log import DurableLog
from reedspoke.control_plane.storage.job_thread import JobThread
from reedspoke.control_plane.storage.log_opening import OpenedLog
from reedspoke.control_plane.storage.log_slots import CONTROL_LOG_NAME

INCARNATION_BYTES = 16


class ReplicaStorage:
    """Owns the log of the replica. `_thread_restore` runs on the storage thread.

    `on_opened` is called with the replica once the folder is open, `on_stored` with the result of each store;
    both are called on the event loop.
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
        self._loop = asyncio.get_running_loop()
        self._on_opened = on_opened
        self._on_stored = on_stored
        directory = Path(settings.data_dir or "")
        self._log = DurableLog(directory, CONTROL_LOG_NAME, thread, self._thread_restore, self._opened)

    def open(self) -> None:
        """Open the data folder; retried until it succeeds."""
        self._log.open()

    def store(self, effect: StoreRecords) -> None:
        """Write to the log; stores end in the order in which they were started."""

        def stored(error: ErrorCode | None) -> None:
            self._on_stored(StoreCompleted(effect.token, error))

        self._log.store(effect.records, effect.replace, stored)

    def _thread_restore(self, opened: OpenedLog) -> Replica:
        # A folder whose log was corrupt may have lost votes and entries.
        lost_state = opened.follows_corrupt_log or self._log.was_corrupt
        settings = ReplicaSettings(
            folder_id=opened.folder_id,
            address=self._own_address,
            zone=self._settings.zone,
            seeds=self._settings.seed_addresses(),
            bootstrap=self._settings.bootstrap and not lost_state,
            machines_tolerated=self._settings.fault_tolerance.machines,
        )
        incarnation = os.urandom(INCARNATION_BYTES).hex()
        return Replica(settings, opened.records, self._loop.time(), incarnation)

    def _opened(self, opened: OpenedLog, replica: Replica) -> None:
        log(INFO, "data folder open", folder_id=opened.folder_id, created=opened.created)
        self._on_opened(replica)
