"""Each module, class and function that the architecture page and the glossary name exists in the code."""

from __future__ import annotations

import importlib
import re
from pathlib import Path
from types import ModuleType

import pytest

from reedspoke.decision.messages import FailReason, RefuseReason

ROOT = Path(__file__).parent.parent
PAGES = ("docs/architecture.md", "docs/glossary.md")
PACKAGES = sorted(path.name for path in (ROOT / "reedspoke").iterdir() if (path / "__init__.py").is_file())
MODULES = sorted(path.stem for path in (ROOT / "reedspoke").glob("*.py") if not path.stem.startswith("_"))
DOTTED = re.compile(rf"`((?:{'|'.join(PACKAGES + MODULES)})(?:\.\w+)+)(?:\(\))?`")
PATH = re.compile(r"`((?:reedspoke|tests|docs|openapi|deploy)/[\w./-]+)`")
FEWEST_NAMES = 30


def names_in(page: str) -> list[str]:
    """The dotted names of a page, without the leading `reedspoke.`."""
    return sorted(set(DOTTED.findall((ROOT / page).read_text())))


def resolve(name: str) -> object:
    """What a dotted name below `reedspoke` stands for. Raises AttributeError where there is nothing."""
    found: object = importlib.import_module("reedspoke")
    for part in name.split("."):
        if isinstance(found, ModuleType) and not hasattr(found, part):
            try:
                found = importlib.import_module(f"{found.__name__}.{part}")
            except ModuleNotFoundError as error:
                raise AttributeError(f"{name}: no {part}") from error
        else:
            found = getattr(found, part)
    return found


def test_a_name_that_does_not_exist_is_found() -> None:
    with pytest.raises(AttributeError):
        resolve("common.messages.NoSuchMessage")
    with pytest.raises(AttributeError):
        resolve("common.no_such_module")


@pytest.mark.parametrize("page", PAGES)
def test_every_name_of_a_page_exists(page: str) -> None:
    missing = []
    for name in names_in(page):
        try:
            resolve(name)
        except AttributeError:
            missing.append(name)
    assert missing == []
    assert len(names_in(page)) >= FEWEST_NAMES, "the page names its code in full"


@pytest.mark.parametrize("page", PAGES)
def test_every_path_of_a_page_exists(page: str) -> None:
    paths = set(PATH.findall((ROOT / page).read_text()))
    assert [path for path in sorted(paths) if not (ROOT / path).exists()] == []


@pytest.mark.parametrize("reason", [*RefuseReason, *FailReason], ids=str)
def test_every_reason_in_the_request_log_is_explained(reason: RefuseReason | FailReason) -> None:
    page = (ROOT / "docs/operating-the-fleet.md").read_text()
    assert f"| `{reason.name}` |" in page
