"""Faults at each numbered point: at every store, every message and every step of a repair."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import pytest

from tests.control_plane.schedule import check_end, come_back
from tests.control_plane.simulation import Simulation

SEED = 11
MAX_POINTS = 400


def _run_schedule(simulation: Simulation) -> None:
    """A first start, two changes, the loss and return of the head, and further changes."""
    simulation.run(0.6)
    simulation.put("m2", 0, 1, b"first")
    simulation.run(0.1)
    simulation.put("m3", 1, 2, b"second")
    simulation.run(0.1)
    simulation.kill("m1", restart_after=1.0)
    simulation.run(0.9)
    simulation.put("m2", 2, 3, b"third")
    simulation.run(0.7)
    simulation.put("m3", 3, 4, b"fourth")
    simulation.put("m1", 3, 5, b"competes with the fourth")
    simulation.run(0.3)


def _finish(simulation: Simulation) -> None:
    simulation.on_message = None
    simulation.on_store = None
    come_back(simulation, restarts_within=1.0)
    check_end(simulation)


def _counts() -> tuple[int, int]:
    simulation = Simulation(SEED)
    _run_schedule(simulation)
    return simulation.message_count, simulation.store_count


MESSAGES, STORES = _counts()


def test_the_number_of_fault_points_is_within_bounds() -> None:
    assert 40 < MESSAGES < MAX_POINTS
    assert 15 < STORES < MAX_POINTS


@pytest.mark.parametrize("number", range(1, MESSAGES + 1))
def test_a_message_is_lost_duplicated_or_late(number: int) -> None:
    for fault in ("lost_messages", "duplicated_messages", "late_messages"):
        simulation = Simulation(SEED)
        getattr(simulation, fault).add(number)
        _run_schedule(simulation)
        _finish(simulation)


@pytest.mark.parametrize("number", range(1, MESSAGES + 1, 4))
def test_a_machine_is_cut_off_or_frozen_at_a_message(number: int) -> None:
    def cut(simulation: Simulation, address: str) -> None:
        simulation.isolate(address)

    def freeze(simulation: Simulation, address: str) -> None:
        simulation.freeze(address)

    addresses = itertools.cycle(["m1", "m2", "m3"])
    for _, address in zip(range(number % 3 + 1), addresses, strict=False):
        chosen = address
    for fault in (cut, freeze):
        simulation = Simulation(SEED)
        simulation.on_message = _once(number, simulation, fault, chosen)
        _run_schedule(simulation)
        _finish(simulation)


@pytest.mark.parametrize("number", range(1, STORES + 1))
def test_power_is_lost_at_a_store(number: int) -> None:
    def everywhere(simulation: Simulation, _: str) -> None:
        for address in simulation.machines:
            simulation.lose_power(address, restart_after=0.3)

    def at_one(simulation: Simulation, address: str) -> None:
        simulation.lose_power(address, restart_after=0.3)

    for seed, fault, address in (
        (SEED, everywhere, "m1"),
        (SEED + 1, everywhere, "m1"),
        (SEED, at_one, "m1"),
        (SEED, at_one, "m2"),
        (SEED, at_one, "m3"),
    ):
        simulation = Simulation(seed)
        simulation.on_store = _once(number, simulation, fault, address)
        _run_schedule(simulation)
        _finish(simulation)


Fault = Callable[[Simulation, str], None]


def _once(number: int, simulation: Simulation, fault: Fault, address: str) -> Callable[[int], None]:
    def hook(count: int) -> None:
        if count == number:
            simulation.at(simulation.now, lambda: fault(simulation, address))

    return hook


REPAIRED = ["m1", "m2", "m3"]


def _run_repair(simulation: Simulation, lost: str) -> None:
    """One machine is frozen; the chain is repaired without it, and it is appended again."""
    simulation.freeze(lost)
    simulation.run(1.8)
    simulation.thaw(lost)
    simulation.run(1.2)


def _repair_points(lost: str) -> list[tuple[str, int]]:
    simulation = _with_first_change()
    before = simulation.message_count
    _run_repair(simulation, lost)
    return [(lost, number) for number in range(1, simulation.message_count - before + 1, 2)]


def _with_first_change() -> Simulation:
    simulation = Simulation(SEED)
    simulation.settle()
    assert simulation.put_and_wait("m1", 0, 1, b"first") is None
    return simulation


@pytest.mark.parametrize(("lost", "number"), [point for lost in REPAIRED for point in _repair_points(lost)])
def test_another_machine_is_cut_off_at_a_step_of_a_repair(lost: str, number: int) -> None:
    for other in REPAIRED:
        if other != lost:
            simulation = _with_first_change()
            count = simulation.message_count + number
            simulation.on_message = _once(count, simulation, _isolate, other)
            _run_repair(simulation, lost)
            _finish(simulation)
            assert simulation.judge.newest_read == 1


def _isolate(simulation: Simulation, address: str) -> None:
    simulation.isolate(address)


@pytest.mark.parametrize("lost", REPAIRED)
@pytest.mark.parametrize("number", range(1, 46, 2))
def test_the_returning_machine_loses_its_disk_at_a_step(lost: str, number: int) -> None:
    simulation = _with_first_change()
    count = simulation.message_count + number
    simulation.on_message = _once(count, simulation, lambda s, a: s.lose_disk(a, 0.2), lost)
    _run_repair(simulation, lost)
    _finish(simulation)
    assert simulation.judge.newest_read == 1
