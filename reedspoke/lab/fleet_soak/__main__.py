"""`python -m reedspoke.lab.fleet_soak`: soak runs of many seeds, with a table at the end."""

from __future__ import annotations

import argparse
import asyncio
import shutil
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import msgspec

from reedspoke.lab.fleet_soak.plan import Plan, draw_plan, read_plan
from reedspoke.lab.fleet_soak.soak_run import SoakReport, SoakRun
from reedspoke.telemetry.invariants import Invariant

SOUND, NOT_SOUND = 0, 1
MOST_SECONDS = 600.0
MOST_SEEDS = 1000
REPORT_NAME = "report.json"


def build_parser() -> argparse.ArgumentParser:
    """Arguments of the command."""
    parser = argparse.ArgumentParser(prog="python -m reedspoke.lab.fleet_soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed (%(default)s)")
    parser.add_argument("--count", type=int, default=1, help="how many seeds (%(default)s)")
    parser.add_argument("--seconds", type=float, default=20.0, help="of troubles in each run (%(default)s)")
    parser.add_argument("--control", type=int, default=3, help="control machines (%(default)s)")
    parser.add_argument("--edges", type=int, default=2, help="edge machines (%(default)s)")
    parser.add_argument("--series", action="store_true", help="signals and restarts also come in series")
    parser.add_argument("--per-s", type=float, default=30.0, help="requests a second (%(default)s)")
    parser.add_argument("--plan", type=Path, help="play the plan in this file instead")
    parser.add_argument("--keep", type=Path, help="keep what runs with problems wrote in this folder")
    return parser


def plans_of(arguments: argparse.Namespace) -> list[Plan]:
    """The plans to be played. Raises ValueError beyond the bounds."""
    if arguments.plan is not None:
        return [read_plan(arguments.plan)]
    if not 0 < arguments.seconds <= MOST_SECONDS or not 0 < arguments.count <= MOST_SEEDS:
        raise ValueError(f"at most {MOST_SECONDS:g} seconds and {MOST_SEEDS} seeds")
    seeds = range(arguments.seed, arguments.seed + arguments.count)
    drawn = [draw_plan(seed, arguments.seconds, series=arguments.series) for seed in seeds]
    sizes = {"control": arguments.control, "edges": arguments.edges, "per_s": arguments.per_s}
    return [msgspec.structs.replace(plan, **sizes) for plan in drawn]


def play(plan: Plan, keep: Path | None) -> SoakReport:
    """One run; its files are kept where it found something."""
    folder = Path(tempfile.mkdtemp(prefix="reedspoke-soak-"))
    try:
        report = asyncio.run(SoakRun(plan, folder).play())
        (folder / REPORT_NAME).write_bytes(msgspec.json.format(msgspec.json.encode(report)))
        if report.problems and keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            shutil.copytree(folder, keep / f"seed-{plan.seed}", dirs_exist_ok=True)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return report


def line_of(report: SoakReport) -> str:
    """One run in a line."""
    orders = ", ".join(f"{count} {name}" for name, count in report.operators.items())
    requests = ", ".join(f"{count} {name}" for name, count in report.outcomes.items())
    tallies = ", ".join(f"{count} {name}" for name, count in report.tallies.items())
    evacuations = ", ".join(f"{count} {name}" for name, count in report.evacuations.items())
    verdict = f"{len(report.problems)} PROBLEMS" if report.problems else "sound"
    return (
        f"seed {report.seed}: {report.seconds:g} s, {sum(report.played.values())} troubles "
        f"({report.overlapping} overlapping); {orders}; requests: {requests}; tallies: {tallies}; "
        f"evacuations: {evacuations}; "
        f"well after {report.recovery_s:g} s: {verdict}"
    )


def table_of(reports: list[SoakReport]) -> str:
    """What all runs played and evaluated together."""
    played: Counter[str] = Counter()
    evaluated: Counter[str] = Counter()
    for report in reports:
        played.update(report.played)
        evaluated.update(report.evaluations)
    broken = [report.seed for report in reports if report.problems]
    lines = [
        f"{len(reports)} runs, {sum(report.seconds for report in reports) / 60:.1f} minutes, "
        f"{sum(played.values())} troubles, {sum(report.overlapping for report in reports)} overlapping",
        "troubles: " + ", ".join(f"{name} {count}" for name, count in sorted(played.items())),
        "evaluations: " + ", ".join(f"{item.value} {evaluated[item.value]}" for item in Invariant),
        f"runs with problems: {broken or 'none'}",
    ]
    return "\n".join(lines)


def main(words: Sequence[str] | None = None) -> int:
    """The exit status."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that the fleet's processes are ended
    arguments = build_parser().parse_args(words)
    reports = []
    for plan in plans_of(arguments):
        report = play(plan, arguments.keep)
        reports.append(report)
        print(line_of(report), flush=True)
        for problem in report.problems[:20]:
            print(f"    {problem}", flush=True)
    print(table_of(reports))
    return NOT_SOUND if any(report.problems for report in reports) else SOUND


if __name__ == "__main__":
    sys.exit(main())
