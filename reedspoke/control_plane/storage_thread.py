"""The one thread that writes to the disk, so that a slow disk holds up nothing else."""

from __future__ import annotations

from collections.abc import Callable
from queue import SimpleQueue
from threading import Thread

Job = Callable[[], None]


class StorageThread:
    """Runs jobs one after another, in the order in which they were added."""

    def __init__(self) -> None:
        self._jobs: SimpleQueue[Job] = SimpleQueue()
        self._thread = Thread(target=self._run, name="storage", daemon=True)
        self._thread.start()

    def add(self, job: Job) -> None:
        """Queue a job; it must not raise."""
        self._jobs.put(job)

    def _run(self) -> None:
        while True:
            self._jobs.get()()
