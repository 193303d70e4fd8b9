"""Bytes behind whole answers, and connections that are used again: no answer reaches another request."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.data_plane.wire import HIGH_WATER_BYTES, chunked, event
from tests.data_plane.world import IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE, STREAMING, Arrival, World

Worlds = Callable[..., World]
SURPLUS = [b"x", b"\r\n", b"HTTP/1.1 200 OK\r\n", b"\x00\xff" * 40]


@pytest.fixture
def single(worlds: Worlds) -> World:
    """A world with one worker, so that connections are used again."""
    return worlds(workers=1)


def answered(world: World, attempt_id: str, path: str = NON_IDEMPOTENT) -> Arrival:
    """A request that was answered whole."""
    client = world.new_request(path, attempt_id)
    arrival = world.arrival()
    arrival.worker.send(arrival.complete_answer(f"to {attempt_id}".encode()))
    assert client.answer().body == f"to {attempt_id}".encode()
    return arrival


def test_a_connection_is_used_again_after_a_whole_answer(single: World) -> None:
    first, second = answered(single, "a1"), answered(single, "a2")
    assert first.worker is second.worker
    assert len(single.network.connections) == 1


def test_requests_at_the_same_time_have_connections_of_their_own(single: World) -> None:
    one, two = single.new_request(NON_IDEMPOTENT, "a1"), single.new_request(NON_IDEMPOTENT, "a2")
    first, second = single.arrivals
    second.worker.send(second.complete_answer(b"to a2"))
    first.worker.send(first.complete_answer(b"to a1"))
    assert (one.answer().body, two.answer().body) == (b"to a1", b"to a2")


@pytest.mark.parametrize("surplus", SURPLUS)
@pytest.mark.parametrize("coding", ["length", "chunks"])
def test_bytes_right_behind_a_whole_answer_end_the_connection(
    single: World, surplus: bytes, coding: str
) -> None:
    client = single.new_request(NON_IDEMPOTENT)
    arrival = single.arrival()
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
    assert answered(single, "a2").worker is not arrival.worker


@pytest.mark.parametrize("surplus", SURPLUS)
def test_bytes_on_an_idle_connection_end_it(single: World, surplus: bytes) -> None:
    arrival = answered(single, "a1")
    arrival.worker.send(surplus)
    assert arrival.worker.is_closed
    assert answered(single, "a2").worker is not arrival.worker


def test_a_surplus_second_answer_right_behind_belongs_to_nobody(single: World) -> None:
    client = single.new_request(NON_IDEMPOTENT)
    arrival = single.arrival()
    arrival.worker.send(arrival.complete_answer(b"first") + arrival.complete_answer(b"second"))
    assert client.answer().body == b"first"
    assert arrival.worker.is_closed


def test_unread_bytes_on_an_idle_connection_keep_it_from_use(single: World) -> None:
    arrival = answered(single, "a1")
    arrival.worker.transport.socket.has_unread()
    single.new_request(NON_IDEMPOTENT, "a2")
    assert single.arrival().worker is not arrival.worker
    assert arrival.worker.is_closed


@pytest.mark.parametrize("status", ["200 OK", "500 Internal Server Error", "503 Service Unavailable"])
@pytest.mark.parametrize("cut", [0, 1, 40, -1, None])
def test_a_late_answer_to_an_earlier_request_is_passed_over(
    single: World, status: str, cut: int | None
) -> None:
    first = answered(single, "a1")
    client = single.new_request(NON_IDEMPOTENT, "a2")
    second = single.arrival()
    assert second.worker is first.worker
    late = first.complete_answer(b"late, to a1", status, Reedspoke_Not_Executed="1")
    second.worker.send(late[:cut])
    assert client.answers() == []
    second.worker.send(late[len(late[:cut]) :] + second.complete_answer(b"to a2"))
    assert (client.answer().status, client.answer().body) == (200, b"to a2")
    assert second.worker.is_closed, "who sends answers that belong to nobody may send more"


def test_a_late_answer_alone_is_no_answer_to_the_next_request(single: World) -> None:
    first = answered(single, "a1")
    client = single.new_request(NON_IDEMPOTENT, "a2")
    single.arrival().worker.send(first.complete_answer(b"late, to a1"))
    single.arrival().worker.end()
    assert client.answer().status == 502


def test_a_late_stream_of_an_earlier_request_is_passed_over(single: World) -> None:
    first = answered(single, "a1")
    client = single.new_request(RESUMABLE, "a2")
    second = single.arrival()
    second.worker.send(first.stream_head() + chunked(event(1), event(2)))
    assert client.answers() == []
    second.worker.send(second.stream_head() + chunked(event(7)))
    assert client.answer().body == event(7)


def test_a_success_without_an_id_belongs_to_nobody(single: World) -> None:
    client = single.new_request(NON_IDEMPOTENT)
    arrival = single.arrival()
    arrival.worker.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    assert client.answers() == []
    arrival.worker.send(arrival.complete_answer())
    assert client.answer().body == b"the answer"


def test_a_worker_that_closes_after_its_answer_is_not_asked_there_again(single: World) -> None:
    client = single.new_request(NON_IDEMPOTENT)
    arrival = single.arrival()
    arrival.worker.send(arrival.complete_answer(Connection="close"))
    assert client.answer().is_complete
    assert client.answer().get("connection") is None
    assert answered(single, "a2").worker is not arrival.worker


def test_an_idle_connection_that_the_worker_closes_is_not_used(single: World) -> None:
    arrival = answered(single, "a1")
    arrival.worker.end()
    assert answered(single, "a2").worker is not arrival.worker


@pytest.mark.parametrize(
    ("keep_alive", "after", "used"),
    [
        ("timeout=5", 4.0, True),
        ("timeout=5", 4.9, False),
        ("timeout=1, max=3", 0.4, True),
        ("timeout=1, max=3", 0.9, False),
    ],
)
def test_a_connection_is_not_used_near_the_end_of_its_time(
    single: World, keep_alive: str, after: float, used: bool
) -> None:
    single.new_request(NON_IDEMPOTENT, "a1")
    first = single.arrival()
    first.worker.send(first.complete_answer(Keep_Alive=keep_alive))
    single.run_for(after)
    single.new_request(NON_IDEMPOTENT, "a2")
    assert (single.arrival().worker is first.worker) is used


def test_idle_connections_are_no_more_than_a_schedulers_share(worlds: Worlds) -> None:
    """A worker resets what comes beyond its most connections, whoever holds them."""
    world = worlds(workers=1, capacity=20, most_connections=12)
    world.forwarder.set_fleet_size(4)
    clients = [world.new_request(NON_IDEMPOTENT, f"a{number}") for number in range(12)]
    for arrival in world.arrivals:
        arrival.worker.send(arrival.complete_answer())
    assert all(client.answer().status == 200 for client in clients)
    assert sum(not end.is_closed for end in world.network.connections) <= 12 // 4


def test_an_idle_connection_of_a_worker_that_left_the_list_is_closed(single: World) -> None:
    arrival = answered(single, "a1")
    single.set_workers(["i-2"])
    assert arrival.worker.is_closed


def test_a_new_worker_at_an_old_address_gets_a_connection_of_its_own(single: World) -> None:
    arrival = answered(single, "a1")
    single.set_workers(["j-1"])
    second = answered(single, "a2")
    assert second.worker is not arrival.worker
    assert second.request.get("reedspoke-target-instance") == "j-1"


def test_a_connection_paused_for_a_slow_client_reads_again_for_the_next_request(single: World) -> None:
    """The worker's answer was whole by the time that the client's end was full."""
    slow = single.new_request(STREAMING, "a1")
    slow.transport.stop_peer_reading()
    first = single.arrival()
    large = b"id: 1\ndata: %b\n\n" % (b"x" * (HIGH_WATER_BYTES + 1))
    first.worker.send(first.stream_head() + chunked(large))
    assert single.is_idle()
    client = single.new_request(NON_IDEMPOTENT, "a2")
    second = single.arrival()
    second.worker.send(second.complete_answer(b"to a2"))
    assert client.answer().body == b"to a2"


def test_a_slow_client_holds_its_worker_up_and_gets_everything(single: World) -> None:
    slow = single.new_request(STREAMING, "a1")
    slow.transport.stop_peer_reading()
    arrival = single.arrival()
    large = b"id: 1\ndata: %b\n\n" % (b"x" * (HIGH_WATER_BYTES + 1))
    arrival.worker.send(arrival.stream_head() + chunked(large, last=False))
    assert arrival.worker.transport.reads_paused
    arrival.worker.send(chunked(event(2)))
    slow.transport.resume_peer_reading()
    single.loop.settle()
    assert slow.answer().body == large + event(2)
    assert slow.answer().is_complete


def test_a_slow_client_does_not_make_its_worker_look_silent(worlds: Worlds) -> None:
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


def test_an_answer_to_head_has_no_body(single: World) -> None:
    client = single.client()
    client.send(b"HEAD /again/ HTTP/1.1\r\nHost: a.example\r\nReedspoke-Attempt-Id: a1\r\n\r\n")
    arrival = single.arrival()
    arrival.worker.send(b"HTTP/1.1 200 OK\r\n" + arrival.fields() + b"Content-Length: 12\r\n\r\n")
    assert client.transport.written.startswith(b"HTTP/1.1 200 OK\r\n")
    assert client.transport.written.endswith(b"\r\n\r\n")


def test_an_own_answer_to_head_has_no_body(single: World) -> None:
    client = single.client()
    client.send(b"HEAD /nowhere/ HTTP/1.1\r\nHost: a.example\r\n\r\n")
    assert client.transport.written.startswith(b"HTTP/1.1 404 ")
    assert client.transport.written.endswith(b"\r\n\r\n")


def test_an_answer_without_content_tells_no_length(single: World) -> None:
    client = single.new_request(IDEMPOTENT)
    arrival = single.arrival()
    arrival.worker.send(b"HTTP/1.1 204 No Content\r\n" + arrival.fields() + b"\r\n")
    assert client.answer().status == 204
    assert client.answer().get("content-length") is None
