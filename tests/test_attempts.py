"""Attempts at workers: PROTOCOL's outcome table, connections, cancels and deadlines."""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable

import pytest

from tests.peers import Message, Start, Wire, ask, took

NEVER, MAYBE = True, False  # whether the outcome proves that the job never ran
NOT_RUN = "X-Not-Run: 1\r\n"


def status(code: int, fields: str = "") -> Callable[[Wire, Message], None]:
    return lambda wire, attempt: wire.send(
        f"HTTP/1.1 {code} Any\r\n{fields}Content-Length: 3\r\n\r\nno\n".encode()
    )


def sends_state(state: str) -> Callable[[Wire, Message], None]:
    def act(wire: Wire, attempt: Message) -> None:
        wire.begin()
        wire.state(attempt, state)
        wire.end()

    return act


def breaks(wire: Wire, attempt: Message) -> None:
    wire.begin()
    wire.state(attempt, "started")
    wire.close()


def resets(wire: Wire, attempt: Message) -> None:
    wire.reset()


def ends_early(wire: Wire, attempt: Message) -> None:
    wire.begin()
    wire.state(attempt, "started")
    wire.end()


def answers_another(wire: Wire, attempt: Message) -> None:
    wire.begin()
    wire.chunk({"id": "ffff", "state": "done", "result": "not yours"})


def sends_nonsense(wire: Wire, attempt: Message) -> None:
    wire.send(b"\x00\x01 nonsense\r\n\r\n")


def truncates_json(wire: Wire, attempt: Message) -> None:
    wire.begin()
    wire.chunk(b'{"id":"1a","state":\n')


@pytest.mark.parametrize("cls", ["quote", "book"])
@pytest.mark.parametrize(
    ("act", "never"),
    [
        (sends_state("returned"), NEVER),
        (status(503, NOT_RUN), NEVER),
        (status(504, NOT_RUN), NEVER),
        (sends_state("failed"), MAYBE),
        (sends_state("lost"), MAYBE),
        (status(500), MAYBE),
        (status(500, NOT_RUN), MAYBE),
        (status(503), MAYBE),
        (status(504), MAYBE),
        (status(418), MAYBE),
        (breaks, MAYBE),
        (resets, MAYBE),
        (ends_early, MAYBE),
        (answers_another, MAYBE),
        (sends_nonsense, MAYBE),
        (truncates_json, MAYBE),
    ],
)
def test_outcome_decides_whether_a_job_is_retried(
    start: Start, cls: str, act: Callable[[Wire, Message], None], never: bool
) -> None:
    """A job that may have run is retried only if its class allows it."""
    node = start(hosts=2)
    client = node.client(ask(cls=cls))
    wire = node.next_wire()
    act(wire, wire.message())
    if never or cls == "quote":
        again, attempt = node.attempt(*([wire] if act not in CLOSING_ACTS else []))
        assert again.serve(attempt).fields["x-request-id"] == "1a"
        assert client.message().body == b"fine"
    else:
        assert client.message().status == 502
        assert node.quiet()


CLOSING_ACTS = (
    breaks,
    resets,
    ends_early,
    answers_another,
    sends_nonsense,
    truncates_json,
)  # the connection closes, too


@pytest.mark.parametrize("cls", ["quote", "book"])
def test_worker_that_refuses_connections_never_ran_the_job(start: Start, cls: str) -> None:
    node = start(hosts=2)
    node.hosts[0].sock.close()
    wires: list[Wire] = []
    for number in range(4):
        client = node.client(ask(f"{number}", cls))
        wires = [node.next_wire(*wires)]
        wires[0].serve()
        assert client.message().status == 200


@pytest.mark.parametrize(
    ("result", "body"),
    [
        ("plain", b"plain"),
        ("", b""),
        ('quote " slash \\ nul \u0000 sign \u20ac', 'quote " slash \\ nul \u0000 sign \u20ac'.encode()),
        ("x" * 60_000, b"x" * 60_000),
        ({"a": [1, 2.50]}, b'{"a": [1, 2.5]}'),
    ],
    ids=["text", "empty", "escapes", "long", "object"],
)
def test_result_passes_on_unchanged(start: Start, result: object, body: bytes) -> None:
    node = start(hosts=1)
    client = node.client(ask())
    node.hosts[0].accept().serve(result=result)
    assert client.message().body == body


def test_attempt_has_the_request_and_the_time_left(start: Start) -> None:
    node = start(hosts=1)
    body = bytes(range(256)) * 200
    data = ask(
        body=body, deadline=3.0, more="X-Odd: kept\r\nKeep-Alive: 5\r\nConnection: X-Hop\r\nX-Hop: no\r\n"
    )
    node.client(data.replace(b"POST /quote ", b"POST /quote/7?b=%20c&d "))
    attempt = node.hosts[0].accept().message()
    assert attempt.first == "POST /quote/7?b=%20c&d HTTP/1.1"
    assert attempt.body == body
    assert attempt.fields["x-request-id"] == "1a"
    assert attempt.fields["x-odd"] == "kept"
    assert attempt.fields["host"] == node.hosts[0].endpoint
    assert not attempt.fields.keys() & {"keep-alive", "x-hop", "connection"}
    assert 2.9 < float(attempt.fields["x-deadline"]) <= 3.0


