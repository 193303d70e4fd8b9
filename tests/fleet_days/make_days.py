"""Writes day files for the bench: the ways of troubles.py alone, in pairs and by lot, and the long days.

Changes of the configuration go on all day in each of them, so that a trouble always meets a change.
"""

from __future__ import annotations

import argparse
import itertools
import random
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from tests.fleet_days import long_days
from tests.fleet_days.troubles import PAIRED, SINGLES, Value, Way

FIRST_CHANGE_S = 3.0
CHANGE_GAP_S = 0.9
CHANGES = 32
FIRST_TROUBLE_S = 8.0
SECOND_TROUBLE_S = 10.5
SINGLE_REPEAT_S = 20.0
DRAWN_TROUBLES = (3, 7)
DRAWN_MOMENTS_S = (4.0, 28.0)
DRAWN_CHANGE_GAPS_S = (0.25, 0.5, 0.9)
CHANGES_END_S = 32.0
STALLS_BEGIN_S = 8.0
STALLS_END_S = 24.0
STALL_PERIOD_S = 0.1  # as where the share of a core is a quota
STALL_S = 0.09
STALLED_CLASSES = ("front", "core")
KINDS_OF_PLANNED_WORK = frozenset(
    {"config_race", "config_storm", "bad_config", "big_config", "roll_term", "seed_turnover", "hup"}
)
KINDS_THAT_COUNT_MACHINES = frozenset(
    {
        "core_cut",
        "node_kill",
        "node_freeze",
        "node_slow",
        "after_ack_kill",
        "after_ack_wipe",
        "disk_slow",
        "disk_stall",
        "disk_full",
        "config_race",
        "bad_config",
        "big_config",
    }
)


@dataclass(frozen=True)
class Entry:
    """One trouble or piece of planned work at its moment."""

    at: float
    kind: str
    fields: dict[str, Value] = field(default_factory=dict)

    def as_toml(self) -> str:
        """The entry as an inline table."""
        written: dict[str, Value] = {"at": self.at, "kind": self.kind, **self.fields}
        return "{ " + ", ".join(f"{name} = {as_value(value)}" for name, value in written.items()) + " }"


@dataclass(frozen=True)
class Day:
    """A day file: its name and its entries."""

    name: str
    entries: tuple[Entry, ...]

    def as_toml(self) -> str:
        """The text of the day file; the seed follows from the name."""
        planned = [entry for entry in self.entries if entry.kind in KINDS_OF_PLANNED_WORK]
        unplanned = [entry for entry in self.entries if entry.kind not in KINDS_OF_PLANNED_WORK]
        lines = [f'name = "{self.name}"', 'slot = "trouble"', f"seed = {zlib.crc32(self.name.encode())}"]
        lines += ["labels = []", *as_list("plan", planned), *as_list("faults", unplanned)]
        return "\n".join(lines) + "\n"


def as_value(value: Value) -> str:
    """A string or number in TOML."""
    return f'"{value}"' if isinstance(value, str) else str(value)


def as_list(name: str, entries: list[Entry]) -> list[str]:
    """A list of entries in TOML, one a line."""
    return [f"{name} = [", *(f"  {entry.as_toml()}," for entry in entries), "]"]


def changes_all_day() -> Entry:
    """The changes that every trouble of these days meets."""
    return Entry(FIRST_CHANGE_S, "config_storm", {"count": CHANGES, "gap_s": CHANGE_GAP_S})


def entry_of(way: Way, at: float, count: int) -> Entry:
    """The way at a moment, for this many machines or steps."""
    fields: dict[str, Value] = {"count": count} if way.kind in KINDS_THAT_COUNT_MACHINES else {}
    fields.update(way.fields)
    if way.how:
        fields["how"] = way.how
    return Entry(at, way.kind, fields)


def single_days() -> Iterator[Day]:
    """Each way by itself, twice in the day, with each count."""
    for number, way in enumerate(SINGLES):
        for count in way.counts:
            twice = (entry_of(way, FIRST_TROUBLE_S, count), entry_of(way, SINGLE_REPEAT_S, count))
            yield Day(f"single-{number:03d}-{way.label}-{count}", (changes_all_day(), *twice))


def pair_days() -> Iterator[Day]:
    """Each two of the chosen ways, the second while the first lasts or just after it."""
    for first, second in itertools.permutations(PAIRED, 2):
        entries = (
            entry_of(first, FIRST_TROUBLE_S, first.counts[0]),
            entry_of(second, SECOND_TROUBLE_S, second.counts[0]),
        )
        yield Day(f"pair-{first.label}--{second.label}", (changes_all_day(), *entries))


def course_days() -> Iterator[Day]:
    """Each long day, with losses of one machine and of two at a time."""
    changes = Entry(
        long_days.FIRST_CHANGE_S,
        "config_storm",
        {"count": long_days.CHANGES, "gap_s": long_days.CHANGE_GAP_S},
    )
    for course, lost in itertools.product(long_days.COURSES, (1, 2)):
        ways = itertools.cycle(course.ways)
        troubles = (
            entry_of(way, at, max(lost, way.counts[0]))
            for at, way in zip(course.moments(), ways, strict=False)
        )
        yield Day(f"long-{course.name}-{lost}", (changes, *troubles))


def stall_days() -> Iterator[Day]:
    """Machines of one class stand still for most of each tenth of a second, again and again."""
    steps = int((STALLS_END_S - STALLS_BEGIN_S) / STALL_PERIOD_S)
    for machine_class in STALLED_CLASSES:
        fields: dict[str, Value] = {"on": machine_class, "share": 1.0, "for_s": STALL_S}
        stalls = (
            Entry(round(STALLS_BEGIN_S + step * STALL_PERIOD_S, 2), "node_freeze", fields)
            for step in range(steps)
        )
        yield Day(f"stalls-{machine_class}", (changes_all_day(), *stalls))


def drawn_day(seed: int) -> Day:
    """Ways drawn by lot at moments drawn by lot, so that several meet; the same seed gives the same day."""
    lot = random.Random(seed)
    gap_s = lot.choice(DRAWN_CHANGE_GAPS_S)
    changes = int((CHANGES_END_S - FIRST_CHANGE_S) / gap_s)
    troubles = []
    for _ in range(lot.randint(*DRAWN_TROUBLES)):
        way = lot.choice(SINGLES)
        at = round(lot.uniform(*DRAWN_MOMENTS_S), 2)
        troubles.append(entry_of(way, at, lot.choice(way.counts)))
    storm = Entry(FIRST_CHANGE_S, "config_storm", {"count": changes, "gap_s": gap_s})
    return Day(f"drawn-{seed:05d}", (storm, *troubles))


def main() -> None:
    """Command line: FOLDER [--drawn FIRST COUNT]."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", type=Path, help="where the day files are written")
    parser.add_argument(
        "--drawn",
        type=int,
        nargs=2,
        metavar=("FIRST", "COUNT"),
        help="write days drawn by lot, with seeds from FIRST on, in place of the listed ones",
    )
    arguments = parser.parse_args()
    arguments.folder.mkdir(parents=True, exist_ok=True)
    days: Iterator[Day] = itertools.chain(single_days(), pair_days(), course_days(), stall_days())
    if arguments.drawn is not None:
        first, count = arguments.drawn
        days = (drawn_day(seed) for seed in range(first, first + count))
    for day in days:
        (arguments.folder / f"{day.name}.toml").write_text(day.as_toml())


if __name__ == "__main__":
    main()
