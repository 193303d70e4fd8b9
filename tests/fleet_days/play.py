"""Plays day files on a deployment with the users' bench and prints which rules broke on which day.

Exit status 1 tells that some day broke a rule, had a fault or missed a floor, or was not played.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

LONGEST_DAY_S = 1200.0


@dataclass(frozen=True)
class Outcome:
    """What the bench reported of one day."""

    day: str
    seed: int | None
    rules: dict[str, int]
    fault: str | None
    floors_missed: tuple[str, ...]

    @property
    def passed(self) -> bool:
        """Whether the day kept every rule, had no fault and reached its floors."""
        return not (self.rules or self.fault or self.floors_missed)

    def as_row(self) -> str:
        """A row of the printed table."""
        broken = ", ".join(f"{rule} {count}" for rule, count in sorted(self.rules.items()))
        parts = [broken, self.fault or "", "; ".join(self.floors_missed)]
        seed = "" if self.seed is None else f" seed {self.seed}"
        return f"{self.day + seed:70} {' | '.join(part for part in parts if part) or 'kept'}"


@dataclass(frozen=True)
class Bench:
    """The users' bench and how it is called."""

    program: Path
    site: Path
    jobs: int
    why: str

    def play(self, day: Path, seed: int | None, logs: Path | None) -> Outcome:
        """Plays one day; writes its output, with the logs of the control machines, if ``logs`` is given."""
        with tempfile.TemporaryDirectory() as scratch:
            report = Path(scratch) / "report.json"
            output = self._run(self._command(day, seed, report, logs), logs, day)
            if not report.exists():
                return Outcome(day.stem, seed, {}, f"not played: {output[-200:].strip()}", ())
            return outcome_of(day.stem, seed, json.loads(report.read_text()))

    def _command(self, day: Path, seed: int | None, report: Path, logs: Path | None) -> list[str]:
        command = [str(self.program), "run", str(self.site), str(day), "--jobs", str(self.jobs)]
        command += ["--why", self.why, "--report", str(report)]
        command += [] if seed is None else ["--seed", str(seed)]
        return command + ([] if logs is None else ["--log", "core"])

    def _run(self, command: list[str], logs: Path | None, day: Path) -> str:
        try:
            done = subprocess.run(command, capture_output=True, text=True, timeout=LONGEST_DAY_S, check=False)
        except subprocess.TimeoutExpired:
            return "no end in time"
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
            (logs / f"{day.stem}.txt").write_text(done.stdout + done.stderr)
        return done.stdout + done.stderr


def outcome_of(day: str, seed: int | None, report: dict[str, Any]) -> Outcome:
    """Reads the bench's report of a day."""
    floors_missed = tuple(str(floor) for floor in report["short"])
    return Outcome(day, seed, dict(report["breaks"]), report["fault"], floors_missed)


def play_all(bench: Bench, days: list[Path], seeds: list[int | None], logs: Path | None) -> Iterator[Outcome]:
    """Plays the days one after another, each with every seed."""
    for day in days:
        for seed in seeds:
            yield bench.play(day, seed, logs)


def parse_arguments() -> argparse.Namespace:
    """Reads the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=Path, help="site file of the deployment")
    parser.add_argument("days", type=Path, nargs="+", help="day files, or folders of day files")
    parser.add_argument("--bench", type=Path, required=True, help="the users' bench program")
    parser.add_argument("--jobs", type=int, default=6, help="cores that the bench may use")
    parser.add_argument("--seeds", type=int, nargs="*", help="seeds to play instead of each day's own")
    parser.add_argument("--only", default="*", help="glob for the names of day files in folders")
    parser.add_argument("--logs", type=Path, help="folder for the bench's output and the logs")
    parser.add_argument("--why", default="our own days of trouble at the control machines")
    return parser.parse_args()


def day_files(paths: list[Path], pattern: str) -> list[Path]:
    """The day files that the paths name, in order."""
    files: list[Path] = []
    for path in paths:
        files += sorted(path.glob(f"{pattern}.toml")) if path.is_dir() else [path]
    return files


def main() -> int:
    """Plays the days; returns the exit status."""
    arguments = parse_arguments()
    bench = Bench(arguments.bench, arguments.site, arguments.jobs, arguments.why)
    seeds = arguments.seeds or [None]
    failed = 0
    for outcome in play_all(bench, day_files(arguments.days, arguments.only), seeds, arguments.logs):
        print(outcome.as_row(), flush=True)
        failed += not outcome.passed
    print(f"{failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
