"""`python -m reedspoke.lab.fleet_emulator`: a whole fleet on loopback under load."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec

from reedspoke.lab.fleet_emulator.experiment import Options, run, run_in
from reedspoke.lab.fleet_emulator.faults import FaultShares
from reedspoke.lab.fleet_emulator.fleet import FleetStartError
from reedspoke.lab.fleet_emulator.report_text import report_text

MOST_SECONDS = 120.0
MOST_PROCESSES = 60
MOST_WORKERS = 60
SOUND, NOT_SOUND, USAGE, NOT_PLAYED = 0, 1, 2, 3
PROGRAM = "python -m reedspoke.lab.fleet_emulator"


def build_parser() -> argparse.ArgumentParser:
    """Arguments of the load run."""
    parser = argparse.ArgumentParser(prog=PROGRAM, description=__doc__)
    parser.add_argument("--control", type=int, default=3, help="control plane processes (%(default)s)")
    parser.add_argument("--edges", type=int, default=2, help="data plane processes (%(default)s)")
    parser.add_argument("--workers", type=int, default=4, help="emulated workers (%(default)s)")
    parser.add_argument("--seconds", type=float, default=8.0, help="length of the load (%(default)s)")
    parser.add_argument("--per-s", type=float, default=40.0, help="requests a second (%(default)s)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--garbled", type=float, default=0.0, help="share of answers that are garbled")
    parser.add_argument("--surplus", type=float, default=0.0, help="share followed by a surplus answer")
    parser.add_argument("--lost", type=float, default=0.0, help="share lost by a reset")
    parser.add_argument("--json", type=Path, help="write the report to this file")
    parser.add_argument("--keep", type=Path, help="keep logs and settings files in this new folder")
    return parser


def options_of(arguments: argparse.Namespace) -> Options:
    """Options within their bounds. Raises ValueError for others."""
    if not 0 < arguments.seconds <= MOST_SECONDS:
        raise ValueError(f"--seconds is at most {MOST_SECONDS:g}")
    if arguments.control + arguments.edges > MOST_PROCESSES or arguments.workers > MOST_WORKERS:
        raise ValueError(f"at most {MOST_PROCESSES} processes and {MOST_WORKERS} workers")
    return Options(
        control=arguments.control,
        edges=arguments.edges,
        workers=arguments.workers,
        seconds=arguments.seconds,
        per_s=arguments.per_s,
        seed=arguments.seed,
        faults=FaultShares(arguments.garbled, arguments.surplus, arguments.lost),
    )


def main(words: Sequence[str] | None = None) -> int:
    """The exit status."""
    given = list(sys.argv[1:] if words is None else words)
    try:
        return play_load(given)
    except ValueError as error:
        print(error, file=sys.stderr)
        return USAGE
    except FleetStartError as error:
        print(error, file=sys.stderr)
        return NOT_PLAYED


def play_load(words: Sequence[str]) -> int:
    """A fleet under load: the exit status."""
    arguments = build_parser().parse_args(words)
    options = options_of(arguments)
    if arguments.keep is None:
        report = asyncio.run(run(options))
    else:
        arguments.keep.mkdir(parents=True)
        report = asyncio.run(run_in(arguments.keep, options))
    print(report_text(report))
    _write_json(arguments.json, report)
    return SOUND if report.sound() else NOT_SOUND


def _write_json(path: Path | None, results: object) -> None:
    """To the file that `--json` names, if any."""
    if path is not None:
        path.write_bytes(msgspec.json.encode(results))


if __name__ == "__main__":
    sys.exit(main())
