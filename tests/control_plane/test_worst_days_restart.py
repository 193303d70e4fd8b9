"""Control schedulers come back, all at once or after a cut, while parsing a configuration takes a while."""

from __future__ import annotations

import pytest

from tests.control_plane.worst_day import fleet_in_service, run_with_orders

PARSING_S = (0.3, 0.5)  # of a large configuration


@pytest.mark.parametrize("seed", range(101, 105))
def test_what_is_not_parsed_yet_is_not_told_as_older_news(seed: int) -> None:
    """A data plane scheduler that missed changes must not be told that what it holds is the newest."""
    world = fleet_in_service(seed)
    world.fleet.control.prepare_s = PARSING_S
    simulation = world.simulation
    world.fleet.data_plane.cut("e1", list(simulation.machines))
    run_with_orders(world, 3.0)
    for address in simulation.machines:
        simulation.kill(address, restart_after=0.3)
    world.fleet.data_plane.join()
    simulation.run(4.0)
    world.end()


@pytest.mark.parametrize("place", [0, 1, 2])
def test_who_comes_back_from_a_cut_does_not_tell_old_news_while_it_parses(place: int) -> None:
    world = fleet_in_service(seed=111 + place)
    simulation = world.simulation
    address = simulation.chain()[place]
    others = [other for other in simulation.machines if other != address]
    simulation.kill(address, restart_after=0.3)
    world.fleet.control.prepare_s = PARSING_S
    simulation.run(5.0)
    simulation.cut_off([address])
    world.fleet.data_plane.cut("e1", others)
    run_with_orders(world, 6.0)
    simulation.join()
    simulation.run(4.0)
    world.fleet.data_plane.join()
    world.end()
