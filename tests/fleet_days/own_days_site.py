"""Writes a copy of a site file that holds our day files in place of its standard days.

``fleetbench score`` plays the days of a site file several at a time, so a whole folder of day files
takes one call.  The figures ``one``, ``zero`` and ``floor`` only have to be there: these days are
played for broken rules, not for a score.
"""

from __future__ import annotations

import argparse
import re
import shutil
from pathlib import Path

FIRST_DAY = "[[day]]"
SITE_NAME = re.compile(r'\Aname = "([^"]+)"')
LENGTH = re.compile(r"^length_s = .*$", re.MULTILINE)
WIRE_EXAMPLES = "wire.json"
MARKS_OF_A_DAY = "one = 0.85\nzero = 0.5\ngoal = { floor = 0.4 }\nwall = 3.0\nlight = true\n"


def with_own_days(site: str, days: list[str], length_s: float | None) -> str:
    """Returns the text of the site file with these days, and with another length of a day if given."""
    deployment = site[: site.index(FIRST_DAY)]
    deployment = SITE_NAME.sub(r'name = "\1-own-days"', deployment)
    if length_s is not None:
        deployment = LENGTH.sub(f"length_s = {length_s}", deployment)
    return "\n".join([deployment, *(f"{FIRST_DAY}\n{day}{MARKS_OF_A_DAY}" for day in days)])


def write_copy(site: Path, copy: Path, day_files: list[Path], length_s: float | None) -> None:
    """Writes the copy, and the wire examples that it names beside it."""
    copy.parent.mkdir(parents=True, exist_ok=True)
    days = [day_file.read_text() for day_file in day_files]
    copy.write_text(with_own_days(site.read_text(), days, length_s))
    shutil.copyfile(site.with_name(WIRE_EXAMPLES), copy.with_name(WIRE_EXAMPLES))


def main() -> None:
    """Command line: SITE COPY DAYS [--only GLOB] [--length SECONDS]."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=Path, help="the site file to copy")
    parser.add_argument("copy", type=Path, help="the site file to write, in another folder")
    parser.add_argument("days", type=Path, help="folder of day files")
    parser.add_argument("--only", default="*", help="glob for the names of the day files")
    parser.add_argument("--length", type=float, help="seconds that a day lasts")
    arguments = parser.parse_args()
    day_files = sorted(arguments.days.glob(f"{arguments.only}.toml"))
    write_copy(arguments.site, arguments.copy, day_files, arguments.length)
    print(f"{len(day_files)} days in {arguments.copy}")


if __name__ == "__main__":
    main()
