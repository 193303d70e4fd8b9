"""The client-facing HTTP server: valid and invalid requests, and their responses."""

from __future__ import annotations

import json
import select
import time
from contextlib import suppress

import pytest

from reedspoke.net.core import OPERATOR_DESCRIPTORS
from tests.peers import WAIT, Start, Wire, ask, took

HEAD = "POST /quote HTTP/1.1\r\nHost: n\r\nX-Request-Id: 1a\r\nX-Deadline: 1\r\n"
BOTH = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
LARGEST = 64 * 1024


def post(fields: str, body: str = "") -> bytes:
    return f"{HEAD}{fields}\r\n{body}".encode("latin-1")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
        (b"nonsense\r\n", 400),
        (b"POST /quote\r\n\r\n", 400),
        (b"POST quote HTTP/1.1\r\nHost: n\r\n\r\n", 400),
        (b"POST /quote HTTP/2.0\r\nHost: n\r\n\r\n", 505),
        (b"POST /quote HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400),
        (post("Bad Name: 1\r\nContent-Length: 0\r\n"), 400),
        (post("X-Folded: 1\r\n 2\r\nContent-Length: 0\r\n"), 400),
        (post("X-Nul: \x00\r\nContent-Length: 0\r\n"), 400),
        (post("Content-Length: four\r\n", "work"), 400),
        (post("Content-Length: -4\r\n", "work"), 400),
        (post("Content-Length: 4\r\nContent-Length: 5\r\n", "work"), 400),
        (post(BOTH, "4\r\nwork\r\n0\r\n\r\n"), 400),
        (post("Transfer-Encoding: chunked\r\n", "zz\r\nwork\r\n"), 400),
        (post("Transfer-Encoding: chunked\r\n", "4\r\nworks\r\n"), 400),
        (post("Transfer-Encoding: gzip, chunked\r\n"), 501),
        (post(""), 411),
        (post(f"Content-Length: {LARGEST + 1}\r\n"), 413),
        (post(f"Content-Length: {10**30}\r\n"), 400),
        (
            post("Transfer-Encoding: chunked\r\n", f"{LARGEST + 1:x}\r\n{'x' * (LARGEST + 1)}\r\n0\r\n\r\n"),
            413,
        ),
        (post("Expect: miracles\r\nContent-Length: 4\r\n"), 417),
        (post("X-Long: " + "x" * 20_000 + "\r\nContent-Length: 0\r\n"), 431),
        (post("X-Request-Id: 2b\r\nContent-Length: 0\r\n"), 400),
        (post("X-Class: book\r\nContent-Length: 0\r\n"), 400),
        (post("Content-Length: 0\r\n").replace(b"X-Deadline: 1", b"X-Deadline: soon"), 400),
        (post("Content-Length: 0\r\n").replace(b"X-Deadline: 1", b"X-Deadline: -1"), 400),
        (post("Content-Length: 0\r\n").replace(b"X-Deadline: 1", b"X-Deadline: nan"), 400),
        (post("Content-Length: 0\r\n").replace(b"X-Request-Id: 1a\r\n", b""), 400),
        (post("Idempotency-Key: a\r\nIdempotency-Key: a\r\nContent-Length: 0\r\n"), 400),
        (post("Idempotency-Key: a\x01b\r\nContent-Length: 0\r\n"), 400),
        (post("Content-Length: 0\r\n").replace(b"quote", b"store"), 400),  # keyed, and no key
        (post("Idempotency-Key: \r\nContent-Length: 0\r\n").replace(b"quote", b"store"), 400),
        (post("Content-Length: 0\r\n").replace(b"/quote", b"/nothing"), 404),
        (post("Content-Length: 0\r\n").replace(b"/quote", b"/"), 404),
        (post("Content-Length: 0\r\n").replace(b"POST", b"PUT"), 405),
        (b"GET /quote HTTP/1.1\r\nHost: n\r\n\r\n", 405),
        (b"POST /ready HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n", 405),
    ],
)
def test_invalid_requests_are_rejected_and_affect_no_other_client(
    start: Start, data: bytes, status: int
) -> None:
    node = start(hosts=1)
    client = node.client(data)
    answer = client.message()
    assert answer.status == status
    assert answer.fields["connection"] == "close" or status in (404, 405)
    problem = json.loads(answer.body)
    assert answer.fields["content-type"] == "application/problem+json"
    assert (problem["status"], problem["type"].startswith("urn:reedspoke:problem:")) == (status, True)
    assert ("allow" in answer.fields) == (status == 405)
    assert node.quiet(0.02), "no attempt is sent"
    other = node.client(ask())
    node.next_wire().serve()
    assert other.message().status == 200


