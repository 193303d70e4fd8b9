"""Members that shut down, are replaced or lose their disks one after another, and further losses."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import pytest

from reedspoke.control_plane.replication.effects import SendMessage
from reedspoke.control_plane.replication.messages import AcceptRequest, InstallSnapshot, PrepareResponse
from tests.control_plane.loss_check import check_by_trial, check_records, further_losses
from tests.control_plane.loss_schedule import depart
from tests.control_plane.simulated_parts import DiskMode
from tests.control_plane.simulation import Simulation
from tests.control_plane.strength import strong_core, time_to_full_strength

DEPARTURE_LIMIT_S = 8.0
CATCH_UP_S = 4.0


def _leave_and_wait(simulation: Simulation, address: str) -> None:
    """Send SIGTERM, and wait for the end of the process."""
    depart(simulation, address, lambda: None)
    assert simulation.run_until(lambda: simulation.machines[address].replica is None, DEPARTURE_LIMIT_S)


def _check_every_loss(simulation: Simulation, tolerated: int) -> None:
    check_records(simulation, set(), tolerated)
    for wiped in further_losses(simulation, set(), tolerated):
        check_by_trial(simulation, set(), wiped)


def _change(simulation: Simulation, generation: int) -> None:
    address = simulation.running()[0].address
    document = f"change {generation}".encode()
    assert simulation.put_and_wait(address, generation - 1, generation, document) is None


@pytest.mark.parametrize("planned", [True, False])
@pytest.mark.parametrize("new_first", [True, False])
@pytest.mark.parametrize(("machines", "tolerated"), [(3, 1), (5, 2)])
def test_the_first_voters_are_replaced_one_after_another(
    machines: int, tolerated: int, new_first: bool, planned: bool
) -> None:
    simulation = strong_core(machines, machines, tolerated)
    for number, old in enumerate(simulation.chain(), start=1):
        if new_first:
            simulation.add_machine(f"n{number}")
        if planned:
            _leave_and_wait(simulation, old)
        else:
            simulation.lose_power(old, restart_after=None)
        if not new_first:
            simulation.add_machine(f"n{number}")
        simulation.change_seeds((f"n{number}",))
        assert time_to_full_strength(simulation, tolerated) < CATCH_UP_S
        _change(simulation, number + 1)
        check_records(simulation, set(), tolerated)
    _check_every_loss(simulation, tolerated)


@pytest.mark.parametrize("leaver", [0, 1])
@pytest.mark.parametrize("after", [0.0, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0])
def test_a_member_that_shuts_down_during_a_snapshot_transfer_is_not_the_only_copy(
    leaver: int, after: float
) -> None:
    """One member is replaced, another shuts down meanwhile, and later the disk of the third is lost."""
    simulation = strong_core(1, 3, 1)
    lost, *others = simulation.chain()[::-1]
    others.reverse()
    simulation.lose_power(lost, restart_after=None)
    simulation.run(1.0)
    simulation.add_machine("n1")
    simulation.run(after)
    _leave_and_wait(simulation, others[leaver])
    view = simulation.newest_view()
    assert view is not None
    complete = [machine for machine in simulation.running() if machine.replica and machine.replica.in_chain]
    assert len(complete) >= 2
    simulation.add_machine("n2")
    assert time_to_full_strength(simulation, 1) < CATCH_UP_S
    _check_every_loss(simulation, 1)


def test_a_draining_member_stays_until_a_snapshot_has_arrived_over_a_slow_link() -> None:
    simulation = strong_core(2, 3, 1)
    head, middle, tail = simulation.chain()
    simulation.lose_power(tail, restart_after=None)
    simulation.run(2.0)
    simulation.set_disk(middle, DiskMode.WORKS)
    simulation.add_machine("n1")
    assert simulation.run_until(lambda: "n1" in simulation.chain(), 2.0)
    simulation.cut(middle, "n1")
    depart(simulation, head, lambda: None)
    simulation.run(0.5)
    assert simulation.machines[head].replica is not None
    simulation.heal()
    assert simulation.run_until(lambda: simulation.machines[head].replica is None, 3.0)
    assert set(simulation.chain()) == {middle, "n1"}


@pytest.mark.parametrize("place", [0, 1, 2])
def test_reads_are_answered_while_a_draining_member_waits_for_a_replacement(place: int) -> None:
    simulation = strong_core(3, 3, 1)
    lost = simulation.chain()[place]
    simulation.lose_power(lost, restart_after=None)
    simulation.run(2.0)
    stays, leaving = simulation.chain()
    depart(simulation, leaving, lambda: None)
    simulation.run(2.5)
    answer = simulation.get_and_wait(stays)
    assert answer is not None
    assert answer.committed is not None
    _change(simulation, 2)


@pytest.mark.parametrize("message_type", [PrepareResponse, AcceptRequest])
@pytest.mark.parametrize("place", [0, 1])
@pytest.mark.parametrize("together", [False, True])
def test_a_voter_that_loses_its_disk_between_promise_and_decision(
    message_type: type, place: int, together: bool
) -> None:
    """Two of five are lost, the second during the agreement on the view without the first."""
    simulation = strong_core(4, 5, 2)
    lost = simulation.chain()[-1]
    voter = simulation.chain()[place]
    seen: list[SendMessage] = []

    def on_send(effect: SendMessage) -> None:
        if isinstance(effect.message, message_type) and not seen:
            seen.append(effect)
            simulation.at(simulation.now, lambda: simulation.lose_disk(voter, restart_after=0.3))
            if together:
                for address in list(simulation.machines):
                    if address not in (lost, voter):
                        simulation.at(simulation.now, _power_loss(simulation, address))

    simulation.on_send = on_send
    simulation.lose_power(lost, restart_after=0.8)
    simulation.run(1.0)
    assert seen
    simulation.run(1.0)
    assert time_to_full_strength(simulation, 2) < CATCH_UP_S
    _change(simulation, 2)
    check_records(simulation, set(), 2)


def _power_loss(simulation: Simulation, address: str) -> Callable[[], None]:
    return lambda: simulation.lose_power(address, restart_after=0.3)


@pytest.mark.parametrize("count", range(1, 41, 3))
def test_a_machine_appended_while_another_fails(count: int) -> None:
    """A new machine joins five, one of which is lost; another loses its disk at a numbered message."""
    simulation = strong_core(5, 5, 2)
    lost, failing = simulation.chain()[0], simulation.chain()[2]
    simulation.lose_power(lost, restart_after=None)
    simulation.add_machine("n1")
    target = simulation.message_count + count

    def on_message(number: int) -> None:
        if number == target:
            simulation.lose_disk(failing, restart_after=0.3)

    simulation.on_message = on_message
    simulation.run(2.0)
    assert time_to_full_strength(simulation, 2) < CATCH_UP_S
    _change(simulation, 2)
    check_records(simulation, set(), 2)


@pytest.mark.parametrize("machines", [3, 4])
def test_a_joiner_that_is_the_only_other_copy_survives_the_loss_of_any_one(machines: int) -> None:
    """Two members remain, and one of them has just been appended."""
    simulation = strong_core(6, 3, 1)
    lost = simulation.chain()[0]
    simulation.lose_power(lost, restart_after=None)
    simulation.run(1.5)
    copied: list[SendMessage] = []
    simulation.on_send = lambda effect: (
        copied.append(effect) if isinstance(effect.message, InstallSnapshot) else None
    )
    for number in range(machines - 2):
        simulation.add_machine(f"n{number}")
    assert time_to_full_strength(simulation, 1) < CATCH_UP_S
    assert copied
    _change(simulation, 2)
    _check_every_loss(simulation, 1)


@pytest.mark.parametrize("lost", list(itertools.combinations(range(5), 2)))
def test_five_machines_with_three_seeds_after_the_first_start(lost: tuple[int, ...]) -> None:
    simulation = Simulation(sum(lost), machines=5, tolerated=2, seeds=3)
    time_to_full_strength(simulation, 2)
    _change(simulation, 1)
    check_records(simulation, set(), 2)
    addresses = list(simulation.machines)
    check_by_trial(simulation, set(), frozenset(addresses[place] for place in lost))


@pytest.mark.parametrize("after", [0.4, 0.6, 0.9, 1.2, 1.5, 2.0])
@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_replacement_that_fails_before_it_has_caught_up_costs_no_majority(place: int, after: float) -> None:
    """It and the machine that it replaces count as one loss, so the other two of three stay in service."""
    simulation = strong_core(7, 3, 1)
    simulation.lose_power(simulation.chain()[place], restart_after=None)
    simulation.add_machine("n1")
    simulation.run(after)
    simulation.lose_power("n1", restart_after=None)
    simulation.run(2.0)
    _change(simulation, 2)
    simulation.add_machine("n2")
    assert time_to_full_strength(simulation, 1) < CATCH_UP_S
    _check_every_loss(simulation, 1)


@pytest.mark.parametrize("after", [0.4, 0.6, 0.9, 1.2, 1.5, 2.0])
def test_of_five_a_replacement_and_another_machine_may_fail(after: float) -> None:
    simulation = strong_core(8, 5, 2)
    first, *_, last = simulation.chain()
    simulation.lose_power(first, restart_after=None)
    simulation.add_machine("n1")
    simulation.run(after)
    simulation.lose_power("n1", restart_after=None)
    simulation.lose_power(last, restart_after=None)
    simulation.run(2.0)
    _change(simulation, 2)


@pytest.mark.parametrize("places", [(0, 1), (0, 2), (1, 2)])
def test_two_losses_in_a_chain_of_minimum_length(places: tuple[int, int]) -> None:
    """Of five machines two are lost, and return while two others are lost permanently."""
    simulation = strong_core(9, 5, 2)
    away = simulation.chain()[3:]
    for address in away:
        simulation.lose_power(address, restart_after=None)
    assert simulation.run_until(lambda: len(simulation.chain()) == 3, 2.0)
    short = simulation.chain()
    for place in places:
        simulation.lose_power(short[place], restart_after=None)
    for address in away:
        simulation.start(address)
    simulation.run(3.0)
    assert len(simulation.chain()) == 3
    _change(simulation, 2)
