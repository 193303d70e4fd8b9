"""Where many schedulers share the hosts: looks at them, on the connections that legs use."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.peers import SETTINGS, Message, Start, Wire, ask

REPORT = b"TEXT mean_ms=430.9, depth=0, x0=3.5, x1=3.9"


@pytest.fixture(autouse=True)
def _many(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(SETTINGS, "balancers", 40)


def answer(status: int = 200, body: bytes = REPORT) -> Callable[[Wire], None]:
    head = f"HTTP/1.1 {status} Any\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    return lambda wire: wire.send(head + body)


def look(wire: Wire) -> Message:
    asked = wire.message()
    assert asked.first == "GET /status/load HTTP/1.1"
    return asked


def test_a_leg_follows_its_look_on_one_connection_and_so_does_the_next_look(start: Start) -> None:
    """Guards hosts that hold few connections: each look had one of its own, 10546 in a day of 4000 jobs."""
    node = start(1)
    client = node.client(ask("a1"))
    wire = node.next_wire()
    for name in ("a1", "a2"):
        look(wire)
        answer()(wire)
        assert wire.serve().fields["x-request-id"] == name
        assert client.message().status == 200
        client.send(ask(name + "b"))  # what was seen a moment ago serves for this one
        assert wire.serve().fields["x-request-id"] == name + "b"
        assert client.message().status == 200
        assert node.quiet(0.6), "no other connection, and the look is too old for the next"
        client.send(ask("a2"))


@pytest.mark.parametrize(
    "bad",
    [
        answer(503, b""),
        answer(200, b"TEXT " + b"x" * 5000),
        lambda wire: wire.close(),
        lambda wire: wire.send(b"\x00 nonsense\r\n\r\n"),
    ],
    ids=["says no", "too long", "closes", "nonsense"],
)
def test_a_host_whose_look_fails_gets_no_leg(start: Start, bad: Callable[[Wire], None]) -> None:
    """Guards bookings: a bad host took one from each scheduler that met it."""
    node = start(2)
    client = node.client(ask(cls="book"))
    first = node.next_wire()
    look(first)
    bad(first)
    other = node.next_wire()
    look(other)
    answer()(other)
    other.serve()
    assert client.message().status == 200


@pytest.mark.parametrize("body", [b"", b"no report", b"TEXT mean_ms=x, depth=, x0", b"\xff\xfe TEXT"])
def test_a_look_without_a_report_that_can_be_read_is_one_all_the_same(start: Start, body: bytes) -> None:
    node = start(1)
    client = node.client(ask())
    wire = node.next_wire()
    look(wire)
    answer(200, body)(wire)
    wire.serve()
    assert client.message().status == 200


def test_a_kept_connection_that_has_ended_is_no_failed_look(start: Start) -> None:
    """Guards sound hosts: that a connection ended while it was kept says nothing of its host."""
    node = start(1)
    client = node.client(ask("a1"))
    wire = node.next_wire()
    look(wire)
    answer()(wire)
    wire.serve()
    assert client.message().status == 200
    assert node.quiet(0.6)
    client.send(ask("a2"))
    look(wire)
    wire.close()
    again = node.next_wire()
    look(again)
    answer()(again)
    assert again.serve().fields["x-request-id"] == "a2"
    assert client.message().status == 200
