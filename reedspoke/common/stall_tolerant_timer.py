"""A timer for the timeout of a request, fair to responses that arrived while this process was stalled.

A process that is stopped, or throttled by its CPU quota, finds the response and the timeout due at once when
it resumes. The event loop runs timers that are due before the tasks that the bytes of a connection wake, so
the timer yields to those for a few iterations of the loop.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

YIELDS_WHEN_LATE = 8  # iterations of the loop from bytes on a connection to the task that waits for them
LATE_S = 0.02  # a loop that is busy, and was not stalled, runs its timers sooner than this


class StallTolerantTimer:
    """Calls `callback` at `when` on the loop's clock, once."""

    def __init__(self, loop: asyncio.AbstractEventLoop, when: float, callback: Callable[[], None]) -> None:
        self._loop = loop
        self._when = when
        self._callback = callback
        self._remaining_yields = 0
        self._handle: asyncio.Handle = loop.call_at(when, self._due)

    def cancel(self) -> None:
        """Do not call `callback` any more."""
        self._handle.cancel()

    def _due(self) -> None:
        is_late = self._loop.time() - self._when > LATE_S
        self._remaining_yields = YIELDS_WHEN_LATE if is_late else 0
        self._fire_after_yields()

    def _fire_after_yields(self) -> None:
        if self._remaining_yields:
            self._remaining_yields -= 1
            self._handle = self._loop.call_soon(self._fire_after_yields)
        else:
            self._callback()
