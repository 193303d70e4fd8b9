"""Time until a simulated core is back at full strength after losses.

At full strength all running machines are complete members of the chain, and enough of them vote.
"""

from __future__ import annotations

from collections.abc import Callable

from reedspoke.control_plane.replication.view import View
from tests.control_plane.simulation import Simulation

STRENGTH_LIMIT_S = 30.0
LOOK_EVERY_S = 0.02
KILLED_FOR_S = 1.0

Loss = Callable[[Simulation, list[str]], None]


def at_full_strength(simulation: Simulation, tolerated: int) -> bool:
    """Whether all running machines are complete in the chain, and the voters are enough running machines."""
    if not simulation.all_in_chain():
        return False
    view = simulation.newest_view()
    assert view is not None
    running = {machine.disk.folder_id for machine in simulation.running()}
    voting = {voter.folder_id for voter in view.voters}
    needed = min(2 * tolerated + 1, len(running))
    return voting <= running and len(voting) >= needed and _all_voters_act_in(simulation, view)


def _all_voters_act_in(simulation: Simulation, view: View) -> bool:
    numbers = {
        machine.replica.view.number if machine.replica and machine.replica.view else 0
        for machine in simulation.running()
        if machine.disk.folder_id in {voter.folder_id for voter in view.voters}
    }
    return numbers == {view.number}


def strong_core(seed: int, machines: int, tolerated: int) -> Simulation:
    """A core at full strength that has acknowledged one change."""
    simulation = Simulation(seed, machines=machines, tolerated=tolerated)
    time_to_full_strength(simulation, tolerated)
    assert simulation.put_and_wait("m1", 0, 1, b"first") is None
    return simulation


def time_to_full_strength(simulation: Simulation, tolerated: int) -> float:
    """Seconds of virtual time from now until the core is at full strength."""
    started = simulation.now
    reached = simulation.run_until(
        lambda: at_full_strength(simulation, tolerated), STRENGTH_LIMIT_S, LOOK_EVERY_S
    )
    assert reached, f"the chain is {simulation.chain()}, the view {simulation.newest_view()}"
    return simulation.now - started


def kill(simulation: Simulation, lost: list[str]) -> None:
    """Kill the processes; they restart with their disks after the chain was repaired without them."""
    for address in lost:
        simulation.kill(address, restart_after=KILLED_FOR_S)
    simulation.run(KILLED_FOR_S)


def lose_disk(simulation: Simulation, lost: list[str]) -> None:
    """Lose the disks; the machines restart at their addresses with empty ones."""
    for address in lost:
        simulation.lose_disk(address, restart_after=0.5)
    simulation.run(0.5)


def replace(simulation: Simulation, lost: list[str]) -> None:
    """Remove the machines without notice, and add new ones at once at new addresses."""
    for address in lost:
        simulation.lose_power(address, restart_after=None)
    for address in lost:
        simulation.add_machine(f"n{address}")


def replace_as_seeds(simulation: Simulation, lost: list[str]) -> None:
    """As `replace`, and change the seeds to the new machines and one other."""
    new = [f"n{address}" for address in lost]
    staying = [machine.address for machine in simulation.running() if machine.address not in lost]
    simulation.change_seeds((*new, staying[0]))
    replace(simulation, lost)
