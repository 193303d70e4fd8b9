"""Which deployments have been hunted, and for how many days, since a commit: none is left out of a landing.

`python -m tests.fleet_days.hunted KIT --since REVISION [--closed FOLDER]` reads the site files below KIT and
the journal. Exit status 1 where a deployment lacks days, or its newest hunt broke a rule.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from msgspec import Struct

JOURNAL = Path("journal")
SMALL_DAYS, OTHER_DAYS = 40, 10
SMALL_FOLDER = "sites"  # the two small deployments; all others are large


class Site(Struct, frozen=True):
    """A deployment, and the days that a landing wants of it."""

    name: str
    wanted: int


class Hunted(Struct):
    """What the journal has of a deployment."""

    days: int = 0
    broken_in_newest: bool = False


def sites_below(kit: Path, closed: Iterable[str]) -> list[Site]:
    """All deployments with standard days in opened folders, by name."""
    found = []
    for days_file in kit.rglob("*.days"):
        folder = days_file.parent.name
        if folder not in closed and days_file.with_suffix(".toml").is_file():
            found.append(Site(days_file.stem, SMALL_DAYS if folder == SMALL_FOLDER else OTHER_DAYS))
    return sorted(found, key=lambda site: site.name)


def hunted(entries: Iterable[dict[str, Any]]) -> dict[str, Hunted]:
    """The hunts of journal entries, which are in their order of time."""
    found: dict[str, Hunted] = {}
    for entry in entries:
        if entry.get("cmd") != "hunt":
            continue
        one = found.setdefault(str(entry.get("site")), Hunted())
        days = entry.get("days") or []
        one.days += len(days)
        one.broken_in_newest = any(day.get("rules") or day.get("fault") for day in days)
    return found


def lacking(sites: Iterable[Site], hunts: dict[str, Hunted]) -> list[str]:
    """A line for each deployment that was not hunted enough."""
    lines = []
    for site in sites:
        found = hunts.get(site.name, Hunted())
        if found.days < site.wanted:
            lines.append(f"{site.name}: {found.days} of {site.wanted} days")
        elif found.broken_in_newest:
            lines.append(f"{site.name}: the newest hunt broke a rule")
    return lines


def entries_since(revision: str) -> list[dict[str, Any]]:
    """The journal entries that have come since a commit, oldest first."""
    command = ["git", "diff", "--name-only", "--diff-filter=A", revision, "--", str(JOURNAL)]
    names = subprocess.run(command, capture_output=True, text=True, check=True).stdout.split()
    return [json.loads(Path(name).read_text()) for name in sorted(names) if name.endswith(".json")]


def main() -> int:
    """Print what is lacking."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kit", type=Path)
    parser.add_argument("--since", required=True)
    parser.add_argument("--closed", action="append", default=["rollout"])
    arguments = parser.parse_args()
    hunts = hunted(entries_since(arguments.since))
    for name, found in sorted(hunts.items()):
        print(f"{name}: {found.days} days hunted")
    lines = lacking(sites_below(arguments.kit, arguments.closed), hunts)
    print("\n".join(["lacking:", *lines]) if lines else "every deployment was hunted enough")
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
