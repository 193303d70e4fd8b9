"""The replicated log is independent of the rest of the program, such as leases, frames and sockets."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import reedspoke.fleet.replicated_log as package

PACKAGE = package.__name__
ALLOWED = {"reedspoke.errors", "reedspoke.sealed"}
MODULES = sorted(Path(package.__path__[0]).glob("*.py"))


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_a_module_imports_nothing_from_the_rest_of_the_program(path: Path) -> None:
    imported = {
        node.module
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.ImportFrom) and node.module is not None
    }
    own = {name for name in imported if name.startswith("reedspoke.")}
    assert {name for name in own if not name.startswith(PACKAGE)} <= ALLOWED
    assert not (own & ALLOWED) or path.stem == "log_store", "only the log store accesses files"
