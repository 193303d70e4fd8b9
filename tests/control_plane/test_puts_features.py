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
class Story:
    """A core, the operators who compete there, and other calls that the story made."""

    simulation: Simulation
    contest: CompetingChanges | None = None
    calls: list[int] = field(default_factory=list)
    ends: list[ErrorCode | None] = field(default_factory=list)

    def put(self, generation: int, match: int, address: str) -> None:
        """Hand a version to a machine."""
        document = f"version {generation}".encode()
        self.calls.append(self.simulation.put(address, match, generation, document))

    def errors(self) -> list[ErrorCode | None]:
        """The answers to the calls outside the contest."""
        self.simulation.run(ANSWER_S)
        return [self.simulation.judge.put_answers[call].error for call in self.calls]

    def rivals(self) -> CompetingChanges:
        """The operators who compete."""
        assert self.contest is not None
        return self.contest


@pytest.fixture
def story() -> Story:
    """An empty place for the story."""
    return Story(Simulation(seed=91))


@given("a core of 3 machines of which 1 may be lost")
def core(story: Story) -> None:
    story.simulation.settle()
    story.simulation.run(1.0)


@given(parsers.parse("version {generation:d} is in force"))
def in_force(story: Story, generation: int) -> None:
    document = f"version {generation}".encode()
    assert story.simulation.put_and_wait("m1", 0, generation, document) is None


@when(parsers.parse("{count:d} operators put different versions {generation:d} on top of {match:d} at once"))
def rivals_put(story: Story, count: int, generation: int, match: int) -> None:
    story.contest = CompetingChanges(story.simulation, count, match, generation)
    story.contest.send()


@when("the head is lost before it answers")
def head_lost(story: Story) -> None:
    story.simulation.run(0.008)
    story.simulation.kill(story.simulation.chain()[0], restart_after=3.0)
    story.simulation.run(ANSWER_S)


@when("all machines lose power and come back")
def power_lost(story: Story) -> None:
    story.simulation.run(0.012)
    for address in story.simulation.machines:
        story.simulation.lose_power(address)
    story.simulation.run(ANSWER_S)
    story.simulation.settle()


@when("all of them send again")
def send_again(story: Story) -> None:
    story.rivals().resend_all()


@when(parsers.parse("version {generation:d} is put on top of {match:d}"))
def put(story: Story, generation: int, match: int) -> None:
    story.simulation.run(0.5)
    story.ends = story.rivals().resend_all() if story.contest else []
    story.put(generation, match, "m2")
    story.simulation.run(ANSWER_S)


@when(
    parsers.parse(
        "version {late:d} is sent on top of {match:d} and at once version {early:d} on top of {base:d}"
    )
)
def put_in_wrong_order(story: Story, late: int, match: int, early: int, base: int) -> None:
    head, *_, tail = story.simulation.chain()
    story.put(late, match, head)
    story.put(early, base, tail)


@then(parsers.parse("exactly one of them is acknowledged and the others are refused with {code:d}"))
def one_wins(story: Story, code: int) -> None:
    story.ends = story.rivals().resend_all()
    assert story.ends.count(None) == 1
    assert story.ends.count(ErrorCode(code)) == len(story.ends) - 1
    story.rivals().check()


@then("each of them ends the same when it is sent again")
def same_ends(story: Story) -> None:
    assert story.ends.count(None) == 1
    assert story.rivals().resend_all() == story.ends
    story.rivals().check()


@then("both are acknowledged")
def both_acknowledged(story: Story) -> None:
    assert story.errors() == [None, None]


@then(parsers.parse("it gets {code:d} and no refusal"))
def no_refusal(story: Story, code: int) -> None:
    assert story.errors() == [ErrorCode(code)]


@then(parsers.parse("version {generation:d} is in force everywhere"))
def in_force_everywhere(story: Story, generation: int) -> None:
    for address in story.simulation.machines:
        answer = story.simulation.get_and_wait(address)
        assert answer is not None
        assert answer.committed is not None
        assert answer.committed.generation == generation
