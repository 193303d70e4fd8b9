"""Legs to issuer hosts: PROTOCOL's outcome table, connections, cancels and deadlines."""

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
    return lambda wire, leg: wire.send(
        f"HTTP/1.1 {code} Any\r\n{fields}Content-Length: 3\r\n\r\nno\n".encode()
    )


def told(state: str) -> Callable[[Wire, Message], None]:
    def act(wire: Wire, leg: Message) -> None:
        wire.begin()
        wire.state(leg, state)
        wire.end()

    return act


def breaks(wire: Wire, leg: Message) -> None:
    wire.begin()
    wire.state(leg, "started")
    wire.close()


def resets(wire: Wire, leg: Message) -> None:
    wire.reset()


def ends_early(wire: Wire, leg: Message) -> None:
    wire.begin()
    wire.state(leg, "started")
    wire.end()


def answers_another(wire: Wire, leg: Message) -> None:
    wire.begin()
    wire.chunk({"id": "ffff", "state": "done", "result": "not yours"})


def talks_nonsense(wire: Wire, leg: Message) -> None:
    wire.send(b"\x00\x01 nonsense\r\n\r\n")


def cuts_json(wire: Wire, leg: Message) -> None:
    wire.begin()
    wire.chunk(b'{"id":"1a","state":\n')


@pytest.mark.parametrize("cls", ["quote", "book"])
@pytest.mark.parametrize(
    ("act", "never"),
    [
        (told("returned"), NEVER),
        (status(503, NOT_RUN), NEVER),
        (status(504, NOT_RUN), NEVER),
        (told("failed"), MAYBE),
        (told("lost"), MAYBE),
        (status(500), MAYBE),
        (status(500, NOT_RUN), MAYBE),
        (status(503), MAYBE),
        (status(504), MAYBE),
        (status(418), MAYBE),
        (breaks, MAYBE),
        (resets, MAYBE),
        (ends_early, MAYBE),
        (answers_another, MAYBE),
        (talks_nonsense, MAYBE),
        (cuts_json, MAYBE),
    ],
)
def test_outcome_decides_whether_a_job_goes_out_again(
    start: Start, cls: str, act: Callable[[Wire, Message], None], never: bool
) -> None:
    """Guards the rule that a job which may have run goes out again only where its class allows it."""
    node = start(hosts=2)
    client = node.client(ask(cls=cls))
    wire = node.next_wire()
    act(wire, wire.message())
    if never or cls == "quote":
        again, leg = node.attempt(*([wire] if act not in ENDS else []))
        assert again.serve(leg).fields["x-request-id"] == "1a"
        assert client.message().body == b"fine"
    else:
        assert client.message().status == 502
        assert node.quiet()


ENDS = (breaks, resets, ends_early, answers_another, talks_nonsense, cuts_json)  # the connection, too


@pytest.mark.parametrize("cls", ["quote", "book"])
def test_host_that_refuses_connections_never_ran_the_job(start: Start, cls: str) -> None:
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


def test_leg_carries_what_came_and_how_long_it_is_waited_for(start: Start) -> None:
    node = start(hosts=1)
    body = bytes(range(256)) * 200
    data = ask(
        body=body, deadline=3.0, more="X-Odd: kept\r\nKeep-Alive: 5\r\nConnection: X-Hop\r\nX-Hop: no\r\n"
    )
    node.client(data.replace(b"POST /quote ", b"POST /quote/7?b=%20c&d "))
    leg = node.hosts[0].accept().message()
    assert leg.first == "POST /quote/7?b=%20c&d HTTP/1.1"
    assert leg.body == body
    assert leg.fields["x-request-id"] == "1a"
    assert leg.fields["x-odd"] == "kept"
    assert leg.fields["host"] == node.hosts[0].endpoint
    assert not leg.fields.keys() & {"keep-alive", "x-hop", "connection"}
    assert 2.9 < float(leg.fields["x-deadline"]) <= 3.0


