"""Background work that has to run as long as the process: it is restarted after an unexpected error."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from reedspoke.common.unhandled_errors import unhandled_errors

RESTART_BACKOFF_S = 0.5


async def keep_running(
    name: str, work: Callable[[], Awaitable[None]], backoff_s: float = RESTART_BACKOFF_S
) -> None:
    """Run `work` until it returns. After an unexpected error, logged and counted, it is started again.

    A cancellation ends it, as it ends any other task.
    """
    while True:
        try:
            await work()
        except Exception as error:
            unhandled_errors.record(f"{name} has failed and begins again", error)
            await asyncio.sleep(backoff_s)
        else:
            return
