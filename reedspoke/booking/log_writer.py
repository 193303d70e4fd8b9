"""Persists the replicated log of reservations: changes reach the disk before dependent messages are sent."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from reedspoke.fleet.events import LogChangesStored, LogStoreFailed, StoreLogChanges
from reedspoke.fleet.replicated_log.log_store import LogStore, LogStoreError
from reedspoke.fleet.replicated_log.replicated_log import ReplicatedLog
from reedspoke.net.runtime import Runtime

log = logging.getLogger("reedspoke")


class LogWriter:
    """Runtime extension that owns the log's store.

    A write blocks the event loop, since no message may be sent until it has completed anyway.
    """

    def __init__(self, runtime: Runtime, store: LogStore, replicated_log: ReplicatedLog) -> None:
        self.runtime, self.store, self.replicated_log = runtime, store, replicated_log

    def effects(self) -> dict[type, Callable[[Any], None]]:
        """Return the handlers of the effects that this extension executes."""
        return {StoreLogChanges: self._save}

    def open(self) -> None:
        """Restore the replicated log from disk."""
        if summary := self.store.load(self.replicated_log):
            log.info("%s", summary)

    def reload(self) -> None:
        """Do nothing: the storage directory cannot change at run time."""

    def close(self) -> None:
        """Close the files of the store."""
        self.store.close()

    def _save(self, effect: StoreLogChanges) -> None:
        try:
            self.store.save(list(effect.changes), self.replicated_log)
        except LogStoreError as error:
            log.error(
                "replicated log: storage failed, this voter acknowledges nothing until a restart: %s",
                error,
                extra=error.fields(),
            )
            self.runtime.emit(LogStoreFailed())
        else:
            self.runtime.emit(LogChangesStored(effect.deferred_sends))
