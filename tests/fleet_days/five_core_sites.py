"""Writes a copy of a small site file with five control machines, two of which may be lost at once.

The bench plays its days on the deployments of its site files.  The small ones have three control
machines and bear the loss of one; the rules for the loss of two are cheaper to play on a small
deployment than on a grown one.  The copy differs from its source only in the number of control
machines and in what may be lost.
"""

from __future__ import annotations

import argparse
import re
import shutil
from pathlib import Path

ZONES_WITH_TWO_CONTROL_MACHINES = 2
CONTROL_MACHINES_PER_ZONE = re.compile(r'(\{ class = "core", zone = "[^"]+", count = )1\b')
SPARES_OF_CONTROL_MACHINES = re.compile(r'(class = "core",[^\n]*?spare = )1\b')
LOSS_TO_BE_BORNE = re.compile(r"(^\[tolerate\]\nmachines = )1\b", re.MULTILINE)
SPARES_PER_ZONE = 6
SITE_NAME = re.compile(r'\Aname = "([^"]+)"')
WIRE_EXAMPLES = "wire.json"


class UnexpectedSiteFileError(Exception):
    """The site file lacks a line that the copy has to change."""


def replace_exactly(pattern: re.Pattern[str], replacement: str, text: str, times: int) -> str:
    """Replaces the first ``times`` matches; raises if the text has fewer."""
    changed, replaced = pattern.subn(replacement, text, count=times)
    if replaced != times:
        raise UnexpectedSiteFileError(f"{pattern.pattern}: {replaced} of {times} places found")
    return changed


def with_five_control_machines(site: str) -> str:
    """Returns the text of a site file after the change."""
    site = replace_exactly(SITE_NAME, r'name = "\1-five-core"', site, 1)
    site = replace_exactly(CONTROL_MACHINES_PER_ZONE, r"\g<1>2", site, ZONES_WITH_TWO_CONTROL_MACHINES)
    site = SPARES_OF_CONTROL_MACHINES.sub(rf"\g<1>{SPARES_PER_ZONE}", site)
    return replace_exactly(LOSS_TO_BE_BORNE, r"\g<1>2", site, 1)


def write_copy(source: Path, folder: Path) -> Path:
    """Writes the changed site file and the wire examples that it names; returns its path."""
    folder.mkdir(parents=True, exist_ok=True)
    copy = folder / f"{source.stem}-five-core.toml"
    copy.write_text(with_five_control_machines(source.read_text()))
    shutil.copyfile(source.with_name(WIRE_EXAMPLES), folder / WIRE_EXAMPLES)
    return copy


def main() -> None:
    """Command line: SITE FOLDER."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=Path, help="a site file with three control machines")
    parser.add_argument("folder", type=Path, help="where the copy is written")
    arguments = parser.parse_args()
    print(write_copy(arguments.site, arguments.folder))


if __name__ == "__main__":
    main()
