"""Disconnected clients: from 0.1 s after the disconnect no attempt starts for them."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest

from tests.peers import Node, Start, Wire, ask

AHEAD = ask("9e", body=b"x" * 9000) * 6  # far more than is read ahead while a response is pending


def fin(client: Wire) -> None:
    """Close."""
    client.close()


def reset(client: Wire) -> None:
    """Reset."""
    client.reset()


def half(client: Wire) -> None:
    """Half-close: the client could still read, but this looks like a close to the server."""
    client.sock.shutdown(socket.SHUT_WR)


DISCONNECTS = pytest.mark.parametrize("disconnect", [fin, reset, half])
Disconnect = Callable[[Wire], None]


@contextmanager
def blocked_connect(node: Node) -> Iterator[None]:
    """Fill the worker's backlog, so that no new connection to it is established meanwhile."""
    host = node.hosts[0]
    host.sock.listen(0)
    filler = socket.create_connection(host.sock.getsockname())
    yield
    host.accept().close()
    filler.close()


def serves(node: Node, *wires: Wire) -> None:
    """Check that the next attempt is for a new client."""
    client = node.client(ask("7c"))
    wire, attempt = node.attempt(*wires)
    assert attempt.fields["x-request-id"] == "7c", "an attempt started for a disconnected client"
    wire.serve(attempt)
    assert client.message().status == 200


@DISCONNECTS
@pytest.mark.parametrize("ahead", [b"", AHEAD], ids=["", "read ahead to the brim"])
def test_disconnect_during_a_connect(start: Start, ahead: bytes, disconnect: Disconnect) -> None:
    """The disconnect of a client that had sent more than is read ahead was missed, and its job was sent."""
    node = start(hosts=1, connect_timeout=4_000_000)
    with blocked_connect(node):
        client = node.client(ask() + ahead)
        assert node.ready() == 200
        disconnect(client)
        node.nothing_outstanding()
    serves(node)


@DISCONNECTS
@pytest.mark.parametrize("ahead", [b"", AHEAD], ids=["", "read ahead to the brim"])
def test_disconnect_as_the_connection_is_established(
    start: Start, ahead: bytes, disconnect: Disconnect
) -> None:
    """After a busy period of the event loop both events are unread, and the worker's is read first."""
    node = start(hosts=1, connect_timeout=4_000_000)
    host = node.hosts[0]
    host.sock.listen(0)
    filler = socket.create_connection(host.sock.getsockname())
    client = node.client(ask() + ahead)
    assert node.ready() == node.ready() == 200, (
        "the request is read and the connection requested before the second call"
    )
    with node.stopped():
        disconnect(client)
        host.accept().close()
        filler.close()
        wire = host.accept()  # the connection is established
    serves(node, wire)


@DISCONNECTS
def test_disconnect_as_the_first_attempt_is_returned(start: Start, disconnect: Disconnect) -> None:
    """The outcome of the first attempt and the disconnect arrive at the same time; no retry may start."""
    node = start(hosts=2)
    client = node.client(ask(cls="book"))
    wire = node.next_wire()
    attempt = wire.message()
    with node.stopped():
        disconnect(client)
        wire.begin()
        wire.state(attempt, "returned")
        wire.end()
    serves(node, wire)


@DISCONNECTS
def test_disconnect_as_the_list_arrives(start: Start, disconnect: Disconnect) -> None:
    """Jobs that waited for a worker must not be sent after the disconnect."""
    node = start(hosts=1)
    node.watch.begin()
    node.list(node.hosts[0].entry("Terminating"))
    node.watch.chunk(b"\n")
    assert node.ready() == 200
    client = node.client(ask())
    assert node.quiet(0.05)
    with node.stopped():
        disconnect(client)
        node.list(node.hosts[0].entry(), rev=43)
    serves(node)


@DISCONNECTS
def test_disconnect_as_the_probe_is_answered(start: Start, disconnect: Disconnect) -> None:
    node = start(hosts=1, balancers=20)
    client = node.client(ask())
    wire = node.next_wire()
    assert wire.message().first.startswith("GET ")
    with node.stopped():
        disconnect(client)
        wire.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    serves(node, wire)


@DISCONNECTS
def test_disconnect_right_after_the_request(start: Start, disconnect: Disconnect) -> None:
    """The client has disconnected when its request is read: not even the first attempt starts."""
    node = start(hosts=1)
    with node.stopped():
        for number in range(3):
            disconnect(node.client(ask(f"{number}")))
    serves(node)


def test_connected_client_is_served_whatever_it_has_sent_ahead(start: Start) -> None:
    """Bytes after a request must not be taken for a disconnect."""
    node = start(hosts=1)
    client = node.client(ask() + AHEAD)
    wire = node.next_wire()
    wire.serve()
    assert client.message().status == 200
    assert node.next_wire(wire).serve().fields["x-request-id"] == "9e"
