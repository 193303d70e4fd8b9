"""Parsing of a client's bytes: cut anywhere, pipelined, too large or malformed."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.common.errors import ErrorCode
from reedspoke.data_plane.client_connection import LINGER_S
from tests.data_plane.wire import chunked
from tests.data_plane.world import (
    IDEMPOTENT,
    LIMITS,
    NON_IDEMPOTENT,
    STREAMING,
    Client,
    World,
    fresh_world,
    request_bytes,
)

Worlds = Callable[..., World]
HEAD = b"POST /once/ HTTP/1.1\r\nHost: a.example\r\nReedspoke-Attempt-Id: a1\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
REQUEST_WITH_LENGTH = request_bytes(NON_IDEMPOTENT)
COMPLETE_REQUESTS = {
    "length": REQUEST_WITH_LENGTH,
    "chunks": CHUNKED_HEAD + chunked(b"the ", b"question"),
    "chunks with more": CHUNKED_HEAD
    + b"4;a=b\r\nthe \r\n8 \r\nquestion\r\n0;c\r\nX-Sum: 1\r\nX-Two: 2\r\n\r\n",
    "blank lines before": b"\r\n\r\n" + REQUEST_WITH_LENGTH,
}


def serve(world: World, body: bytes = b"the answer") -> None:
    """Sends a complete answer to the latest request."""
    world.arrival().worker.send(world.arrival().complete_answer(body))


def check_refused(client: Client, status: int) -> None:
    """Checks that the client got this status and the connection closes without a reset.

    What the client still sends is not parsed as a request.
    """
    answer = client.answer()
    assert (answer.status, answer.is_complete) == (status, True)
    assert answer.get("connection") == "close"
    assert client.transport.eof_written
    count_before = len(client.world.frontend.requests)
    client.send(HIDDEN)
    client.world.run_for(LINGER_S + 0.1)
    assert client.transport.closed
    assert len(client.world.frontend.requests) == count_before
    assert client.answer() == answer


@pytest.mark.parametrize("form", COMPLETE_REQUESTS)
def test_a_request_cut_anywhere_is_one_request(form: str) -> None:
    raw = COMPLETE_REQUESTS[form]
    for cut in range(1, len(raw)):
        with fresh_world(workers=1) as world:
            client = world.client()
            client.send(raw[:cut])
            assert world.arrivals == [], cut
            assert client.answers() == [], cut
            client.send(raw[cut:])
            assert [arrival.request.body for arrival in world.arrivals] == [b"the question"], cut
            serve(world)
            assert client.answer().body == b"the answer", cut


@pytest.mark.parametrize("form", COMPLETE_REQUESTS)
def test_a_request_byte_by_byte_is_one_request(world: World, form: str) -> None:
    client = world.client()
    for byte in COMPLETE_REQUESTS[form]:
        client.send(bytes([byte]))
    assert [arrival.request.body for arrival in world.arrivals] == [b"the question"]
    serve(world)
    assert client.answer().body == b"the answer"


@settings(max_examples=40, deadline=None)
@given(st.binary(max_size=3000), st.lists(st.integers(1, 500), max_size=12), st.booleans())
def test_any_body_arrives_as_it_was_sent(body: bytes, sizes: list[int], in_chunks: bool) -> None:
    pieces, at = [], 0
    for size in sizes:
        pieces += [body[at : at + size]] if body[at : at + size] else []
        at += size
    pieces += [body[at:]] if body[at:] else []
    raw = CHUNKED_HEAD + chunked(*pieces) if in_chunks else request_bytes(NON_IDEMPOTENT, body=body)
    with fresh_world() as world:
        world.client().send(raw)
        assert world.arrival().request.body == body


def test_a_large_body_arrives_as_it_was_sent(worlds: Worlds) -> None:
    world = worlds(limits=LIMITS | {"max_body_bytes": 3_000_000})
    body = bytes(range(256)) * 8000
    client = world.client()
    raw = request_bytes(NON_IDEMPOTENT, body=body)
    for start in range(0, len(raw), 50_000):
        client.send(raw[start : start + 50_000])
    assert world.arrival().request.body == body
    serve(world, body)
    assert client.answer().body == body


# ---- several requests on a connection ----


def test_requests_one_after_another_use_one_connection(world: World) -> None:
    client = world.client()
    for number in range(1, 6):
        client.send_request(NON_IDEMPOTENT, f"a{number}", body=b"q%d" % number)
        serve(world, b"to a%d" % number)
    assert [answer.body for answer in client.answers()] == [b"to a%d" % number for number in range(1, 6)]
    assert [arrival.request.body for arrival in world.arrivals] == [b"q%d" % number for number in range(1, 6)]
    assert not client.transport.is_closing()


@pytest.mark.parametrize("cut", [0, 1, 30, len(REQUEST_WITH_LENGTH) - 1, len(REQUEST_WITH_LENGTH)])
def test_a_pipelined_second_request_waits_for_its_turn(world: World, cut: int) -> None:
    client = world.client()
    second = request_bytes(NON_IDEMPOTENT, "a2", b"the second")
    client.send(REQUEST_WITH_LENGTH + second[:cut])
    assert [arrival.attempt_id for arrival in world.arrivals] == ["a1"]
    client.send(second[cut:])
    assert [arrival.attempt_id for arrival in world.arrivals] == ["a1"]
    serve(world, b"to a1")
    assert [arrival.attempt_id for arrival in world.arrivals] == ["a1", "a2"]
    assert world.arrival().request.body == b"the second"
    serve(world, b"to a2")
    assert [answer.body for answer in client.answers()] == [b"to a1", b"to a2"]


def test_many_requests_at_once_are_answered_in_order(world: World) -> None:
    client = world.client()
    client.send(b"".join(request_bytes("/nowhere/" if n % 2 else NON_IDEMPOTENT, f"a{n}") for n in range(8)))
    for _ in range(4):
        serve(world)
    assert [answer.status for answer in client.answers()] == [200, 404] * 4


def test_a_large_second_request_does_not_end_the_first(world: World) -> None:
    client = world.client()
    client.send(REQUEST_WITH_LENGTH)
    client.send(b"".join(request_bytes(NON_IDEMPOTENT, f"a{number}", b"x" * 8000) for number in range(2, 14)))
    serve(world, b"to a1")
    assert client.answers()[0].body == b"to a1"


def test_reading_from_a_client_that_sends_without_end_stops(world: World) -> None:
    client = world.client()
    client.send(REQUEST_WITH_LENGTH)
    for _ in range(40):
        client.send(b"x" * 50_000)
    assert client.transport.reads_paused or (world.arrival().worker.is_closed and world.is_idle())


def test_the_bytes_of_a_request_stay_as_they_are_until_its_answer(worlds: Worlds) -> None:
    """Its head is a view of the buffer that receives later bytes."""
    world = worlds(workers=2)
    client = world.client()
    client.send(request_bytes(IDEMPOTENT, "a1", b"the first", X_Own="1" * 500))
    for _ in range(20):
        client.send(b"Z" * 1000)
    world.arrival().worker.reset()
    request = world.arrival().request
    assert request.get("reedspoke-attempt-id") == "a1"
    assert request.get("x-own") == "1" * 500
    assert (request.target, request.body) == (IDEMPOTENT, b"the first")


# ---- limits ----


def test_a_head_within_the_limit_is_accepted(world: World) -> None:
    room = LIMITS["max_header_bytes"] - len(request_bytes(NON_IDEMPOTENT, X_Fill=""))
    world.new_request(NON_IDEMPOTENT, X_Fill="x" * (room - 20))
    assert len(world.arrivals) == 1


@pytest.mark.parametrize("ended", [True, False])
def test_a_head_beyond_the_limit_is_refused(world: World, ended: bool) -> None:
    client = world.client()
    client.send(HEAD + b"X-Fill: " + b"x" * LIMITS["max_header_bytes"] + (b"\r\n\r\n" if ended else b""))
    check_refused(client, 431)
    assert world.arrivals == []
    assert f'"code":{int(ErrorCode.REQUEST_TOO_LARGE)}'.encode() in client.answer().body


def test_a_head_beyond_the_limit_in_pieces_is_refused(world: World) -> None:
    client = world.client()
    client.send(HEAD)
    for number in range(300):
        client.send(b"X-%d: 12345678901234567890\r\n" % number)
    check_refused(client, 431)


@pytest.mark.parametrize("most", [20_000, 60_000])
def test_the_operators_limit_on_heads_is_the_only_one(worlds: Worlds, most: int) -> None:
    world = worlds(limits=LIMITS | {"max_header_bytes": most})
    client = world.new_request(NON_IDEMPOTENT, X_Fill="x" * (most - 1000))
    assert len(world.arrivals) == 1
    serve(world)
    assert client.answer().status == 200


def test_a_body_within_the_limit_is_accepted(world: World) -> None:
    world.new_request(NON_IDEMPOTENT, body=b"x" * LIMITS["max_body_bytes"])
    assert len(world.arrivals) == 1


def test_a_body_beyond_the_limit_is_refused_before_it_arrives(world: World) -> None:
    client = world.client()
    client.send(HEAD + b"Content-Length: %d\r\n\r\n" % (LIMITS["max_body_bytes"] + 1))
    check_refused(client, 413)


def test_a_body_in_chunks_beyond_the_limit_is_refused(world: World) -> None:
    client = world.client()
    client.send(CHUNKED_HEAD)
    for _ in range(9):
        client.send(chunked(b"x" * 1000, last=False))
    check_refused(client, 413)
    assert world.arrivals == []


def test_without_a_configuration_there_are_limits_too(world: World) -> None:
    world.frontend.routes = type(world.frontend.routes)()
    client = world.client()
    client.send(HEAD + b"X-Fill: " + b"x" * 100_000)
    check_refused(client, 431)


# ---- Expect: 100-continue ----


def test_a_client_that_expects_100_continue_gets_it(world: World) -> None:
    client = world.client()
    client.send(HEAD + b"Content-Length: 12\r\nExpect: 100-continue\r\n\r\n")
    assert bytes(client.transport.written) == b"HTTP/1.1 100 Continue\r\n\r\n"
    client.send(b"the question")
    assert world.arrival().request.get("expect") is None
    serve(world)
    assert client.answer().body == b"the answer"


def test_a_client_whose_body_is_too_large_gets_no_100_continue(world: World) -> None:
    client = world.client()
    client.send(HEAD + b"Content-Length: 99999\r\nExpect: 100-continue\r\n\r\n")
    check_refused(client, 413)
    assert b"100 Continue" not in client.transport.written


# ---- malformed requests, and request smuggling ----

HIDDEN = b"GET /once/hidden HTTP/1.1\r\nHost: a.example\r\nReedspoke-Attempt-Id: h\r\n\r\n"
MALFORMED = {
    "no host": b"POST /once/ HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    "two hosts": HEAD + b"Host: b.example\r\n\r\n",
    "both length and chunks": CHUNKED_HEAD[:-2] + b"Content-Length: 5\r\n\r\n0\r\n\r\n" + HIDDEN,
    "length before chunks": HEAD
    + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    + HIDDEN,
    "two lengths": HEAD + b"Content-Length: 0\r\nContent-Length: 70\r\n\r\n" + HIDDEN,
    "the same length twice": HEAD + b"Content-Length: 0\r\nContent-Length: 0\r\n\r\n",
    "two lengths in one field": HEAD + b"Content-Length: 0, 70\r\n\r\n" + HIDDEN,
    "a signed length": HEAD + b"Content-Length: +0\r\n\r\n" + HIDDEN,
    "a negative length": HEAD + b"Content-Length: -1\r\n\r\n" + HIDDEN,
    "a length in hex": HEAD + b"Content-Length: 0x5\r\n\r\n" + HIDDEN,
    "an empty length": HEAD + b"Content-Length: \r\n\r\n" + HIDDEN,
    "a blank before the colon": HEAD + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + HIDDEN,
    "a folded field": HEAD + b"X-A: 1\r\n Transfer-Encoding: chunked\r\n\r\n" + HIDDEN,
    "a field without a name": HEAD + b": 1\r\n\r\n" + HIDDEN,
    "a field without a colon": HEAD + b"nonsense\r\n\r\n" + HIDDEN,
    "an invalid field name": HEAD + b"X(A): 1\r\n\r\n" + HIDDEN,
    "a nul in a value": HEAD + b"X-A: \x00\r\n\r\n" + HIDDEN,
    "a lone carriage return": HEAD + b"X-A: 1\rTransfer-Encoding: chunked\r\n\r\n" + HIDDEN,
    "a lone line feed": HEAD + b"X-A: 1\nTransfer-Encoding: chunked\r\n\r\n" + HIDDEN,
    "two codings": HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + HIDDEN,
    "chunked twice": HEAD + b"Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n" + HIDDEN,
    "another coding": HEAD + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + HIDDEN,
    "chunks in HTTP/1.0": CHUNKED_HEAD.replace(b"HTTP/1.1", b"HTTP/1.0") + b"0\r\n\r\n" + HIDDEN,
    "a malformed chunk size": CHUNKED_HEAD + b"x\r\n" + HIDDEN,
    "a signed chunk size": CHUNKED_HEAD + b"-1\r\n" + HIDDEN,
    "a chunk size beyond the limit": CHUNKED_HEAD + b"FFFFFFFFFFFFFFFFF\r\n" + HIDDEN,
    "a chunk that is longer than its size": CHUNKED_HEAD + b"2\r\nabc\r\n0\r\n\r\n" + HIDDEN,
    "a line feed after a chunk size": CHUNKED_HEAD + b"1\na\r\n0\r\n\r\n" + HIDDEN,
    "no version": b"GET /once/\r\n\r\n" + HIDDEN,
    "another protocol": b"GET /once/ HTTP/2.0\r\nHost: a.example\r\n\r\n" + HIDDEN,
    "a blank in the target": b"GET /once/ x HTTP/1.1\r\nHost: a.example\r\n\r\n" + HIDDEN,
    "a handshake of another protocol": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n",
    "no request at all": b"hello\r\n",
}


@pytest.mark.parametrize("name", MALFORMED)
def test_a_malformed_request_is_refused_and_nothing_after_it_is_read(world: World, name: str) -> None:
    client = world.client()
    client.send(MALFORMED[name])
    assert client.answer().status in (400, 501, 505)
    check_refused(client, client.answer().status)
    client.send(HIDDEN)
    world.run_for(1)
    assert world.arrivals == []
    assert world.frontend.requests == []


@pytest.mark.parametrize("name", MALFORMED)
def test_a_malformed_request_in_pieces_never_becomes_a_request(name: str) -> None:
    with fresh_world() as world:
        client = world.client()
        for byte in MALFORMED[name]:
            client.send(bytes([byte]))
        assert client.answer().status in (400, 501, 505)
        assert world.frontend.requests == []


def test_a_request_inside_a_body_is_no_request(world: World) -> None:
    client = world.new_request(NON_IDEMPOTENT, body=HIDDEN)
    assert [arrival.request.body for arrival in world.arrivals] == [HIDDEN]
    serve(world)
    assert len(client.answers()) == 1
    assert len(world.arrivals) == 1


def test_a_body_of_get_reaches_the_worker_as_a_body(world: World) -> None:
    raw = request_bytes(NON_IDEMPOTENT, body=HIDDEN).replace(b"POST", b"GET", 1)
    world.client().send(raw)
    assert [arrival.request.body for arrival in world.arrivals] == [HIDDEN]


@pytest.mark.parametrize("length", ["5", "0"])
def test_an_empty_coding_leaves_the_length(world: World, length: str) -> None:
    client = world.client()
    client.send(
        HEAD
        + b"Transfer-Encoding: \r\nContent-Length: %b\r\n\r\n" % length.encode()
        + b"12345"[: int(length)]
    )
    if client.answers():
        assert client.answer().status in (400, 501)
    else:
        assert world.arrival().request.body == b"12345"[: int(length)]


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=300))
def test_no_bytes_make_it_raise(raw: bytes) -> None:
    with fresh_world() as world:
        client = world.client()
        client.send(raw)
        client.send(b"\r\n\r\n")
        assert world.arrivals == []


FIELDS = st.sampled_from(
    [b"Host: a.example", b"Content-Length: 3", b"Content-Length: 30", b"Transfer-Encoding: chunked",
     b"Connection: close", b"Connection: keep-alive", b"Expect: 100-continue", b"Reedspoke-Attempt-Id: a1",
     b"Reedspoke-Deadline-Ms: x", b"Reedspoke-Token-Count: \xb2", b"X: \xff"]
)  # fmt: skip


@settings(max_examples=100, deadline=None)
@given(st.lists(FIELDS, max_size=6), st.sampled_from([b"", b"abc", b"3\r\nabc\r\n0\r\n\r\n"]), st.booleans())
def test_any_fields_give_one_request_at_most(fields: list[bytes], body: bytes, stream: bool) -> None:
    path = STREAMING if stream else NON_IDEMPOTENT
    with fresh_world() as world:
        client = world.client()
        client.send(b"\r\n".join([b"POST %b HTTP/1.1" % path.encode(), *fields, b"", body]))
        assert len(world.arrivals) + len(client.answers()) <= 1
