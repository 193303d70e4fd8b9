"""A short soak of real processes; the long form is `python -m reedspoke.lab.fleet_soak`."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from msgspec import structs

from reedspoke.lab.fleet_soak.evacuations import EvacuationOperator, ZoneOrderSent
from reedspoke.lab.fleet_soak.plan import Kind, Plan, Trouble, draw_plan
from reedspoke.lab.fleet_soak.soak_run import SoakRun
from reedspoke.telemetry.invariants import Invariant

CONTROL_PLANE_TROUBLES = (
    Trouble(Kind.CUT_HALVES, 0.5, 1.5, 1),
    Trouble(Kind.PAUSE_CONTROL, 0.8, 1.6, 0),
    Trouble(Kind.DISK_STALL, 1.0, 1.2, 2),
    Trouble(Kind.RESET, 1.5, 0.1, 3),
    Trouble(Kind.POWER_ALL, 2.9, 0.4, 0),
    Trouble(Kind.HUP, 3.0, 0.1, 1),
)
DATA_PLANE_TROUBLES = (
    Trouble(Kind.WORKER_CRASH, 0.5, 2.5, 0),
    Trouble(Kind.KILL_EDGE, 0.7, 0.6, 0),
    Trouble(Kind.PAUSE_EDGE, 1.0, 0.8, 1),
    Trouble(Kind.TERM_CONTROL, 1.2, 0.3, 1),
    Trouble(Kind.CUT_WORKER, 1.4, 1.0, 1),
    Trouble(Kind.CUT_EDGE, 1.8, 1.5, 1),
    Trouble(Kind.PLATFORM_DOWN, 2.0, 1.0, 0),
)
SECONDS = 4.0
SERIES_S = 8.0


@pytest.mark.parametrize("troubles", [CONTROL_PLANE_TROUBLES, DATA_PLANE_TROUBLES], ids=["control", "data"])
def test_promises_hold_under_troubles_that_overlap(troubles: tuple[Trouble, ...], tmp_path: Path) -> None:
    report = asyncio.run(SoakRun(Plan(1, SECONDS, troubles), tmp_path).play())
    assert report.problems == []
    assert sum(report.played.values()) == len(troubles)
    assert report.operators["acknowledged"] > 1
    assert report.outcomes["served"] > 0
    never = {item.value for item in Invariant if not report.evaluations.get(item.value)}
    assert never == set()


@pytest.mark.parametrize(("seed", "control"), [(101, 3), (102, 5)])
def test_promises_hold_under_drawn_series_of_signals_restarts_and_changes(
    seed: int, control: int, tmp_path: Path
) -> None:
    plan = structs.replace(draw_plan(seed, SERIES_S, series=True), control=control)
    report = asyncio.run(SoakRun(plan, tmp_path).play())
    assert report.problems == []
    assert report.tallies["acknowledged"] > 0
    assert report.tallies["reads"] > 0
    assert report.evacuations["acknowledged"] > 0


def test_what_may_be_in_force_follows_from_the_orders() -> None:
    operator = EvacuationOperator(lambda: (), seed=1)

    def possible(*orders: tuple[bool, bool]) -> set[bool]:
        """After these orders: what each asked for, and whether it was acknowledged."""
        operator.orders = [
            ZoneOrderSent(evacuated, 1.0 if is_known else None) for evacuated, is_known in orders
        ]
        return operator.possible_effects()

    assert possible() == {False}
    assert possible((True, False)) == {True, False}
    assert possible((True, True)) == {True}
    assert possible((True, True), (False, False)) == {True, False}
    assert possible((True, True), (False, False), (True, True)) == {True}
    assert possible((True, False), (False, True)) == {False}
