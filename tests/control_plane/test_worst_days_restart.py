"""Control schedulers restart at once or return from a partition while they parse a large configuration."""

from __future__ import annotations

from tests.control_plane.fleet_scenario import fleet_in_service, run_with_orders

PARSING_S = (0.3, 0.5)  # time to parse a large configuration


def test_an_outdated_version_is_not_confirmed_while_a_newer_one_is_parsed() -> None:
    """A data plane scheduler that missed changes must get no confirmation that its version is the newest."""
    for seed in range(101, 105):
        _check_restart_of_all(seed)


def _check_restart_of_all(seed: int) -> None:
    scenario = fleet_in_service(seed)
    scenario.fleet.control.prepare_s = PARSING_S
    simulation = scenario.simulation
    scenario.fleet.data_plane.partition("e1", list(simulation.machines))
    run_with_orders(scenario, 3.0)
    for address in simulation.machines:
        simulation.kill(address, restart_after=0.3)
    scenario.fleet.data_plane.heal_partitions()
    simulation.run(4.0)
    scenario.end()


def test_a_machine_back_from_a_partition_confirms_no_outdated_version_while_it_parses() -> None:
    for place in range(3):
        _check_return_of_one(place)


def _check_return_of_one(place: int) -> None:
    scenario = fleet_in_service(seed=111 + place)
    simulation = scenario.simulation
    address = simulation.chain()[place]
    others = [other for other in simulation.machines if other != address]
    simulation.kill(address, restart_after=0.3)
    scenario.fleet.control.prepare_s = PARSING_S
    simulation.run(5.0)
    simulation.cut_off([address])
    scenario.fleet.data_plane.partition("e1", others)
    run_with_orders(scenario, 6.0)
    simulation.restore_links()
    simulation.run(4.0)
    scenario.fleet.data_plane.heal_partitions()
    scenario.end()


def test_a_worker_list_term_is_not_reused_after_all_control_schedulers_were_killed() -> None:
    """Otherwise a data plane scheduler with the old list would treat another list as the same version."""
    scenario = fleet_in_service(seed=121)
    simulation = scenario.simulation
    machines = list(simulation.machines)
    for name in scenario.fleet.data_plane.nodes:
        scenario.fleet.data_plane.partition(name, machines)
    for address in machines:
        simulation.kill(address, restart_after=0.3)
    simulation.run(3.0)
    scenario.fleet.platform.add_worker()
    simulation.run(2.0)
    scenario.fleet.data_plane.heal_partitions()
    scenario.end()
