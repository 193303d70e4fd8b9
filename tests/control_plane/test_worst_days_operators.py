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
class ScenarioState:
    """A fleet, and the changes submitted in a scenario."""

    scenario: FaultScenario
    orders: list[Order] = field(default_factory=list)

    def finish(self) -> None:
        """Wait until all changes have a final answer."""
        done = self.scenario.simulation.run_until(
            lambda: not self.scenario.operators.open_orders(), ANSWER_LIMIT_S
        )
        assert done


@pytest.fixture
def state() -> ScenarioState:
    """A fleet in service."""
    return ScenarioState(fleet_in_service(seed=71))


@given("a fleet in service")
def fleet(state: ScenarioState) -> None:
    assert state.scenario.operators.newest()


@given("7 of 10 answers to operators are lost")
def answers_lost(state: ScenarioState) -> None:
    state.scenario.operators.answer_loss = ACK_LOSS


@given(parsers.parse("{count:d} changes have been made since the first"))
def many_changes(state: ScenarioState, count: int) -> None:
    for _ in range(count):
        state.scenario.operators.order_next()
        state.finish()


@when(parsers.parse("{count:d} operators submit different changes with one generation at once"))
def race(state: ScenarioState, count: int) -> None:
    state.orders = state.scenario.operators.race(count)


@when("the head is killed")
def head_killed(state: ScenarioState) -> None:
    state.scenario.simulation.run(0.004)
    state.scenario.simulation.kill(state.scenario.simulation.chain()[0], restart_after=0.5)


@when("an operator's change is in flight at a machine that is killed")
def asked_machine_killed(state: ScenarioState) -> None:
    newest = state.scenario.operators.newest()
    state.orders = [state.scenario.operators.order(newest, newest + 1, at="m2")]
    state.scenario.simulation.run(0.004)
    state.scenario.simulation.kill("m2", restart_after=0.3)


@when("operators submit changes to a machine that is killed and to its next process")
def two_processes(state: ScenarioState) -> None:
    scenario = state.scenario
    newest = scenario.operators.newest()
    first = scenario.operators.order(newest, newest + 1, at="m2")
    scenario.simulation.run(0.002)
    scenario.simulation.kill("m2", restart_after=0.05)
    scenario.simulation.run(0.06)
    second = scenario.operators.order(newest, newest + 1, at="m2")
    state.orders = [first, second]


@when("the first change is submitted again")
def first_again(state: ScenarioState) -> None:
    first = state.scenario.operators.orders[0]
    state.orders = [state.scenario.operators.order(first.match, first.generation, first.document)]
    state.scenario.simulation.run(2.0)


@then("one of them is acknowledged and all others are refused")
def one_wins(state: ScenarioState) -> None:
    state.finish()
    won = acknowledged(state.scenario, state.orders)
    changes = state.scenario.simulation.judge.changes
    assert len(won) == 1
    assert all(changes[order.document].rejected for order in state.orders if order not in won)


@then("the acknowledged change is read at every machine")
def read_back(state: ScenarioState) -> None:
    (won,) = acknowledged(state.scenario, state.orders)
    for address in state.scenario.simulation.machines:
        answer = state.scenario.simulation.get_and_wait(address)
        assert answer is not None
        assert answer.committed is not None
        assert (answer.committed.generation, answer.committed.document) == (won.generation, won.document)


@then("the change is acknowledged at another machine")
def acknowledged_elsewhere(state: ScenarioState) -> None:
    state.finish()
    assert acknowledged(state.scenario, state.orders) == state.orders


@then("it is acknowledged again at every machine")
def again_everywhere(state: ScenarioState) -> None:
    (order,) = state.orders
    state.scenario.simulation.settle()
    state.scenario.simulation.run(1.0)
    for address in state.scenario.simulation.machines:
        put = state.scenario.simulation.put_and_wait
        assert put(address, order.match, order.generation, order.document) is None


@then("each operator gets the answer to its own change")
def own_answers(state: ScenarioState) -> None:
    state.finish()
    one_wins(state)
    read_back(state)


@then("it is not refused")
def not_refused(state: ScenarioState) -> None:
    answers = state.scenario.simulation.judge.put_answers.values()
    refused = (ErrorCode.CONFIGURATION_STALE_MATCH, ErrorCode.CONFIGURATION_OLD_GENERATION)
    assert not [answer for answer in answers if answer.error in refused]
