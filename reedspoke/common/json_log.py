"""Log lines as JSON on standard error, one object a line."""

from __future__ import annotations

import sys
from datetime import UTC, datetime
from typing import Any

import msgspec
import picologging

LOGGER_NAME = "reedspoke"
LEVELS = {10: "debug", 20: "info", 30: "warning", 40: "error", 50: "critical"}
DEBUG, INFO, WARNING, ERROR = picologging.DEBUG, picologging.INFO, picologging.WARNING, picologging.ERROR

_logger = picologging.getLogger(LOGGER_NAME)


class JsonFormatter(picologging.Formatter):
    """Formats a record as one JSON object: its message is the event, its only argument the dictionary of
    fields.
    """

    def format(self, record: picologging.LogRecord) -> str:
        """One line of JSON; values that JSON has no type for are written as their text."""
        line: dict[str, Any] = {
            "at": datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds"),
            "level": LEVELS.get(record.levelno, str(record.levelno)),
            "event": record.msg,
        }
        if isinstance(record.args, dict):
            line.update(record.args)
        return msgspec.json.encode(line, enc_hook=str).decode()


def configure(level: int = INFO) -> None:
    """Send the program's log lines from `level` on to standard error. Calling it again changes the level."""
    if not _logger.handlers:
        handler = picologging.StreamHandler(sys.stderr)
        handler.setFormatter(JsonFormatter())
        _logger.addHandler(handler)
    _logger.setLevel(level)


def log(level: int, event: str, **fields: object) -> None:
    """Write one line: the event, which is constant text, and fields for all that varies."""
    if fields:
        _logger.log(level, event, fields)
    else:
        _logger.log(level, event)
