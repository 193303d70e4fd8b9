"""A thread for blocking jobs, so that a slow disk or a large document does not block the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from queue import SimpleQueue
from threading import Thread
from typing import TypeVar

Value = TypeVar("Value")
Job = Callable[[], None]


class JobThread:
    """Runs jobs in the order in which they were added; results are delivered on the event loop."""

    def __init__(self, name: str) -> None:
        self._loop = asyncio.get_running_loop()
        self._jobs: SimpleQueue[Job] = SimpleQueue()
        self._thread = Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def add(self, job: Job) -> None:
        """Queue a job; it must not raise."""
        self._jobs.put(job)

    def call(self, function: Callable[[], Value]) -> asyncio.Future[Value]:
        """Queue a function. The future gets its result or its exception."""
        future: asyncio.Future[Value] = self._loop.create_future()

        def job() -> None:
            try:
                value = function()
            except Exception as error:  # raised where the future is awaited
                self._loop.call_soon_threadsafe(_fail, future, error)
            else:
                self._loop.call_soon_threadsafe(_resolve, future, value)

        self.add(job)
        return future

    def _run(self) -> None:
        while True:
            self._jobs.get()()


def _resolve(future: asyncio.Future[Value], value: Value) -> None:
    if not future.done():
        future.set_result(value)


def _fail(future: asyncio.Future[Value], error: Exception) -> None:
    if not future.done():
        future.set_exception(error)
