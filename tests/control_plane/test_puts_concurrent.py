"""Operators who pick the same number: one wins, and every order sent again ends as it did before."""

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


def _ends(errors: list[ErrorCode | None]) -> list[bool]:
    """Whether each was acknowledged; the others have to be refused, as nothing is in trouble."""
    assert all(error is None or error in REJECTED for error in errors), errors
    return [error is None for error in errors]


def _check_ends_stay(simulation: Simulation, contest: CompetingChanges) -> None:
    ends = _ends(contest.resend_all())
    assert ends.count(True) == 1
    for address in list(simulation.machines):
        simulation.lose_power(address)
    simulation.run(1.0)
    simulation.settle()
    assert _ends(contest.resend_all()) == ends, "other ends after all were started again"
    simulation.lose_disk(simulation.chain()[0])
    simulation.run(2.0)
    simulation.settle()
    assert _ends(contest.resend_all()) == ends, "other ends after a snapshot"
    contest.check()


@pytest.mark.parametrize("operators", [2, 4, 8])
@pytest.mark.parametrize("seed", range(5000, 5008))
@pytest.mark.parametrize("machines", [3, 5])
def test_one_of_many_wins_whatever_fails_meanwhile(operators: int, seed: int, machines: int) -> None:
    simulation = _core(seed, machines)
    faults = Faults(simulation, tolerated=(machines - 1) // 2)
    contest = CompetingChanges(simulation, operators, match=3, generation=NUMBER)
    for _ in range(ROUNDS):
        contest.send()
        if simulation.random.random() < 0.6:
            faults.act()
        simulation.run(simulation.random.uniform(0.0, 0.5))
        contest.read_answers()
        contest.check()
    come_back(simulation)
    contest.send()
    simulation.run(1.5)
    contest.check()
    _check_ends_stay(simulation, contest)
    check_end(simulation)


@pytest.mark.parametrize("operators", [2, 4, 8])
@pytest.mark.parametrize("after", [0.0, 0.003, 0.006, 0.01, 0.02, 0.05])
@pytest.mark.parametrize("loss", ["kill", "freeze", "isolate"])
def test_one_wins_where_the_head_is_lost_at_once(operators: int, after: float, loss: str) -> None:
    simulation = _core(17, machines=3)
    contest = CompetingChanges(simulation, operators, match=3, generation=NUMBER)
    contest.send()
    simulation.run(after)
    getattr(simulation, loss)(simulation.chain()[0])
    simulation.run(1.0)
    contest.send()
    simulation.run(2.0)
    come_back(simulation, restarts_within=1.0)
    _check_ends_stay(simulation, contest)
    check_end(simulation)


def test_ends_stay_after_many_later_changes() -> None:
    simulation = _core(18, machines=3)
    contest = CompetingChanges(simulation, 8, match=3, generation=NUMBER)
    contest.send()
    simulation.run(1.0)
    ends = _ends(contest.resend_all())
    for generation in range(NUMBER, NUMBER + 100):
        answer = simulation.put_and_wait("m2", generation, generation + 1, b"later %d" % generation)
        assert answer is None
    assert _ends(contest.resend_all()) == ends
    _check_ends_stay(simulation, contest)
