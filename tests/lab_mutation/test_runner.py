"""The mutation runner on a tiny made-up checkout."""

from __future__ import annotations

import asyncio
import os
import select
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner

from reedspoke.cli.lab import lab
from reedspoke.lab.mutation.command import matching
from reedspoke.lab.mutation.errors import MutantListError, OutdatedMutantError, UnmutatedTestsError
from reedspoke.lab.mutation.mutant_list import Mutant, load_mutants
from reedspoke.lab.mutation.pytest_run import Outcome, run_pytest
from reedspoke.lab.mutation.report import exit_status, table
from reedspoke.lab.mutation.runner import Result, Settings, Verdict, run_mutants
from reedspoke.lab.mutation.source_tree import mutated_text, tracked_files
from tests.peers import ROOT

CODE = """
LIMIT = 3


def allowed(count: int) -> bool:
    return 0 <= count <= LIMIT
"""
TESTS = """
from limits import allowed


def test_limit() -> None:
    assert allowed(3)
    assert not allowed(4)
"""
GENEROUS_S = 60.0
ENDS_WITHIN_MS = 10_000
INTERRUPTED_STATUS = 130

UPPER = Mutant("upper", "limits.py", "0 <= count <= LIMIT", "0 <= count", ("tests",), "There is a limit.")
LOWER = Mutant("lower", "limits.py", "0 <= count <=", "count <=", ("tests",), "Counts are not negative.")
MISSING = Mutant("missing", "limits.py", "count < LIMIT", "True", ("tests",), "Gone from the code.")
TWICE = Mutant("twice", "limits.py", "LIMIT", "BOUND", ("tests",), "Stands there twice.")
NO_FILE = Mutant("no-file", "bounds.py", "LIMIT", "BOUND", ("tests",), "The file was renamed.")
NO_MODULE = Mutant("no-module", "limits.py", "LIMIT = 3", "LIMIT = BOUND", ("tests",), "It can be imported.")


@pytest.fixture(autouse=True)
def pytest_without_plugins(monkeypatch: pytest.MonkeyPatch) -> None:
    """The tiny checkout needs none of the installed plugins, and to load them takes most of a run's time."""
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    tree = tmp_path / "checkout"
    (tree / "tests").mkdir(parents=True)
    (tree / "limits.py").write_text(CODE)
    (tree / "tests" / "test_limits.py").write_text(TESTS)
    (tree / "untracked.txt").write_text("not copied")
    for words in (["init", "-q"], ["add", "limits.py", "tests"]):
        subprocess.run(["git", *words], cwd=tree, check=True, capture_output=True)
    return tree


def _run(tree: Path, *mutants: Mutant) -> list[Result]:
    settings = Settings(tree, at_once=2, limit_s=GENEROUS_S)
    return asyncio.run(run_mutants(settings, mutants, lambda result: None))


def test_verdicts_in_the_order_of_the_list(checkout: Path) -> None:
    results = _run(checkout, UPPER, LOWER, MISSING, TWICE, NO_FILE, NO_MODULE)
    assert [result.verdict for result in results] == [
        Verdict.CAUGHT,
        Verdict.NOT_CAUGHT,
        Verdict.OUTDATED,
        Verdict.OUTDATED,
        Verdict.OUTDATED,
        Verdict.BROKEN,
    ]
    assert results[0].detail == "tests/test_limits.py::test_limit"
    assert (checkout / "limits.py").read_text() == CODE


def test_the_working_tree_counts_and_untracked_files_do_not(checkout: Path) -> None:
    assert tracked_files(checkout) == ["limits.py", "tests/test_limits.py"]
    (checkout / "tests" / "test_limits.py").write_text(TESTS + "    assert not allowed(-1)\n")
    assert [result.verdict for result in _run(checkout, LOWER)] == [Verdict.CAUGHT]


def test_a_deleted_file_is_left_out(checkout: Path) -> None:
    extra = checkout / "tests" / "test_extra.py"
    extra.write_text(TESTS)
    subprocess.run(["git", "add", "tests"], cwd=checkout, check=True, capture_output=True)
    extra.unlink()
    assert [result.verdict for result in _run(checkout, UPPER)] == [Verdict.CAUGHT]


def test_red_tests_say_nothing_of_a_mutant(checkout: Path) -> None:
    (checkout / "tests" / "test_limits.py").write_text(TESTS + "    assert allowed(9)\n")
    with pytest.raises(UnmutatedTestsError, match="tests without a mutant: failed"):
        _run(checkout, UPPER)


@pytest.fixture
def fifo(tmp_path: Path) -> Iterator[tuple[Path, int]]:
    path = tmp_path / "fifo"
    os.mkfifo(path)
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    yield path, descriptor
    os.close(descriptor)


ENDLESS = """
import os, subprocess, sys


def test_endless() -> None:
    descriptor = os.open({path!r}, os.O_WRONLY)
    subprocess.Popen([sys.executable, "-c", "import signal; signal.pause()"], pass_fds=[descriptor])
    os.write(descriptor, b"started")
    while True:
        pass
"""


