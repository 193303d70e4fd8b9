"""Lifetime of client connections: kept alive, or closed by time limits, by the client or at shutdown."""

from __future__ import annotations

import pytest

from reedspoke.data_plane.client_connection import LINGER_S
from tests.data_plane.wire import chunked, event, events
from tests.data_plane.world import LIMITS, NON_IDEMPOTENT, STREAMING, Client, World, request_bytes

IDLE_S = LIMITS["idle_timeout_ms"] / 1000
HEADER_S = LIMITS["header_timeout_ms"] / 1000
BODY_S = 30.0
REQUEST = request_bytes(NON_IDEMPOTENT)


def serve(world: World) -> None:
    world.arrival().worker.send(world.arrival().complete_answer())


# ---- keep-alive ----


@pytest.mark.parametrize("connection_field", [None, "keep-alive", "Keep-Alive, X-Other"])
def test_a_connection_is_kept_alive(world: World, connection_field: str | None) -> None:
    client = world.client()
    client.send(
        REQUEST if connection_field is None else request_bytes(NON_IDEMPOTENT, Connection=connection_field)
    )
    serve(world)
    assert client.answer().get("connection") is None
    assert not client.transport.is_closing()


@pytest.mark.parametrize("connection_field", ["close", "Close", "keep-alive, close"])
def test_a_connection_is_closed_as_the_client_asks(world: World, connection_field: str) -> None:
    client = world.new_request(NON_IDEMPOTENT, Connection=connection_field)
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


