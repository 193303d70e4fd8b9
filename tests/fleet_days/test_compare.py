"""The tool for paired differences, without the bench."""

from __future__ import annotations

from pathlib import Path

import pytest

from reedspoke.lab.mutation.mutant_list import load_mutants
from tests.fleet_days.compare import ROOT, Result, changed_tree, result_of, summary

ABLATIONS = Path(__file__).with_name("ablations.toml")
OUTPUT = """built in 0.9 s; 36395 lines in 333 files
day                  own/srv  score  worth served refused failed  weakest part
scale-2                24/16   0.76  0.741  0.914   0.575  0.001  worst class 0.59; prices 0.068
"""


def test_it_reads_the_row_of_the_day() -> None:
    assert result_of(OUTPUT) == Result(0.741, broken=False)
    assert result_of(OUTPUT + "BROKEN: QUOTA 1") == Result(0.741, broken=True)
    assert result_of("waiting for a core") is None


def test_differences_are_paired() -> None:
    before = [Result(0.5, broken=False), Result(0.9, broken=False)]
    after = [Result(0.6, broken=False), Result(0.8, broken=True)]
    assert summary("x", before, after).split() == [
        "x",
        "+0.0000",
        "+-",
        "0.1000",
        "over",
        "2",
        "plays,",
        "1",
        "broken",
    ]


@pytest.mark.parametrize("mutant", load_mutants(ABLATIONS), ids=lambda mutant: mutant.name)
def test_each_ablation_fits_the_code(mutant: object) -> None:
    text = (ROOT / mutant.file).read_text()  # type: ignore[attr-defined]
    assert text.count(mutant.find) == 1  # type: ignore[attr-defined]
    assert mutant.find != mutant.replace  # type: ignore[attr-defined]


def test_a_tree_has_the_change_applied(tmp_path: Path) -> None:
    mutant = load_mutants(ABLATIONS)[0]
    tree = changed_tree(tmp_path, mutant)
    assert mutant.replace in (tree / mutant.file).read_text()
    assert not (tree / "journal").exists()
