"""`reedspoke`, also `python -m reedspoke ARGUMENTS`. Who calls without arguments gets the platform's
program from `__main__`, and nothing of this; only an operator file named in the environment leads here
then."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib import metadata

import click

from reedspoke.cli import certs, config, fleet, keys, lab, run


def version() -> str:
    try:
        return metadata.version("reedspoke")
    except metadata.PackageNotFoundError:  # run from a checkout
        return "from a checkout"


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(version(), prog_name="reedspoke")
def root() -> None:
    """A scheduler for jobs beside each submitter.

    Without a command it runs as the platform starts it: PROXY_* in the environment say what it needs.

    Exit status: 0 done, 1 it failed, 2 the command line or a configuration is wrong.
    """


root.add_command(run.run)
root.add_command(config.config)
root.add_command(certs.certs)
root.add_command(keys.keys)
root.add_command(keys.token)
root.add_command(fleet.fleet)
root.add_command(lab.demo)
root.add_command(lab.lab)


def main(arguments: Sequence[str] | None = None) -> int:
    """The exit status."""
    words = list(sys.argv[1:] if arguments is None else arguments) or ["run"]
    try:
        status = root.main(words, prog_name="reedspoke", standalone_mode=False)
        return status if isinstance(status, int) else 0
    except click.exceptions.Exit as error:
        return error.exit_code
    except click.Abort:
        click.echo("reedspoke: interrupted", err=True)
        return 130
    except click.ClickException as error:
        if isinstance(error, click.exceptions.NoArgsIsHelpError):
            click.echo(error.format_message())
        else:
            click.echo(f"reedspoke: {error.format_message()}", err=True)
        return error.exit_code
