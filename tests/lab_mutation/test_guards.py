"""The list of guards follows the code: each text stands in its file once, and its change leaves a program."""

from __future__ import annotations

import ast

import pytest

from reedspoke.lab.mutation.mutant_list import Mutant, load_mutants
from reedspoke.lab.mutation.source_tree import mutated_text
from tests.peers import ROOT

MUTANTS = load_mutants()


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_a_guard_stands_in_its_file_once(mutant: Mutant) -> None:
    text = (ROOT / mutant.file).read_text(encoding="utf-8")
    ast.parse(mutated_text(text, mutant))


def test_each_entry_names_its_tests_and_says_what_the_guard_protects() -> None:
    for mutant in MUTANTS:
        assert mutant.tests, mutant.name
        assert all((ROOT / test).exists() for test in mutant.tests), mutant.name
        assert mutant.protects.endswith("."), mutant.name
