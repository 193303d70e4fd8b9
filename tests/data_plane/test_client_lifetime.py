"""How long a client's connection lasts: kept for more requests, ended by time, by the client or by us."""

from __future__ import annotations

import pytest

from reedspoke.data_plane.client_connection import LINGER_S
from tests.data_plane.wire import chunked, event, events
from tests.data_plane.world import LIMITS, NON_IDEMPOTENT, STREAMING, Client, World, request_bytes

IDLE_S = LIMITS["idle_timeout_ms"] / 1000
HEADER_S = LIMITS["header_timeout_ms"] / 1000
BODY_S = 30.0
RAW = request_bytes(NON_IDEMPOTENT)


def serve(world: World) -> None:
    world.arrival().worker.send(world.arrival().complete_answer())


# ---- keeping a connection ----


@pytest.mark.parametrize("told", [None, "keep-alive", "Keep-Alive, X-Other"])
def test_a_connection_is_kept(world: World, told: str | None) -> None:
    client = world.client()
    client.send(RAW if told is None else request_bytes(NON_IDEMPOTENT, Connection=told))
    serve(world)
    assert client.answer().get("connection") is None
    assert not client.transport.is_closing()


@pytest.mark.parametrize("told", ["close", "Close", "keep-alive, close"])
def test_a_connection_is_closed_as_the_client_asks(world: World, told: str) -> None:
    client = world.new_request(NON_IDEMPOTENT, Connection=told)
    serve(world)
    assert client.answer().get("connection") == "close"
    assert client.transport.closed


def test_a_stream_ends_the_connection_as_the_client_asks(world: World) -> None:
    client = world.new_request(STREAMING, Connection="close")
    arrival = world.arrival()
    arrival.worker.send(arrival.stream_head() + chunked(event(1)))
    assert client.answer().get("connection") == "close"
    assert client.answer().is_complete
    assert client.transport.closed


