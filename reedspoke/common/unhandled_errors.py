"""Unhandled errors: each is one line of the log, and counted. They end no process.

The module owns the counter of this process, `unhandled_errors`.
"""

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
MAX_LOGGED_FRAMES = 6


class UnhandledErrors:
    """The counter and log of one process's unhandled errors."""

    def __init__(self) -> None:
        self.count = 0

    def record(self, message: str, error: BaseException | None, **facts: object) -> None:
        """Log and count an error; `message` says what failed, `facts` are further fields of the line."""
        self.count += 1
        log(ERROR, UNHANDLED_EVENT, message=message, error=repr(error), frames=frames_of(error), **facts)

    def handle(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """The exception handler of an event loop.

        A cancellation is no error: until Python 3.12 the callback of `asyncio.start_server` raises it where
        the task of a connection was cancelled, as at the end of a process.
        """
        error = context.get("exception")
        if not isinstance(error, asyncio.CancelledError):
            self.record(str(context.get("message", "")), error)


class LibraryHandler(logging.Handler):
    """Writes messages of libraries, above all asyncio's, as lines of the log."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, at level WARNING whatever the library's level is."""
        log(WARNING, LIBRARY_EVENT, library=record.name, message=record.getMessage())


def frames_of(error: BaseException | None) -> list[str]:
    """The innermost stack frames of an error, outermost first, as `file:line function`."""
    if error is None:
        return []
    frames = traceback.extract_tb(error.__traceback__)[-MAX_LOGGED_FRAMES:]
    return [f"{frame.filename.rpartition('/')[2]}:{frame.lineno} {frame.name}" for frame in frames]


def end_process(status: int) -> None:
    """Exit at once, without cleanup: the platform starts the process again."""
    sys.stderr.flush()
    os._exit(status)


unhandled_errors = UnhandledErrors()  # the one of this process


def handle_all_errors() -> None:
    """Log each unhandled error of the running event loop, and each library message, from now on."""
    asyncio.get_running_loop().set_exception_handler(unhandled_errors.handle)
    if not logging.getLogger().handlers:
        logging.getLogger().addHandler(LibraryHandler(logging.WARNING))
