"""Seeded random schedules of faults and calls; the judge checks each answer and delivery."""

from __future__ import annotations

import pytest

from tests.control_plane.schedule import play
from tests.control_plane.simulation import Simulation

STEPS = 20


@pytest.mark.parametrize("seed", range(70))
def test_three_machines_of_which_one_may_be_lost(seed: int) -> None:
    play(Simulation(seed, machines=3, tolerated=1), tolerated=1, steps=STEPS)


@pytest.mark.parametrize("seed", range(1000, 1012))
def test_four_machines_of_which_one_may_be_lost(seed: int) -> None:
    play(Simulation(seed, machines=4, tolerated=1), tolerated=1, steps=STEPS)


@pytest.mark.parametrize("seed", range(2000, 2016))
def test_five_machines_of_which_two_may_be_lost(seed: int) -> None:
    play(Simulation(seed, machines=5, tolerated=2), tolerated=2, steps=STEPS)


@pytest.mark.parametrize("seed", range(3000, 3010))
def test_one_machine_alone(seed: int) -> None:
    play(Simulation(seed, machines=1, tolerated=0, seeds=1), tolerated=0, steps=STEPS)
