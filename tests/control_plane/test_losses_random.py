"""Seeded random losses; at each step every further tolerated loss is checked. `loss_hunt` runs more."""

from __future__ import annotations

import pytest

from tests.control_plane.loss_hunt import SIZES, run_schedule

STEPS = 40
TRIAL_SHARE = 0.05


@pytest.mark.parametrize("seed", [104, 130, 139, *range(4)])
def test_three_machines_of_which_one_may_be_lost(seed: int) -> None:
    run_schedule(SIZES[0], seed, STEPS, TRIAL_SHARE)


@pytest.mark.parametrize("seed", [104, 110, 115, 132, *range(100, 103)])
def test_five_machines_of_which_two_may_be_lost(seed: int) -> None:
    run_schedule(SIZES[1], seed, STEPS, TRIAL_SHARE)


@pytest.mark.parametrize("seed", range(200, 203))
def test_four_machines_of_which_one_may_be_lost(seed: int) -> None:
    run_schedule(SIZES[2], seed, STEPS, TRIAL_SHARE)


@pytest.mark.parametrize("seed", range(300, 302))
def test_seven_machines_of_which_two_may_be_lost(seed: int) -> None:
    run_schedule(SIZES[3], seed, STEPS, TRIAL_SHARE)
