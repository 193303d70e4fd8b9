"""A client that leaves: its attempt is called off, and none begins after."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.data_plane.wire import chunked, event
from tests.data_plane.world import AGAIN, ONCE, RESUME, STREAM, World

Worlds = Callable[..., World]
KINDS = (ONCE, AGAIN, STREAM, RESUME)
STREAMS = (STREAM, RESUME)


@pytest.mark.parametrize("path", KINDS)
def test_while_it_waits_for_a_worker(worlds: Worlds, path: str) -> None:
    world = worlds(workers=1, capacity=1)
    world.asked(ONCE, "a1")
    waiting = world.asked(path, "a2")
    waiting.leave()
    world.arrival().worker.say(world.arrival().whole())
    world.run_for(5)
    assert [arrival.attempt_id for arrival in world.arrivals] == ["a1"]
    assert world.settled()


@pytest.mark.parametrize("path", KINDS)
@pytest.mark.parametrize("behaviour", ["slow", "refuse slowly", "hang"])
def test_while_a_connection_comes_up(world: World, path: str, behaviour: str) -> None:
    world.network.plan = [behaviour]
    client = world.asked(path)
    client.leave()
    world.run_for(5)
    assert world.arrivals == []
    assert world.settled()


def test_a_connection_that_comes_up_too_late_serves_the_next_request(worlds: Worlds) -> None:
    world = worlds(workers=1)
    world.network.plan = ["slow"]
    world.asked(ONCE, "a1").leave()
    world.run_for(1)
    world.asked(ONCE, "a2")
    assert len(world.network.connections) == 1
    assert [arrival.attempt_id for arrival in world.arrivals] == ["a2"]


@pytest.mark.parametrize("path", KINDS)
@pytest.mark.parametrize("said", [0, 1, 40, None])
def test_while_the_worker_is_at_work(world: World, path: str, said: int | None) -> None:
    client = world.asked(path)
    arrival = world.arrival()
    arrival.worker.say(arrival.stream_head()[:said])
    client.leave()
    assert arrival.worker.over
    world.run_for(5)
    assert len(world.arrivals) == 1
    assert world.settled()


@pytest.mark.parametrize("path", STREAMS)
def test_in_the_middle_of_a_stream(world: World, path: str) -> None:
    client = world.asked(path)
    arrival = world.arrival()
    arrival.worker.say(arrival.stream_head() + chunked(event(1), last=False))
    client.leave()
    assert arrival.worker.over
    world.run_for(5)
    assert len(world.arrivals) == 1
    assert world.settled()


@pytest.mark.parametrize("path", [AGAIN, RESUME])
def test_between_two_attempts(worlds: Worlds, path: str) -> None:
    world = worlds(workers=1)
    client = world.asked(path)
    world.arrival().worker.reset()
    client.leave()
    world.set_workers(["i-1", "i-2"])
    world.run_for(5)
    assert len(world.arrivals) == 1
    assert world.settled()


@pytest.mark.parametrize("path", KINDS)
def test_in_the_same_moment_as_the_answer(world: World, path: str) -> None:
    client = world.asked(path)
    arrival = world.arrival()
    client.transport.arrive_reset()
    arrival.worker.say(arrival.whole(event(1)))
    world.run_for(5)
    assert len(world.arrivals) == 1
    assert world.settled()


@pytest.mark.parametrize("path", KINDS)
def test_in_the_same_moment_as_the_worker_fails(world: World, path: str) -> None:
    client = world.asked(path)
    arrival = world.arrival()
    client.transport.arrive_reset()
    arrival.worker.reset()
    world.run_for(5)
    assert len(world.arrivals) == 1
    assert world.settled()


def test_the_place_of_a_request_whose_client_has_left_is_free(worlds: Worlds) -> None:
    world = worlds(workers=1, capacity=1)
    first = world.asked(ONCE, "a1")
    world.asked(ONCE, "a2")
    first.leave()
    world.run_for(0.2)
    assert [arrival.attempt_id for arrival in world.arrivals] == ["a1", "a2"]


def test_a_connection_whose_attempt_was_called_off_is_not_used_again(worlds: Worlds) -> None:
    world = worlds(workers=1)
    first = world.asked(ONCE, "a1")
    first.leave()
    world.asked(ONCE, "a2")
    assert world.arrivals[1].worker is not world.arrivals[0].worker


def test_the_end_of_the_process_breaks_off_what_is_late(world: World) -> None:
    stream = world.asked(STREAM, "a1")
    arrival = world.arrival()
    arrival.worker.say(arrival.stream_head() + chunked(event(1), last=False))
    world.forwarder.abort_all()
    world.loop.settle()
    assert stream.broken_off
    assert not stream.answer().whole
    assert arrival.worker.over
    assert world.forwarder.open_exchange_count() == 0


@pytest.mark.parametrize(("path", "status"), [(ONCE, 502), (AGAIN, 502), (STREAM, 502)])
def test_the_end_of_the_process_answers_what_has_no_answer_yet(world: World, path: str, status: int) -> None:
    """A request that was read ends with a whole answer, also where that has to be an error."""
    client = world.asked(path)
    world.forwarder.abort_all()
    world.loop.settle()
    assert client.answer().status == status
    assert client.answer().whole


def test_the_end_of_the_process_refuses_what_was_not_sent(worlds: Worlds) -> None:
    world = worlds(workers=1, capacity=1)
    world.asked(ONCE, "a1")
    waiting = world.asked(ONCE, "a2")
    world.forwarder.abort_all()
    world.loop.settle()
    assert waiting.answer().status == 503
