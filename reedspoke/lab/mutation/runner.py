"""Runs the tests against each mutant, several at once, after a run without any."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable, Iterable
from enum import Enum
from pathlib import Path

from msgspec import Struct

from reedspoke.lab.mutation.errors import OutdatedMutantError, UnmutatedTestsError
from reedspoke.lab.mutation.mutant_list import Mutant
from reedspoke.lab.mutation.pytest_run import Outcome, PytestRun, run_pytest
from reedspoke.lab.mutation.source_tree import apply_mutant, copy_files, tracked_files

TEMPORARY_PREFIX = "reedspoke-mutant-"


class Verdict(Enum):
    """What became of a mutant."""

    CAUGHT = "caught"
    NOT_CAUGHT = "NOT CAUGHT"
    TIMED_OUT = "TIMED OUT"  # the tests neither passed nor failed in time
    OUTDATED = "OUT OF DATE"  # the list has to follow the code
    BROKEN = "BROKEN"  # the tests could not be run


VERDICTS = {
    Outcome.PASSED: Verdict.NOT_CAUGHT,
    Outcome.FAILED: Verdict.CAUGHT,
    Outcome.TIMED_OUT: Verdict.TIMED_OUT,
    Outcome.BROKEN: Verdict.BROKEN,
}


class Result(Struct, frozen=True):
    """What became of one mutant; `detail` names the test that caught it, or says what went wrong."""

    mutant: Mutant
    verdict: Verdict
    seconds: float = 0.0
    detail: str = ""


class Settings(Struct, frozen=True):
    """How the mutants are run."""

    tree: Path
    at_once: int
    limit_s: float


OnResult = Callable[[Result], None]


async def run_mutants(settings: Settings, mutants: Iterable[Mutant], on_result: OnResult) -> list[Result]:
    """The results in the order of the mutants. Raises UnmutatedTestsError."""
    mutants = tuple(mutants)
    files = tracked_files(settings.tree)
    await _check_unmutated(settings, files, mutants)
    slots = asyncio.Semaphore(settings.at_once)

    async def run_one(mutant: Mutant) -> Result:
        async with slots:
            result = await run_mutant(settings, files, mutant)
        on_result(result)
        return result

    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(run_one(mutant)) for mutant in mutants]
    return [task.result() for task in tasks]


async def run_mutant(settings: Settings, files: list[str], mutant: Mutant) -> Result:
    """Run a mutant's tests in a copy that has it."""
    with tempfile.TemporaryDirectory(prefix=TEMPORARY_PREFIX) as folder:
        copy = Path(folder)
        copy_files(settings.tree, files, copy)
        try:
            apply_mutant(copy, mutant)
        except OutdatedMutantError as error:
            return Result(mutant, Verdict.OUTDATED, detail=str(error))
        run = await run_pytest(copy, mutant.tests, settings.limit_s)
    return Result(mutant, VERDICTS[run.outcome], run.seconds, run.detail)


async def _check_unmutated(settings: Settings, files: list[str], mutants: tuple[Mutant, ...]) -> None:
    tests = sorted({test for mutant in mutants for test in mutant.tests})
    if not tests:
        return
    with tempfile.TemporaryDirectory(prefix=TEMPORARY_PREFIX) as folder:
        copy = Path(folder)
        copy_files(settings.tree, files, copy)
        runs = [await run_pytest(copy, [test], settings.limit_s) for test in tests]
    failed = [_describe(test, run) for test, run in zip(tests, runs, strict=True) if _is_red(run)]
    if failed:
        raise UnmutatedTestsError("; ".join(failed))


def _is_red(run: PytestRun) -> bool:
    return run.outcome is not Outcome.PASSED


def _describe(test: str, run: PytestRun) -> str:
    return f"{test} without a mutant: {run.outcome.value} {run.detail}".rstrip()
