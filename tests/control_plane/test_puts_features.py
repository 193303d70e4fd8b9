"""Steps of `features/orders.feature`."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from reedspoke.common.errors import ErrorCode
from tests.control_plane.competing_changes import CompetingChanges
from tests.control_plane.simulation import Simulation

scenarios("features/orders.feature")

ANSWER_S = 1.5


@dataclass
class ScenarioState:
    """A core, competing changes, and the other calls of a scenario."""

    simulation: Simulation
    competition: CompetingChanges | None = None
    calls: list[int] = field(default_factory=list)
    results: list[ErrorCode | None] = field(default_factory=list)

    def put(self, generation: int, match: int, address: str) -> None:
        """Submit a version to a machine."""
        document = f"version {generation}".encode()
        self.calls.append(self.simulation.put(address, match, generation, document))

    def errors(self) -> list[ErrorCode | None]:
        """The errors of the calls other than the competing changes."""
        self.simulation.run(ANSWER_S)
        return [self.simulation.judge.put_answers[call].error for call in self.calls]

    def competing(self) -> CompetingChanges:
        """The competing changes, which must have been submitted."""
        assert self.competition is not None
        return self.competition


@pytest.fixture
def state() -> ScenarioState:
    """The state of a new scenario."""
    return ScenarioState(Simulation(seed=91))


@given("a core of 3 machines of which 1 may be lost")
def core(state: ScenarioState) -> None:
    state.simulation.settle()
    state.simulation.run(1.0)


@given(parsers.parse("version {generation:d} is in force"))
def in_force(state: ScenarioState, generation: int) -> None:
    document = f"version {generation}".encode()
    assert state.simulation.put_and_wait("m1", 0, generation, document) is None


@when(parsers.parse("{count:d} operators put different versions {generation:d} on top of {match:d} at once"))
def competing_put(state: ScenarioState, count: int, generation: int, match: int) -> None:
    state.competition = CompetingChanges(state.simulation, count, match, generation)
    state.competition.send()


@when("the head is lost before it answers")
def head_lost(state: ScenarioState) -> None:
    state.simulation.run(0.008)
    state.simulation.kill(state.simulation.chain()[0], restart_after=3.0)
    state.simulation.run(ANSWER_S)


@when("all machines lose power and come back")
def power_lost(state: ScenarioState) -> None:
    state.simulation.run(0.012)
    for address in state.simulation.machines:
        state.simulation.lose_power(address)
    state.simulation.run(ANSWER_S)
    state.simulation.settle()


@when("all of them submit their changes again")
def send_again(state: ScenarioState) -> None:
    state.competing().resend_all()


@when(parsers.parse("version {generation:d} is put on top of {match:d}"))
def put(state: ScenarioState, generation: int, match: int) -> None:
    state.simulation.run(0.5)
    state.results = state.competing().resend_all() if state.competition else []
    state.put(generation, match, "m2")
    state.simulation.run(ANSWER_S)


@when(
    parsers.parse(
        "version {late:d} is sent on top of {match:d} and at once version {early:d} on top of {base:d}"
    )
)
def put_in_wrong_order(state: ScenarioState, late: int, match: int, early: int, base: int) -> None:
    head, *_, tail = state.simulation.chain()
    state.put(late, match, head)
    state.put(early, base, tail)


@then(parsers.parse("exactly one of them is acknowledged and the others are refused with {code:d}"))
def one_wins(state: ScenarioState, code: int) -> None:
    state.results = state.competing().resend_all()
    assert state.results.count(None) == 1
    assert state.results.count(ErrorCode(code)) == len(state.results) - 1
    state.competing().check()


@then("each of them gets the same result when it is submitted again")
def same_results(state: ScenarioState) -> None:
    assert state.results.count(None) == 1
    assert state.competing().resend_all() == state.results
    state.competing().check()


@then("both are acknowledged")
def both_acknowledged(state: ScenarioState) -> None:
    assert state.errors() == [None, None]


@then(parsers.parse("it gets {code:d} and is not refused"))
def no_refusal(state: ScenarioState, code: int) -> None:
    assert state.errors() == [ErrorCode(code)]


@then(parsers.parse("version {generation:d} is in force everywhere"))
def in_force_everywhere(state: ScenarioState, generation: int) -> None:
    for address in state.simulation.machines:
        answer = state.simulation.get_and_wait(address)
        assert answer is not None
        assert answer.committed is not None
        assert answer.committed.generation == generation