def test_one_byte_at_a_time(start: Start) -> None:
    node = start(hosts=1)
    client = node.client()
    for byte in b"\r\n" + ask(body=b"slowly"):
        client.send(bytes([byte]))
    wire = node.next_wire()
    attempt = wire.message()
    assert attempt.body == b"slowly"
    wire.serve(attempt)
    assert client.message().body == b"fine"


def test_pipelined_requests_are_answered_in_order(start: Start) -> None:
    node = start(hosts=1)
    client = node.client(b"".join(ask(f"{n}", body=b"%d" % n * 3000) for n in range(4)))
    wire = node.next_wire()
    for n in range(4):
        attempt = wire.message()
        assert (attempt.fields["x-request-id"], attempt.body) == (f"{n}", b"%d" % n * 3000)
        wire.serve(attempt, result=f"result {n}")
    assert [client.message().body for _ in range(4)] == [b"result %d" % n for n in range(4)]


@pytest.mark.parametrize("size", [0, 1, 4096, LARGEST])
@pytest.mark.parametrize("chunked", [False, True])
def test_body_arrives_whole(start: Start, size: int, chunked: bool) -> None:
    node = start(hosts=1)
    body = bytes(n % 251 for n in range(size))
    if chunked:
        parts = [body[at : at + 1000] for at in range(0, size, 1000)]
        coded = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
        node.client(post("Transfer-Encoding: chunked\r\n") + coded)
    else:
        node.client(ask(body=body))
    attempt = node.next_wire().message()
    assert attempt.body == body
    assert "transfer-encoding" not in attempt.fields


def test_expect_continue_is_answered_before_the_body(start: Start) -> None:
    node = start(hosts=1)
    client = node.client(post("Expect: 100-continue\r\nContent-Length: 4\r\n"))
    assert client.head().status == 100
    client.send(b"work")
    wire = node.next_wire()
    attempt = wire.message()
    assert attempt.body == b"work"
    assert "expect" not in attempt.fields
    wire.serve(attempt)
    assert client.message().status == 200


@pytest.mark.parametrize(
    ("version", "field", "kept"),
    [("1.1", "", True), ("1.1", "Connection: close\r\n", False), ("1.0", "", False)]
    + [("1.0", "Connection: keep-alive\r\n", True)],
)
def test_connection_is_kept_as_the_client_asks(start: Start, version: str, field: str, kept: bool) -> None:
    node = start(hosts=1)
    client = node.client(ask(more=field).replace(b"HTTP/1.1", f"HTTP/{version}".encode()))
    wire = node.next_wire()
    wire.serve()
    assert client.message().body == b"fine"
    if kept:
        client.send(ask("2b"))
        wire.serve()
        assert client.message().body == b"fine"
    else:
        assert client.ended()


def test_same_id_twice_at_once_runs_once(start: Start) -> None:
    """A job that must not run twice must not start again while a request of its id is in flight."""
    node = start(hosts=2)
    first = node.client(ask(cls="book"))
    wire = node.next_wire()
    attempt = wire.message()
    assert node.client(ask(cls="book")).message().status == 400
    assert node.quiet()
    wire.serve(attempt)
    assert first.message().status == 200


@pytest.mark.parametrize("deadline", [0.0, 0.05])
def test_rejection_is_immediate_and_has_retry_after(start: Start, deadline: float) -> None:
    """A rejection by the module is not delayed until the deadline."""
    node = start(hosts=1)
    node.list(node.hosts[0].entry("Terminating"), full=True)
    node.list(node.hosts[0].entry("Gone", endpoint=""))
    since = time.monotonic()
    answer = node.client(ask(deadline=deadline)).message()
    assert answer.status == 503
    assert 0 < float(answer.fields["retry-after"]) <= 2
    assert json.loads(answer.body)["type"] == "urn:reedspoke:problem:refused"
    assert took(since) < deadline + 0.07