def test_an_older_client_gets_its_answer_and_the_end(world: World) -> None:
    client = world.client()
    client.send(RAW.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
    serve(world)
    assert client.answer().body == b"the answer"
    assert client.transport.closed


def test_an_older_client_that_wants_to_keep_its_connection_is_told_so(world: World) -> None:
    client = world.client()
    client.send(request_bytes(NON_IDEMPOTENT, Connection="keep-alive").replace(b"HTTP/1.1", b"HTTP/1.0", 1))
    serve(world)
    kept = not client.transport.is_closing()
    assert (client.answer().get("connection") == "keep-alive") is kept


def test_an_older_client_gets_a_stream_without_chunks(world: World) -> None:
    """It does not know them: for it the body ends with the connection."""
    client = world.client()
    client.send(request_bytes(STREAMING).replace(b"HTTP/1.1", b"HTTP/1.0", 1))
    arrival = world.arrival()
    arrival.worker.send(arrival.stream_head() + chunked(event(1), event(2)))
    head, _, body = bytes(client.transport.written).partition(b"\r\n\r\n")
    assert b"chunked" not in head.lower()
    assert body == events(1, 2)
    assert client.transport.closed


def test_an_older_client_sees_that_a_stream_was_cut(world: World) -> None:
    client = world.client()
    client.send(request_bytes(STREAMING).replace(b"HTTP/1.1", b"HTTP/1.0", 1))
    arrival = world.arrival()
    arrival.worker.send(arrival.stream_head() + chunked(event(1), last=False))
    arrival.worker.reset()
    assert client.was_reset


# ---- time ----


def test_a_connection_without_a_request_ends_after_its_idle_time(world: World) -> None:
    client = world.client()
    world.run_for(IDLE_S - 1)
    assert not client.transport.is_closing()
    world.run_for(2)
    assert client.transport.closed
    assert client.answers() == []


def test_idle_time_begins_anew_after_each_answer(world: World) -> None:
    client = world.client()
    for number in range(3):
        world.run_for(IDLE_S - 2)
        client.send_request(NON_IDEMPOTENT, f"a{number}")
        world.run_for(1)
        serve(world)
    assert len(client.answers()) == 3
    world.run_for(IDLE_S - 1)
    assert not client.transport.is_closing()
    world.run_for(2)
    assert client.transport.closed


def test_no_time_runs_while_a_request_is_answered(world: World) -> None:
    client = world.client()
    client.send_request(NON_IDEMPOTENT)
    world.run_for(IDLE_S + 3)
    assert not client.transport.is_closing()
    serve(world)
    assert client.answer().status == 200


@pytest.mark.parametrize("cut", [1, 20, len(RAW) - len(b"the question") - 1])
def test_a_head_that_comes_too_slowly_is_refused(world: World, cut: int) -> None:
    client = world.client()
    client.send(RAW[:cut])
    world.run_for(HEADER_S - 0.5)
    assert client.answers() == []
    world.run_for(1)
    assert client.answer().status == 408
    assert client.transport.eof_written
    world.run_for(LINGER_S)
    assert client.transport.closed


def test_a_head_that_comes_byte_by_byte_has_the_same_time(world: World) -> None:
    client = world.client()
    for byte in RAW[:40]:
        client.send(bytes([byte]))
        world.run_for(0.1)
    assert client.answer().status == 408


def test_the_time_of_a_head_begins_with_its_first_byte(world: World) -> None:
    client = world.client()
    world.run_for(IDLE_S - 1)
    client.send(RAW[:10])
    world.run_for(HEADER_S - 0.5)
    client.send(RAW[10:])
    assert len(world.arrivals) == 1


def test_a_later_head_has_its_own_time(world: World) -> None:
    client = world.client()
    client.send(RAW)
    serve(world)
    world.run_for(2)
    client.send(RAW[:10])
    world.run_for(HEADER_S - 0.5)
    assert len(client.answers()) == 1
    world.run_for(1)
    assert [answer.status for answer in client.answers()] == [200, 408]


def test_a_body_that_never_comes_is_refused(world: World) -> None:
    client = world.client()
    client.send(RAW[:-1])
    world.run_for(HEADER_S + 1)
    assert client.answers() == []
    world.run_for(BODY_S)
    assert client.answer().status == 408
    assert world.arrivals == []


def test_a_request_behind_another_has_the_time_of_a_head(world: World) -> None:
    client = world.client()
    client.send(RAW + RAW[:10])
    world.run_for(HEADER_S + 1)
    assert client.answers() == []
    serve(world)
    world.run_for(HEADER_S + 1)
    assert [answer.status for answer in client.answers()] == [200, 408]


# ---- the client's end ----


@pytest.mark.parametrize("cut", [0, 10, len(RAW) - 1])
def test_a_client_that_ends_before_its_request_is_whole_gets_nothing(world: World, cut: int) -> None:
    client = world.client()
    client.send(RAW[:cut])
    client.transport.arrive_end()
    world.loop.settle()
    assert client.transport.is_closing()
    assert client.answers() == []
    assert world.frontend.connections == set()


def test_a_client_that_ends_its_side_is_taken_to_have_left(world: World) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    client.transport.arrive_end()
    world.loop.settle()
    assert client.transport.is_closing()
    assert world.arrival().worker.is_closed
    assert world.is_idle()


# ---- the end of the process ----


def close_idle(world: World) -> None:
    world.frontend.is_closing = True
    for connection in list(world.frontend.connections):
        connection.close_if_idle()
    world.loop.settle()


def idle_again(world: World) -> Client:
    client = world.new_request(NON_IDEMPOTENT)
    serve(world)
    return client


def test_a_connection_without_a_request_is_closed_unread(world: World) -> None:
    fresh, used = world.client(), idle_again(world)
    close_idle(world)
    assert fresh.transport.closed
    assert used.transport.closed
    assert fresh.answers() == []
    assert len(used.answers()) == 1


@pytest.mark.parametrize("cut", [1, 30, len(RAW) - 1])
def test_a_request_that_is_being_read_is_read_and_answered(world: World, cut: int) -> None:
    client = world.client()
    client.send(RAW[:cut])
    close_idle(world)
    assert not client.transport.is_closing()
    client.send(RAW[cut:])
    serve(world)
    assert (client.answer().status, client.answer().get("connection")) == (200, "close")
    assert client.transport.closed


def test_a_request_on_a_connection_that_came_up_late_is_answered(world: World) -> None:
    close_idle(world)
    client = world.new_request(NON_IDEMPOTENT)
    serve(world)
    assert (client.answer().status, client.answer().get("connection")) == (200, "close")
    assert client.transport.closed


def test_a_request_at_work_is_answered(world: World) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    close_idle(world)
    world.run_for(3)
    serve(world)
    assert (client.answer().status, client.answer().get("connection")) == (200, "close")
    assert client.transport.closed


def test_a_stream_at_work_ends_whole(world: World) -> None:
    client = world.new_request(STREAMING)
    arrival = world.arrival()
    arrival.worker.send(arrival.stream_head() + chunked(event(1), last=False))
    close_idle(world)
    arrival.worker.send(chunked(event(2), event(3)))
    assert (client.answer().body, client.answer().is_complete) == (events(1, 3), True)
    assert client.transport.closed


def test_a_request_that_was_read_behind_another_is_answered_too(world: World) -> None:
    """Its bytes have been read: the client could not tell whether it runs."""
    client = world.client()
    client.send(request_bytes(STREAMING) + request_bytes(NON_IDEMPOTENT, "a2"))
    arrival = world.arrival()
    arrival.worker.send(arrival.stream_head() + chunked(event(1), last=False))
    close_idle(world)
    arrival.worker.send(chunked(event(2)))
    serve(world)
    assert [answer.status for answer in client.answers()] == [200, 200]
    assert client.transport.closed
