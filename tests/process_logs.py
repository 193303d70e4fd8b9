"""What processes under test have logged, shown with a test that fails: it may fail once and not again."""

from __future__ import annotations

from pathlib import Path

PATTERNS = ("**/*.log", "**/log-*")
MOST_FILES = 12
MOST_BYTES = 6_000  # of the end of each file

Section = tuple[str, str]


def log_sections(folder: Path) -> list[Section]:
    """The ends of the log files in a test's folder, by their names."""
    files = sorted({path for pattern in PATTERNS for path in folder.glob(pattern) if path.is_file()})
    return [(f"log {path.relative_to(folder)}", _end_of(path)) for path in files[:MOST_FILES]]


def _end_of(path: Path) -> str:
    data = path.read_bytes()
    text = data[-MOST_BYTES:].decode(errors="replace")
    return text if len(data) <= MOST_BYTES else f"({len(data) - MOST_BYTES} bytes before)\n{text}"