def test_more_clients_than_descriptors(start: Start) -> None:
    """No client is accepted beyond the descriptors that its response needs."""
    node = start(hosts=1, sockets=40 + OPERATOR_DESCRIPTORS)
    waiting = [node.client(ask(f"{n}")) for n in range(12)]
    wires: list[Wire] = []
    answers = []
    while waiting:
        sources = [wire.sock for wire in waiting + wires]
        ready = select.select([node.hosts[0].sock, *sources], [], [], WAIT)[0]
        assert ready, "every client gets a response"
        for wire in [wire for wire in waiting if wire.sock in ready]:
            answers.append(wire.message().status)
            waiting.remove(wire)
        for wire in [wire for wire in wires if wire.sock in ready]:
            try:
                wire.serve()
            except (EOFError, OSError):  # cancelled, or closed for an attempt at another worker
                wires.remove(wire)
        if node.hosts[0].sock in ready:
            wires.append(node.hosts[0].accept())
    assert set(answers) <= {200, 503}, "served, or rejected by the module as the queue is long"
    assert 200 in answers
    assert "budget is full" in node.log()


HALF = ask("2b")[:60]


@pytest.mark.parametrize(
    "sent", [b"", HALF, ask("2b", body=b"x" * 9000)[:-8000]], ids=["silent", "head", "body"]
)
def test_client_without_a_request_is_disconnected_within_three_seconds(start: Start, sent: bytes) -> None:
    """Clients that never send a complete request must not hold descriptors."""
    node = start(hosts=1)
    since = time.monotonic()
    client = node.client(sent)
    if sent:
        assert client.message().status == 408
    assert client.ended()
    assert 1.5 < took(since) < 3


@pytest.mark.parametrize(
    "sent", [b"", HALF, b"GET /nothing HTTP/1.1\r\nHost: n\r\n\r\n", b"nonsense\r\n"],
    ids=["silent", "half", "answered", "ending"],
)  # fmt: skip
def test_idle_connections_do_not_crowd_out_other_clients(start: Start, sent: bytes) -> None:
    """Far more idle connections than the limit, none of which is owed a response."""
    node = start(hosts=1, sockets=40 + OPERATOR_DESCRIPTORS)
    usual = node.client(ask("0a"))
    wire = node.next_wire()
    wire.serve()
    assert usual.message().status == 200
    for _ in range(30):
        node.client(sent)
    since = time.monotonic()
    client = node.client(ask())
    wire = node.next_wire(wire)
    wire.serve()
    assert client.message().status == 200
    assert took(since) < 1


def test_body_of_60_mb_is_rejected_at_its_header(start: Start) -> None:
    """The body is neither kept in memory nor read completely."""
    node = start(hosts=1)
    client = node.client(post(f"Content-Length: {60 << 20}\r\n"))
    since, sent = time.monotonic(), 0
    with suppress(ConnectionError):
        while sent < 60 << 20:
            sent += client.sock.send(b"x" * 65536)
    assert sent < 16 << 20, "the socket buffers of both ends, and little more"
    assert took(since) < 3
    assert client.message().status == 413


@pytest.mark.parametrize("cls", ["quote", "book"])
@pytest.mark.parametrize("status", [400, 404])
def test_rejection_of_an_invalid_request_by_a_worker_is_final(start: Start, cls: str, status: int) -> None:
    """No other worker would accept the request, so retries would only occupy slots."""
    node = start(hosts=2)
    client = node.client(ask(cls=cls))
    wire = node.next_wire()
    wire.message()
    wire.send(b"HTTP/1.1 %d Any\r\nContent-Length: 0\r\n\r\n" % status)
    assert client.message().status == 400
    client.send(ask("2b"))
    wire, attempt = node.attempt(wire)
    wire.serve(attempt)
    assert attempt.fields["x-request-id"] == "2b"
    assert client.message().status == 200


def test_an_answer_to_head_has_no_body(start: Start) -> None:
    """Bytes of an unexpected body would be taken for the next response on the connection."""
    node = start(hosts=1)
    client = node.client(b"HEAD /nothing HTTP/1.1\r\nHost: n\r\n\r\n")
    assert client.head().status == 404
    client.send(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n")
    assert client.message().status == 200
