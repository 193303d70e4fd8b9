"""Bytes after complete answers, and reused connections: no answer reaches another request."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.data_plane.wire import HIGH_WATER_BYTES, chunked, event
from tests.data_plane.world import IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE, STREAMING, Arrival, World

Worlds = Callable[..., World]
SURPLUS = [b"x", b"\r\n", b"HTTP/1.1 200 OK\r\n", b"\x00\xff" * 40]


@pytest.fixture
def single_worker(worlds: Worlds) -> World:
    """A world with one worker, so that connections are reused."""
    return worlds(workers=1)


def answered(world: World, attempt_id: str, path: str = NON_IDEMPOTENT) -> Arrival:
    """A request that got its complete answer."""
    client = world.new_request(path, attempt_id)
    arrival = world.arrival()
    arrival.worker.send(arrival.complete_answer(f"to {attempt_id}".encode()))
    assert client.answer().body == f"to {attempt_id}".encode()
    return arrival


def test_a_connection_is_reused_after_a_complete_answer(single_worker: World) -> None:
    first, second = answered(single_worker, "a1"), answered(single_worker, "a2")
    assert first.worker is second.worker
    assert len(single_worker.network.connections) == 1


def test_concurrent_requests_have_separate_connections(single_worker: World) -> None:
    one, two = (
        single_worker.new_request(NON_IDEMPOTENT, "a1"),
        single_worker.new_request(NON_IDEMPOTENT, "a2"),
    )
    first, second = single_worker.arrivals
    second.worker.send(second.complete_answer(b"to a2"))
    first.worker.send(first.complete_answer(b"to a1"))
    assert (one.answer().body, two.answer().body) == (b"to a1", b"to a2")


@pytest.mark.parametrize("surplus", SURPLUS)
@pytest.mark.parametrize("coding", ["length", "chunks"])
def test_bytes_directly_after_an_answer_close_the_connection(
    single_worker: World, surplus: bytes, coding: str
) -> None:
    client = single_worker.new_request(NON_IDEMPOTENT)
    arrival = single_worker.arrival()
    raw = arrival.complete_answer()
    if coding == "chunks":
        raw = (
            b"HTTP/1.1 200 OK\r\n"
            + arrival.fields()
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + chunked(b"the answer")
        )
    arrival.worker.send(raw + surplus)
    assert client.answer().body == b"the answer"
    assert arrival.worker.is_closed
    assert answered(single_worker, "a2").worker is not arrival.worker


@pytest.mark.parametrize("surplus", SURPLUS)
def test_bytes_on_an_idle_connection_close_it(single_worker: World, surplus: bytes) -> None:
    arrival = answered(single_worker, "a1")
    arrival.worker.send(surplus)
    assert arrival.worker.is_closed
    assert answered(single_worker, "a2").worker is not arrival.worker


def test_a_second_answer_directly_after_the_first_is_discarded(single_worker: World) -> None:
    client = single_worker.new_request(NON_IDEMPOTENT)
    arrival = single_worker.arrival()
    arrival.worker.send(arrival.complete_answer(b"first") + arrival.complete_answer(b"second"))
    assert client.answer().body == b"first"
    assert arrival.worker.is_closed


def test_an_idle_connection_with_unread_bytes_is_not_used(single_worker: World) -> None:
    arrival = answered(single_worker, "a1")
    arrival.worker.transport.socket.has_unread()
    single_worker.new_request(NON_IDEMPOTENT, "a2")
    assert single_worker.arrival().worker is not arrival.worker
    assert arrival.worker.is_closed


@pytest.mark.parametrize("status", ["200 OK", "500 Internal Server Error", "503 Service Unavailable"])
@pytest.mark.parametrize("cut", [0, 1, 40, -1, None])
def test_a_late_answer_to_an_earlier_request_is_skipped(
    single_worker: World, status: str, cut: int | None
) -> None:
    first = answered(single_worker, "a1")
    client = single_worker.new_request(NON_IDEMPOTENT, "a2")
    second = single_worker.arrival()
    assert second.worker is first.worker
    late = first.complete_answer(b"late, to a1", status, Reedspoke_Not_Executed="1")
    second.worker.send(late[:cut])
    assert client.answers() == []
    second.worker.send(late[len(late[:cut]) :] + second.complete_answer(b"to a2"))
    assert (client.answer().status, client.answer().body) == (200, b"to a2")
    assert second.worker.is_closed, "more foreign answers may follow"


def test_a_late_answer_alone_is_no_answer_to_the_next_request(single_worker: World) -> None:
    first = answered(single_worker, "a1")
    client = single_worker.new_request(NON_IDEMPOTENT, "a2")
    single_worker.arrival().worker.send(first.complete_answer(b"late, to a1"))
    single_worker.arrival().worker.end()
    assert client.answer().status == 502


def test_a_late_stream_of_an_earlier_request_is_skipped(single_worker: World) -> None:
    first = answered(single_worker, "a1")
    client = single_worker.new_request(RESUMABLE, "a2")
    second = single_worker.arrival()
    second.worker.send(first.stream_head() + chunked(event(1), event(2)))
    assert client.answers() == []
    second.worker.send(second.stream_head() + chunked(event(7)))
    assert client.answer().body == event(7)


def test_a_success_without_an_attempt_id_is_skipped(single_worker: World) -> None:
    client = single_worker.new_request(NON_IDEMPOTENT)
    arrival = single_worker.arrival()
    arrival.worker.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    assert client.answers() == []
    arrival.worker.send(arrival.complete_answer())
    assert client.answer().body == b"the answer"


def test_a_connection_that_closes_after_its_answer_is_not_reused(single_worker: World) -> None:
    client = single_worker.new_request(NON_IDEMPOTENT)
    arrival = single_worker.arrival()
    arrival.worker.send(arrival.complete_answer(Connection="close"))
    assert client.answer().is_complete
    assert client.answer().get("connection") is None
    assert answered(single_worker, "a2").worker is not arrival.worker


def test_an_idle_connection_that_the_worker_closes_is_not_used(single_worker: World) -> None:
    arrival = answered(single_worker, "a1")
    arrival.worker.end()
    assert answered(single_worker, "a2").worker is not arrival.worker


@pytest.mark.parametrize(
    ("keep_alive", "after", "used"),
    [
        ("timeout=5", 4.0, True),
        ("timeout=5", 4.9, False),
        ("timeout=1, max=3", 0.4, True),
        ("timeout=1, max=3", 0.9, False),
    ],
)
def test_a_connection_is_not_used_near_the_end_of_its_idle_timeout(
    single_worker: World, keep_alive: str, after: float, used: bool
) -> None:
    single_worker.new_request(NON_IDEMPOTENT, "a1")
    first = single_worker.arrival()
    first.worker.send(first.complete_answer(Keep_Alive=keep_alive))
    single_worker.run_for(after)
    single_worker.new_request(NON_IDEMPOTENT, "a2")
    assert (single_worker.arrival().worker is first.worker) is used


def test_idle_connections_are_no_more_than_a_schedulers_share(worlds: Worlds) -> None:
    """A worker resets connections beyond its maximum, whichever scheduler holds them."""
    world = worlds(workers=1, capacity=20, most_connections=12)
    world.forwarder.set_fleet_size(4)
    clients = [world.new_request(NON_IDEMPOTENT, f"a{number}") for number in range(12)]
    for arrival in world.arrivals:
        arrival.worker.send(arrival.complete_answer())
    assert all(client.answer().status == 200 for client in clients)
    assert sum(not end.is_closed for end in world.network.connections) <= 12 // 4


def test_an_idle_connection_of_a_delisted_worker_is_closed(single_worker: World) -> None:
    arrival = answered(single_worker, "a1")
    single_worker.set_workers(["i-2"])
    assert arrival.worker.is_closed


def test_a_new_worker_at_a_reused_address_gets_a_new_connection(single_worker: World) -> None:
    arrival = answered(single_worker, "a1")
    single_worker.set_workers(["j-1"])
    second = answered(single_worker, "a2")
    assert second.worker is not arrival.worker
    assert second.request.get("reedspoke-target-instance") == "j-1"


def test_a_connection_paused_for_a_slow_client_reads_again_for_the_next_request(
    single_worker: World,
) -> None:
    """The worker's answer was complete when the client's buffer was full."""
    slow = single_worker.new_request(STREAMING, "a1")
    slow.transport.stop_peer_reading()
    first = single_worker.arrival()
    large = b"id: 1\ndata: %b\n\n" % (b"x" * (HIGH_WATER_BYTES + 1))
    first.worker.send(first.stream_head() + chunked(large))
    assert single_worker.is_idle()
    client = single_worker.new_request(NON_IDEMPOTENT, "a2")
    second = single_worker.arrival()
    second.worker.send(second.complete_answer(b"to a2"))
    assert client.answer().body == b"to a2"


def test_a_slow_client_slows_its_worker_down_and_gets_everything(single_worker: World) -> None:
    slow = single_worker.new_request(STREAMING, "a1")
    slow.transport.stop_peer_reading()
    arrival = single_worker.arrival()
    large = b"id: 1\ndata: %b\n\n" % (b"x" * (HIGH_WATER_BYTES + 1))
    arrival.worker.send(arrival.stream_head() + chunked(large, last=False))
    assert arrival.worker.transport.reads_paused
    arrival.worker.send(chunked(event(2)))
    slow.transport.resume_peer_reading()
    single_worker.loop.settle()
    assert slow.answer().body == large + event(2)
    assert slow.answer().is_complete


def test_a_slow_client_does_not_time_its_attempt_out(worlds: Worlds) -> None:
    world = worlds(workers=2)
    slow = world.new_request(RESUMABLE, "a1")
    slow.transport.stop_peer_reading()
    arrival = world.arrival()
    large = b"id: 1\ndata: %b\n\n" % (b"x" * (HIGH_WATER_BYTES + 1))
    arrival.worker.send(arrival.stream_head() + chunked(large, last=False))
    arrival.worker.send(chunked(event(2), last=False))
    world.run_for(3)
    assert len(world.arrivals) == 1
    assert not arrival.worker.is_closed


def test_an_answer_to_head_has_no_body(single_worker: World) -> None:
    client = single_worker.client()
    client.send(b"HEAD /again/ HTTP/1.1\r\nHost: a.example\r\nReedspoke-Attempt-Id: a1\r\n\r\n")
    arrival = single_worker.arrival()
    arrival.worker.send(b"HTTP/1.1 200 OK\r\n" + arrival.fields() + b"Content-Length: 12\r\n\r\n")
    assert client.transport.written.startswith(b"HTTP/1.1 200 OK\r\n")
    assert client.transport.written.endswith(b"\r\n\r\n")


def test_a_generated_answer_to_head_has_no_body(single_worker: World) -> None:
    client = single_worker.client()
    client.send(b"HEAD /nowhere/ HTTP/1.1\r\nHost: a.example\r\n\r\n")
    assert client.transport.written.startswith(b"HTTP/1.1 404 ")
    assert client.transport.written.endswith(b"\r\n\r\n")


def test_an_answer_without_content_has_no_content_length(single_worker: World) -> None:
    client = single_worker.new_request(IDEMPOTENT)
    arrival = single_worker.arrival()
    arrival.worker.send(b"HTTP/1.1 204 No Content\r\n" + arrival.fields() + b"\r\n")
    assert client.answer().status == 204
    assert client.answer().get("content-length") is None
