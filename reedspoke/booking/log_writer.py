"""The replicated log's storage in the running program: changes go to disk before messages leave."""

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
    """Owns the log's store. The write blocks the event loop: nothing may be sent before it is done anyway."""

    def __init__(self, runtime: Runtime, store: LogStore, replicated_log: ReplicatedLog) -> None:
        self.runtime, self.store, self.replicated_log = runtime, store, replicated_log

    def effects(self) -> dict[type, Callable[[Any], None]]:
        """Return the handlers of the effects that this extension carries out."""
        return {StoreLogChanges: self._save}

    def open(self) -> None:
        """Restore what was stored."""
        if summary := self.store.load(self.replicated_log):
            log.info("%s", summary)

    def reload(self) -> None:
        """Do nothing: the directory is the one of the start."""

    def close(self) -> None:
        """Close the files."""
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
