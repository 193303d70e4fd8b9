"""The list of known failures lets through what it names, and nothing else."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import FILE, UnusableListError, parse
from tests.peers import ROOT

TESTS = """
import pytest

def test_red():
    assert False

def test_green():
    pass

@pytest.fixture
def broken():
    raise RuntimeError

def test_red_before_it_begins(broken):
    pass

@pytest.mark.parametrize("n", [1, 2])
def test_each(n):
    assert n == 1
"""
GREEN = "tests/test_it.py::test_green"
RED = "tests/test_it.py::test_red"
ALL_RED = [RED, "tests/test_it.py::test_red_before_it_begins", "tests/test_it.py::test_each[2]"]


def run(folder: Path, listed: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """The run of a small project with that list, and with the same hook."""
    (folder / "tests").mkdir()
    (folder / "tests" / "test_it.py").write_text(TESTS)
    (folder / "tests" / "test_other.py").write_text("def test_other():\n    pass\n")
    (folder / "conftest.py").write_text((ROOT / "tests" / "conftest.py").read_text())
    (folder / "pytest.ini").write_text("[pytest]\naddopts = -q -rxX -p no:cacheprovider\n")
    (folder / FILE).write_text(listed)
    return subprocess.run(
        [sys.executable, "-m", "pytest", *arguments], cwd=folder, capture_output=True, text=True, check=False,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )  # fmt: skip


def lines(*tests: str) -> str:
    return "".join(f"{test} | its command | its cause | issue 7\n" for test in tests)


def test_listed_failures_are_printed_and_passed_over(tmp_path: Path) -> None:
    told = run(tmp_path, lines(*ALL_RED))
    assert told.returncode == 0, told.stdout
    assert told.stdout.count("known red: its cause (issue 7)") == 3
    assert "3 passed, 3 xfailed" in told.stdout


def test_a_failure_that_is_not_listed_fails_the_run(tmp_path: Path) -> None:
    assert run(tmp_path, lines(*ALL_RED[:2])).returncode == 1


def test_a_listed_test_that_passes_fails_the_run(tmp_path: Path) -> None:
    told = run(tmp_path, lines(RED, GREEN), "--deselect", ALL_RED[1], "--deselect", ALL_RED[2])
    assert told.returncode == 1
    assert "XPASS(strict)" in told.stdout


@pytest.mark.parametrize(
    "listed",
    [
        lines(*ALL_RED, GREEN),
        lines(RED, RED),
        f"{RED} | its command | its cause\n",
        f"{RED} | its command | | issue 7\n",
        f"{RED} | | its cause | issue 7\n",
        f"{RED} | its command | its cause | issue 7 |\n",
        f"{RED} | its command | its cause | issue 7 | at times\n",
        f"{RED} | its command | its cause | issue 7 | fails 0 of 10 runs\n",
        f"{RED} | its command | its cause | issue 7 | fails 10 of 10 runs\n",
        f"{RED} | its command | its cause | issue 7 | fails 4 of 10 runs | more\n",
        lines("tests/test_it.py::test_nobody"),
        lines("tests/test_nothing.py::test_red"),
    ],
    ids=[
        "four",
        "twice",
        "no issue",
        "no cause",
        "no command",
        "empty rate",
        "no rate",
        "rate of none",
        "rate of all",
        "too many fields",
        "unknown test",
        "unknown file",
    ],
)
@pytest.mark.parametrize("part", ["", "tests/test_other.py"], ids=["all", "a part"])
def test_a_list_that_hides_something_fails_the_run(tmp_path: Path, listed: str, part: str) -> None:
    told = run(tmp_path, listed, *([part] if part else []))
    if part and "test_nobody" in listed:
        assert told.returncode == 0, "its file is there, and was not collected"
    else:
        assert told.returncode == 4, "not run at all"
        assert FILE in told.stderr + told.stdout


def test_the_outcome_of_a_listed_test_that_fails_at_times_is_printed_either_way(tmp_path: Path) -> None:
    rate = "fails 4 of 10 runs"
    listed = "".join(f"{test} | its command | its cause | issue 7 | {rate}\n" for test in (RED, GREEN))
    told = run(tmp_path, listed, "--deselect", ALL_RED[1], "--deselect", ALL_RED[2])
    assert told.returncode == 0, told.stdout
    assert told.stdout.count(f"known red: its cause (issue 7), {rate}") == 2
    assert f"XFAIL {RED}" in told.stdout
    assert f"XPASS {GREEN}" in told.stdout


def test_a_failure_rate_of_one_test_leaves_the_others_strict(tmp_path: Path) -> None:
    listed = f"{RED} | its command | its cause | issue 7 | fails 4 of 10 runs\n" + lines(GREEN)
    told = run(tmp_path, listed, "--deselect", ALL_RED[1], "--deselect", ALL_RED[2])
    assert told.returncode == 1
    assert "XPASS(strict)" in told.stdout


def test_empty_list_is_the_aim() -> None:
    assert parse("\n  \n") == []
    with pytest.raises(UnusableListError):
        parse("a test")
