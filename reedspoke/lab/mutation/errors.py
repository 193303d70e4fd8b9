"""Errors of the mutation runner."""

from __future__ import annotations

from reedspoke.errors import ReedspokeError


class MutantListError(ReedspokeError):
    """The list of mutants cannot be used."""

    code = "mutant-list-unusable"
    remedy = "mend the list, reedspoke/lab/mutation/guards.toml, or the pattern of --name"


class OutdatedMutantError(ReedspokeError):
    """The text of a mutant does not stand in its file exactly once."""

    code = "mutant-outdated"
    remedy = "bring the mutant's text in the list up to date with the code"


class UnmutatedTestsError(ReedspokeError):
    """The tests do not pass as they are, so that their failure would say nothing of a mutant."""

    code = "tests-red-without-mutant"
    remedy = "mend the tests that the message names first"
