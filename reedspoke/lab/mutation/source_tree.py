"""Copies of a checkout, and changes made to them."""

from __future__ import annotations

import shutil
import subprocess
from pathlib import Path

from reedspoke.lab.mutation.errors import OutdatedMutantError
from reedspoke.lab.mutation.mutant_list import Mutant


def tracked_files(tree: Path) -> list[str]:
    """The files that git tracks below `tree`, from there. Raises CalledProcessError outside a checkout."""
    listed = subprocess.run(["git", "ls-files", "-z"], cwd=tree, capture_output=True, check=True)
    return [name for name in listed.stdout.decode().split("\0") if name]


def copy_files(tree: Path, names: list[str], target: Path) -> None:
    """Copy these files of `tree`, as they are in the working tree, to `target`."""
    for name in names:
        source = tree / name
        if not source.is_file():
            continue  # deleted, but not yet in a commit
        copy = target / name
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(source, copy)


def mutated_text(text: str, mutant: Mutant) -> str:
    """The text of the file with the mutant in it. Raises OutdatedMutantError."""
    count = text.count(mutant.find)
    if count != 1:
        raise OutdatedMutantError(f"the text stands {count} times in {mutant.file}")
    if mutant.find == mutant.replace:
        raise OutdatedMutantError("the replacement is the same text")
    return text.replace(mutant.find, mutant.replace)


def apply_mutant(tree: Path, mutant: Mutant) -> None:
    """Change the mutant's file below `tree`. Raises OutdatedMutantError."""
    path = tree / mutant.file
    if not path.is_file():
        raise OutdatedMutantError(f"there is no file {mutant.file}")
    mutated = mutated_text(path.read_text(encoding="utf-8"), mutant)
    path.write_text(mutated, encoding="utf-8")
