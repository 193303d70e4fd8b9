"""The logs in the report of a failed test."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.process_logs import MAX_BYTES, MAX_FILES, log_sections

pytest_plugins = ["pytester"]

FAILING = """
import pytest

@pytest.fixture
def process(tmp_path):
    (tmp_path / "edge.log").write_text("what the process said")
    return tmp_path

def test_fails(process):
    assert False

def test_passes(process):
    pass
"""


def test_the_ends_of_all_logs_are_returned(tmp_path: Path) -> None:
    (tmp_path / "core").mkdir()
    (tmp_path / "core" / "core-1.log").write_text("x" * MAX_BYTES + "the end")
    (tmp_path / "log-7").write_text("short")
    (tmp_path / "data.bin").write_text("no log")
    sections = dict(log_sections(tmp_path))
    assert sorted(sections) == ["log core/core-1.log", "log log-7"]
    assert sections["log log-7"] == "short"
    assert sections["log core/core-1.log"].startswith("(7 bytes before)\n")
    assert sections["log core/core-1.log"].endswith("the end")


def test_the_number_of_files_is_limited(tmp_path: Path) -> None:
    for number in range(MAX_FILES + 5):
        (tmp_path / f"{number:02}.log").write_text("x")
    assert len(log_sections(tmp_path)) == MAX_FILES


def test_logs_are_part_of_the_report_of_a_failed_test(pytester: pytest.Pytester) -> None:
    pytester.makeconftest("from tests.conftest import pytest_runtest_makereport\n")
    pytester.makepyfile(FAILING)
    result = pytester.runpytest("-p", "no:xdist")
    result.assert_outcomes(passed=1, failed=1)
    assert result.stdout.str().count("what the process said") == 1
