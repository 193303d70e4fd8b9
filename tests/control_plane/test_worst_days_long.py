"""After hundreds of changes a member that comes back catches up, and never leads with what it had before."""

from __future__ import annotations

import pytest

from tests.control_plane.calm import CATCH_UP_S
from tests.control_plane.random_schedule import World
from tests.control_plane.worst_day import fleet_in_service

CHANGES = 300


def _many_changes(world: World) -> None:
    for _ in range(CHANGES):
        world.operators.order_next()
        assert world.simulation.run_until(lambda: not world.operators.open_orders(), 6.0)


@pytest.mark.parametrize("place", [0, 1, 2])
@pytest.mark.parametrize("loses_disk", [False, True])
def test_a_member_that_missed_hundreds_of_changes_is_complete_in_time(place: int, loses_disk: bool) -> None:
    world = fleet_in_service(seed=31 + place)
    simulation = world.simulation
    address = simulation.chain()[place]
    if loses_disk:
        simulation.lose_disk(address, restart_after=None)
    else:
        simulation.kill(address, restart_after=None)
    _many_changes(world)
    simulation.start(address)
    simulation.run(CATCH_UP_S)
    assert simulation.replica(address).in_chain
    assert simulation.judge.delivered_sequence(address) == CHANGES + 1
    others = [other for other in simulation.machines if other != address]
    simulation.lose_disk(others[0], restart_after=0.5)
    simulation.lose_power(others[1], restart_after=0.3)
    world.end()


def test_all_restarted_after_hundreds_of_changes_go_on_with_the_newest() -> None:
    world = fleet_in_service(seed=37)
    _many_changes(world)
    newest = world.operators.newest()
    for address in list(world.simulation.machines):
        world.simulation.lose_power(address, restart_after=0.5)
    world.simulation.run(3.0)
    world.operators.order_next()
    world.end()
    assert world.operators.newest() > newest