@pytest.mark.parametrize(
    "key", ["5c0f6e1a2b3d4c59", '\u00e9 \t;,="%00', "k" * 2000], ids=["hex", "odd", "long"]
)
def test_key_is_sent_unchanged_with_each_attempt(start: Start, key: str) -> None:
    """Workers of a zone detect the repeat of a keyed job only by this key."""
    node = start(hosts=1)
    client = node.client(ask(cls="store", more=f"Idempotency-Key: {key}\r\n"))
    first = node.hosts[0].accept()
    sends_state = [first.message().fields["idempotency-key"]]
    first.begin()
    first.close()  # it may have run: the workers of the zone drop the repeat
    again = node.hosts[0].accept()
    attempt = again.message()
    sends_state.append(attempt.fields["idempotency-key"])
    again.serve(attempt)
    assert client.message().status == 200
    assert sends_state == [key.encode().decode("latin-1")] * 2


def test_response_in_pieces_is_read_like_one_in_one(start: Start) -> None:
    node = start(hosts=1)
    client = node.client(ask())
    wire = node.hosts[0].accept()
    wire.message()
    whole = json.dumps({"id": "1a", "state": "done", "result": "in pieces"}).encode() + b"\n"
    wire.send(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-")
    for at in range(0, len(whole), 5):
        part = whole[at : at + 5]
        wire.send((b"Encoding: chunked\r\n\r\n" if not at else b"") + b"%x;e=1\r\n%b\r\n" % (len(part), part))
    wire.send(b"0\r\nX-Trailer: 1\r\n\r\n")
    assert client.message().body == b"in pieces"
    client.send(ask("2b"))
    wire.serve()
    assert client.message().body == b"fine", "the connection is reused for the next attempt"


@pytest.mark.parametrize("how", ["host closes", "idle too long", "host speaks unasked", "host goes on"])
def test_idle_connection_is_not_used_beyond_its_time_out(start: Start, how: str) -> None:
    """An attempt on a connection that the worker has closed or is about to close ends as a reset."""
    node = start(hosts=1, **({"conn_idle": 400_000} if how == "idle too long" else {}))
    client = node.client(ask(cls="book"))
    wire = node.hosts[0].accept()
    attempt = wire.message()
    wire.begin()
    wire.state(attempt, "done", result="fine")
    wire.send(b"0\r\n\r\n" + (b"HTTP/1.1 200 OK\r\n" if how == "host goes on" else b""))
    assert client.message().status == 200
    since = time.monotonic()
    if how == "host closes":
        wire.close()
    elif how == "idle too long":
        assert wire.ended()
        assert took(since) < 0.39, "closed well before the worker would"
    else:
        if how == "host speaks unasked":
            wire.send(b"HTTP/1.1 408 Idle\r\n\r\n")
        assert wire.ended()
    client.send(ask("2b", cls="book"))
    node.hosts[0].accept().serve()
    assert client.message().status == 200


@pytest.mark.parametrize("fails", ["reset", "mute"])
def test_idle_connections_are_not_reused_after_one_failed(start: Start, fails: str) -> None:
    """After one idle connection failed at its next attempt, others would too, and unsafe jobs fail."""
    node = start(hosts=2)
    clients = [node.client(ask(f"{n}")) for n in range(2)]
    wires = [node.next_wire() for _ in clients]
    for wire in wires:
        wire.serve()
    for client in clients:
        assert client.message().status == 200
    clients[0].send(ask("2b"))
    failing = node.next_wire(*wires)
    failing.message()
    if fails == "reset":
        resets(failing, Message("", {}))
    assert next(wire for wire in wires if wire is not failing).ended()
    assert node.next_wire().serve().fields["x-request-id"] == "2b", "a safe job is retried at once, elsewhere"
    assert clients[0].message().status == 200
    clients[1].send(ask("3c", cls="book"))
    node.next_wire().serve()
    assert clients[1].message().status == 200
    node.logged("idle connections fail")


def test_disconnect_of_a_client_cancels_its_attempt(start: Start) -> None:
    node = start(hosts=1)
    client = node.client(ask())
    wire = node.hosts[0].accept()
    wire.message()
    client.close()
    assert wire.ended()
    node.client(ask("2b"))
    assert node.hosts[0].accept().message().fields["x-request-id"] == "2b", "that connection is not reused"


@pytest.mark.parametrize(("cls", "answer"), [("quote", 503), ("book", 502)])
def test_unresponsive_worker_times_out_at_the_deadline(start: Start, cls: str, answer: int) -> None:
    node = start(hosts=1)
    since = time.monotonic()
    client = node.client(ask(cls=cls, deadline=0.6))
    wire = node.hosts[0].accept()
    attempt = wire.message()
    wire.begin()
    wire.state(attempt, "started")
    assert client.message().status == answer
    assert 0.59 < took(since) < 0.67
    assert wire.ended(), "the attempt is abandoned"


def test_connection_that_is_never_established_times_out(start: Start) -> None:
    """A connection attempt to an unresponsive worker takes at most `connect_timeout`."""
    node = start(hosts=1, connect_timeout=100_000)
    host = node.hosts[0]
    host.sock.listen(0)
    fillers = [socket.socket() for _ in range(3)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(host.sock.getsockname())
    since = time.monotonic()
    client = node.client(ask(cls="book", deadline=1.0))
    assert client.message().status == 503, "it never ran: a retry is safe"
    assert took(since) < 1.05
    for filler in fillers:
        filler.close()
