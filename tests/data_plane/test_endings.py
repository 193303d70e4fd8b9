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


class Story(Struct, eq=False):
    """A scenario so far."""

    world: World
    client: Client | None = None
    path: str = NON_IDEMPOTENT
    headed: int = 0  # number of arrivals that have got the head of a stream

    def asker(self) -> Client:
        assert self.client is not None
        return self.client

    def arrival(self) -> Arrival:
        return self.world.arrival()

    def say(self, data: bytes) -> None:
        self.arrival().worker.send(data)

    def whole(self, arrival: Arrival) -> bytes:
        return arrival.complete_answer(BODY % arrival.attempt_id.encode())


@given(parsers.parse("{count:d} workers"), target_fixture="story")
def story(worlds: Callable[..., World], count: int) -> Story:
    return Story(worlds(workers=count))


@given(parsers.re(r"a client has sent an? (?P<kind>[a-z-]+) request"))
def asked(story: Story, kind: str) -> None:
    story.path = PATHS[kind]
    story.client = story.world.new_request(story.path)


@when("the worker answers whole")
def answers_whole(story: Story) -> None:
    story.say(story.whole(story.arrival()))


@when("the worker sends a part of its answer")
def answers_in_part(story: Story) -> None:
    story.say(story.whole(story.arrival())[:-4])


@when("the worker breaks off")
def breaks_off(story: Story) -> None:
    story.arrival().worker.reset()


@when("the worker says that it has no room")
def is_full(story: Story) -> None:
    story.say(story.arrival().overload_answer())
    story.world.run_for(0.1)


@when("the worker says that it is another instance")
def is_another(story: Story) -> None:
    story.say(story.arrival().wrong_instance_answer())


@when("the worker answers 503 without proof")
def refuses_without_proof(story: Story) -> None:
    story.say(story.arrival().complete_answer(b"", "503 Service Unavailable", Retry_After="1"))


@when(parsers.parse("the worker sends events {first:d} to {last:d}"))
def sends_events(story: Story, first: int, last: int) -> None:
    arrivals = len(story.world.arrivals)
    head = story.arrival().stream_head() if story.headed < arrivals else b""
    story.headed = arrivals
    story.say(head + chunked(*(event(number) for number in range(first, last + 1)), last=False))


@when("the worker ends the stream")
def ends_stream(story: Story) -> None:
    story.say(b"0\r\n\r\n")


@when(parsers.parse("{seconds:d} seconds pass"))
def time_passes(story: Story, seconds: int) -> None:
    story.world.run_for(seconds)


@when("the client leaves")
def leaves(story: Story) -> None:
    story.asker().disconnect()


@when("the client sends its next request on the same connections")
def asks_again(story: Story) -> None:
    story.world.set_workers([story.arrival().worker.instance_id])
    before = story.arrival().worker
    story.asker().send_request(story.path, "a2")
    assert story.arrival().worker is before


@when("the worker sends its first answer again")
def answers_again(story: Story) -> None:
    story.say(story.whole(story.world.arrivals[0]))


@then("the client has the worker's whole answer")
def has_answer(story: Story) -> None:
    answer = story.asker().answer()
    assert (answer.status, answer.body, answer.is_complete) == (200, BODY % b"a1", True)


@then("the client has two answers, each to its own request")
def has_two_answers(story: Story) -> None:
    found = [(answer.status, answer.body) for answer in story.asker().answers()]
    assert found == [(200, BODY % b"a1"), (200, BODY % b"a2")]


@then("the client is told that the request failed")
def is_told_of_failure(story: Story) -> None:
    assert (story.asker().answer().status, story.asker().answer().is_complete) == (502, True)


@then("the client is told that its time is over")
def is_told_of_deadline(story: Story) -> None:
    assert (story.asker().answer().status, story.asker().answer().is_complete) == (504, True)


@then("the client is told to come back")
def is_told_to_come_back(story: Story) -> None:
    answer = story.asker().answer()
    assert answer.status == 503
    assert float(answer.get("retry-after") or 0) > 0


@then(parsers.parse("the client has the events 1 to {last:d} and their end"))
def has_whole_stream(story: Story, last: int) -> None:
    answer = story.asker().answer()
    assert (answer.body, answer.is_complete) == (events(1, last), True)


@then(parsers.parse("the client has the events 1 to {last:d} and no end"))
def has_cut_stream(story: Story, last: int) -> None:
    answer = story.asker().answer()
    assert (answer.body, answer.is_complete) == (events(1, last), False)
    assert story.asker().was_reset


@then(parsers.re(r"the request was sent (?P<count>\d+) times?"), converters={"count": int})
def was_sent(story: Story, count: int) -> None:
    assert len(story.world.arrivals) == count


@then(parsers.parse("the latest worker was asked to go on after event {last:d}"))
def was_asked_to_go_on(story: Story, last: int) -> None:
    assert story.arrival().request.get("last-event-id") == str(last)


@then("the worker's connection is over")
def connection_is_over(story: Story) -> None:
    assert story.arrival().worker.is_closed


@then("nothing of the request is left")
def nothing_is_left(story: Story) -> None:
    assert story.world.is_idle()


@pytest.mark.parametrize("kind", PATHS)
def test_every_kind_of_request_has_a_route(worlds: Callable[..., World], kind: str) -> None:
    assert len(worlds().new_request(PATHS[kind]).world.arrivals) == 1
