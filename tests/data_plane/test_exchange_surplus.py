"""Bytes behind whole answers, and connections that are used again: no answer reaches another request."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.data_plane.wire import HIGH_WATER, chunked, event
from tests.data_plane.world import AGAIN, ONCE, RESUME, STREAM, Arrival, World

Worlds = Callable[..., World]
SURPLUS = [b"x", b"\r\n", b"HTTP/1.1 200 OK\r\n", b"\x00\xff" * 40]


@pytest.fixture
def single(worlds: Worlds) -> World:
    """A world with one worker, so that connections are used again."""
    return worlds(workers=1)


def answered(world: World, attempt_id: str, path: str = ONCE) -> Arrival:
    """A request that was answered whole."""
    client = world.asked(path, attempt_id)
    arrival = world.arrival()
    arrival.worker.say(arrival.whole(f"to {attempt_id}".encode()))
    assert client.answer().body == f"to {attempt_id}".encode()
    return arrival


def test_a_connection_is_used_again_after_a_whole_answer(single: World) -> None:
    first, second = answered(single, "a1"), answered(single, "a2")
    assert first.worker is second.worker
    assert len(single.network.connections) == 1


def test_requests_at_the_same_time_have_connections_of_their_own(single: World) -> None:
    one, two = single.asked(ONCE, "a1"), single.asked(ONCE, "a2")
    first, second = single.arrivals
    second.worker.say(second.whole(b"to a2"))
    first.worker.say(first.whole(b"to a1"))
    assert (one.answer().body, two.answer().body) == (b"to a1", b"to a2")


@pytest.mark.parametrize("surplus", SURPLUS)
@pytest.mark.parametrize("coding", ["length", "chunks"])
def test_bytes_right_behind_a_whole_answer_end_the_connection(
    single: World, surplus: bytes, coding: str
) -> None:
    client = single.asked(ONCE)
    arrival = single.arrival()
    raw = arrival.whole()
    if coding == "chunks":
        raw = (
            b"HTTP/1.1 200 OK\r\n"
            + arrival.fields()
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + chunked(b"the answer")
        )
    arrival.worker.say(raw + surplus)
    assert client.answer().body == b"the answer"
    assert arrival.worker.over
    assert answered(single, "a2").worker is not arrival.worker


@pytest.mark.parametrize("surplus", SURPLUS)
def test_bytes_on_an_idle_connection_end_it(single: World, surplus: bytes) -> None:
    arrival = answered(single, "a1")
    arrival.worker.say(surplus)
    assert arrival.worker.over
    assert answered(single, "a2").worker is not arrival.worker


def test_a_surplus_second_answer_right_behind_belongs_to_nobody(single: World) -> None:
    client = single.asked(ONCE)
    arrival = single.arrival()
    arrival.worker.say(arrival.whole(b"first") + arrival.whole(b"second"))
    assert client.answer().body == b"first"
    assert arrival.worker.over


def test_unread_bytes_on_an_idle_connection_keep_it_from_use(single: World) -> None:
    arrival = answered(single, "a1")
    arrival.worker.transport.socket.has_unread()
    single.asked(ONCE, "a2")
    assert single.arrival().worker is not arrival.worker
    assert arrival.worker.over


@pytest.mark.parametrize("status", ["200 OK", "500 Internal Server Error", "503 Service Unavailable"])
@pytest.mark.parametrize("cut", [0, 1, 40, -1, None])
def test_a_late_answer_to_an_earlier_request_is_passed_over(
    single: World, status: str, cut: int | None
) -> None:
    first = answered(single, "a1")
    client = single.asked(ONCE, "a2")
    second = single.arrival()
    assert second.worker is first.worker
    late = first.whole(b"late, to a1", status, Reedspoke_Not_Executed="1")
    second.worker.say(late[:cut])
    assert client.answers() == []
    second.worker.say(late[len(late[:cut]) :] + second.whole(b"to a2"))
    assert (client.answer().status, client.answer().body) == (200, b"to a2")
    assert second.worker.over, "who sends answers that belong to nobody may send more"


def test_a_late_answer_alone_is_no_answer_to_the_next_request(single: World) -> None:
    first = answered(single, "a1")
    client = single.asked(ONCE, "a2")
    single.arrival().worker.say(first.whole(b"late, to a1"))
    single.arrival().worker.end()
    assert client.answer().status == 502


def test_a_late_stream_of_an_earlier_request_is_passed_over(single: World) -> None:
    first = answered(single, "a1")
    client = single.asked(RESUME, "a2")
    second = single.arrival()
    second.worker.say(first.stream_head() + chunked(event(1), event(2)))
    assert client.answers() == []
    second.worker.say(second.stream_head() + chunked(event(7)))
    assert client.answer().body == event(7)


def test_a_success_without_an_id_belongs_to_nobody(single: World) -> None:
    client = single.asked(ONCE)
    arrival = single.arrival()
    arrival.worker.say(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    assert client.answers() == []
    arrival.worker.say(arrival.whole())
    assert client.answer().body == b"the answer"


def test_a_worker_that_closes_after_its_answer_is_not_asked_there_again(single: World) -> None:
    client = single.asked(ONCE)
    arrival = single.arrival()
    arrival.worker.say(arrival.whole(Connection="close"))
    assert client.answer().whole
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
    single.asked(ONCE, "a1")
    first = single.arrival()
    first.worker.say(first.whole(Keep_Alive=keep_alive))
    single.run_for(after)
    single.asked(ONCE, "a2")
    assert (single.arrival().worker is first.worker) is used


def test_idle_connections_are_no_more_than_a_schedulers_share(worlds: Worlds) -> None:
    """A worker resets what comes beyond its most connections, whoever holds them."""
    world = worlds(workers=1, capacity=20, most_connections=12)
    world.forwarder.set_fleet_size(4)
    clients = [world.asked(ONCE, f"a{number}") for number in range(12)]
    for arrival in world.arrivals:
        arrival.worker.say(arrival.whole())
    assert all(client.answer().status == 200 for client in clients)
    assert sum(not end.over for end in world.network.connections) <= 12 // 4


def test_an_idle_connection_of_a_worker_that_left_the_list_is_closed(single: World) -> None:
    arrival = answered(single, "a1")
    single.set_workers(["i-2"])
    assert arrival.worker.over


def test_a_new_worker_at_an_old_address_gets_a_connection_of_its_own(single: World) -> None:
    arrival = answered(single, "a1")
    single.set_workers(["j-1"])
    second = answered(single, "a2")
    assert second.worker is not arrival.worker
    assert second.request.get("reedspoke-target-instance") == "j-1"


def test_a_connection_paused_for_a_slow_client_reads_again_for_the_next_request(single: World) -> None:
    """The worker's answer was whole by the time that the client's end was full."""
    slow = single.asked(STREAM, "a1")
    slow.transport.stop_taking()
    first = single.arrival()
    large = b"id: 1\ndata: %b\n\n" % (b"x" * (HIGH_WATER + 1))
    first.worker.say(first.stream_head() + chunked(large))
    assert single.settled()
    client = single.asked(ONCE, "a2")
    second = single.arrival()
    second.worker.say(second.whole(b"to a2"))
    assert client.answer().body == b"to a2"


def test_a_slow_client_holds_its_worker_up_and_gets_everything(single: World) -> None:
    slow = single.asked(STREAM, "a1")
    slow.transport.stop_taking()
    arrival = single.arrival()
    large = b"id: 1\ndata: %b\n\n" % (b"x" * (HIGH_WATER + 1))
    arrival.worker.say(arrival.stream_head() + chunked(large, last=False))
    assert arrival.worker.transport.reads_paused
    arrival.worker.say(chunked(event(2)))
    slow.transport.take_again()
    single.loop.settle()
    assert slow.answer().body == large + event(2)
    assert slow.answer().whole


def test_a_slow_client_does_not_make_its_worker_look_silent(worlds: Worlds) -> None:
    world = worlds(workers=2)
    slow = world.asked(RESUME, "a1")
    slow.transport.stop_taking()
    arrival = world.arrival()
    large = b"id: 1\ndata: %b\n\n" % (b"x" * (HIGH_WATER + 1))
    arrival.worker.say(arrival.stream_head() + chunked(large, last=False))
    arrival.worker.say(chunked(event(2), last=False))
    world.run_for(3)
    assert len(world.arrivals) == 1
    assert not arrival.worker.over


def test_an_answer_to_head_has_no_body(single: World) -> None:
    client = single.client()
    client.say(b"HEAD /again/ HTTP/1.1\r\nHost: a.example\r\nReedspoke-Attempt-Id: a1\r\n\r\n")
    arrival = single.arrival()
    arrival.worker.say(b"HTTP/1.1 200 OK\r\n" + arrival.fields() + b"Content-Length: 12\r\n\r\n")
    assert client.transport.written.startswith(b"HTTP/1.1 200 OK\r\n")
    assert client.transport.written.endswith(b"\r\n\r\n")


def test_an_own_answer_to_head_has_no_body(single: World) -> None:
    client = single.client()
    client.say(b"HEAD /nowhere/ HTTP/1.1\r\nHost: a.example\r\n\r\n")
    assert client.transport.written.startswith(b"HTTP/1.1 404 ")
    assert client.transport.written.endswith(b"\r\n\r\n")


def test_an_answer_without_content_tells_no_length(single: World) -> None:
    client = single.asked(AGAIN)
    arrival = single.arrival()
    arrival.worker.say(b"HTTP/1.1 204 No Content\r\n" + arrival.fields() + b"\r\n")
    assert client.answer().status == 204
    assert client.answer().get("content-length") is None
