"""Names that others rely on outlive every rename: settings, metrics, error codes, commands, headers, paths.

`data/public_names.json` was written by an earlier version. It only grows: who adds a public name adds it
there in the same change, and no name that stands there is changed or removed.
"""

from __future__ import annotations

import argparse
import ast
import json
import re
import typing
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import msgspec
import pytest
from msgspec import Struct

from reedspoke.cli.main import root as command_line
from reedspoke.common.errors import ErrorCode
from reedspoke.common.node_settings import NodeSettings
from reedspoke.data_plane.request_trace import AttemptTrace, RequestTrace
from reedspoke.net.config import ConfigFile as NodeConfiguration
from reedspoke.operator_cli.arguments import build_parser
from reedspoke.telemetry.invariants import Invariant

ROOT = Path(__file__).parents[2]
GOLDEN: dict[str, Any] = json.loads((Path(__file__).parent / "data/public_names.json").read_text())
LITERALS = {
    "metrics": r"reedspoke_[a-z_]+",
    "environment": r"(REEDSPOKE|PROXY)_[A-Z_]+",
    "headers": r"(Reedspoke|X|Fencing|Idempotency|Last-Event|Retry|If)-[A-Za-z-]+",
    "paths": r"/[a-z0-9._/{}-]+",
}


def program_trees() -> Iterator[ast.Module]:
    """The syntax trees of the program, without the laboratory."""
    for path in sorted((ROOT / "reedspoke").rglob("*.py")):
        if "lab" not in path.relative_to(ROOT / "reedspoke").parts:
            yield ast.parse(path.read_text())


def literals(pattern: str) -> list[str]:
    """All texts and bytes of the program that are as a whole like this."""
    found = set()
    for tree in program_trees():
        for node in ast.walk(tree):
            if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
                text = node.value if isinstance(node.value, str) else node.value.decode("latin-1")
                if re.fullmatch(pattern, text):
                    found.add(text)
    return sorted(found)


def text_codes() -> list[str]:
    """The codes of errors that are no numbers: `code = "..."` in a class."""
    return sorted(
        node.value.value
        for tree in program_trees()
        for owner in ast.walk(tree)
        if isinstance(owner, ast.ClassDef)
        for node in owner.body
        if isinstance(node, ast.Assign)
        and [target.id for target in node.targets if isinstance(target, ast.Name)] == ["code"]
        and isinstance(node.value, ast.Constant)
        and isinstance(node.value.value, str)
    )


def fields_of(kind: type[Struct]) -> dict[str, Any]:
    """The fields of a structure by their encoded names, with what lies below them and their defaults."""
    hints = typing.get_type_hints(kind)
    found: dict[str, Any] = {}
    for field in msgspec.structs.fields(kind):
        hint = hints[field.name]
        if isinstance(hint, type) and issubclass(hint, Struct):
            found[field.encode_name] = fields_of(hint)
        else:
            default = bytes(field.default) if isinstance(field.default, msgspec.Raw) else field.default
            found[field.encode_name] = "required" if field.required else repr(default)
    return found


def argparse_names(parser: argparse.ArgumentParser) -> dict[str, Any]:
    """Options, arguments and commands of a parser."""
    names: dict[str, Any] = {}
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            names |= {name: argparse_names(below) for name, below in action.choices.items()}
        else:
            names[" ".join(action.option_strings) or action.dest] = repr(action.default)
    return names


def click_names(command: click.Command) -> dict[str, Any]:
    """Options, arguments and commands of a command."""
    names: dict[str, Any] = {" ".join(one.opts): one.param_type_name for one in command.params}
    if isinstance(command, click.Group):
        names |= {name: click_names(below) for name, below in command.commands.items()}
    return names


def public_names() -> dict[str, Any]:
    """All of them, as `data/public_names.json` has them."""
    return {
        **{kind: literals(pattern) for kind, pattern in LITERALS.items()},
        "node settings": fields_of(NodeSettings),
        "configuration of a node": fields_of(NodeConfiguration),
        "error codes": {code.name: int(code) for code in ErrorCode},
        "text codes": text_codes(),
        "invariants": sorted(item.value for item in Invariant),
        "request log": list(RequestTrace.__struct_fields__),
        "attempts in the request log": list(AttemptTrace.__struct_fields__),
        "operator commands": argparse_names(build_parser()),
        "commands": click_names(command_line),
    }


@pytest.mark.parametrize("kind", sorted(GOLDEN))
def test_public_names_are_as_they_were(kind: str) -> None:
    assert public_names()[kind] == GOLDEN[kind]


def test_every_kind_of_public_name_is_covered() -> None:
    assert set(public_names()) == set(GOLDEN)
