"""`reedspoke config`: check files before they are put in place, and the operator file's schema."""

from __future__ import annotations

import json
import os
from pathlib import Path

import click


@click.group()
def config() -> None:
    """Check configurations; print the operator file's JSON Schema."""


@config.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> int:
    """Check FILES: the platform's configuration or operator files. One line for each that is unusable; exit
    status 2 then."""
    bad = 0
    for file in files:
        if (why := wrong(file)) is not None:
            click.echo(f"reedspoke: {why}", err=True)
            bad += 1
        else:
            click.echo(f"{file}: good")
    return 2 if bad else 0


def wrong(file: str) -> str | None:
    """What is wrong with a file, in one line that names it."""
    from reedspoke.net.config import ConfigError
    from reedspoke.net.config import load as load_config
    from reedspoke.operator.check import OperatorError
    from reedspoke.operator.check import load as load_operator

    try:
        told = json.loads(Path(file).read_bytes())
    except OSError as error:
        return f"{file}: cannot be read: {error.strerror}"
    except ValueError as error:
        return f"{file}: no JSON: {error}"
    if isinstance(told, dict) and "settings" in told:
        kept = {name: value for name, value in os.environ.items() if not name.startswith("PROXY_")}
        try:
            load_config({**kept, "PROXY_CONFIG": file})
        except ConfigError as error:
            return f"{file}: {error}"
        return None
    try:
        load_operator(file)
    except OperatorError as error:
        return error.one_line()
    return None


@config.command()
def schema() -> None:
    """Print the operator file's JSON Schema (2020-12)."""
    from reedspoke.operator import schema as schemas

    click.echo(schemas.text(), nl=False)
