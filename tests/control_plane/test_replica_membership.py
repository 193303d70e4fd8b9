"""First start, replaced machines, lost disks, and the resulting voters."""

from __future__ import annotations

import itertools

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.settings import ESTABLISHED_MIN_REACHABLE_S
from tests.control_plane.schedule import check_end
from tests.control_plane.simulation import Simulation


def _voters(simulation: Simulation) -> set[str]:
    view = simulation.newest_view()
    assert view is not None
    return {voter.address for voter in view.voters}


def _voting_folders(simulation: Simulation) -> set[str]:
    view = simulation.newest_view()
    assert view is not None
    return {voter.folder_id for voter in view.voters}


def _with_one_change(seed: int, machines: int = 3, tolerated: int = 1) -> Simulation:
    simulation = Simulation(seed, machines=machines, tolerated=tolerated)
    simulation.settle()
    assert simulation.put_and_wait("m1", 0, 1, b"first") is None
    return simulation


@pytest.mark.parametrize("seed", range(6))
def test_the_first_view_is_the_seeds_by_address(seed: int) -> None:
    simulation = Simulation(seed)
    simulation.settle(1.5)
    assert simulation.chain() == ["m1", "m2", "m3"]
    assert _voters(simulation) == {"m1", "m2", "m3"}


@pytest.mark.parametrize("machines", [4, 5, 7])
def test_machines_that_are_no_seeds_join(machines: int) -> None:
    simulation = Simulation(seed=1, machines=machines, tolerated=1)
    simulation.settle(8.0)
    assert len(simulation.chain()) == machines
    assert len(_voters(simulation)) == 3, "three voters tolerate one loss"
    simulation.run(ESTABLISHED_MIN_REACHABLE_S + 2.0)
    assert len(_voters(simulation)) == (machines if machines % 2 else machines - 1)


@pytest.mark.parametrize("moment", [0.05 * step for step in range(1, 16)])
def test_a_kill_of_all_processes_during_the_first_start_does_not_change_the_result(moment: float) -> None:
    simulation = Simulation(seed=7)
    simulation.run(moment)
    for address in simulation.machines:
        simulation.kill(address, restart_after=0.2)
    simulation.run(0.3)
    simulation.settle()
    assert sorted(simulation.chain()) == ["m1", "m2", "m3"]
    assert _voting_folders(simulation) == {m.disk.folder_id for m in simulation.machines.values()}


@pytest.mark.parametrize("moment", [0.05 * step for step in range(1, 16)])
def test_a_disk_lost_during_the_first_start_does_no_harm_after_the_first_change(moment: float) -> None:
    simulation = Simulation(seed=8)
    assert simulation.run_until(lambda: simulation.newest_view() is not None, 2.0)
    simulation.run(moment)
    simulation.lose_disk("m2", restart_after=0.2)
    simulation.run(0.3)
    simulation.settle()
    assert simulation.put_and_wait("m2", 0, 1, b"first") is None
    check_end(simulation)


def test_an_empty_folder_without_bootstrap_forms_no_view() -> None:
    simulation = Simulation(seed=2)
    for machine in simulation.machines.values():
        machine.bootstrap = False
    simulation.run(5.0)
    assert simulation.newest_view() is None
    assert simulation.put_and_wait("m1", 0, 1, b"first") is ErrorCode.NO_QUORUM


@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_machine_with_a_lost_disk_votes_in_place_of_its_old_folder(place: int) -> None:
    simulation = _with_one_change(seed=3)
    lost = simulation.chain()[place]
    old = simulation.machines[lost].disk.folder_id
    simulation.lose_disk(lost, restart_after=0.4)
    simulation.run(0.5)
    simulation.settle()
    assert old not in _voting_folders(simulation)
    assert _voters(simulation) == {"m1", "m2", "m3"}
    check_end(simulation)


