"""A control machine is partitioned for twenty seconds, while data plane schedulers still reach it."""

from __future__ import annotations

import pytest

from reedspoke.common.errors import ErrorCode
from tests.control_plane.fleet_scenario import acknowledged, fleet_in_service, run_with_orders
from tests.control_plane.random_schedule import FaultScenario
from tests.control_plane.simulated_parts import Direction

CUT_S = 20.0
DETECTED_S = 2.0  # by then a machine has detected that it is cut off
UNCLEAR = (ErrorCode.NO_QUORUM, ErrorCode.WRITE_UNCLEAR)


def _answers_while_cut_off(scenario: FaultScenario, address: str, seconds: float) -> None:
    """Changes are submitted to the partitioned machine first, which neither accepts nor rejects any."""
    simulation = scenario.simulation
    before = set(simulation.judge.put_answers)
    orders = run_with_orders(scenario, seconds, at=address)
    calls_there = set(simulation.machines[address].calls.values())
    for call, answer in simulation.judge.put_answers.items():
        if call in calls_there and call not in before:
            assert answer.error in UNCLEAR
    assert len(acknowledged(scenario, orders)) > seconds / 4


@pytest.mark.parametrize("place", [0, 1, 2])
@pytest.mark.parametrize("direction", list(Direction))
def test_a_partitioned_machine_delivers_no_outdated_state_and_answers_no_change(
    place: int, direction: Direction
) -> None:
    scenario = fleet_in_service(seed=41 + place)
    address = scenario.simulation.chain()[place]
    scenario.simulation.network.holds = direction is not Direction.BOTH
    scenario.simulation.cut_off([address], direction)
    scenario.simulation.run(DETECTED_S)
    _answers_while_cut_off(scenario, address, CUT_S - DETECTED_S)
    scenario.simulation.restore_links()
    run_with_orders(scenario, 2.0, at=address)
    scenario.end()


@pytest.mark.parametrize("place", [0, 2])
def test_restarts_and_seeds_that_name_the_partitioned_machine_first_do_no_harm(place: int) -> None:
    scenario = fleet_in_service(seed=51 + place)
    simulation = scenario.simulation
    address = simulation.chain()[place]
    simulation.cut_off([address])
    simulation.change_seeds((address, *(other for other in simulation.machines if other != address)))
    run_with_orders(scenario, DETECTED_S)
    simulation.kill(address, restart_after=0.3)
    for name in scenario.fleet.data_plane.nodes:
        scenario.fleet.data_plane.kill(name, restart_after=0.2)
    run_with_orders(scenario, 6.0)
    others = [other for other in simulation.machines if other != address]
    for other in others:
        simulation.kill(other, restart_after=0.3)
        run_with_orders(scenario, 5.0)
    simulation.restore_links()
    scenario.end()
    assert scenario.fleet.judge.looks_in_touch


def test_two_of_five_that_reach_each_other_deliver_no_outdated_state() -> None:
    scenario = fleet_in_service(seed=61, machines=5, tolerated=2)
    simulation = scenario.simulation
    victims = [simulation.chain()[0], simulation.chain()[-1]]
    simulation.cut_off(victims)
    simulation.run(DETECTED_S)
    for address in victims:
        _answers_while_cut_off(scenario, address, (CUT_S - DETECTED_S) / 2)
    simulation.restore_links()
    scenario.end()
