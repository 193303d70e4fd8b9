"""`reedspoke run`: one scheduler, maybe with an operator file."""

from __future__ import annotations

import os
from pathlib import Path

import click


@click.command()
@click.option(
    "--config", "config_file", type=click.Path(dir_okay=False), envvar="PROXY_CONFIG", required=True,
    help="The platform's configuration, JSON. Also $PROXY_CONFIG.",
)  # fmt: skip
@click.option(
    "--operator", "operator_file", type=click.Path(dir_okay=False), envvar="REEDSPOKE_OPERATOR",
    help="The operator file, JSON (deploy/OPERATOR.md). Also $REEDSPOKE_OPERATOR.",
)  # fmt: skip
def run(config_file: str, operator_file: str | None) -> int:
    """Run one scheduler until SIGTERM. SIGHUP reads both files again."""
    from reedspoke import start
    from reedspoke.net.config import load

    environ = {**os.environ, "PROXY_CONFIG": config_file}
    os.environ["PROXY_CONFIG"] = config_file  # read again after SIGHUP
    if operator_file is None:
        return start.main()
    from reedspoke import assembly, logs
    from reedspoke.operator.check import OperatorError
    from reedspoke.operator.check import load as load_operator

    try:
        operator = load_operator(operator_file)
    except OperatorError as error:
        raise click.UsageError(error.one_line()) from None
    logs.configure(operator.log.form, operator.log.level)
    return assembly.run(lambda: load(environ), operator, Path(operator_file))
