"""Control schedulers restart at once or return from a partition while they parse a large configuration."""

from __future__ import annotations

from tests.control_plane.fleet_scenario import fleet_in_service, run_with_orders

PARSING_S = (0.3, 0.5)  # of a large configuration


def test_an_outdated_version_is_not_confirmed_while_a_newer_one_is_parsed() -> None:
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


def test_a_machine_back_from_a_partition_confirms_no_outdated_version_while_it_parses() -> None:
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


def test_a_worker_list_term_is_not_reused_after_all_control_schedulers_were_killed() -> None:
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
