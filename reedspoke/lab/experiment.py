"""The form that all experiments share: options, what must hold, the figures as JSON and as a table."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from reedspoke.lab.program import LabError


@dataclass(slots=True)
class Result:
    figures: dict[str, Any]
    broken: list[str] = field(default_factory=list)  # what should have held, in words

    def hold(self, name: str, holds: bool) -> None:
        if not holds:
            self.broken.append(name)


@dataclass(slots=True)
class Options:
    seconds: float
    seed: int
    folder: Path
    progress: Callable[[str], None]
    style: str = "asked"  # of the settings, where the experiment has several


Experiment = Callable[[Options], Coroutine[Any, Any, Result]]


def progress(text: str) -> None:
    """On a terminal alone; one line that is written over."""
    if sys.stderr.isatty():
        click.echo(f"\r{text:<78}", nl=False, err=True)


def run(
    experiment: Experiment, seconds: float, seed: int, json_file: str | None, style: str = "asked"
) -> int:
    """The exit status: 0 all held, 1 something did not, 3 it could not be played."""
    try:
        with tempfile.TemporaryDirectory(prefix="reedspoke-lab-") as folder:
            options = Options(seconds, seed, Path(folder), progress, style)
            result = asyncio.run(experiment(options))
    except LabError as error:
        click.echo(f"reedspoke lab: {error}", err=True)
        return 3
    if sys.stderr.isatty():
        click.echo("\r" + " " * 78 + "\r", nl=False, err=True)
    write(result, json_file)
    return 1 if result.broken else 0


def write(result: Result, json_file: str | None) -> None:
    text = json.dumps({**result.figures, "broken": result.broken}, indent=2)
    if json_file == "-":
        click.echo(text)
        return
    if json_file:
        Path(json_file).write_text(text + "\n")
    width = max((len(name) for name in result.figures), default=0)
    for name, value in result.figures.items():
        if not isinstance(value, dict):
            click.echo(f"{name:<{width}}  {value}")
    click.echo("all held" if not result.broken else "NOT held: " + ", ".join(result.broken))
