"""One run of pytest in a copy of the checkout, in a process group of its own that never outlives it."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Iterable
from enum import Enum
from pathlib import Path

from msgspec import Struct

EXIT_PASSED = 0
EXIT_TESTS_FAILED = 1
FAILED_PREFIXES = ("FAILED ", "ERROR ")  # an error is that of a fixture
SUMMARY_TITLE = "short test summary info"
LAST_LINES = 5


class Outcome(Enum):
    """How a run ended."""

    PASSED = "passed"
    FAILED = "failed"
    TIMED_OUT = "timed out"
    BROKEN = "broken"  # no test failed, but pytest could not run them all


class PytestRun(Struct, frozen=True):
    """The end of a run; `detail` names the test that failed, or tells what pytest said last."""

    outcome: Outcome
    seconds: float
    detail: str = ""


async def run_pytest(tree: Path, tests: Iterable[str], limit_s: float) -> PytestRun:
    """Run these tests of `tree` until the first one fails or the limit is reached."""
    started = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "pytest", "-x", *tests,
        cwd=tree, env=_environment(tree), start_new_session=True,
        stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
    )  # fmt: skip
    try:
        async with asyncio.timeout(limit_s):
            output, _ = await process.communicate()
    except TimeoutError:
        return PytestRun(Outcome.TIMED_OUT, time.monotonic() - started)
    finally:
        _kill_group(process.pid)
        await process.wait()
    status = process.returncode
    return _judge(status, output.decode(errors="replace"), time.monotonic() - started)


def _judge(status: int | None, output: str, seconds: float) -> PytestRun:
    if status == EXIT_PASSED:
        return PytestRun(Outcome.PASSED, seconds)
    if status == EXIT_TESTS_FAILED:
        return PytestRun(Outcome.FAILED, seconds, _failed_test(output))
    last_lines = " | ".join(output.strip().splitlines()[-LAST_LINES:])
    return PytestRun(Outcome.BROKEN, seconds, f"pytest ended with {status}: {last_lines}")


def _failed_test(output: str) -> str:
    _, _, summary = output.rpartition(SUMMARY_TITLE)  # what a test has logged may begin like its lines
    for line in summary.splitlines():
        if line.startswith(FAILED_PREFIXES):
            return line.partition(" ")[2].partition(" - ")[0]
    return ""


def _environment(tree: Path) -> dict[str, str]:
    """Programs that the tests start import the package from the copy, and leave no bytecode of another."""
    return os.environ | {"PYTHONPATH": str(tree), "PYTHONDONTWRITEBYTECODE": "1"}


def _kill_group(leader: int) -> None:
    """End whatever the run has started and left behind."""
    try:
        os.killpg(leader, signal.SIGKILL)
    except ProcessLookupError:
        return
