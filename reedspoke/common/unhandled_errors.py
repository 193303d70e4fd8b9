"""Errors that no code handles: each is one line of the log, and counted. They end no process."""

from __future__ import annotations

import asyncio
import logging
import os
import sys
import traceback
from typing import Any

from reedspoke.common.json_log import ERROR, WARNING, log

UNHANDLED_EVENT = "unhandled error"
LIBRARY_EVENT = "library message"
MOST_FRAMES = 6


class UnhandledErrors:
    """Of one process."""

    def __init__(self) -> None:
        self.count = 0

    def record(self, message: str, error: BaseException | None, **facts: object) -> None:
        """Write and count one."""
        self.count += 1
        log(ERROR, UNHANDLED_EVENT, message=message, error=repr(error), frames=frames_of(error), **facts)

    def handle(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """As the exception handler of an event loop.

        A cancellation is none: until Python 3.12 the callback of `asyncio.start_server` raises it where the
        task of a connection was cancelled, as at the end of a process.
        """
        error = context.get("exception")
        if not isinstance(error, asyncio.CancelledError):
            self.record(str(context.get("message", "")), error)


class LibraryHandler(logging.Handler):
    """Messages of libraries, asyncio's above all, as lines of the log."""

    def emit(self, record: logging.LogRecord) -> None:
        log(WARNING, LIBRARY_EVENT, library=record.name, message=record.getMessage())


def frames_of(error: BaseException | None) -> list[str]:
    """Where an error came from: the innermost frames, outermost first."""
    if error is None:
        return []
    frames = traceback.extract_tb(error.__traceback__)[-MOST_FRAMES:]
    return [f"{frame.filename.rpartition('/')[2]}:{frame.lineno} {frame.name}" for frame in frames]


def end_process(status: int) -> None:
    """End at once: the platform starts the process again."""
    sys.stderr.flush()
    os._exit(status)


unhandled_errors = UnhandledErrors()  # of this process


def handle_all_errors() -> None:
    """From now on each unhandled error of this event loop, and each library message, is a line of the log."""
    asyncio.get_running_loop().set_exception_handler(unhandled_errors.handle)
    if not logging.getLogger().handlers:
        logging.getLogger().addHandler(LibraryHandler(logging.WARNING))
