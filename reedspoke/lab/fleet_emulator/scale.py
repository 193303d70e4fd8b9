"""Scale runs of several sizes, and the slopes through them."""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from collections.abc import Callable, Iterable
from pathlib import Path

import msgspec

from reedspoke.lab.fleet_emulator.fleet import FleetStartError
from reedspoke.lab.fleet_emulator.measurement import least_squares
from reedspoke.lab.fleet_emulator.report_text import struct_table
from reedspoke.lab.fleet_emulator.scale_figures import (
    LIST_RATE_PER_S,
    FailedRun,
    RunFigures,
    ScalePoint,
    ScaleReport,
    SlopeFigures,
)
from reedspoke.lab.fleet_emulator.scale_run import ScaleRun
from reedspoke.operator_cli.rendering import render_table

DIMENSIONS = ("edges", "workers", "routes", "load_size")
MOST_EDGES = 1000
MOST_WORKERS = 5000
MOST_ROUTES = 20_000
MOST_CHILDREN = 60
MOST_PHASE_S = 60.0
FIGURES = (
    "control_cpu", "control_cpu_worst", "control_mb_worst", "edge_in_bps", "edge_out_bps", "hollow_cpu",
    "real_cpu", "real_mb",
)  # fmt: skip


def sizes(text: str) -> tuple[int, ...]:
    """Whole numbers separated by commas."""
    return tuple(int(part) for part in text.split(","))


def build_parser(prog: str) -> argparse.ArgumentParser:
    """Arguments of `scale`."""
    parser = argparse.ArgumentParser(prog=prog, description=__doc__)
    parser.add_argument("--edges", type=sizes, default=(50, 200, 400), help="hollow schedulers")
    parser.add_argument("--workers", type=sizes, default=(2400,), help="workers in the list")
    parser.add_argument("--routes", type=sizes, default=(200,), help="routes in the configuration")
    parser.add_argument("--load", type=sizes, default=(0,), help="workers in use by each scheduler")
    parser.add_argument("--control", type=int, default=5, help="control plane processes (%(default)s)")
    parser.add_argument("--real-edges", type=int, default=1, help="data plane processes (%(default)s)")
    parser.add_argument("--hosts", type=int, default=3, help="processes of hollow schedulers (%(default)s)")
    parser.add_argument("--seconds", type=float, default=8.0, help="of each steady phase (%(default)s)")
    parser.add_argument(
        "--list-rate", type=float, default=LIST_RATE_PER_S, help="calls a second (%(default)s)"
    )
    parser.add_argument("--json", type=Path, help="write the results to this file")
    return parser


def points(arguments: argparse.Namespace) -> list[ScalePoint]:
    """Every combination of the sizes asked for. Raises ValueError where one is out of bounds."""
    check(arguments.control + arguments.real_edges + arguments.hosts <= MOST_CHILDREN, "processes")
    check(max(arguments.edges) <= MOST_EDGES, "hollow schedulers")
    check(max(arguments.workers) <= MOST_WORKERS, "workers")
    check(max(arguments.routes) <= MOST_ROUTES, "routes")
    check(0 < arguments.seconds <= MOST_PHASE_S, "seconds")
    return [
        ScalePoint(
            edges=edges,
            workers=workers,
            routes=routes,
            control=arguments.control,
            load_size=load,
            real_edges=arguments.real_edges,
            hosts=arguments.hosts,
            seconds=arguments.seconds,
            list_rate_per_s=arguments.list_rate,
        )
        for routes in arguments.routes
        for workers in arguments.workers
        for load in arguments.load
        for edges in arguments.edges
    ]


def check(holds: bool, what: str) -> None:
    if not holds:
        raise ValueError(f"too many {what}")


def run_scale(arguments: argparse.Namespace, progress: Callable[[str], None]) -> ScaleReport:
    """Play all sizes one after the other; one that fails is told and passed over. Raises ValueError."""
    runs: list[RunFigures] = []
    failed: list[FailedRun] = []
    for point in points(arguments):
        try:
            runs.append(run_point(point))
            progress(run_text(runs[-1]))
        except FleetStartError as error:
            failed.append(FailedRun(point, str(error)))
            progress(f"{point} FAILED: {error}\n")
    return ScaleReport(runs, list(slopes(runs)), failed)


def run_point(point: ScalePoint) -> RunFigures:
    """One size. Raises FleetStartError."""
    with tempfile.TemporaryDirectory(prefix="reedspoke-scale-") as folder:
        return asyncio.run(ScaleRun(point, Path(folder)).play())


def slopes(runs: list[RunFigures]) -> Iterable[SlopeFigures]:
    """A slope for each figure of each phase, over each dimension that alone varies."""
    for dimension in DIMENSIONS:
        values = {getattr(run.point, dimension) for run in runs}
        others_vary = any(
            len({getattr(run.point, other) for run in runs}) > 1 for other in DIMENSIONS if other != dimension
        )
        if len(values) > 1 and not others_vary:
            yield from slopes_over(dimension, runs)


def slopes_over(dimension: str, runs: list[RunFigures]) -> Iterable[SlopeFigures]:
    """The slopes over one dimension."""
    for name in [phase.phase for phase in runs[0].phases]:
        for figure in FIGURES:
            measured = [
                (float(getattr(run.point, dimension)), float(getattr(phase, figure)))
                for run in runs
                for phase in run.phases
                if phase.phase == name
            ]
            if len({size for size, _ in measured}) > 1:
                yield SlopeFigures(dimension, name, figure, least_squares(measured))


def run_text(run: RunFigures) -> str:
    """One run as text."""
    point = run.point
    header = ("phase", "changes", "ack p50", "ack worst", "in force p50", "p99", "worst", "missing")
    changes = [
        (
            each.phase, each.changes, each.acknowledged.median_s, each.acknowledged.worst_s,
            each.in_force.median_s, each.in_force.p99_s, each.in_force.worst_s, each.in_force.missing,
        )
        for each in run.changes
    ]  # fmt: skip
    return "\n".join(
        (
            f"{point.edges} schedulers, {point.workers} workers, {point.routes} routes, "
            f"load {point.load_size}, {point.control} control: start {run.start_s} s, "
            f"settled {run.settle_s} s after the loss, hollow {run.hollow_mb} MB each, "
            f"sessions lost {run.sessions_lost} {run.end_causes}",
            struct_table(run.phases),
            render_table(header, changes),
            "",
        )
    )


def slope_text(report: ScaleReport) -> str:
    """The slopes as text."""
    header = ("over", "phase", "figure", "per unit", "base", "largest miss")
    rows = []
    for each in report.slopes:
        values = (f"{value:.4g}" for value in msgspec.structs.astuple(each.slope))
        rows.append((each.dimension, each.phase, each.figure, *values))
    return render_table(header, rows) if rows else "no slopes: one size only"
