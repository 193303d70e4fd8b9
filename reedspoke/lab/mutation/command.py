"""What `reedspoke lab mutants` does, apart from its command line."""

from __future__ import annotations

import asyncio
import fnmatch
from pathlib import Path

import click

from reedspoke.lab.mutation.errors import MutantListError, UnmutatedTestsError
from reedspoke.lab.mutation.mutant_list import Mutant, load_mutants
from reedspoke.lab.mutation.report import exit_status, result_line, table
from reedspoke.lab.mutation.runner import Settings, run_mutants


def play(settings: Settings, list_file: Path, pattern: str) -> int:
    """Run the mutants whose names match, print each as it ends and a table last; the exit status."""
    try:
        mutants = matching(load_mutants(list_file), pattern)
        results = asyncio.run(run_mutants(settings, mutants, lambda result: click.echo(result_line(result))))
    except (MutantListError, UnmutatedTestsError) as error:
        raise click.ClickException(error.told()) from None
    click.echo()
    click.echo(table(results))
    return exit_status(results)


def matching(mutants: tuple[Mutant, ...], pattern: str) -> tuple[Mutant, ...]:
    """Those whose name matches the shell pattern. Raises MutantListError where there is none."""
    chosen = tuple(mutant for mutant in mutants if fnmatch.fnmatchcase(mutant.name, pattern))
    if not chosen:
        raise MutantListError(f"no mutant is named {pattern}")
    return chosen
