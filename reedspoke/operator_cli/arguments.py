"""Arguments of the command line."""

from __future__ import annotations

import argparse
from pathlib import Path

DEFAULT_TIMEOUT_S = 10.0


def build_parser() -> argparse.ArgumentParser:
    """The parser of the command line; `command` and, for configurations, `action` name what is to be done."""
    parser = argparse.ArgumentParser(
        prog="python -m reedspoke.operator_cli", description="Commands for the operators of a fleet."
    )
    parser.add_argument("--address", default="", help="control schedulers, ip:port[,ip:port]")
    parser.add_argument(
        "--timeout", type=float, default=DEFAULT_TIMEOUT_S, help="seconds in all (%(default)s)"
    )
    commands = parser.add_subparsers(dest="command", required=True)
    add_configuration_commands(commands.add_parser("config", help="read, change or check the configuration"))
    status = commands.add_parser("status", help="what one control scheduler says of the fleet")
    status.add_argument("--json", action="store_true", help="the whole answer as JSON")
    members = commands.add_parser("members", help="the schedulers in the fleet")
    members.add_argument("--json", action="store_true", help="as JSON")
    return parser


def add_configuration_commands(parser: argparse.ArgumentParser) -> None:
    """Adds `config get`, `config put` and `config check`."""
    actions = parser.add_subparsers(dest="action", required=True)
    get = actions.add_parser("get", help="print the newest configuration")
    get.add_argument("--output", type=Path, help="write it to this file instead")
    put = actions.add_parser("put", help="replace the configuration")
    put.add_argument("file", type=Path)
    put.add_argument(
        "--match", type=int, help="generation that the file builds on (without it: the current one)"
    )
    check = actions.add_parser("check", help="check a file here, without any call")
    check.add_argument("file", type=Path)
