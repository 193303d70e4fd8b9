"""Probes of workers that many schedulers share, on the connections that attempts use."""

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


def read_probe(wire: Wire) -> Message:
    asked = wire.message()
    assert asked.first == "GET /status/load HTTP/1.1"
    return asked


def test_attempts_and_probes_share_one_connection(start: Start) -> None:
    """Each probe had its own connection, 10546 in a day of 4000 jobs, while workers allow few connections."""
    node = start(1)
    client = node.client(ask("a1"))
    wire = node.next_wire()
    for name in ("a1", "a2"):
        read_probe(wire)
        answer()(wire)
        assert wire.serve().fields["x-request-id"] == name
        assert client.message().status == 200
        client.send(ask(name + "b"))  # the recent probe result is reused
        assert wire.serve().fields["x-request-id"] == name + "b"
        assert client.message().status == 200
        assert node.quiet(0.6), "no other connection, and the probe result expires"
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
def test_worker_whose_probe_fails_gets_no_attempt(start: Start, bad: Callable[[Wire], None]) -> None:
    """A failing worker took one unsafe job from each scheduler that used it."""
    node = start(2)
    client = node.client(ask(cls="book"))
    first = node.next_wire()
    read_probe(first)
    bad(first)
    other = node.next_wire()
    read_probe(other)
    answer()(other)
    other.serve()
    assert client.message().status == 200


@pytest.mark.parametrize("body", [b"", b"no report", b"TEXT mean_ms=x, depth=, x0", b"\xff\xfe TEXT"])
def test_probe_without_a_readable_report_succeeds(start: Start, body: bytes) -> None:
    node = start(1)
    client = node.client(ask())
    wire = node.next_wire()
    read_probe(wire)
    answer(200, body)(wire)
    wire.serve()
    assert client.message().status == 200


def test_closed_idle_connection_is_no_failed_probe(start: Start) -> None:
    """The close of an idle connection is no sign of a failed worker."""
    node = start(1)
    client = node.client(ask("a1"))
    wire = node.next_wire()
    read_probe(wire)
    answer()(wire)
    wire.serve()
    assert client.message().status == 200
    assert node.quiet(0.6)
    client.send(ask("a2"))
    read_probe(wire)
    wire.close()
    again = node.next_wire()
    read_probe(again)
    answer()(again)
    assert again.serve().fields["x-request-id"] == "a2"
    assert client.message().status == 200
