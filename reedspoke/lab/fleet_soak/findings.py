"""Reads the logs of a run: violations of invariants, and anything that no program should write."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from reedspoke.cluster.figures import VIOLATION_EVENT
from reedspoke.cluster.unhandled_errors import LIBRARY_EVENT, UNHANDLED_EVENT

SUSPECT_EVENTS = (
    VIOLATION_EVENT,
    UNHANDLED_EVENT,
    LIBRARY_EVENT,
    "operator call failed",
    "session given up",
    "entry does not follow",
    "list duty failed",
)
LONGEST_TOLD = 700  # characters of a line in a report


def suspect_lines(log: Path) -> list[str]:
    """Lines that are no log lines, as a traceback's, or that tell of what must not happen."""
    return [line[:LONGEST_TOLD] for line in log.read_text(errors="replace").splitlines() if is_suspect(line)]


def is_suspect(line: str) -> bool:
    """Whether a line of a log is a find."""
    event = event_of(line)
    return event is None or event in SUSPECT_EVENTS


def event_of(line: str) -> str | None:
    """The event of a log line; None for a line that is none."""
    fields = decoded(line)
    return None if fields is None else str(fields.get("event"))


def decoded(line: str) -> dict[str, Any] | None:
    """The fields of a log line."""
    try:
        found = msgspec.json.decode(line)
    except (msgspec.DecodeError, UnicodeError):
        return None
    return found if isinstance(found, dict) else None


def events_in(folder: Path) -> Counter[str]:
    """How often each event stands in the logs of a run."""
    counts: Counter[str] = Counter()
    for log in folder.glob("*.log"):
        for line in log.read_text(errors="replace").splitlines():
            counts[event_of(line) or "(no log line)"] += 1
    return counts


def find_request(folder: Path, attempt_id: str) -> list[str]:
    """All log lines on one attempt id: what explains a failed request afterwards."""
    return [
        f"{log.stem}: {line}"
        for log in sorted(folder.glob("*.log"))
        for line in log.read_text(errors="replace").splitlines()
        if attempt_id in line
    ]
