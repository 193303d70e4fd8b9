"""Steps of `features/operators.feature`."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from reedspoke.common.errors import ErrorCode
from tests.control_plane.fleet_scenario import acknowledged, fleet_in_service
from tests.control_plane.operators import Order
from tests.control_plane.random_schedule import ACK_LOSS, FaultScenario

ANSWER_LIMIT_S = 12.0

scenarios("features/operators.feature")


@dataclass
class Story:
    """A fleet and the orders of the story."""

    scenario: FaultScenario
    orders: list[Order] = field(default_factory=list)

    def finish(self) -> None:
        """Wait until each order has a final answer."""
        done = self.scenario.simulation.run_until(
            lambda: not self.scenario.operators.open_orders(), ANSWER_LIMIT_S
        )
        assert done


@pytest.fixture
def story() -> Story:
    """A fleet in service."""
    return Story(fleet_in_service(seed=71))


@given("a fleet in service")
def fleet(story: Story) -> None:
    assert story.scenario.operators.newest()


@given("7 of 10 answers to operators are lost")
def answers_lost(story: Story) -> None:
    story.scenario.operators.answer_loss = ACK_LOSS


@given(parsers.parse("{count:d} changes have been made since the first"))
def many_changes(story: Story, count: int) -> None:
    for _ in range(count):
        story.scenario.operators.order_next()
        story.finish()


@when(parsers.parse("{count:d} operators send different changes under one number at once"))
def race(story: Story, count: int) -> None:
    story.orders = story.scenario.operators.race(count)


@when("the head is killed")
def head_killed(story: Story) -> None:
    story.scenario.simulation.run(0.004)
    story.scenario.simulation.kill(story.scenario.simulation.chain()[0], restart_after=0.5)


@when("an operator's order is on its way at a machine that is killed")
def asked_machine_killed(story: Story) -> None:
    newest = story.scenario.operators.newest()
    story.orders = [story.scenario.operators.order(newest, newest + 1, at="m2")]
    story.scenario.simulation.run(0.004)
    story.scenario.simulation.kill("m2", restart_after=0.3)


@when("an operator asks a machine that is killed, and another operator asks its next process")
def two_processes(story: Story) -> None:
    scenario = story.scenario
    newest = scenario.operators.newest()
    first = scenario.operators.order(newest, newest + 1, at="m2")
    scenario.simulation.run(0.002)
    scenario.simulation.kill("m2", restart_after=0.05)
    scenario.simulation.run(0.06)
    second = scenario.operators.order(newest, newest + 1, at="m2")
    story.orders = [first, second]


@when("the first order is sent again")
def first_again(story: Story) -> None:
    first = story.scenario.operators.orders[0]
    story.orders = [story.scenario.operators.order(first.match, first.generation, first.document)]
    story.scenario.simulation.run(2.0)


@then("one of them is acknowledged and all others are refused")
def one_wins(story: Story) -> None:
    story.finish()
    won = acknowledged(story.scenario, story.orders)
    changes = story.scenario.simulation.judge.changes
    assert len(won) == 1
    assert all(changes[order.document].refused for order in story.orders if order not in won)


@then("every machine reads back the one that was acknowledged")
def read_back(story: Story) -> None:
    (won,) = acknowledged(story.scenario, story.orders)
    for address in story.scenario.simulation.machines:
        answer = story.scenario.simulation.get_and_wait(address)
        assert answer is not None
        assert answer.committed is not None
        assert (answer.committed.generation, answer.committed.document) == (won.generation, won.document)


@then("the order is acknowledged at another machine")
def acknowledged_elsewhere(story: Story) -> None:
    story.finish()
    assert acknowledged(story.scenario, story.orders) == story.orders


@then("sending it again everywhere is acknowledged")
def again_everywhere(story: Story) -> None:
    (order,) = story.orders
    story.scenario.simulation.settle()
    story.scenario.simulation.run(1.0)
    for address in story.scenario.simulation.machines:
        put = story.scenario.simulation.put_and_wait
        assert put(address, order.match, order.generation, order.document) is None


@then("each operator gets the answer to its own order")
def own_answers(story: Story) -> None:
    story.finish()
    one_wins(story)
    read_back(story)


@then("it is not refused")
def not_refused(story: Story) -> None:
    answers = story.scenario.simulation.judge.put_answers.values()
    refused = (ErrorCode.CONFIGURATION_STALE_MATCH, ErrorCode.CONFIGURATION_OLD_GENERATION)
    assert not [answer for answer in answers if answer.error in refused]
