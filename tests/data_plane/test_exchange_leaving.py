"""A client that leaves: its attempt is called off, and none begins after."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.data_plane.wire import chunked, event
from tests.data_plane.world import IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE, STREAMING, World

Worlds = Callable[..., World]
PATHS = (NON_IDEMPOTENT, IDEMPOTENT, STREAMING, RESUMABLE)
STREAMS = (STREAMING, RESUMABLE)


@pytest.mark.parametrize("path", PATHS)
def test_while_it_waits_for_a_worker(worlds: Worlds, path: str) -> None:
    world = worlds(workers=1, capacity=1)
    world.new_request(NON_IDEMPOTENT, "a1")
    waiting = world.new_request(path, "a2")
    waiting.disconnect()
    world.arrival().worker.send(world.arrival().complete_answer())
    world.run_for(5)
    assert [arrival.attempt_id for arrival in world.arrivals] == ["a1"]
    assert world.is_idle()


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("behaviour", ["slow", "refuse slowly", "hang"])
def test_while_a_connection_comes_up(world: World, path: str, behaviour: str) -> None:
    world.network.plan = [behaviour]
    client = world.new_request(path)
    client.disconnect()
    world.run_for(5)
    assert world.arrivals == []
    assert world.is_idle()


def test_a_connection_that_comes_up_too_late_serves_the_next_request(worlds: Worlds) -> None:
    world = worlds(workers=1)
    world.network.plan = ["slow"]
    world.new_request(NON_IDEMPOTENT, "a1").disconnect()
    world.run_for(1)
    world.new_request(NON_IDEMPOTENT, "a2")
    assert len(world.network.connections) == 1
    assert [arrival.attempt_id for arrival in world.arrivals] == ["a2"]


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("said", [0, 1, 40, None])
def test_while_the_worker_is_at_work(world: World, path: str, said: int | None) -> None:
    client = world.new_request(path)
    arrival = world.arrival()
    arrival.worker.send(arrival.stream_head()[:said])
    client.disconnect()
    assert arrival.worker.is_closed
    world.run_for(5)
    assert len(world.arrivals) == 1
    assert world.is_idle()


@pytest.mark.parametrize("path", STREAMS)
def test_in_the_middle_of_a_stream(world: World, path: str) -> None:
    client = world.new_request(path)
    arrival = world.arrival()
    arrival.worker.send(arrival.stream_head() + chunked(event(1), last=False))
    client.disconnect()
    assert arrival.worker.is_closed
    world.run_for(5)
    assert len(world.arrivals) == 1
    assert world.is_idle()


@pytest.mark.parametrize("path", [IDEMPOTENT, RESUMABLE])
def test_between_two_attempts(worlds: Worlds, path: str) -> None:
    world = worlds(workers=1)
    client = world.new_request(path)
    world.arrival().worker.reset()
    client.disconnect()
    world.set_workers(["i-1", "i-2"])
    world.run_for(5)
    assert len(world.arrivals) == 1
    assert world.is_idle()


@pytest.mark.parametrize("path", PATHS)
def test_in_the_same_moment_as_the_answer(world: World, path: str) -> None:
    client = world.new_request(path)
    arrival = world.arrival()
    client.transport.arrive_reset()
    arrival.worker.send(arrival.complete_answer(event(1)))
    world.run_for(5)
    assert len(world.arrivals) == 1
    assert world.is_idle()


@pytest.mark.parametrize("path", PATHS)
def test_in_the_same_moment_as_the_worker_fails(world: World, path: str) -> None:
    client = world.new_request(path)
    arrival = world.arrival()
    client.transport.arrive_reset()
    arrival.worker.reset()
    world.run_for(5)
    assert len(world.arrivals) == 1
    assert world.is_idle()


def test_the_place_of_a_request_whose_client_has_left_is_free(worlds: Worlds) -> None:
    world = worlds(workers=1, capacity=1)
    first = world.new_request(NON_IDEMPOTENT, "a1")
    world.new_request(NON_IDEMPOTENT, "a2")
    first.disconnect()
    world.run_for(0.2)
    assert [arrival.attempt_id for arrival in world.arrivals] == ["a1", "a2"]


def test_a_connection_whose_attempt_was_called_off_is_not_used_again(worlds: Worlds) -> None:
    world = worlds(workers=1)
    first = world.new_request(NON_IDEMPOTENT, "a1")
    first.disconnect()
    world.new_request(NON_IDEMPOTENT, "a2")
    assert world.arrivals[1].worker is not world.arrivals[0].worker


def test_the_end_of_the_process_breaks_off_what_is_late(world: World) -> None:
    stream = world.new_request(STREAMING, "a1")
    arrival = world.arrival()
    arrival.worker.send(arrival.stream_head() + chunked(event(1), last=False))
    world.forwarder.abort_all()
    world.loop.settle()
    assert stream.was_reset
    assert not stream.answer().is_complete
    assert arrival.worker.is_closed
    assert world.forwarder.open_exchange_count() == 0


@pytest.mark.parametrize(("path", "status"), [(NON_IDEMPOTENT, 502), (IDEMPOTENT, 502), (STREAMING, 502)])
def test_the_end_of_the_process_answers_what_has_no_answer_yet(world: World, path: str, status: int) -> None:
    """A request that was read ends with a whole answer, also where that has to be an error."""
    client = world.new_request(path)
    world.forwarder.abort_all()
    world.loop.settle()
    assert client.answer().status == status
    assert client.answer().is_complete


def test_the_end_of_the_process_refuses_what_was_not_sent(worlds: Worlds) -> None:
    world = worlds(workers=1, capacity=1)
    world.new_request(NON_IDEMPOTENT, "a1")
    waiting = world.new_request(NON_IDEMPOTENT, "a2")
    world.forwarder.abort_all()
    world.loop.settle()
    assert waiting.answer().status == 503
