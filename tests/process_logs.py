"""Adds the logs of the processes under test to the report of a failed test, which may not fail again."""

from __future__ import annotations

from pathlib import Path

PATTERNS = ("**/*.log", "**/log-*")
MAX_FILES = 12
MAX_BYTES = 6_000  # from the end of each file

Section = tuple[str, str]


def log_sections(folder: Path) -> list[Section]:
    """The ends of the log files in a test's folder, with their names as titles."""
    files = sorted({path for pattern in PATTERNS for path in folder.glob(pattern) if path.is_file()})
    return [(f"log {path.relative_to(folder)}", _end_of(path)) for path in files[:MAX_FILES]]


def _end_of(path: Path) -> str:
    data = path.read_bytes()
    text = data[-MAX_BYTES:].decode(errors="replace")
    return text if len(data) <= MAX_BYTES else f"({len(data) - MAX_BYTES} bytes before)\n{text}"
