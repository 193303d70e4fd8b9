"""The list of mutants, read from a TOML file: which guard is taken away, and which tests should notice."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct

from reedspoke.lab.mutation.errors import MutantListError

GUARDS_FILE = Path(__file__).parent / "guards.toml"


class Mutant(Struct, frozen=True, forbid_unknown_fields=True):
    """One change of one file that at least one of the tests has to catch."""

    name: str
    file: str  # from the root of the checkout
    find: str  # text of the guard; stands in the file exactly once
    replace: str
    tests: tuple[str, ...]  # files or folders, from the root of the checkout
    protects: str  # what the guard is for, in one sentence


class MutantList(Struct, frozen=True, forbid_unknown_fields=True):
    """A whole list."""

    mutant: tuple[Mutant, ...]


def load_mutants(path: Path = GUARDS_FILE) -> tuple[Mutant, ...]:
    """The mutants of a list. Raises MutantListError where it is unreadable or a name stands twice."""
    try:
        mutants = msgspec.toml.decode(path.read_bytes(), type=MutantList).mutant
    except (OSError, msgspec.DecodeError) as error:
        raise MutantListError(f"{path}: {error}") from error
    names = [mutant.name for mutant in mutants]
    twice = sorted({name for name in names if names.count(name) > 1})
    if twice:
        raise MutantListError(f"{path}: these names stand twice: {', '.join(twice)}")
    return mutants
