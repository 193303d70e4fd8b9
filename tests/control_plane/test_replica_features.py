"""Steps of `features/configuration.feature`."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from reedspoke.common.errors import ErrorCode
from tests.control_plane.simulation import Simulation

scenarios("features/configuration.feature")


@dataclass
class ScenarioState:
    """A core, the newest generation and the calls of a scenario."""

    simulation: Simulation
    newest: int = 0
    calls: list[int] = field(default_factory=list)
    called_at: float = 0.0

    def put(self, address: str, match: int, generation: int) -> None:
        """Submit a change to a machine."""
        document = f"generation {generation}".encode()
        self.called_at = self.simulation.now
        self.calls.append(self.simulation.put(address, match, generation, document))

    def errors(self) -> list[ErrorCode | None]:
        """The errors of the calls so far; each call must have been answered."""
        self.simulation.run(1.5)
        return [self.simulation.judge.put_answers[call].error for call in self.calls]


@pytest.fixture
def state() -> ScenarioState:
    """The state of a new scenario."""
    return ScenarioState(Simulation(seed=21))


@given("a core of 3 machines of which 1 may be lost")
def core(state: ScenarioState) -> None:
    state.simulation.settle()
    state.simulation.run(1.0)


@given(parsers.parse("generation {generation:d} is in force"))
def in_force(state: ScenarioState, generation: int) -> None:
    document = f"generation {generation}".encode()
    assert state.simulation.put_and_wait("m1", state.newest, generation, document) is None
    state.newest = generation


@given("the head is lost and the chain repaired")
def head_lost(state: ScenarioState) -> None:
    state.simulation.kill(state.simulation.chain()[0], restart_after=None)
    state.simulation.run(2.0)


@given(parsers.parse("{address} has been cut off for {seconds:d} seconds"))
def cut_off(state: ScenarioState, address: str, seconds: int) -> None:
    state.simulation.isolate(address)
    state.simulation.run(seconds)


@when(parsers.parse("the operator puts generation {generation:d} on top of {match:d} at the new head"))
def put_at_head(state: ScenarioState, generation: int, match: int) -> None:
    state.put(state.simulation.chain()[0], match, generation)


@when(
    parsers.re(r"the operator puts generation (?P<generation>\d+) on top of (?P<match>\d+) at (?P<at>m\d)$")
)
def put(state: ScenarioState, generation: str, match: str, at: str) -> None:
    state.put(at, int(match), int(generation))


@when(
    parsers.parse(
        "the operator puts generation {one:d} and generation {other:d} on top of {match:d}"
        " at {a} and {b} at once"
    )
)
def put_two(state: ScenarioState, one: int, other: int, match: int, a: str, b: str) -> None:
    state.put(a, match, one)
    state.put(b, match, other)


@when("the tail loses its disk and all others lose power")
def final_fault(state: ScenarioState) -> None:
    *others, tail = state.simulation.chain()
    state.simulation.lose_disk(tail)
    for address in others:
        state.simulation.lose_power(address)
    state.simulation.run(0.6)
    state.simulation.settle()


@then("it is acknowledged")
def acknowledged(state: ScenarioState) -> None:
    assert state.errors() == [None]


@then(parsers.re(r"it is refused with (?P<code>\d+)$"))
def refused(state: ScenarioState, code: str) -> None:
    assert state.errors() == [ErrorCode(int(code))]


@then(parsers.parse("it is refused with {code:d} at once"))
def refused_at_once(state: ScenarioState, code: int) -> None:
    answer = state.simulation.judge.put_answers[state.calls[-1]]
    assert answer.error == code
    assert state.simulation.now == state.called_at


@then(parsers.parse("exactly one of them is acknowledged and the other refused with {code:d}"))
def one_wins(state: ScenarioState, code: int) -> None:
    assert set(state.errors()) == {None, ErrorCode(code)}


@then(parsers.parse("a read at {address} is refused with {code:d} at once"))
def read_refused(state: ScenarioState, address: str, code: int) -> None:
    call = state.simulation.get(address)
    assert state.simulation.judge.get_answers[call].error == code


@then(parsers.parse("generation {generation:d} is read at every machine"))
def read_everywhere(state: ScenarioState, generation: int) -> None:
    for address in state.simulation.machines:
        answer = state.simulation.get_and_wait(address)
        assert answer is not None
        assert answer.committed is not None
        assert answer.committed.generation == generation
        assert answer.committed.document == f"generation {generation}".encode()


@then(parsers.parse("generation {generation:d} is delivered at every machine"))
def delivered_everywhere(state: ScenarioState, generation: int) -> None:
    state.simulation.run(0.5)
    for address in state.simulation.machines:
        assert state.simulation.judge.delivered_sequence(address) == generation
