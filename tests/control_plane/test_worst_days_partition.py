"""A control machine is cut off from the others for twenty seconds; data plane schedulers still reach it."""

from __future__ import annotations

import pytest

from reedspoke.common.errors import ErrorCode
from tests.control_plane.random_schedule import World
from tests.control_plane.simulated_parts import Direction
from tests.control_plane.worst_day import acknowledged, fleet_in_service, run_with_orders

CUT_S = 20.0
DETECTED_S = 2.0  # a machine knows by then that it is cut off
UNCLEAR = (ErrorCode.NO_QUORUM, ErrorCode.WRITE_UNCLEAR)


def _answers_while_cut_off(world: World, address: str, seconds: float) -> None:
    """Orders go to the machine that is cut off first; it neither confirms nor refuses any."""
    simulation = world.simulation
    before = set(simulation.judge.put_answers)
    orders = run_with_orders(world, seconds, at=address)
    asked_there = set(simulation.machines[address].calls.values())
    for call, answer in simulation.judge.put_answers.items():
        if call in asked_there and call not in before:
            assert answer.error in UNCLEAR
    assert len(acknowledged(world, orders)) > seconds / 4


@pytest.mark.parametrize("place", [0, 1, 2])
@pytest.mark.parametrize("direction", list(Direction))
def test_it_hands_out_nothing_old_and_answers_no_order(place: int, direction: Direction) -> None:
    world = fleet_in_service(seed=41 + place)
    address = world.simulation.chain()[place]
    world.simulation.network.holds = direction is not Direction.BOTH
    world.simulation.cut_off([address], direction)
    world.simulation.run(DETECTED_S)
    _answers_while_cut_off(world, address, CUT_S - DETECTED_S)
    world.simulation.join()
    run_with_orders(world, 2.0, at=address)
    world.end()


@pytest.mark.parametrize("place", [0, 2])
def test_restarts_and_seeds_that_begin_with_it_change_nothing(place: int) -> None:
    world = fleet_in_service(seed=51 + place)
    simulation = world.simulation
    address = simulation.chain()[place]
    simulation.cut_off([address])
    simulation.change_seeds((address, *(other for other in simulation.machines if other != address)))
    run_with_orders(world, DETECTED_S)
    simulation.kill(address, restart_after=0.3)
    for name in world.fleet.data_plane.nodes:
        world.fleet.data_plane.kill(name, restart_after=0.2)
    run_with_orders(world, 6.0)
    others = [other for other in simulation.machines if other != address]
    for other in others:
        simulation.kill(other, restart_after=0.3)
        run_with_orders(world, 5.0)
    simulation.join()
    world.end()
    assert world.fleet.judge.looks_in_touch


def test_two_of_five_that_reach_each_other_lead_nobody_astray() -> None:
    world = fleet_in_service(seed=61, machines=5, tolerated=2)
    simulation = world.simulation
    victims = [simulation.chain()[0], simulation.chain()[-1]]
    simulation.cut_off(victims)
    simulation.run(DETECTED_S)
    for address in victims:
        _answers_while_cut_off(world, address, (CUT_S - DETECTED_S) / 2)
    simulation.join()
    world.end()
