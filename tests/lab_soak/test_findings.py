"""Logs are searched for what must not stand there."""

from __future__ import annotations

from pathlib import Path

import pytest

from reedspoke.lab.fleet_emulator.client import FailedTry
from reedspoke.lab.fleet_soak.figures_reader import evaluations_in, value_in
from reedspoke.lab.fleet_soak.findings import (
    events_in,
    find_request,
    is_suspect,
    suspect_lines,
    unexplained,
)

GOOD = '{"at":"t","level":"info","event":"shutting down"}'
BAD = '{"at":"t","level":"error","event":"invariant violated","attempt_id":"a7"}'


@pytest.mark.parametrize(
    ("line", "suspect"),
    [
        (GOOD, False),
        (BAD, True),
        ('{"event":"unhandled error"}', True),
        ("Traceback (most recent call last):", True),
        ("[1, 2]", True),
    ],
)
def test_a_line_is_a_find_or_not(line: str, suspect: bool) -> None:
    assert is_suspect(line) is suspect


def test_a_folder_of_logs_is_read(tmp_path: Path) -> None:
    (tmp_path / "edge-0.log").write_text(f"{GOOD}\n{BAD}\n")
    assert suspect_lines(tmp_path / "edge-0.log") == [BAD]
    assert events_in(tmp_path) == {"shutting down": 1, "invariant violated": 1}
    assert find_request(tmp_path, "a7") == [f"edge-0: {BAD}"]


def test_figures_are_read() -> None:
    text = 'reedspoke_invariant_evaluations_total{invariant="view_rises"} 12\nopen 3\n'
    assert evaluations_in(text) == {"view_rises": 12}
    assert value_in(text, "open") == 3
    assert value_in(text, "closed") is None


def test_a_failed_try_is_explained_by_a_log_or_by_the_end_of_its_process(tmp_path: Path) -> None:
    (tmp_path / "edge-0.log").write_text(f"{BAD}\n")
    told = FailedTry("a7", "e0", "deadline", 5.0, 6.0)
    killed = FailedTry("a8", "e1", "reset", 5.0, 6.0)
    untold = FailedTry("a9", "e1", "reset", 40.0, 41.0)
    found = unexplained(tmp_path, [told, killed, untold], {"e1": [5.5]})
    assert len(found) == 1
    assert "a9" in found[0]
