"""The table at the end of `reedspoke lab mutants`, and its exit status."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from reedspoke.lab.mutation.runner import Result, Verdict

EXIT_ALL_CAUGHT = 0
EXIT_NOT_ALL_CAUGHT = 1


def result_line(result: Result) -> str:
    """One mutant in one line."""
    line = f"{result.verdict.value:11} {result.seconds:6.1f} s  {result.mutant.name}"
    return f"{line}  {result.detail}" if result.detail else line


def table(results: Sequence[Result]) -> str:
    """All mutants, those that need somebody's care last, and how many there are of each verdict."""
    in_order = sorted(results, key=lambda result: result.verdict is not Verdict.CAUGHT)
    lines = []
    for result in in_order:
        lines.append(result_line(result))
        if result.verdict is not Verdict.CAUGHT:
            lines.append(f"            {result.mutant.file}: {result.mutant.protects}")
    counts = Counter(result.verdict for result in results)
    totals = [f"{counts[verdict]} {verdict.value.lower()}" for verdict in Verdict if counts[verdict]]
    return "\n".join([*lines, f"{len(results)} mutants: {', '.join(totals)}"])


def exit_status(results: Sequence[Result]) -> int:
    """Zero only if the tests have caught every mutant."""
    all_caught = all(result.verdict is Verdict.CAUGHT for result in results)
    return EXIT_ALL_CAUGHT if all_caught else EXIT_NOT_ALL_CAUGHT