@pytest.mark.parametrize("place", [0, 1, 2])
def test_planned_replacement_new_machine_first(place: int) -> None:
    simulation = _with_one_change(seed=4)
    old = simulation.chain()[place]
    simulation.add_machine("n1")
    simulation.settle()
    assert _voters(simulation) == {"m1", "m2", "m3"}, (
        "the new machine and the one that it replaces count as one loss"
    )
    simulation.shut_down(old)
    simulation.run(1.0)
    del simulation.machines[old]
    assert simulation.run_until(lambda: old not in _voters(simulation), 2.0)
    assert _voters(simulation) == {"m1", "m2", "m3", "n1"} - {old}
    simulation.settle()
    check_end(simulation)


@pytest.mark.parametrize("place", [0, 1, 2])
def test_unplanned_replacement_old_machine_lost_first(place: int) -> None:
    simulation = _with_one_change(seed=5)
    old = simulation.chain()[place]
    simulation.lose_power(old, restart_after=None)
    simulation.run(2.5)
    assert old in _voters(simulation), "voters are not reduced below the target"
    del simulation.machines[old]
    simulation.add_machine("n1")
    simulation.settle()
    assert _voters(simulation) == {"m1", "m2", "m3", "n1"} - {old}
    check_end(simulation)


def test_all_machines_are_replaced_one_after_another_and_the_seeds_change() -> None:
    simulation = _with_one_change(seed=6)
    for number, old in enumerate(["m1", "m2", "m3"], start=1):
        simulation.add_machine(f"n{number}")
        simulation.settle()
        simulation.shut_down(old)
        simulation.run(1.5)
        del simulation.machines[old]
        simulation.change_seeds(tuple(sorted(simulation.machines))[-3:])
        simulation.settle()
        assert simulation.put_and_wait("n1", number, number + 1, f"change {number}".encode()) is None
    assert _voters(simulation) == {"n1", "n2", "n3"}
    check_end(simulation)


def test_a_machine_that_shuts_down_is_removed_from_the_chain_before_its_process_ends() -> None:
    simulation = _with_one_change(seed=9)
    for place in (2, 0):
        simulation.run(1.0)
        leaving = simulation.chain()[place]
        simulation.shut_down(leaving, gone_after=3.0)
        simulation.run(0.6)
        assert leaving not in simulation.chain()
        simulation.run(2.5)
        simulation.start(leaving)
        simulation.settle()


@pytest.mark.parametrize("lost", [(0,), (1,), (2,)])
@pytest.mark.parametrize("seed", range(4))
def test_final_fault_one_disk_lost_and_power_lost_by_all_others(lost: tuple[int, ...], seed: int) -> None:
    _final_fault(3, 1, lost, seed)


@pytest.mark.parametrize("lost", list(itertools.combinations(range(5), 2)))
def test_final_fault_two_disks_lost_and_power_lost_by_all_others(lost: tuple[int, ...]) -> None:
    _final_fault(5, 2, lost, seed=1)


def _final_fault(machines: int, tolerated: int, lost: tuple[int, ...], seed: int) -> None:
    """The fault strikes right after an acknowledgement, and the change must still be readable."""
    simulation = _with_one_change(seed, machines, tolerated)
    assert simulation.put_and_wait("m3", 1, 2, b"second") is None
    for place, address in enumerate(list(simulation.machines)):
        if place in lost:
            simulation.lose_disk(address, restart_after=0.6)
        else:
            simulation.lose_power(address, restart_after=0.4)
    simulation.run(0.7)
    simulation.settle(8.0)
    answer = simulation.get_and_wait("m2")
    assert answer is not None
    assert answer.committed is not None
    assert answer.committed.generation == 2
    check_end(simulation)


def test_a_machine_that_returns_with_an_old_view_is_appended_again() -> None:
    simulation = _with_one_change(seed=10)
    simulation.lose_power("m3", restart_after=None)
    simulation.run(2.0)
    simulation.add_machine("n1")
    simulation.run(3.0)
    assert "m3" not in _voters(simulation)
    for generation in range(2, 6):
        assert simulation.put_and_wait("m1", generation - 1, generation, f"c{generation}".encode()) is None
    simulation.start("m3")
    simulation.settle()
    assert "m3" in simulation.chain()
    check_end(simulation)
