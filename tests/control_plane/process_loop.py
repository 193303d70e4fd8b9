"""An event loop for one simulated process, so that coroutines of the program run in virtual time.

It implements the part of a loop that `asyncio` tasks, futures, events and time-outs use, without I/O.
"""

from __future__ import annotations

import asyncio
from asyncio import events
from collections.abc import Callable, Coroutine
from contextvars import Context
from typing import Any, cast

from tests.control_plane.simulated_parts import VirtualTime


class ProcessLoop:
    """Runs callbacks at their times on the process's clock, which is `skew + rate * virtual time`.

    While the process is frozen callbacks wait; once it has ended they are dropped.
    """

    def __init__(self, virtual_time: VirtualTime, skew: float = 0.0, rate: float = 1.0) -> None:
        self._virtual_time = virtual_time
        self._skew = skew
        self._rate = rate
        self._frozen = False
        self.ended = False
        self._loop = cast(asyncio.AbstractEventLoop, self)
        self._held_up: list[events.Handle] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    # ---- for the simulation ----

    def run(self, callback: Callable[..., object], *arguments: object) -> None:
        """Run a callback in this process now, or once it continues."""
        self._run(events.Handle(callback, arguments, self._loop))

    def freeze(self) -> None:
        """The process is stopped."""
        self._frozen = True

    def thaw(self) -> None:
        """The process continues."""
        self._frozen = False
        held_up, self._held_up = self._held_up, []
        for handle in held_up:
            self._run(handle)

    def end(self) -> None:
        """The process ends with all its tasks."""
        self.ended = True
        self._held_up.clear()
        for task in self._tasks:
            task._log_destroy_pending = False  # type: ignore[attr-defined]
        self._tasks.clear()

    def _run(self, handle: events.Handle) -> None:
        if self.ended or handle.cancelled():
            return
        if self._frozen:
            self._held_up.append(handle)
            return
        before = events._get_running_loop()
        events._set_running_loop(self._loop)
        try:
            handle._run()
        finally:
            events._set_running_loop(before)

    # ---- for asyncio ----

    def time(self) -> float:
        """As in `AbstractEventLoop`."""
        return self._skew + self._virtual_time.now * self._rate

    def call_soon(
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> events.Handle:
        """As in `AbstractEventLoop`."""
        handle = events.Handle(callback, args, self._loop, context)
        if not self.ended:
            self._virtual_time.at(self._virtual_time.now, lambda: self._run(handle))
        return handle

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """As in `AbstractEventLoop`."""
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """As in `AbstractEventLoop`."""
        handle = asyncio.TimerHandle(when, callback, args, self._loop, context)
        due = max(self._virtual_time.now, (when - self._skew) / self._rate)
        if not self.ended:
            self._virtual_time.at(due, lambda: self._run(handle))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Do nothing, as a cancelled handle is skipped when it is due."""

    def create_future(self) -> asyncio.Future[Any]:
        """As in `AbstractEventLoop`."""
        return asyncio.Future(loop=self._loop)

    def create_task(self, coro: Coroutine[Any, Any, Any], **options: Any) -> asyncio.Task[Any]:
        """As in `AbstractEventLoop`."""
        task = asyncio.Task(coro, loop=self._loop, name=options.get("name"))
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            raise error

    def get_debug(self) -> bool:
        """As in `AbstractEventLoop`."""
        return False

    def is_running(self) -> bool:
        """As in `AbstractEventLoop`."""
        return True

    def is_closed(self) -> bool:
        """As in `AbstractEventLoop`."""
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Raise the exception; pending tasks at the end of a simulation are no error."""
        if "exception" in context:
            raise context["exception"]
