"""A seed that loses its disk, or its machine, before the first view is decided."""

from __future__ import annotations

import pytest

from tests.control_plane.loss_check import check_by_trial, check_records, further_losses
from tests.control_plane.schedule import check_end
from tests.control_plane.simulation import Simulation
from tests.control_plane.strength import time_to_full_strength

CATCH_UP_S = 4.0


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("lost", ["m1", "m2", "m3"])
@pytest.mark.parametrize("moment", [0.0, 0.1, 0.2, 0.3])
def test_a_seed_whose_disk_is_lost_at_the_first_start(moment: float, lost: str, seed: int) -> None:
    simulation = Simulation(seed)
    simulation.run(moment)
    simulation.lose_disk(lost, restart_after=0.3)
    simulation.run(0.4)
    assert time_to_full_strength(simulation, 1) < CATCH_UP_S
    assert simulation.put_and_wait("m1", 0, 1, b"first") is None
    check_records(simulation, set(), 1)
    for wiped in further_losses(simulation, set(), 1):
        check_by_trial(simulation, set(), wiped)
    check_end(simulation)


@pytest.mark.parametrize("count", range(1, 31, 2))
def test_a_seed_whose_disk_is_lost_at_a_numbered_message(count: int) -> None:
    simulation = Simulation(seed=count)

    def on_message(number: int) -> None:
        if number == count:
            simulation.lose_disk("m2", restart_after=0.2)

    simulation.on_message = on_message
    simulation.run(2.0)
    assert time_to_full_strength(simulation, 1) < CATCH_UP_S
    assert simulation.put_and_wait("m3", 0, 1, b"first") is None
    simulation.run(1.0)
    assert time_to_full_strength(simulation, 1) < CATCH_UP_S
    check_records(simulation, set(), 1)


def test_a_seed_that_starts_late_joins_what_the_others_have_begun() -> None:
    simulation = Simulation(seed=2)
    simulation.kill("m3", restart_after=3.5)
    simulation.run(0.31)
    simulation.kill("m3", restart_after=3.5)
    simulation.run(3.0)
    assert sorted(simulation.chain()) == ["m1", "m2"]
    simulation.run(1.0)
    assert time_to_full_strength(simulation, 1) < CATCH_UP_S
    assert sorted(simulation.chain()) == ["m1", "m2", "m3"]


def test_no_view_without_a_majority_of_the_seeds() -> None:
    simulation = Simulation(seed=3)
    simulation.run(0.05)
    for address in ("m1", "m3"):
        simulation.lose_disk(address, restart_after=0.3)
    simulation.run(8.0)
    assert simulation.newest_view() is None
