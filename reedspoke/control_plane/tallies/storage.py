"""The tallies' log in the data folder: opened, replayed and written on a separate thread."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from reedspoke.common.errors import ErrorCode
from reedspoke.common.json_log import INFO, log
from reedspoke.common.node_settings import NodeSettings
from reedspoke.control_plane.storage.durable_log import DurableLog
from reedspoke.control_plane.storage.job_thread import JobThread
from reedspoke.control_plane.storage.log_opening import OpenedLog
from reedspoke.control_plane.storage.log_slots import CONTROL_LOG_NAME, slot_names
from reedspoke.control_plane.tallies.events import StoreCompleted, StoreRecords
from reedspoke.control_plane.tallies.replica import TallyReplica
from reedspoke.control_plane.tallies.settings import TallySettings, max_ids

TALLY_LOG_NAME = "tallies.log"


class TallyStorage:
    """Owns the open log. `on_opened` receives the replica, `on_stored` the result of each store."""

    def __init__(
        self,
        settings: NodeSettings,
        incarnation: int,
        on_opened: Callable[[TallyReplica], None],
        on_stored: Callable[[StoreCompleted], None],
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._on_opened = on_opened
        self._on_stored = on_stored
        self._loop = asyncio.get_running_loop()
        directory = Path(settings.data_dir or "")
        # A control log without a tallies' log was left by a version without tallies; the disk was not lost.
        self._is_upgrade = any((directory / name).exists() for name in slot_names(CONTROL_LOG_NAME))
        self._log: DurableLog[TallyReplica] = DurableLog(
            directory, TALLY_LOG_NAME, JobThread("tallies"), self._thread_restore, self._opened
        )

    def open(self) -> None:
        """Open the log, retrying until it succeeds."""
        self._log.open()

    def store(self, effect: StoreRecords) -> None:
        """Append the records to the log, or replace its content by them."""

        def stored(error: ErrorCode | None) -> None:
            self._on_stored(StoreCompleted(effect.token, error))

        self._log.store(effect.records, effect.replace, stored)

    def _thread_restore(self, opened: OpenedLog) -> TallyReplica:
        """Replay the records. Called on the storage thread."""
        limits = self._settings.limits
        lost_state = opened.follows_corrupt_log or self._log.was_corrupt
        settings = TallySettings(
            folder_id=opened.folder_id,
            incarnation=self._incarnation,
            created=opened.created,
            bootstrap=(self._settings.bootstrap or self._is_upgrade) and not lost_state,
            machines_tolerated=self._settings.fault_tolerance.machines,
            max_ids=max_ids(limits.memory_mb, limits.disk_mb),
        )
        return TallyReplica(settings, opened.records, self._loop.time())

    def _opened(self, opened: OpenedLog, replica: TallyReplica) -> None:
        log(INFO, "tallies log opened", folder_id=opened.folder_id, created=opened.created)
        self._on_opened(replica)
