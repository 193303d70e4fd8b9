"""Steps of `features/configuration.feature`."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from reedspoke.common.errors import ErrorCode
from tests.control_plane.simulation import Simulation

scenarios("features/configuration.feature")


@dataclass
class Story:
    """A core, the newest generation and the calls that the story made."""

    simulation: Simulation
    newest: int = 0
    calls: list[int] = field(default_factory=list)
    called_at: float = 0.0

    def put(self, address: str, match: int, generation: int) -> None:
        """Hand a change to a machine."""
        document = f"generation {generation}".encode()
        self.called_at = self.simulation.now
        self.calls.append(self.simulation.put(address, match, generation, document))

    def errors(self) -> list[ErrorCode | None]:
        """The answers to the calls so far; each call has to have one."""
        self.simulation.run(1.5)
        return [self.simulation.judge.put_answers[call].error for call in self.calls]


@pytest.fixture
def story() -> Story:
    """An empty place for the story."""
    return Story(Simulation(seed=21))


@given("a core of 3 machines of which 1 may be lost")
def core(story: Story) -> None:
    story.simulation.settle()
    story.simulation.run(1.0)


@given(parsers.parse("generation {generation:d} is in force"))
def in_force(story: Story, generation: int) -> None:
    document = f"generation {generation}".encode()
    assert story.simulation.put_and_wait("m1", story.newest, generation, document) is None
    story.newest = generation


@given("the head is lost and the chain repaired")
def head_lost(story: Story) -> None:
    story.simulation.kill(story.simulation.chain()[0], restart_after=None)
    story.simulation.run(2.0)


@given(parsers.parse("{address} has been cut off for {seconds:d} seconds"))
def cut_off(story: Story, address: str, seconds: int) -> None:
    story.simulation.isolate(address)
    story.simulation.run(seconds)


@when(parsers.parse("the operator puts generation {generation:d} on top of {match:d} at the new head"))
def put_at_head(story: Story, generation: int, match: int) -> None:
    story.put(story.simulation.chain()[0], match, generation)


@when(
    parsers.re(r"the operator puts generation (?P<generation>\d+) on top of (?P<match>\d+) at (?P<at>m\d)$")
)
def put(story: Story, generation: str, match: str, at: str) -> None:
    story.put(at, int(match), int(generation))


@when(
    parsers.parse(
        "the operator puts generation {one:d} and generation {other:d} on top of {match:d}"
        " at {a} and {b} at once"
    )
)
def put_two(story: Story, one: int, other: int, match: int, a: str, b: str) -> None:
    story.put(a, match, one)
    story.put(b, match, other)


@when("the tail loses its disk and all others lose power")
def final_fault(story: Story) -> None:
    *others, tail = story.simulation.chain()
    story.simulation.lose_disk(tail)
    for address in others:
        story.simulation.lose_power(address)
    story.simulation.run(0.6)
    story.simulation.settle()


@then("it is acknowledged")
def acknowledged(story: Story) -> None:
    assert story.errors() == [None]


@then(parsers.re(r"it is refused with (?P<code>\d+)$"))
def refused(story: Story, code: str) -> None:
    assert story.errors() == [ErrorCode(int(code))]


@then(parsers.parse("it is refused with {code:d} at once"))
def refused_at_once(story: Story, code: int) -> None:
    answer = story.simulation.judge.put_answers[story.calls[-1]]
    assert answer.error == code
    assert story.simulation.now == story.called_at


@then(parsers.parse("exactly one of them is acknowledged and the other refused with {code:d}"))
def one_wins(story: Story, code: int) -> None:
    assert set(story.errors()) == {None, ErrorCode(code)}


@then(parsers.parse("a read at {address} is refused with {code:d} at once"))
def read_refused(story: Story, address: str, code: int) -> None:
    call = story.simulation.get(address)
    assert story.simulation.judge.get_answers[call].error == code


@then(parsers.parse("generation {generation:d} is read at every machine"))
def read_everywhere(story: Story, generation: int) -> None:
    for address in story.simulation.machines:
        answer = story.simulation.get_and_wait(address)
        assert answer is not None
        assert answer.committed is not None
        assert answer.committed.generation == generation
        assert answer.committed.document == f"generation {generation}".encode()


@then(parsers.parse("generation {generation:d} is delivered at every machine"))
def delivered_everywhere(story: Story, generation: int) -> None:
    story.simulation.run(0.5)
    for address in story.simulation.machines:
        assert story.simulation.judge.delivered_sequence(address) == generation
