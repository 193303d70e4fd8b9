"""A chain recovers from a whole copy outside it when its own complete members are gone.

Guards against a configuration that is acknowledged and never comes back: a view removes a member that has
everything, appends another in its place, and the last complete member loses its disk before the appended one
has its copy. No more disks are lost than tolerated.
"""

from __future__ import annotations

import pytest

from reedspoke.control_plane.replication.effects import LogEvent
from tests.control_plane.copy_stories import change, recovers, wait_for_chain, when_appended
from tests.control_plane.schedule import check_end
from tests.control_plane.simulation import Simulation
from tests.control_plane.strength import strong_core

SEEDS = range(8)


def _lost_as_a_member_is_appended(seed: int) -> tuple[Simulation, list[str]]:
    """Of the chain [a, b, c] only `c`, just appended to `b` and without a copy, is up; `b` has lost its disk.

    Generation 2 was acknowledged by `a` and `b`; `a` is down, with its disk.
    """
    simulation = strong_core(seed, 3, 1)
    first, second, third = members = simulation.chain()
    simulation.lose_power(third, restart_after=None)
    wait_for_chain(simulation, [first, second])
    change(simulation, first, 2)
    simulation.run(0.3)
    appended = when_appended(simulation, third, lambda: simulation.lose_disk(second, restart_after=None))
    simulation.lose_power(first, restart_after=None)
    simulation.start(third)
    assert simulation.run_until(lambda: appended.done, 4.0)
    simulation.run(1.0)
    return simulation, members


@pytest.mark.parametrize("seed", SEEDS)
def test_a_chain_whose_only_complete_member_lost_its_disk_recovers_from_the_member_before_it(
    seed: int,
) -> None:
    simulation, (first, second, _) = _lost_as_a_member_is_appended(seed)
    simulation.start(first)
    simulation.start(second)
    assert recovers(simulation, 2)
    simulation.settle()
    check_end(simulation)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_appended_member_asks_again_after_its_restart(seed: int) -> None:
    """It is killed at the moment at which it refuses further snapshots."""
    simulation, (first, second, third) = _lost_as_a_member_is_appended(seed)
    killed: list[str] = []

    def kill_at_close(address: str, line: LogEvent) -> None:
        if line.text == "state transfer closed" and not killed:
            killed.append(address)
            simulation.at(simulation.now, lambda: simulation.kill(third, restart_after=0.4))

    simulation.on_log = kill_at_close
    simulation.start(first)
    simulation.start(second)
    assert recovers(simulation, 2)
    assert killed == [third]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_complete_member_that_returns_keeps_its_place_beside_a_copy_outside(seed: int) -> None:
    """The last complete member was down only, and returns as the appended one has refused its snapshot."""
    simulation = strong_core(seed, 3, 1)
    first, second, third = simulation.chain()
    simulation.lose_power(third, restart_after=None)
    wait_for_chain(simulation, [first, second])
    change(simulation, first, 2)
    appended = when_appended(simulation, third, lambda: simulation.lose_power(second, restart_after=None))
    simulation.lose_power(first, restart_after=None)
    simulation.start(third)
    assert simulation.run_until(lambda: appended.done, 4.0)

    def return_at_close(_: str, line: LogEvent) -> None:
        if line.text == "state transfer closed":
            simulation.start(second)

    simulation.on_log = return_at_close
    simulation.start(first)
    assert recovers(simulation, 2)
    simulation.start(second)
    simulation.settle()
    check_end(simulation)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_member_that_was_appended_again_is_known_by_its_former_copy(seed: int) -> None:
    """`a` is appended to `b` again, and `b` loses its disk before `a` has a new copy: its old one will do."""
    simulation = strong_core(seed, 3, 1)
    first, second, third = simulation.chain()
    simulation.lose_power(third, restart_after=None)
    wait_for_chain(simulation, [first, second])
    change(simulation, first, 2)
    simulation.run(0.3)
    third_appended = when_appended(simulation, third, lambda: simulation.kill(third, restart_after=None))
    simulation.lose_power(first, restart_after=None)
    simulation.start(third)
    assert simulation.run_until(lambda: third_appended.done, 4.0)
    simulation.run(0.5)
    wait_for_chain(simulation, [second, third])

    again = when_appended(simulation, first, lambda: simulation.lose_disk(second, restart_after=None))
    simulation.start(first)
    assert simulation.run_until(lambda: again.done, 4.0)
    simulation.run(1.0)
    assert simulation.chain() == [second, first]
    simulation.start(second)
    simulation.start(third)
    assert recovers(simulation, 2)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("returns", ["former member", "replacement", "empty disk"])
def test_a_member_whose_predecessor_is_gone_gets_another_one(seed: int, returns: str) -> None:
    """Five machines of which two may be lost: [a, b, d] with d just appended, and b does not come back.

    A view could neither drop b, as two members are too few, nor append another beside the incomplete d.
    """
    simulation = strong_core(seed, 5, 2)
    first, second, third, fourth, fifth = simulation.chain()
    for address in (fourth, fifth):
        simulation.lose_power(address, restart_after=None)
    wait_for_chain(simulation, [first, second, third])
    change(simulation, first, 2)
    simulation.run(0.3)
    appended = when_appended(simulation, fourth, lambda: simulation.lose_disk(second, restart_after=None))
    simulation.lose_power(third, restart_after=None)
    simulation.start(fourth)
    assert simulation.run_until(lambda: appended.done, 4.0)
    assert simulation.chain() == [first, second, fourth]
    simulation.run(1.0)
    if returns == "former member":
        simulation.start(third)
    elif returns == "replacement":
        simulation.start(fifth)
        simulation.remove_machine(second)
        simulation.add_machine("n1")
    else:
        simulation.start(fifth)
        simulation.start(second)
    assert recovers(simulation, 2)
    for address in simulation.machines:
        simulation.start(address)
    simulation.settle()
    check_end(simulation)
