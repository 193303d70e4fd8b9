"""Work in the background that has to go on as long as the process lives."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from reedspoke.common.unhandled_errors import unhandled_errors

PAUSE_S = 0.5  # before work that has failed begins again


async def keep_running(name: str, work: Callable[[], Awaitable[None]], pause_s: float = PAUSE_S) -> None:
    """Run `work` until it returns. After an unexpected error, logged and counted, it begins again."""
    while True:
        try:
            await work()
        except Exception as error:
            unhandled_errors.record(f"{name} has failed and begins again", error)
            await asyncio.sleep(pause_s)
        else:
            return
