"""What `reedspoke lab mutants` does, apart from its command line."""

from __future__ import annotations

import asyncio
import fnmatch
import signal
from pathlib import Path

import click

from reedspoke.lab.mutation.errors import MutantListError, UnmutatedTestsError
from reedspoke.lab.mutation.mutant_list import Mutant, load_mutants
from reedspoke.lab.mutation.report import exit_status, result_line, table
from reedspoke.lab.mutation.runner import Result, Settings, run_mutants


def play(settings: Settings, list_file: Path, pattern: str) -> int:
    """Run the mutants whose names match, print each as it ends and a table last; the exit status."""
    try:
        mutants = matching(load_mutants(list_file), pattern)
        results = asyncio.run(_run_until_signal(settings, mutants))
    except (MutantListError, UnmutatedTestsError) as error:
        raise click.ClickException(error.one_line()) from None
    except asyncio.CancelledError:
        raise click.Abort from None
    click.echo()
    click.echo(table(results))
    return exit_status(results)


async def _run_until_signal(settings: Settings, mutants: tuple[Mutant, ...]) -> list[Result]:
    """A signal ends the runs that are out, also where SIGINT was ignored when the process started."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await run_mutants(settings, mutants, lambda result: click.echo(result_line(result)))


def matching(mutants: tuple[Mutant, ...], pattern: str) -> tuple[Mutant, ...]:
    """Those whose name matches the shell pattern. Raises MutantListError where there is none."""
    chosen = tuple(mutant for mutant in mutants if fnmatch.fnmatchcase(mutant.name, pattern))
    if not chosen:
        raise MutantListError(f"no mutant is named {pattern}")
    return chosen
