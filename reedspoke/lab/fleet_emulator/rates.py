"""One data plane process under several loads: what a request costs it."""

from __future__ import annotations

import argparse
import asyncio
from pathlib import Path

from msgspec import Struct

from reedspoke.lab.fleet_emulator.experiment import Options, Report, run
from reedspoke.lab.fleet_emulator.measurement import Slope, least_squares
from reedspoke.lab.fleet_emulator.report_text import struct_table

MOST_PER_S = 400.0
MOST_SECONDS = 60.0


class RateFigures(Struct, frozen=True):
    """One load. Processor time in percent of a core."""

    per_s: float
    requests: int
    not_served: int
    data_plane_cpu: float
    data_plane_mb: float
    control_cpu: float  # of all control processes together
    first_p95_ms: float  # the worst of the kinds


class RatesReport(Struct):
    """All loads and the slope of the data plane's processor time over requests a second."""

    rates: list[RateFigures]
    cpu: Slope
    memory: Slope
    sound: bool


def build_parser(prog: str) -> argparse.ArgumentParser:
    """Arguments of `rates`."""
    parser = argparse.ArgumentParser(prog=prog, description=__doc__)
    parser.add_argument("--per-s", default="20,60,120", help="requests a second (%(default)s)")
    parser.add_argument("--workers", type=int, default=9, help="emulated workers (%(default)s)")
    parser.add_argument("--seconds", type=float, default=8.0, help="of each load (%(default)s)")
    parser.add_argument("--json", type=Path, help="write the results to this file")
    return parser


def run_rates(arguments: argparse.Namespace) -> RatesReport:
    """Play all loads. Raises ValueError where one is out of bounds, FleetStartError where one cannot be."""
    rates = [float(part) for part in arguments.per_s.split(",")]
    if max(rates) > MOST_PER_S or arguments.seconds > MOST_SECONDS:
        raise ValueError(f"at most {MOST_PER_S:g} requests a second for {MOST_SECONDS:g} s")
    reports = [asyncio.run(run(options_for(rate, arguments))) for rate in rates]
    figures = [rate_figures(rate, report) for rate, report in zip(rates, reports, strict=True)]
    return RatesReport(
        rates=figures,
        cpu=least_squares([(each.per_s, each.data_plane_cpu) for each in figures]),
        memory=least_squares([(each.per_s, each.data_plane_mb) for each in figures]),
        sound=all(report.sound() for report in reports),
    )


def options_for(rate: float, arguments: argparse.Namespace) -> Options:
    """One data plane process at this rate."""
    return Options(control=3, edges=1, workers=arguments.workers, seconds=arguments.seconds, per_s=rate)


def rate_figures(rate: float, report: Report) -> RateFigures:
    """The figures of one load."""
    *control, edge = report.processes
    requests = sum(kind.requests for kind in report.kinds)
    served = sum(kind.served + kind.late for kind in report.kinds)
    return RateFigures(
        per_s=rate,
        requests=requests,
        not_served=requests - served,
        data_plane_cpu=edge.load_cpu,
        data_plane_mb=edge.resident_mb,
        control_cpu=round(sum(process.load_cpu for process in control), 1),
        first_p95_ms=max(kind.first_p95_ms for kind in report.kinds),
    )


def rates_text(report: RatesReport) -> str:
    """The figures as text."""
    cpu, memory = report.cpu, report.memory
    return "\n".join(
        (
            struct_table(report.rates),
            "",
            f"processor: {cpu.per_unit:.3f} % of a core for a request a second, {cpu.base:.2f} % without",
            f"memory: {memory.per_unit:.3f} MB for a request a second, {memory.base:.1f} MB without any",
            "sound" if report.sound else "NOT sound",
        )
    )
