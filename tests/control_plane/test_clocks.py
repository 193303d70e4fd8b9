"""Only log lines read the time of day, as it may step."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import reedspoke

PACKAGES = ("common", "control_plane", "data_plane", "decision", "telemetry")
TIME_OF_DAY_MODULES = {"time", "datetime"}
LOG_LINES = "json_log.py"
ROOT = Path(reedspoke.__file__).parent


def _imported(path: Path) -> set[str]:
    modules: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            modules.update(alias.name.partition(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
            modules.add(node.module.partition(".")[0])
    return modules


@pytest.mark.parametrize("package", PACKAGES)
def test_only_the_log_module_reads_the_time_of_day(package: str) -> None:
    sources = sorted((ROOT / package).rglob("*.py"))
    assert sources
    readers = [path.name for path in sources if TIME_OF_DAY_MODULES & _imported(path)]
    assert [name for name in readers if name != LOG_LINES] == []
