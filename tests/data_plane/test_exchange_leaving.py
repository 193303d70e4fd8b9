"""A client that disconnects: its attempt is cancelled, and no other one starts."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.data_plane.wire import chunked, event
from tests.data_plane.world import IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE, STREAMING, World

Worlds = Callable[..., World]
PATHS = (NON_IDEMPOTENT, IDEMPOTENT, STREAMING, RESUMABLE)
STREAMS = (STREAMING, RESUMABLE)


@pytest.mark.parametrize("path", PATHS)
def test_a_client_disconnects_while_its_request_is_queued(worlds: Worlds, path: str) -> None:
    world = worlds(workers=1, capacity=1)
    world.new_request(NON_IDEMPOTENT, "a1")
    queued = world.new_request(path, "a2")
    queued.disconnect()
    world.arrival().worker.send(world.arrival().complete_answer())
    world.run_for(5)
    assert [arrival.attempt_id for arrival in world.arrivals] == ["a1"]
    assert world.is_idle()


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("behaviour", ["slow", "refuse slowly", "hang"])
def test_a_client_disconnects_while_a_connection_is_opened(world: World, path: str, behaviour: str) -> None:
    world.network.plan = [behaviour]
    client = world.new_request(path)
    client.disconnect()
    world.run_for(5)
    assert world.arrivals == []
    assert world.is_idle()


def test_a_connection_established_too_late_serves_the_next_request(worlds: Worlds) -> None:
    world = worlds(workers=1)
    world.network.plan = ["slow"]
    world.new_request(NON_IDEMPOTENT, "a1").disconnect()
    world.run_for(1)
    world.new_request(NON_IDEMPOTENT, "a2")
    assert len(world.network.connections) == 1
    assert [arrival.attempt_id for arrival in world.arrivals] == ["a2"]


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("sent_bytes", [0, 1, 40, None])
def test_a_client_disconnects_while_the_worker_answers(
    world: World, path: str, sent_bytes: int | None
) -> None:
    client = world.new_request(path)
    arrival = world.arrival()
    arrival.worker.send(arrival.stream_head()[:sent_bytes])
    client.disconnect()
    assert arrival.worker.is_closed
    world.run_for(5)
    assert len(world.arrivals) == 1
    assert world.is_idle()


@pytest.mark.parametrize("path", STREAMS)
def test_a_client_disconnects_in_the_middle_of_a_stream(world: World, path: str) -> None:
    client = world.new_request(path)
    arrival = world.arrival()
    arrival.worker.send(arrival.stream_head() + chunked(event(1), last=False))
    client.disconnect()
    assert arrival.worker.is_closed
    world.run_for(5)
    assert len(world.arrivals) == 1
    assert world.is_idle()


@pytest.mark.parametrize("path", [IDEMPOTENT, RESUMABLE])
def test_a_client_disconnects_between_two_attempts(worlds: Worlds, path: str) -> None:
    world = worlds(workers=1)
    client = world.new_request(path)
    world.arrival().worker.reset()
    client.disconnect()
    world.set_workers(["i-1", "i-2"])
    world.run_for(5)
    assert len(world.arrivals) == 1
    assert world.is_idle()


@pytest.mark.parametrize("path", PATHS)
def test_a_client_disconnects_as_the_answer_arrives(world: World, path: str) -> None:
    client = world.new_request(path)
    arrival = world.arrival()
    client.transport.arrive_reset()
    arrival.worker.send(arrival.complete_answer(event(1)))
    world.run_for(5)
    assert len(world.arrivals) == 1
    assert world.is_idle()


@pytest.mark.parametrize("path", PATHS)
def test_a_client_disconnects_as_the_worker_fails(world: World, path: str) -> None:
    client = world.new_request(path)
    arrival = world.arrival()
    client.transport.arrive_reset()
    arrival.worker.reset()
    world.run_for(5)
    assert len(world.arrivals) == 1
    assert world.is_idle()


def test_the_capacity_of_a_request_whose_client_disconnected_is_released(worlds: Worlds) -> None:
    world = worlds(workers=1, capacity=1)
    first = world.new_request(NON_IDEMPOTENT, "a1")
    world.new_request(NON_IDEMPOTENT, "a2")
    first.disconnect()
    world.run_for(0.2)
    assert [arrival.attempt_id for arrival in world.arrivals] == ["a1", "a2"]


def test_the_connection_of_a_cancelled_attempt_is_not_reused(worlds: Worlds) -> None:
    world = worlds(workers=1)
    first = world.new_request(NON_IDEMPOTENT, "a1")
    first.disconnect()
    world.new_request(NON_IDEMPOTENT, "a2")
    assert world.arrivals[1].worker is not world.arrivals[0].worker


def test_shutdown_aborts_open_streams(world: World) -> None:
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
def test_shutdown_answers_requests_without_an_answer(world: World, path: str, status: int) -> None:
    """A complete request gets a complete answer, even if that is an error."""
    client = world.new_request(path)
    world.forwarder.abort_all()
    world.loop.settle()
    assert client.answer().status == status
    assert client.answer().is_complete


def test_shutdown_refuses_requests_that_were_not_sent(worlds: Worlds) -> None:
    world = worlds(workers=1, capacity=1)
    world.new_request(NON_IDEMPOTENT, "a1")
    queued = world.new_request(NON_IDEMPOTENT, "a2")
    world.forwarder.abort_all()
    world.loop.settle()
    assert queued.answer().status == 503
