"""A timer for a time limit on somebody's answer, fair to answers that came while this process stood still.

A process that is stopped, or whose share of a processor is spent, finds the answer and the end of the time
limit at once when it goes on. The event loop runs timers that are due before what the bytes of a connection
set off in tasks and queues, so the timer gives way to that for a few passes of the loop.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

PASSES_WHEN_LATE = 8  # of the event loop: from bytes on a connection to the task that waits for them
LATE_S = 0.02  # a loop that is busy, and has not stood still, runs its timers sooner than this


class StallTolerantTimer:
    """Calls `callback` at `when` on the loop's clock, once."""

    def __init__(self, loop: asyncio.AbstractEventLoop, when: float, callback: Callable[[], None]) -> None:
        self._loop = loop
        self._when = when
        self._callback = callback
        self._passes = 0
        self._handle: asyncio.Handle = loop.call_at(when, self._due)

    def cancel(self) -> None:
        """It is not to ring any more."""
        self._handle.cancel()

    def _due(self) -> None:
        is_late = self._loop.time() - self._when > LATE_S
        self._passes = PASSES_WHEN_LATE if is_late else 0
        self._ring()

    def _ring(self) -> None:
        if self._passes:
            self._passes -= 1
            self._handle = self._loop.call_soon(self._ring)
        else:
            self._callback()
