"""Faults at each message and each store while competing changes are submitted."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from reedspoke.common.errors import ErrorCode
from tests.control_plane.competing_changes import REJECTED, CompetingChanges
from tests.control_plane.schedule import check_end, come_back
from tests.control_plane.simulation import Simulation

SEED = 23
OPERATORS = 4
MATCH = 3
NUMBER = 7
MAX_POINTS = 150

Fault = Callable[[Simulation], None]


def _core() -> Simulation:
    simulation = Simulation(SEED)
    simulation.settle()
    simulation.run(1.0)
    assert simulation.put_and_wait("m1", 0, MATCH, b"what all build on") is None
    simulation.run(0.5)
    return simulation


def _competition(simulation: Simulation) -> CompetingChanges:
    """All operators submit their changes, and submit them again later, whatever the answers were."""
    competition = CompetingChanges(simulation, OPERATORS, MATCH, NUMBER)
    for pause in (0.05, 1.5):
        competition.send()
        simulation.run(pause)
    return competition


def _points() -> tuple[int, int]:
    simulation = _core()
    messages, stores = simulation.message_count, simulation.store_count
    _competition(simulation)
    return simulation.message_count - messages, simulation.store_count - stores


MESSAGES, STORES = _points()


def _head(simulation: Simulation) -> str:
    return simulation.chain()[0]


def _kill_head(simulation: Simulation) -> None:
    simulation.kill(_head(simulation), restart_after=2.0)


def _restart_head(simulation: Simulation) -> None:
    simulation.kill(_head(simulation), restart_after=0.02)


def _freeze_head(simulation: Simulation) -> None:
    simulation.freeze(_head(simulation))


def _isolate_head(simulation: Simulation) -> None:
    simulation.isolate(_head(simulation))


def _mute_head(simulation: Simulation) -> None:
    for address in simulation.machines:
        simulation.cut(_head(simulation), address, both=False)


def _lose_heads_disk(simulation: Simulation) -> None:
    simulation.lose_disk(_head(simulation))


def _lose_power_everywhere(simulation: Simulation) -> None:
    for address in simulation.machines:
        simulation.lose_power(address, restart_after=0.3)


FAULTS = [
    _kill_head,
    _restart_head,
    _freeze_head,
    _isolate_head,
    _mute_head,
    _lose_heads_disk,
    _lose_power_everywhere,
]


def test_the_number_of_fault_points_is_within_bounds() -> None:
    assert 15 < MESSAGES < MAX_POINTS
    assert 2 < STORES < MAX_POINTS


def _check(simulation: Simulation, competition: CompetingChanges) -> None:
    come_back(simulation, restarts_within=2.1)
    competition.check()
    results = competition.resend_all()
    assert results.count(None) == 1
    assert all(error is None or error in REJECTED for error in results), results
    simulation.kill(_head(simulation), restart_after=0.1)
    simulation.run(1.0)
    simulation.settle()
    assert competition.resend_all() == results
    competition.check()
    check_end(simulation)


def _at(point: int, simulation: Simulation, fault: Fault) -> Callable[[int], None]:
    def hook(count: int) -> None:
        if count == point:
            simulation.at(simulation.now, lambda: fault(simulation))

    return hook


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("number", range(1, MESSAGES + 1, 2))
def test_a_fault_at_a_message(number: int, fault: Fault) -> None:
    simulation = _core()
    simulation.on_message = _at(simulation.message_count + number, simulation, fault)
    competition = _competition(simulation)
    simulation.on_message = None
    _check(simulation, competition)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("number", range(1, STORES + 1))
def test_a_fault_at_a_store(number: int, fault: Fault) -> None:
    simulation = _core()
    simulation.on_store = _at(simulation.store_count + number, simulation, fault)
    competition = _competition(simulation)
    simulation.on_store = None
    _check(simulation, competition)


@pytest.mark.parametrize("number", range(1, MESSAGES + 1))
@pytest.mark.parametrize("fault", ["lost_messages", "duplicated_messages", "late_messages"])
def test_a_message_during_competing_changes_is_lost_duplicated_or_late(number: int, fault: str) -> None:
    simulation = _core()
    getattr(simulation, fault).add(simulation.message_count + number)
    competition = _competition(simulation)
    answers = {answer.error for answer in simulation.judge.put_answers.values()}
    assert answers <= REJECTED | {None, ErrorCode.WRITE_UNCLEAR}
    _check(simulation, competition)
