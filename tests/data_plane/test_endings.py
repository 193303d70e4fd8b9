"""The scenarios of features/endings.feature."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec import Struct
from pytest_bdd import given, parsers, scenarios, then, when

from tests.data_plane.wire import chunked, event, events
from tests.data_plane.world import IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE, STREAMING, Arrival, Client, World

scenarios("features/endings.feature")

PATHS = {
    "non-idempotent": NON_IDEMPOTENT,
    "idempotent": IDEMPOTENT,
    "streaming": STREAMING,
    "resumable": RESUMABLE,
}
BODY = b"the answer to %b"


class ScenarioState(Struct, eq=False):
    """The state of a scenario."""

    world: World
    client: Client | None = None
    path: str = NON_IDEMPOTENT
    stream_heads_sent: int = 0  # Number of arrivals whose stream head was sent.

    def sender(self) -> Client:
        assert self.client is not None
        return self.client

    def arrival(self) -> Arrival:
        return self.world.arrival()

    def send(self, data: bytes) -> None:
        self.arrival().worker.send(data)

    def complete_answer(self, arrival: Arrival) -> bytes:
        return arrival.complete_answer(BODY % arrival.attempt_id.encode())


@given(parsers.parse("{count:d} workers"), target_fixture="scenario")
def scenario(worlds: Callable[..., World], count: int) -> ScenarioState:
    return ScenarioState(worlds(workers=count))


@given(parsers.re(r"a client has sent an? (?P<kind>[a-z-]+) request"))
def sent_request(scenario: ScenarioState, kind: str) -> None:
    scenario.path = PATHS[kind]
    scenario.client = scenario.world.new_request(scenario.path)


@when("the worker sends its complete answer")
def sends_complete_answer(scenario: ScenarioState) -> None:
    scenario.send(scenario.complete_answer(scenario.arrival()))


@when("the worker sends a part of its answer")
def answers_in_part(scenario: ScenarioState) -> None:
    scenario.send(scenario.complete_answer(scenario.arrival())[:-4])


@when("the worker resets the connection")
def resets_connection(scenario: ScenarioState) -> None:
    scenario.arrival().worker.reset()


@when("the worker refuses for lack of capacity")
def refuses_for_capacity(scenario: ScenarioState) -> None:
    scenario.send(scenario.arrival().overload_answer())
    scenario.world.run_for(0.1)


@when("the worker answers that it is another instance")
def is_another_instance(scenario: ScenarioState) -> None:
    scenario.send(scenario.arrival().wrong_instance_answer())


@when("the worker answers 503 without proof that it did not run the request")
def refuses_without_proof(scenario: ScenarioState) -> None:
    scenario.send(scenario.arrival().complete_answer(b"", "503 Service Unavailable", Retry_After="1"))


@when(parsers.parse("the worker sends events {first:d} to {last:d}"))
def sends_events(scenario: ScenarioState, first: int, last: int) -> None:
    arrivals = len(scenario.world.arrivals)
    head = scenario.arrival().stream_head() if scenario.stream_heads_sent < arrivals else b""
    scenario.stream_heads_sent = arrivals
    scenario.send(head + chunked(*(event(number) for number in range(first, last + 1)), last=False))


@when("the worker ends the stream")
def ends_stream(scenario: ScenarioState) -> None:
    scenario.send(b"0\r\n\r\n")


@when(parsers.parse("{seconds:d} seconds pass"))
def time_passes(scenario: ScenarioState, seconds: int) -> None:
    scenario.world.run_for(seconds)


@when("the client disconnects")
def disconnects(scenario: ScenarioState) -> None:
    scenario.sender().disconnect()


@when("the client sends its next request on the same connections")
def sends_next_request(scenario: ScenarioState) -> None:
    scenario.world.set_workers([scenario.arrival().worker.instance_id])
    before = scenario.arrival().worker
    scenario.sender().send_request(scenario.path, "a2")
    assert scenario.arrival().worker is before


@when("the worker sends its first answer again")
def resends_first_answer(scenario: ScenarioState) -> None:
    scenario.send(scenario.complete_answer(scenario.world.arrivals[0]))


@then("the client has the worker's complete answer")
def has_answer(scenario: ScenarioState) -> None:
    answer = scenario.sender().answer()
    assert (answer.status, answer.body, answer.is_complete) == (200, BODY % b"a1", True)


@then("the client has two answers, each to its own request")
def has_two_answers(scenario: ScenarioState) -> None:
    answers = [(answer.status, answer.body) for answer in scenario.sender().answers()]
    assert answers == [(200, BODY % b"a1"), (200, BODY % b"a2")]


@then("the client gets a 502")
def gets_502(scenario: ScenarioState) -> None:
    assert (scenario.sender().answer().status, scenario.sender().answer().is_complete) == (502, True)


@then("the client gets a 504")
def gets_504(scenario: ScenarioState) -> None:
    assert (scenario.sender().answer().status, scenario.sender().answer().is_complete) == (504, True)


@then("the client gets a 503 with Retry-After")
def gets_503_with_retry_after(scenario: ScenarioState) -> None:
    answer = scenario.sender().answer()
    assert answer.status == 503
    assert float(answer.get("retry-after") or 0) > 0


@then(parsers.parse("the client has the events 1 to {last:d} and their end"))
def has_complete_stream(scenario: ScenarioState, last: int) -> None:
    answer = scenario.sender().answer()
    assert (answer.body, answer.is_complete) == (events(1, last), True)


@then(parsers.parse("the client has the events 1 to {last:d} without an end"))
def has_incomplete_stream(scenario: ScenarioState, last: int) -> None:
    answer = scenario.sender().answer()
    assert (answer.body, answer.is_complete) == (events(1, last), False)
    assert scenario.sender().was_reset


@then(parsers.re(r"the request was sent (?P<count>\d+) times?"), converters={"count": int})
def was_sent(scenario: ScenarioState, count: int) -> None:
    assert len(scenario.world.arrivals) == count


@then(parsers.parse("the latest worker was asked to resume after event {last:d}"))
def was_asked_to_resume(scenario: ScenarioState, last: int) -> None:
    assert scenario.arrival().request.get("last-event-id") == str(last)


@then("the worker's connection is closed")
def connection_is_closed(scenario: ScenarioState) -> None:
    assert scenario.arrival().worker.is_closed


@then("no resource is held for the request")
def no_resource_is_held(scenario: ScenarioState) -> None:
    assert scenario.world.is_idle()


@pytest.mark.parametrize("kind", PATHS)
def test_every_kind_of_request_has_a_route(worlds: Callable[..., World], kind: str) -> None:
    assert len(worlds().new_request(PATHS[kind]).world.arrivals) == 1
