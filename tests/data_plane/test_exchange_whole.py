"""Answers that are buffered and forwarded: which are complete, and which never look so."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.decision.messages import Decision
from tests.data_plane.wire import chunked, event
from tests.data_plane.world import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    SEAL,
    STREAMING,
    TIMEOUT_S,
    Arrival,
    World,
    fresh_world,
)

Worlds = Callable[..., World]
PLAIN_PATHS = [NON_IDEMPOTENT, IDEMPOTENT]


def test_a_request_reaches_the_worker_as_it_was_sent(world: World) -> None:
    world.new_request("/once/x?y=/1&z", X_Own="kept", Reedspoke_Deadline_Ms="5000", Connection="keep-alive")
    request = world.arrival().request
    assert (request.method, request.target, request.body) == ("POST", "/once/x?y=/1&z", b"the question")
    assert request.get("reedspoke-attempt-id") == "a1"
    assert request.get("x-own") == "kept"
    assert request.get("host") == "a.example"
    assert request.get("connection") is None
    assert request.get("reedspoke-target-instance") == world.arrival().worker.instance_id
    assert 4900 < int(request.get("reedspoke-deadline-ms") or 0) <= 5000


def test_a_body_in_chunks_reaches_the_worker_with_its_length(world: World) -> None:
    head = b"POST /once/ HTTP/1.1\r\nHost: a.example\r\nReedspoke-Attempt-Id: a1\r\n"
    world.client().send(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(b"the ", b"question"))
    request = world.arrival().request
    assert request.body == b"the question"
    assert request.get("content-length") == "12"
    assert request.get("transfer-encoding") is None


@pytest.mark.parametrize("method", ["GET", "DELETE", "PUT", "OPTIONS"])
def test_every_method_is_forwarded(world: World, method: str) -> None:
    client = world.client()
    client.send(f"{method} /again/ HTTP/1.1\r\nHost: a.example\r\nReedspoke-Attempt-Id: a1\r\n\r\n".encode())
    assert world.arrival().request.method == method
    world.arrival().worker.send(world.arrival().complete_answer())
    assert client.answer().body == b"the answer"


@pytest.mark.parametrize("path", PLAIN_PATHS)
def test_an_answer_is_returned_unchanged(world: World, path: str) -> None:
    client = world.new_request(path)
    body = bytes(range(256)) * 40
    world.arrival().worker.send(world.arrival().complete_answer(body, Content_Type="a/b", Versions="3"))
    answer = client.answer()
    assert (answer.status, answer.body, answer.is_complete) == (200, body, True)
    assert answer.get("reedspoke-response-seal") == SEAL
    assert answer.get("reedspoke-attempt-id") == "a1"
    assert answer.get("content-type") == "a/b"
    assert answer.get("versions") == "3"
    assert world.is_idle()


@pytest.mark.parametrize(
    "status", ["201 Created", "302 Found", "400 Bad Request", "404 Not Found", "409 Conflict"]
)
@pytest.mark.parametrize("path", PLAIN_PATHS)
def test_a_worker_answer_of_another_status_is_returned_unchanged(
    world: World, path: str, status: str
) -> None:
    client = world.new_request(path)
    world.arrival().worker.send(world.arrival().complete_answer(b"why", status, Location="/x"))
    answer = client.answer()
    assert (str(answer.status), answer.body, answer.get("location")) == (status[:3], b"why", "/x")
    assert len(world.arrivals) == 1


def test_an_answer_in_chunks_is_returned_completely(world: World) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    arrival = world.arrival()
    head = b"HTTP/1.1 200 OK\r\n" + arrival.fields() + b"Transfer-Encoding: chunked\r\n\r\n"
    arrival.worker.send(head + chunked(b"one ", b"two"))
    assert (client.answer().body, client.answer().is_complete) == (b"one two", True)


@pytest.mark.parametrize("path", [*PLAIN_PATHS, STREAMING])
def test_the_dispatcher_is_notified_when_an_answer_starts(
    world: World, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """So that it knows which workers are slow, and which are nearly at capacity."""
    started_at: list[float] = []
    original = world.dispatcher.first_event_received

    def first_event_received(job_id: int, now: float) -> list[Decision]:
        started_at.append(now)
        return original(job_id, now)

    monkeypatch.setattr(world.dispatcher, "first_event_received", first_event_received)
    world.new_request(path)
    world.run_for(0.3)
    arrival = world.arrival()
    raw = arrival.complete_answer(event(1) + event(2))
    arrival.worker.send(raw[: -len(event(2))])
    expected = world.loop.time()
    world.run_for(0.3)
    arrival.worker.send(raw[-len(event(2)) :])
    assert len(started_at) == 1
    assert started_at[0] == pytest.approx(expected, abs=0.01)


def test_interim_answers_are_skipped(world: World) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    world.arrival().worker.send(b"HTTP/1.1 100 Continue\r\n\r\n" + world.arrival().complete_answer())
    assert client.answer().body == b"the answer"


@pytest.mark.parametrize("size", [1, 7])
def test_an_answer_in_pieces_of_any_size_is_returned_completely(world: World, size: int) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    raw = world.arrival().complete_answer()
    for start in range(0, len(raw), size):
        assert client.answers() == []
        world.arrival().worker.send(raw[start : start + size])
    assert client.answer().body == b"the answer"


def complete_answer(arrival: Arrival, coding: str) -> bytes:
    """The same answer with a Content-Length or in chunks."""
    if coding == "length":
        return arrival.complete_answer()
    head = b"HTTP/1.1 200 OK\r\n" + arrival.fields() + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + chunked(b"the ", b"answer")


@pytest.mark.parametrize("ending", ["end", "reset"])
@pytest.mark.parametrize("coding", ["length", "chunks"])
def test_an_answer_cut_anywhere_is_never_a_success(ending: str, coding: str) -> None:
    length, most = 0, 1
    while length < most:
        with fresh_world(workers=1) as world:
            client = world.new_request(NON_IDEMPOTENT)
            arrival = world.arrival()
            raw = complete_answer(arrival, coding)
            most = len(raw)
            arrival.worker.send(raw[:length])
            getattr(arrival.worker, ending)()
            assert client.answer().status == 502, length
            assert client.answer().get("reedspoke-response-seal") is None, length
            assert arrival.worker.is_closed, length
            assert world.is_idle(), length
        length += 1


@pytest.mark.parametrize("coding", ["length", "chunks"])
def test_a_complete_answer_is_a_success_whatever_follows(world: World, coding: str) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    world.arrival().worker.send(complete_answer(world.arrival(), coding))
    world.arrival().worker.reset()
    assert (client.answer().status, client.answer().body) == (200, b"the answer")


@pytest.mark.parametrize("length", [0, 1, 60, -1])
def test_a_request_whose_answer_is_cut_is_retried_if_idempotent(world: World, length: int) -> None:
    client = world.new_request(IDEMPOTENT)
    first = world.arrival()
    first.worker.send(first.complete_answer(b"of the first")[:length])
    first.worker.reset()
    second = world.arrival()
    assert second is not first
    assert second.worker.instance_id != first.worker.instance_id
    assert second.attempt_id == first.attempt_id
    second.worker.send(second.complete_answer(b"of the second"))
    assert client.answer().body == b"of the second"
    assert world.is_idle()


def test_an_answer_without_a_length_is_complete_when_its_worker_closes(world: World) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    arrival = world.arrival()
    arrival.worker.send(b"HTTP/1.1 200 OK\r\n" + arrival.fields() + b"\r\nthe answer")
    assert client.answers() == []
    arrival.worker.end()
    assert (client.answer().status, client.answer().body, client.answer().is_complete) == (
        200,
        b"the answer",
        True,
    )
    assert arrival.worker.is_closed


@pytest.mark.parametrize("body", [b"", b"the answer"])
def test_an_answer_without_a_length_that_is_reset_is_incomplete(world: World, body: bytes) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    arrival = world.arrival()
    arrival.worker.send(b"HTTP/1.1 200 OK\r\n" + arrival.fields() + b"\r\n" + body)
    arrival.worker.reset()
    assert client.answer().status == 502


GARBAGE = [
    b"\x00\x01\x02\xff\r\n\r\n",
    b"nonsense\r\n\r\n",
    b"HTTP/2 200 OK\r\n\r\n",
    b"HTTP/1.1 2000 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: five\r\n\r\n",
]


@pytest.mark.parametrize("garbage", GARBAGE)
def test_bytes_that_are_no_answer_end_the_attempt(world: World, garbage: bytes) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    world.arrival().worker.send(garbage)
    assert client.answer().status == 502
    assert world.arrival().worker.is_closed


@pytest.mark.parametrize("garbage", [b"nonsense\r\n", b"\x80\x81\x82\n", b"<html>\r\n"])
def test_garbage_is_detected_at_its_first_line(world: World, garbage: bytes) -> None:
    """Its sender may never end the head, and the client would wait until its deadline."""
    client = world.new_request(NON_IDEMPOTENT)
    world.arrival().worker.send(garbage)
    assert client.answer().status == 502


@pytest.mark.parametrize("path", PLAIN_PATHS)
def test_garbage_inside_a_body_in_chunks_is_no_answer(world: World, path: str) -> None:
    client = world.new_request(path)
    arrival = world.arrival()
    head = b"HTTP/1.1 200 OK\r\n" + arrival.fields() + b"Transfer-Encoding: chunked\r\n\r\n"
    arrival.worker.send(head + b"4\r\nthe \r\nzz\r\n")
    assert arrival.worker.is_closed
    if path == IDEMPOTENT:
        world.arrival().worker.send(world.arrival().complete_answer())
        assert client.answer().body == b"the answer"
    else:
        assert client.answer().status == 502


def test_an_answer_without_its_seal_is_no_success(world: World) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    echo = b"Reedspoke-Attempt-Id: a1\r\nContent-Length: 2\r\n\r\nok"
    world.arrival().worker.send(b"HTTP/1.1 200 OK\r\n" + echo)
    assert client.answer().status == 502


def test_a_request_to_a_worker_that_never_answers_ends_at_its_deadline(world: World) -> None:
    client = world.new_request(NON_IDEMPOTENT, Reedspoke_Deadline_Ms="5000")
    world.run_for(4.5)
    assert client.answers() == []
    world.run_for(1.5)
    answer = client.answer()
    assert answer.status == 504
    assert f'"code":{int(ErrorCode.DEADLINE)}'.encode() in answer.body
    assert world.arrival().worker.is_closed
    assert world.is_idle()


def test_the_routes_timeout_limits_a_longer_client_deadline(world: World) -> None:
    client = world.new_request(NON_IDEMPOTENT, Reedspoke_Deadline_Ms="600000")
    world.run_for(TIMEOUT_S + 1)
    assert client.answer().status == 504
    assert world.is_idle()


def test_a_request_that_arrives_after_its_deadline_is_refused_unsent(world: World) -> None:
    client = world.new_request(NON_IDEMPOTENT, Reedspoke_Deadline_Ms="0")
    assert client.answer().status == 503
    assert world.arrivals == []
    assert world.is_idle()


def test_an_unknown_route_is_refused(world: World) -> None:
    assert world.new_request("/nowhere/").answer().status == 404
    assert world.arrivals == []