@pytest.mark.parametrize(
    "key", ["5c0f6e1a2b3d4c59", '\u00e9 \t;,="%00', "k" * 2000], ids=["hex", "odd", "long"]
)
def test_key_goes_unchanged_to_each_leg(start: Start, key: str) -> None:
    """Guards a keyed job against running twice: hosts of its zone know its repeat by this key alone."""
    node = start(hosts=1)
    client = node.client(ask(cls="store", more=f"Idempotency-Key: {key}\r\n"))
    first = node.hosts[0].accept()
    told = [first.message().fields["idempotency-key"]]
    first.begin()
    first.close()  # it may have run: the host's zone drops the repeat
    again = node.hosts[0].accept()
    leg = again.message()
    told.append(leg.fields["idempotency-key"])
    again.serve(leg)
    assert client.message().status == 200
    assert told == [key.encode().decode("latin-1")] * 2


def test_answer_in_pieces_is_read_like_one_in_one(start: Start) -> None:
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
    assert client.message().body == b"fine", "the connection carries the next leg"


@pytest.mark.parametrize("how", ["host closes", "idle too long", "host speaks unasked", "host goes on"])
def test_idle_connection_is_not_used_beyond_its_time(start: Start, how: str) -> None:
    """Guards against a leg on a connection that its host has closed or is about to: it ends as a reset."""
    node = start(hosts=1, **({"conn_idle": 400_000} if how == "idle too long" else {}))
    client = node.client(ask(cls="book"))
    wire = node.hosts[0].accept()
    leg = wire.message()
    wire.begin()
    wire.state(leg, "done", result="fine")
    wire.send(b"0\r\n\r\n" + (b"HTTP/1.1 200 OK\r\n" if how == "host goes on" else b""))
    assert client.message().status == 200
    since = time.monotonic()
    if how == "host closes":
        wire.close()
    elif how == "idle too long":
        assert wire.ended()
        assert took(since) < 0.39, "dropped clearly before the host would"
    else:
        if how == "host speaks unasked":
            wire.send(b"HTTP/1.1 408 Idle\r\n\r\n")
        assert wire.ended()
    client.send(ask("2b", cls="book"))
    node.hosts[0].accept().serve()
    assert client.message().status == 200


@pytest.mark.parametrize("fails", ["reset", "mute"])
def test_kept_connections_are_let_be_once_one_failed(start: Start, fails: str) -> None:
    """Guards jobs that must never run twice: where one kept connection failed at its next leg, more will."""
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


def test_client_that_leaves_ends_its_leg(start: Start) -> None:
    node = start(hosts=1)
    client = node.client(ask())
    wire = node.hosts[0].accept()
    wire.message()
    client.close()
    assert wire.ended()
    node.client(ask("2b"))
    assert node.hosts[0].accept().message().fields["x-request-id"] == "2b", (
        "that connection is not used again"
    )


@pytest.mark.parametrize(("cls", "answer"), [("quote", 503), ("book", 502)])
def test_silent_host_is_waited_for_until_the_deadline(start: Start, cls: str, answer: int) -> None:
    node = start(hosts=1)
    since = time.monotonic()
    client = node.client(ask(cls=cls, deadline=0.6))
    wire = node.hosts[0].accept()
    leg = wire.message()
    wire.begin()
    wire.state(leg, "started")
    assert client.message().status == answer
    assert 0.59 < took(since) < 0.67
    assert wire.ended(), "nobody waits for that leg any more"


def test_connection_that_never_comes_up_is_given_up(start: Start) -> None:
    """Guards against a host that fell silent: a dial takes `connect_timeout` and no longer."""
    node = start(hosts=1, connect_timeout=100_000)
    host = node.hosts[0]
    host.sock.listen(0)
    fillers = [socket.socket() for _ in range(3)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(host.sock.getsockname())
    since = time.monotonic()
    client = node.client(ask(cls="book", deadline=1.0))
    assert client.message().status == 503, "it never ran: trying again is harmless"
    assert took(since) < 1.05
    for filler in fillers:
        filler.close()
