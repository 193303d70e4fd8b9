"""The table of the users' pages tells the truth: its code and tests exist, and it has every call."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from reedspoke.control_plane.api.operator_api import OPERATIONS
from tests.test_documentation_names import resolve

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "pages.md").read_text()
OPEN_HEADING = "## Open"
CALL = re.compile(r"^(GET|PUT|POST|DELETE) (/reedspoke/\S+)$")
SPAN = re.compile(r"`([^`]+)`")
FEWEST_ROWS = 20


def rows(text: str) -> list[list[str]]:
    """The cells of all rows of the tables in a text, without headings."""
    lines = [line for line in text.splitlines() if line.startswith("| ")]
    cells = [[cell.strip() for cell in line.strip("|").split(" | ")] for line in lines]
    return [row for row in cells if row[0] not in ("page", "---")]


SERVED = rows(PAGE.partition(OPEN_HEADING)[0])
OPEN = rows(PAGE.partition(OPEN_HEADING)[2])


def calls(table: list[list[str]]) -> set[tuple[str, str]]:
    """The calls that a table names."""
    spans = [span for row in table for span in SPAN.findall(row[1])]
    return {(found[1], found[2]) for span in spans if (found := CALL.match(span))}


def test_the_calls_of_the_pages_are_those_that_are_served() -> None:
    served = {(method, path) for path, methods in OPERATIONS.items() for method in methods}
    assert calls(SERVED) == served
    assert not calls(OPEN) & served


@pytest.mark.parametrize("row", SERVED, ids=lambda row: row[1])
def test_code_and_test_of_a_row_exist(row: list[str]) -> None:
    page, _, code, test = row
    assert page
    for name in SPAN.findall(code):
        resolve(name)
    assert SPAN.findall(code)
    for named in SPAN.findall(test):
        file, _, function = named.partition("::")
        assert (ROOT / file).is_file(), named
        assert f"def {function}" in (ROOT / file).read_text(), named
    assert SPAN.findall(test)


def test_the_table_is_read() -> None:
    assert len(SERVED) >= FEWEST_ROWS
    assert all(len(row) == 3 and all(row) for row in OPEN)
