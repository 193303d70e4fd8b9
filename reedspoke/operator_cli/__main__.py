"""`python -m reedspoke.operator_cli --address ip:port[,ip:port] COMMAND`."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

from reedspoke.common.errors import FleetError
from reedspoke.operator_cli.arguments import build_parser
from reedspoke.operator_cli.client import OperatorClient, parse_addresses
from reedspoke.operator_cli.commands import COMMANDS, check_configuration
from reedspoke.operator_cli.errors import ExitCode, OperatorError


def execute(options: argparse.Namespace) -> str:
    """Carries out a command and returns what it prints. Raises OperatorError or FleetError."""
    action = getattr(options, "action", options.command)
    if action == "check":
        return check_configuration(options)
    client = OperatorClient(parse_addresses(options.address), options.timeout)
    return COMMANDS[action](client, options)


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one command and returns its exit status."""
    options = build_parser().parse_args(arguments)
    try:
        print(execute(options))
    except OperatorError as error:
        print(error, file=sys.stderr)
        return error.exit_code
    except FleetError as error:  # a file that is no valid configuration, found before any call
        print(error, file=sys.stderr)
        return ExitCode.LOCAL_FILE
    return ExitCode.DONE


if __name__ == "__main__":
    sys.exit(main())