def test_an_http_1_0_client_gets_its_answer_and_the_connection_closes(world: World) -> None:
    client = world.client()
    client.send(REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
    serve(world)
    assert client.answer().body == b"the answer"
    assert client.transport.closed


def test_an_http_1_0_client_that_asks_for_keep_alive_gets_the_field(world: World) -> None:
    client = world.client()
    client.send(request_bytes(NON_IDEMPOTENT, Connection="keep-alive").replace(b"HTTP/1.1", b"HTTP/1.0", 1))
    serve(world)
    is_kept_alive = not client.transport.is_closing()
    assert (client.answer().get("connection") == "keep-alive") is is_kept_alive


def test_an_http_1_0_client_gets_a_stream_without_chunks(world: World) -> None:
    """HTTP/1.0 has no chunked coding: the end of the connection delimits the body."""
    client = world.client()
    client.send(request_bytes(STREAMING).replace(b"HTTP/1.1", b"HTTP/1.0", 1))
    arrival = world.arrival()
    arrival.worker.send(arrival.stream_head() + chunked(event(1), event(2)))
    head, _, body = bytes(client.transport.written).partition(b"\r\n\r\n")
    assert b"chunked" not in head.lower()
    assert body == events(1, 2)
    assert client.transport.closed


def test_an_http_1_0_client_sees_that_a_stream_is_incomplete(world: World) -> None:
    client = world.client()
    client.send(request_bytes(STREAMING).replace(b"HTTP/1.1", b"HTTP/1.0", 1))
    arrival = world.arrival()
    arrival.worker.send(arrival.stream_head() + chunked(event(1), last=False))
    arrival.worker.reset()
    assert client.was_reset


# ---- time limits ----


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


@pytest.mark.parametrize("length", [1, 20, len(REQUEST) - len(b"the question") - 1])
def test_a_head_that_arrives_too_slowly_is_refused(world: World, length: int) -> None:
    client = world.client()
    client.send(REQUEST[:length])
    world.run_for(HEADER_S - 0.5)
    assert client.answers() == []
    world.run_for(1)
    assert client.answer().status == 408
    assert client.transport.eof_written
    world.run_for(LINGER_S)
    assert client.transport.closed


def test_a_head_that_arrives_byte_by_byte_has_the_same_time_limit(world: World) -> None:
    client = world.client()
    for byte in REQUEST[:40]:
        client.send(bytes([byte]))
        world.run_for(0.1)
    assert client.answer().status == 408


def test_the_time_limit_of_a_head_starts_at_its_first_byte(world: World) -> None:
    client = world.client()
    world.run_for(IDLE_S - 1)
    client.send(REQUEST[:10])
    world.run_for(HEADER_S - 0.5)
    client.send(REQUEST[10:])
    assert len(world.arrivals) == 1


def test_a_later_head_has_its_own_time_limit(world: World) -> None:
    client = world.client()
    client.send(REQUEST)
    serve(world)
    world.run_for(2)
    client.send(REQUEST[:10])
    world.run_for(HEADER_S - 0.5)
    assert len(client.answers()) == 1
    world.run_for(1)
    assert [answer.status for answer in client.answers()] == [200, 408]


def test_a_body_that_never_arrives_is_refused(world: World) -> None:
    client = world.client()
    client.send(REQUEST[:-1])
    world.run_for(HEADER_S + 1)
    assert client.answers() == []
    world.run_for(BODY_S)
    assert client.answer().status == 408
    assert world.arrivals == []


def test_a_pipelined_request_has_the_time_limit_of_a_head(world: World) -> None:
    client = world.client()
    client.send(REQUEST + REQUEST[:10])
    world.run_for(HEADER_S + 1)
    assert client.answers() == []
    serve(world)
    world.run_for(HEADER_S + 1)
    assert [answer.status for answer in client.answers()] == [200, 408]


# ---- clients that close ----


@pytest.mark.parametrize("length", [0, 10, len(REQUEST) - 1])
def test_a_client_that_closes_before_its_request_is_complete_gets_nothing(world: World, length: int) -> None:
    client = world.client()
    client.send(REQUEST[:length])
    client.transport.arrive_end()
    world.loop.settle()
    assert client.transport.is_closing()
    assert client.answers() == []
    assert world.frontend.connections == set()


def test_a_client_that_half_closes_counts_as_disconnected(world: World) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    client.transport.arrive_end()
    world.loop.settle()
    assert client.transport.is_closing()
    assert world.arrival().worker.is_closed
    assert world.is_idle()


# ---- shutdown ----


def close_idle(world: World) -> None:
    world.frontend.is_closing = True
    for connection in list(world.frontend.connections):
        connection.close_if_idle()
    world.loop.settle()


def answered_client(world: World) -> Client:
    client = world.new_request(NON_IDEMPOTENT)
    serve(world)
    return client


def test_a_connection_without_a_request_is_closed_unread(world: World) -> None:
    fresh, used = world.client(), answered_client(world)
    close_idle(world)
    assert fresh.transport.closed
    assert used.transport.closed
    assert fresh.answers() == []
    assert len(used.answers()) == 1


@pytest.mark.parametrize("length", [1, 30, len(REQUEST) - 1])
def test_a_request_that_is_being_read_is_read_and_answered(world: World, length: int) -> None:
    client = world.client()
    client.send(REQUEST[:length])
    close_idle(world)
    assert not client.transport.is_closing()
    client.send(REQUEST[length:])
    serve(world)
    assert (client.answer().status, client.answer().get("connection")) == (200, "close")
    assert client.transport.closed


def test_a_request_on_a_connection_opened_during_shutdown_is_answered(world: World) -> None:
    close_idle(world)
    client = world.new_request(NON_IDEMPOTENT)
    serve(world)
    assert (client.answer().status, client.answer().get("connection")) == (200, "close")
    assert client.transport.closed


def test_a_request_in_flight_is_answered(world: World) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    close_idle(world)
    world.run_for(3)
    serve(world)
    assert (client.answer().status, client.answer().get("connection")) == (200, "close")
    assert client.transport.closed


def test_a_stream_in_flight_ends_complete(world: World) -> None:
    client = world.new_request(STREAMING)
    arrival = world.arrival()
    arrival.worker.send(arrival.stream_head() + chunked(event(1), last=False))
    close_idle(world)
    arrival.worker.send(chunked(event(2), event(3)))
    assert (client.answer().body, client.answer().is_complete) == (events(1, 3), True)
    assert client.transport.closed


def test_a_pipelined_request_that_was_read_is_answered_too(world: World) -> None:
    """Its bytes have been read, so the client could not know whether it runs."""
    client = world.client()
    client.send(request_bytes(STREAMING) + request_bytes(NON_IDEMPOTENT, "a2"))
    arrival = world.arrival()
    arrival.worker.send(arrival.stream_head() + chunked(event(1), last=False))
    close_idle(world)
    arrival.worker.send(chunked(event(2)))
    serve(world)
    assert [answer.status for answer in client.answers()] == [200, 200]
    assert client.transport.closed
