"""The program names no zone, class, caller or worker kind of a particular deployment."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "reedspoke"
# Operators, sites, zones, classes, callers and worker kinds of both deployments.
NAMES = (
    "kleinkredit", "kredit", "wien", "linz", "offer-quote", "balance-view", "loan-booking", "repayment-post",
    "alpenhaus", "donau-bank", "moebel-steiner", "tirol-rad", "grazer-technik", "sport-leitner",
    "raiffel-kasse", "wohnwelt-berger", "optik-huber", "scoring-fleet",
    "tsukushi", "kyushu", "hakata", "kitakyushu", "kumamoto", "oita", "issue-query", "symbolicate",
    "event-ingest", "alert-page", "hinode-games", "sakura-pay", "minato-rail", "kaze-mobile", "tsubame-shop",
    "yamabiko-news", "hotaru-clinic", "aoba-tours", "mikan-farm", "trace-workers", "gen-a", "gen-b",
)  # fmt: skip
SOURCES = sorted(path for path in PACKAGE.rglob("*.py") if "lab" not in path.relative_to(PACKAGE).parts)


def named(text: str) -> list[str]:
    return [name for name in NAMES if re.search(rf"\b{name.replace('-', '[-_ ]?')}\b", text, re.IGNORECASE)]


def test_the_search_finds_a_name_in_any_spelling() -> None:
    assert named('if zone == "Wien-1" and cls is LOAN_BOOKING:') == ["wien", "loan-booking"]


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: str(path.relative_to(PACKAGE)))
def test_no_module_contains_the_names_of_a_deployment(path: Path) -> None:
    """A rule for the name of one deployment would work elsewhere only by chance."""
    assert not named(path.read_text(encoding="utf-8"))
