"""After hundreds of changes a returning member catches up before it is used with its old state."""

from __future__ import annotations

import pytest

from tests.control_plane.disturbances import CATCH_UP_S
from tests.control_plane.fleet_scenario import fleet_in_service
from tests.control_plane.random_schedule import FaultScenario

CHANGES = 300


def _many_changes(scenario: FaultScenario) -> None:
    for _ in range(CHANGES):
        scenario.operators.order_next()
        assert scenario.simulation.run_until(lambda: not scenario.operators.open_orders(), 6.0)


@pytest.mark.parametrize("place", [0, 1, 2])
@pytest.mark.parametrize("loses_disk", [False, True])
def test_a_member_that_missed_hundreds_of_changes_is_complete_in_time(place: int, loses_disk: bool) -> None:
    scenario = fleet_in_service(seed=31 + place)
    simulation = scenario.simulation
    address = simulation.chain()[place]
    if loses_disk:
        simulation.lose_disk(address, restart_after=None)
    else:
        simulation.kill(address, restart_after=None)
    _many_changes(scenario)
    simulation.start(address)
    simulation.run(CATCH_UP_S)
    assert simulation.replica(address).in_chain
    assert simulation.judge.delivered_sequence(address) == CHANGES + 1
    others = [other for other in simulation.machines if other != address]
    simulation.lose_disk(others[0], restart_after=0.5)
    simulation.lose_power(others[1], restart_after=0.3)
    scenario.end()


def test_a_restart_of_all_after_hundreds_of_changes_keeps_the_newest() -> None:
    scenario = fleet_in_service(seed=37)
    _many_changes(scenario)
    newest = scenario.operators.newest()
    for address in list(scenario.simulation.machines):
        scenario.simulation.lose_power(address, restart_after=0.5)
    scenario.simulation.run(3.0)
    scenario.operators.order_next()
    scenario.end()
    assert scenario.operators.newest() > newest
