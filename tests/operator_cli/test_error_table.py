"""docs/errors.md has a row for each code, and no row for any other."""

from __future__ import annotations

import re
from enum import IntEnum
from pathlib import Path

from reedspoke.common.errors import ErrorCode
from reedspoke.operator_cli.errors import EXIT_CODES, ExitCode, OperatorErrorCode

PAGE = Path(__file__).parents[2] / "docs" / "errors.md"
ROW = re.compile(r"^\| (\d+) \| `(\w+)` \| ([^|]+) \| ([^|]+) \|$", re.MULTILINE)
EXIT_ROW = re.compile(r"^\| (\d) \| `(\w+)` \|", re.MULTILINE)


def rows() -> list[tuple[int, str, str, str]]:
    found = ROW.findall(PAGE.read_text(encoding="utf-8"))
    return [(int(number), name, meaning, remedy) for number, name, meaning, remedy in found]


def test_the_table_and_the_codes_agree() -> None:
    codes: list[IntEnum] = [*ErrorCode, *OperatorErrorCode]
    assert [(number, name) for number, name, _, _ in rows()] == [
        (code.value, code.name.lower()) for code in codes
    ]


def test_each_row_says_what_to_do() -> None:
    for number, _, meaning, remedy in rows():
        assert len(meaning.strip()) > 10, number
        assert len(remedy.strip()) > 10, number


def test_numbers_are_used_once() -> None:
    numbers = [code.value for code in [*ErrorCode, *OperatorErrorCode]]
    assert len(set(numbers)) == len(numbers)


def test_each_error_of_the_command_line_has_an_exit_code() -> None:
    assert set(EXIT_CODES) == set(OperatorErrorCode)
    assert ExitCode.DONE not in EXIT_CODES.values()


def test_exit_codes_are_in_the_page() -> None:
    found = EXIT_ROW.findall(PAGE.read_text(encoding="utf-8"))
    assert [(int(number), name) for number, name in found] == [
        (code.value, code.name.lower()) for code in ExitCode
    ]
