"""The example sites for the bench have the properties that they were written to cover."""

from __future__ import annotations

import subprocess
import tomllib
from pathlib import Path
from typing import Any

import pytest

from tests.peers import ROOT

SITES = ROOT / "deploy" / "sites"


def site(name: str) -> dict[str, Any]:
    return tomllib.loads((SITES / f"{name}.toml").read_text())


def test_most_frequent_class_of_one_site_is_unsafe_and_its_deadlines_are_short() -> None:
    classes = site("tap-desk")["class"]
    assert max(classes, key=lambda cls: cls["share"][0])["effect"] == "unsafe"
    assert all(cls["deadline_ms"] < 1000 for cls in classes)


def test_the_other_site_has_one_zone_and_a_short_deduplication_window() -> None:
    hall = site("one-hall")
    assert len(hall["net"]["zones"]) == 1
    assert min(cls["window_ms"] for cls in hall["class"] if cls["effect"] == "keyed") < 1000


@pytest.mark.parametrize("bench_exists", [False, True])
def test_make_sites_copies_the_files_of_the_bench_or_fails_without_it(
    tmp_path: Path, bench_exists: bool
) -> None:
    (tmp_path / "Makefile").write_text((ROOT / "Makefile").read_text())
    (tmp_path / "deploy" / "sites").mkdir(parents=True)
    names = ("real.json", "unlock.txt", "wire.json")
    if bench_exists:
        (tmp_path / "kit" / "sites").mkdir(parents=True)
        for name in names:
            (tmp_path / "kit" / "sites" / name).write_text(name)
    run = subprocess.run(
        ["make", "sites", "KIT=kit"], cwd=tmp_path, capture_output=True, text=True, check=False
    )
    assert (run.returncode == 0) == bench_exists
    assert bench_exists or "no bench at kit" in run.stderr
    copied = sorted(path.name for path in (tmp_path / "deploy" / "sites").iterdir())
    assert copied == (sorted(names) if bench_exists else [])