def test_a_run_that_is_too_long_ends_with_all_its_processes(checkout: Path, fifo: tuple[Path, int]) -> None:
    path, descriptor = fifo
    (checkout / "tests" / "test_endless.py").write_text(ENDLESS.format(path=str(path)))

    async def run_until_started() -> Outcome:
        limit_s = 1.0
        while True:
            run = await run_pytest(checkout, ["tests/test_endless.py"], limit_s)
            if select.select([descriptor], [], [], 0)[0]:
                return run.outcome
            limit_s *= 2  # a busy machine has not come to the test yet

    assert asyncio.run(run_until_started()) is Outcome.TIMED_OUT
    assert _all_writers_ended(descriptor)


def test_a_signal_ends_the_runner_with_all_its_processes(
    checkout: Path, tmp_path: Path, fifo: tuple[Path, int]
) -> None:
    path, descriptor = fifo
    (checkout / "tests" / "test_limits.py").write_text(ENDLESS.format(path=str(path)))
    (tmp_path / "list.toml").write_text(LIST)
    words = ["lab", "mutants", "--tree", str(checkout), "--list", str(tmp_path / "list.toml")]
    runner = subprocess.Popen(
        [sys.executable, "-m", "reedspoke", *words],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    assert select.select([descriptor], [], [], GENEROUS_S)[0]
    runner.terminate()
    assert runner.wait(GENEROUS_S) == INTERRUPTED_STATUS
    assert _all_writers_ended(descriptor)


def _all_writers_ended(descriptor: int) -> bool:
    ended = select.poll()
    ended.register(descriptor, 0)  # tells POLLHUP alone: no process has the other end any more
    return bool(ended.poll(ENDS_WITHIN_MS))


def test_the_table_ends_with_the_counts_and_the_status_asks_for_all() -> None:
    caught = Result(UPPER, Verdict.CAUGHT, 1.0, "tests/test_limits.py::test_limit")
    lost = Result(LOWER, Verdict.NOT_CAUGHT, 2.0)
    lines = table([lost, caught]).splitlines()
    assert [line.split()[0] for line in lines] == ["caught", "NOT", "limits.py:", "2"]
    assert lines[2].endswith(LOWER.protects)
    assert lines[-1] == "2 mutants: 1 caught, 1 not caught"
    assert exit_status([caught]) == 0
    for verdict in Verdict:
        assert exit_status([caught, Result(LOWER, verdict)]) == (0 if verdict is Verdict.CAUGHT else 1)


TESTS_WITH_FIXTURE = """
import pytest
from limits import allowed


@pytest.fixture
def limit() -> None:
    assert not allowed(4)


def test_something(limit: None) -> None:
    pass
"""


def test_a_fixture_that_fails_catches_a_mutant_too(checkout: Path) -> None:
    (checkout / "tests" / "test_limits.py").write_text(TESTS_WITH_FIXTURE)
    (result,) = _run(checkout, UPPER)
    assert result.verdict is Verdict.CAUGHT
    assert result.detail == "tests/test_limits.py::test_something"


def test_what_a_test_has_printed_is_not_taken_for_its_name(checkout: Path) -> None:
    printing = TESTS.replace("    assert allowed(3)", '    print("ERROR of the disk")\n    assert allowed(3)')
    (checkout / "tests" / "test_limits.py").write_text(printing)
    (result,) = _run(checkout, UPPER)
    assert result.detail == "tests/test_limits.py::test_limit"


def test_a_replacement_that_changes_nothing_is_outdated() -> None:
    same = Mutant("same", "limits.py", "LIMIT = 3", "LIMIT = 3", ("tests",), "Nothing.")
    with pytest.raises(OutdatedMutantError):
        mutated_text(CODE, same)


LIST = """
[[mutant]]
name = "upper"
file = "limits.py"
find = "0 <= count <= LIMIT"
replace = "0 <= count"
tests = ["tests"]
protects = "There is a limit."
"""


@pytest.mark.parametrize(
    "text", ["[[mutant]", LIST + "also = 1\n", LIST + LIST, "", LIST.replace("find", "text")]
)
def test_a_list_that_cannot_be_used(tmp_path: Path, text: str) -> None:
    path = tmp_path / "list.toml"
    path.write_text(text)
    with pytest.raises(MutantListError):
        load_mutants(path)


def test_a_pattern_chooses_by_name() -> None:
    assert matching((UPPER, LOWER), "l*") == (LOWER,)
    with pytest.raises(MutantListError):
        matching((UPPER, LOWER), "l")


NOT_CAUGHT = """
[[mutant]]
name = "lower"
file = "limits.py"
find = "0 <= count <="
replace = "count <="
tests = ["tests"]
protects = "Counts are not negative."
"""


@pytest.mark.parametrize(("name", "status"), [("upper", 0), ("lower", 1), ("*", 1)])
def test_the_command_prints_the_table_and_sets_the_status(
    checkout: Path, tmp_path: Path, name: str, status: int
) -> None:
    path = tmp_path / "list.toml"
    path.write_text(LIST + NOT_CAUGHT)
    words = ["mutants", "--tree", str(checkout), "--list", str(path), "--name", name]
    told = CliRunner().invoke(lab, words, standalone_mode=False)
    assert told.return_value == status, told.output
    assert "mutants: " in told.output.splitlines()[-1]
