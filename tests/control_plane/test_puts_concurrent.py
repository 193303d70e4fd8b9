"""Competing changes with one generation: one is accepted, and resubmissions get the same results."""

from __future__ import annotations

import pytest

from reedspoke.common.errors import ErrorCode
from tests.control_plane.competing_changes import REJECTED, CompetingChanges
from tests.control_plane.schedule import Faults, check_end, come_back
from tests.control_plane.simulation import Simulation

ROUNDS = 14
NUMBER = 7


def _core(seed: int, machines: int) -> Simulation:
    simulation = Simulation(seed, machines=machines, tolerated=(machines - 1) // 2)
    simulation.settle()
    simulation.run(1.0)
    assert simulation.put_and_wait("m1", 0, 3, b"what all build on") is None
    return simulation


def _results(errors: list[ErrorCode | None]) -> list[bool]:
    """Whether each was acknowledged; the others have to be rejected, as there are no faults."""
    assert all(error is None or error in REJECTED for error in errors), errors
    return [error is None for error in errors]


def _check_results_stay(simulation: Simulation, competition: CompetingChanges) -> None:
    results = _results(competition.resend_all())
    assert results.count(True) == 1
    for address in list(simulation.machines):
        simulation.lose_power(address)
    simulation.run(1.0)
    simulation.settle()
    assert _results(competition.resend_all()) == results, "different results after a restart of all"
    simulation.lose_disk(simulation.chain()[0])
    simulation.run(2.0)
    simulation.settle()
    assert _results(competition.resend_all()) == results, "different results after a snapshot"
    competition.check()


@pytest.mark.parametrize("operators", [2, 4, 8])
@pytest.mark.parametrize("seed", range(5000, 5008))
@pytest.mark.parametrize("machines", [3, 5])
def test_one_of_many_changes_is_accepted_despite_faults(operators: int, seed: int, machines: int) -> None:
    simulation = _core(seed, machines)
    faults = Faults(simulation, tolerated=(machines - 1) // 2)
    competition = CompetingChanges(simulation, operators, match=3, generation=NUMBER)
    for _ in range(ROUNDS):
        competition.send()
        if simulation.random.random() < 0.6:
            faults.act()
        simulation.run(simulation.random.uniform(0.0, 0.5))
        competition.read_answers()
        competition.check()
    come_back(simulation)
    competition.send()
    simulation.run(1.5)
    competition.check()
    _check_results_stay(simulation, competition)
    check_end(simulation)


@pytest.mark.parametrize("operators", [2, 4, 8])
@pytest.mark.parametrize("after", [0.0, 0.003, 0.006, 0.01, 0.02, 0.05])
@pytest.mark.parametrize("loss", ["kill", "freeze", "isolate"])
def test_one_change_is_accepted_if_the_head_is_lost_at_once(operators: int, after: float, loss: str) -> None:
    simulation = _core(17, machines=3)
    competition = CompetingChanges(simulation, operators, match=3, generation=NUMBER)
    competition.send()
    simulation.run(after)
    getattr(simulation, loss)(simulation.chain()[0])
    simulation.run(1.0)
    competition.send()
    simulation.run(2.0)
    come_back(simulation, restarts_within=1.0)
    _check_results_stay(simulation, competition)
    check_end(simulation)


def test_results_stay_after_many_later_changes() -> None:
    simulation = _core(18, machines=3)
    competition = CompetingChanges(simulation, 8, match=3, generation=NUMBER)
    competition.send()
    simulation.run(1.0)
    results = _results(competition.resend_all())
    for generation in range(NUMBER, NUMBER + 100):
        answer = simulation.put_and_wait("m2", generation, generation + 1, b"later %d" % generation)
        assert answer is None
    assert _results(competition.resend_all()) == results
    _check_results_stay(simulation, competition)
