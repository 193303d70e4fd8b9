"""Seeds that lose their disk or machine, or start late, before the first view is decided."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from reedspoke.control_plane.replication.chain_repair import MISSING_SEED_TIMEOUT_S
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
    simulation.run(3.0)
    assert time_to_full_strength(simulation, 1) < CATCH_UP_S
    assert simulation.put_and_wait("m3", 0, 1, b"first") is None
    simulation.run(1.0)
    assert time_to_full_strength(simulation, 1) < CATCH_UP_S
    check_records(simulation, set(), 1)


@pytest.mark.parametrize("late", [1.0, 2.0, MISSING_SEED_TIMEOUT_S - 0.2])
def test_the_first_start_waits_for_a_seed_that_starts_late(late: float) -> None:
    simulation = _late_start("m3", late)
    assert simulation.newest_view() is None
    simulation.run(1.0)
    assert simulation.chain() == ["m1", "m2", "m3"]
    view = simulation.newest_view()
    assert view is not None
    assert view.number == 1


def test_a_first_start_without_one_seed_completes_in_time() -> None:
    """The rules with time bounds hold 3 s after the start even if one seed never started."""
    simulation = _late_start("m3", 10.0, runs=3.0)
    assert simulation.chain() == ["m1", "m2"]
    assert simulation.put_and_wait("m1", 0, 1, b"first") is None


@pytest.mark.parametrize("late", [MISSING_SEED_TIMEOUT_S + 0.5, 4.0, 7.0])
def test_a_seed_that_starts_too_late_joins_the_first_view_of_the_others(late: float) -> None:
    simulation = _late_start("m3", late)
    assert simulation.chain() == ["m1", "m2"]
    assert simulation.put_and_wait("m1", 0, 1, b"first") is None
    assert time_to_full_strength(simulation, 1) < CATCH_UP_S
    assert sorted(simulation.chain()) == ["m1", "m2", "m3"]
    check_records(simulation, set(), 1)


class LateStart(Simulation):
    """The first start, with one machine that starts later than the others."""

    def __init__(self, address: str, late: float) -> None:
        self._late_address = address
        self._late = late
        super().__init__(seed=2)

    def _starter(self, address: str) -> Callable[[], None]:
        starts = super()._starter(address)
        if address != self._late_address:
            return starts
        return lambda: self.at(self.now + self._late, starts)


def _late_start(address: str, late: float, runs: float | None = None) -> Simulation:
    """A first start, run for `runs` seconds or until the late machine starts."""
    simulation = LateStart(address, late)
    if runs is not None:
        simulation.run(runs)
        return simulation
    simulation.run_until(lambda: simulation.machines[address].replica is not None, late + 1.0)
    return simulation


def test_no_view_without_a_majority_of_the_seeds() -> None:
    simulation = Simulation(seed=3)
    simulation.run(0.05)
    for address in ("m1", "m3"):
        simulation.lose_disk(address, restart_after=0.3)
    simulation.run(8.0)
    assert simulation.newest_view() is None


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("lost", [("m1", "m2"), ("m2", "m3"), ("m1", "m4"), ("m4", "m5")])
def test_two_of_five_may_be_lost_as_soon_as_there_is_a_first_view(lost: tuple[str, str], seed: int) -> None:
    """If only the seeds voted until the others had joined, this would hold only 1.4 s later."""
    simulation = Simulation(seed, machines=5, tolerated=2)
    simulation.run_until(lambda: simulation.newest_view() is not None, CATCH_UP_S)
    view = simulation.newest_view()
    assert view is not None
    assert len(view.voters) == 5
    for address in lost:
        simulation.lose_power(address, restart_after=None)
    left = next(address for address in simulation.machines if address not in lost)
    simulation.run(3.0)
    assert simulation.put_and_wait(left, 0, 1, b"first") is None
