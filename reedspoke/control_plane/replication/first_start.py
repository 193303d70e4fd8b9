"""A replica's part in the first start of the system, and the seeds that the settings name.

The first view has no previous view whose voters could decide it, so the seeds decide it. A folder takes part
only if its log says so, and the log says so only if the folder was created at the first start. So a seed that
loses its disk later returns without a vote on the first view, and cannot help to decide a second one.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.log_records import BootstrapRecord, RestoredState
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import ReplicaSettings
from reedspoke.control_plane.views.agreement import ViewAgreement


class FirstStart:
    """Owns the seeds in the log (`stored_seeds`) and those of the settings (`configured_seeds`).

    `on_stored` is called once the log says that this folder takes part in the first start.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        outbox: Outbox,
        agreement: ViewAgreement,
        restored: RestoredState,
        on_stored: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._outbox = outbox
        self._agreement = agreement
        self._on_stored = on_stored
        self._store_ended = False
        self.configured_seeds = settings.seeds
        self.stored_seeds = restored.seeds

    @property
    def is_participant(self) -> bool:
        """Whether the log says that this folder was created at the first start."""
        return bool(self.stored_seeds)

    def records(self) -> list[Struct]:
        """Record of the part in the first start, for a rewritten log."""
        return [BootstrapRecord(self.stored_seeds)] if self.is_participant else []

    def begin(self) -> None:
        """Take part if the settings say that this is the first start, and this replica is a seed."""
        if not self._settings.bootstrap or self.is_participant:
            return
        if self._settings.address in self.configured_seeds:
            self._store(self.configured_seeds)

    def retry(self) -> None:
        """Begin again after a failed store, once the disk works."""
        if self._store_ended and not self._outbox.disk_failed:
            self.begin()

    def _store(self, seeds: tuple[str, ...]) -> None:
        """Store the seeds; this replica votes on the first view only after that."""
        self._store_ended = False

        def on_end(error: ErrorCode | None) -> None:
            self._store_ended = True
            if error is None:
                self.stored_seeds = seeds
                self._agreement.set_first_acceptors(seeds)
                self._on_stored()

        self._outbox.store([BootstrapRecord(seeds)], on_end)
