"""Plans are drawn from their seed alone, and played again from their file."""

from __future__ import annotations

from pathlib import Path

from reedspoke.lab.fleet_soak.plan import (
    LEAST_S,
    LONGEST_S,
    SINGLE_KINDS,
    Kind,
    Trouble,
    draw_plan,
    overlapping,
    read_plan,
    write_plan,
)

SECONDS = 60.0


def test_a_seed_is_a_plan(tmp_path: Path) -> None:
    plan = draw_plan(7, SECONDS)
    assert plan == draw_plan(7, SECONDS)
    assert plan != draw_plan(8, SECONDS)
    write_plan(plan, tmp_path / "plan.json")
    assert read_plan(tmp_path / "plan.json") == plan


def test_troubles_overlap_and_stay_within_their_bounds() -> None:
    plan = draw_plan(7, SECONDS)
    assert all(0 < trouble.at_s < SECONDS for trouble in plan.troubles)
    assert all(LEAST_S - 0.001 <= trouble.for_s <= LONGEST_S + 0.001 for trouble in plan.troubles)
    assert overlapping(plan.troubles) > len(plan.troubles) / 2


def kinds_drawn(*, series: bool) -> set[Kind]:
    """The kinds of 20 plans."""
    plans = [draw_plan(seed, SECONDS, series=series) for seed in range(20)]
    return {trouble.kind for plan in plans for trouble in plan.troubles}


def test_every_kind_comes() -> None:
    assert kinds_drawn(series=True) == set(Kind)


def test_a_plan_without_series_has_every_single_kind_and_no_other() -> None:
    assert kinds_drawn(series=False) == set(SINGLE_KINDS)


def test_overlaps_are_counted() -> None:
    first = Trouble(Kind.HUP, 1.0, 1.0, 0)
    during = Trouble(Kind.HUP, 1.5, 0.1, 0)
    after = Trouble(Kind.HUP, 2.5, 1.0, 0)
    assert overlapping((first, during, after)) == 1
