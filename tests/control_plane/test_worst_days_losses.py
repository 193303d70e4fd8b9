"""A second loss right after a repair or replacement, and members that shut down while few copies exist."""

from __future__ import annotations

import pytest

from tests.control_plane.disturbances import CATCH_UP_S
from tests.control_plane.fleet_scenario import fleet_in_service, run_with_orders
from tests.control_plane.random_schedule import FaultScenario

WHILE_REPLACED_S = 1.0


def _replace(scenario: FaultScenario, old: str, planned: bool) -> None:
    """Replace a machine by a new one with an empty disk and another address, added first if `planned`."""
    simulation = scenario.simulation
    if planned:
        simulation.add_machine("n1")
        run_with_orders(scenario, WHILE_REPLACED_S)
        simulation.shut_down(old, gone_after=1.0)
        run_with_orders(scenario, WHILE_REPLACED_S)
        simulation.remove_machine(old)
    else:
        simulation.remove_machine(old)
        run_with_orders(scenario, WHILE_REPLACED_S)
        simulation.add_machine("n1")
    run_with_orders(scenario, CATCH_UP_S)


@pytest.mark.parametrize("with_power", [False, True])
@pytest.mark.parametrize("planned", [False, True])
@pytest.mark.parametrize("place", [0, 1, 2])
def test_any_disk_may_be_lost_once_a_replacement_has_caught_up(
    place: int, planned: bool, with_power: bool
) -> None:
    for second in range(3):
        scenario = fleet_in_service(seed=80 + place)
        simulation = scenario.simulation
        _replace(scenario, simulation.chain()[place], planned)
        machines = list(simulation.machines)
        simulation.lose_disk(machines[second], restart_after=0.5)
        if with_power:
            for address in machines:
                if address != machines[second]:
                    simulation.lose_power(address, restart_after=0.3)
        run_with_orders(scenario, 2.0)
        scenario.end()


@pytest.mark.parametrize("place", [0, 1, 2])
def test_disks_are_lost_one_after_another_once_each_machine_has_caught_up(place: int) -> None:
    scenario = fleet_in_service(seed=90 + place)
    for turn in range(3):
        address = list(scenario.simulation.machines)[(place + turn) % 3]
        scenario.simulation.lose_disk(address, restart_after=0.3)
        run_with_orders(scenario, 0.3 + CATCH_UP_S)
    scenario.end()


@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_machine_shuts_down_once_another_with_a_lost_disk_has_caught_up(place: int) -> None:
    scenario = fleet_in_service(seed=95 + place)
    simulation = scenario.simulation
    lost = simulation.chain()[place]
    simulation.lose_disk(lost, restart_after=0.3)
    run_with_orders(scenario, 0.3 + CATCH_UP_S)
    leaving = next(address for address in simulation.machines if address != lost)
    simulation.shut_down(leaving, gone_after=1.0)
    run_with_orders(scenario, 1.5)
    simulation.start(leaving)
    scenario.end()


def test_two_of_five_are_replaced_at_once_and_two_more_lose_their_disks() -> None:
    scenario = fleet_in_service(seed=99, machines=5, tolerated=2)
    simulation = scenario.simulation
    for number, old in enumerate(["m1", "m5"]):
        simulation.remove_machine(old)
        simulation.add_machine(f"n{number}")
    run_with_orders(scenario, CATCH_UP_S)
    for address in ("m2", "n0"):
        simulation.lose_disk(address, restart_after=0.5)
    run_with_orders(scenario, 2.0)
    scenario.end()
