"""Reads the logs of a run: violations of invariants, and anything that no program should write."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from reedspoke.common.metrics_endpoint import VIOLATION_EVENT
from reedspoke.common.unhandled_errors import LIBRARY_EVENT, UNHANDLED_EVENT
from reedspoke.lab.fleet_emulator.client import FailedTry

SUSPECT_EVENTS = (
    VIOLATION_EVENT,
    UNHANDLED_EVENT,
    LIBRARY_EVENT,
    "operator call failed",
    "session given up",
    "append out of sequence",
    "worker discovery failed",
)
ENDING_S = 12.0  # from SIGTERM on until the process has ended and begun again
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


def unexplained(folder: Path, tries: list[FailedTry], ends: dict[str, list[float]]) -> list[str]:
    """Failed tries of clients of which no log tells.

    `ends` has for each address when its process was killed or began to end: what it had not read, or did not
    live to tell, is explained by that.
    """
    logs = "".join(log.read_text(errors="replace") for log in folder.glob("*.log"))
    return [
        f"no log tells of {one.attempt_id} at {one.address}, sent at {one.sent_at:.2f}: {one.cause}"
        for one in tries
        if one.attempt_id not in logs and not ended_near(one, ends.get(one.address, []))
    ]


def ended_near(one: FailedTry, ends: list[float]) -> bool:
    """Whether the process that was asked ended at that time, or began to."""
    return any(one.sent_at - ENDING_S <= end <= one.ended_at for end in ends)


def find_request(folder: Path, attempt_id: str) -> list[str]:
    """All log lines on one attempt id: what explains a failed request afterwards."""
    return [
        f"{log.stem}: {line}"
        for log in sorted(folder.glob("*.log"))
        for line in log.read_text(errors="replace").splitlines()
        if attempt_id in line
    ]
