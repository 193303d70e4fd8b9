"""Control schedulers come back, all at once or after a cut, while parsing a configuration takes a while."""

from __future__ import annotations

from tests.control_plane.fleet_scenario import fleet_in_service, run_with_orders

PARSING_S = (0.3, 0.5)  # of a large configuration


def test_what_is_not_parsed_yet_is_not_told_as_older_news() -> None:
    """A data plane scheduler that missed changes must not be told that what it holds is the newest."""
    for seed in range(101, 105):
        _all_come_back(seed)


def _all_come_back(seed: int) -> None:
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


def test_who_comes_back_from_a_cut_does_not_tell_old_news_while_it_parses() -> None:
    for place in range(3):
        _one_comes_back(place)


def _one_comes_back(place: int) -> None:
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
    simulation.restore_links()
    simulation.run(4.0)
    world.fleet.data_plane.join()
    world.end()


def test_a_term_of_the_list_is_not_used_again_once_all_control_schedulers_died() -> None:
    """Else a data plane scheduler with the old list takes another one of the same version for its own."""
    world = fleet_in_service(seed=121)
    simulation = world.simulation
    machines = list(simulation.machines)
    for name in world.fleet.data_plane.nodes:
        world.fleet.data_plane.cut(name, machines)
    for address in machines:
        simulation.kill(address, restart_after=0.3)
    simulation.run(3.0)
    world.fleet.platform.come()
    simulation.run(2.0)
    world.fleet.data_plane.join()
    world.end()
