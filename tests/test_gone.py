"""A client that has gone: from 0.1 s later on no attempt begins for it, whatever stands between."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest

from tests.peers import Node, Start, Wire, ask

AHEAD = ask("9e", body=b"x" * 9000) * 6  # far more than is read ahead of an answer


def fin(client: Wire) -> None:
    client.close()


def reset(client: Wire) -> None:
    client.reset()


def half(client: Wire) -> None:
    """It ends its sending and would listen still: nothing on the wire tells this from a close."""
    client.sock.shutdown(socket.SHUT_WR)


LEAVES = pytest.mark.parametrize("leaves", [fin, reset, half])
Leaves = Callable[[Wire], None]


@contextmanager
def slow_dial(node: Node) -> Iterator[None]:
    """No connection to its host comes up meanwhile: the system lets all wait. Those it has come first."""
    host = node.hosts[0]
    host.sock.listen(0)
    filler = socket.create_connection(host.sock.getsockname())
    yield
    host.accept().close()
    filler.close()


def serves(node: Node, *wires: Wire) -> None:
    """Nothing has been sent for those before: the next attempt is another client's."""
    client = node.client(ask("7c"))
    wire, leg = node.attempt(*wires)
    assert leg.fields["x-request-id"] == "7c", "an attempt began for a client that has gone"
    wire.serve(leg)
    assert client.message().status == 200


@LEAVES
@pytest.mark.parametrize("ahead", [b"", AHEAD], ids=["", "read ahead to the brim"])
def test_client_that_leaves_during_a_dial(start: Start, ahead: bytes, leaves: Leaves) -> None:
    """Guards the hosts: who had sent more than is read ahead was not seen to leave, and its job went out."""
    node = start(hosts=1, connect_timeout=4_000_000)
    with slow_dial(node):
        client = node.client(ask() + ahead)
        assert node.ready() == 200
        leaves(client)
        node.nothing_outstanding()
    serves(node)


@LEAVES
@pytest.mark.parametrize("ahead", [b"", AHEAD], ids=["", "read ahead to the brim"])
def test_client_that_leaves_as_the_dial_comes_up(start: Start, ahead: bytes, leaves: Leaves) -> None:
    """Guards against a loop that was busy: both ends are unread when it comes to look, and the host's is
    read first."""
    node = start(hosts=1, connect_timeout=4_000_000)
    host = node.hosts[0]
    host.sock.listen(0)
    filler = socket.create_connection(host.sock.getsockname())
    client = node.client(ask() + ahead)
    assert node.ready() == node.ready() == 200, "it has read the first, and dials, before it reads the second"
    with node.stopped():
        leaves(client)
        host.accept().close()
        filler.close()
        wire = host.accept()  # it has come up
    serves(node, wire)


@LEAVES
def test_client_that_leaves_as_its_first_attempt_is_handed_back(start: Start, leaves: Leaves) -> None:
    """Guards further attempts: the outcome and the client's end come in one moment."""
    node = start(hosts=2)
    client = node.client(ask(cls="book"))
    wire = node.next_wire()
    leg = wire.message()
    with node.stopped():
        leaves(client)
        wire.begin()
        wire.state(leg, "returned")
        wire.end()
    serves(node, wire)


@LEAVES
def test_client_that_leaves_as_the_list_comes(start: Start, leaves: Leaves) -> None:
    """Guards jobs that were held for want of a host."""
    node = start(hosts=1)
    node.watch.begin()
    node.list(node.hosts[0].entry("Terminating"))
    node.watch.chunk(b"\n")
    assert node.ready() == 200
    client = node.client(ask())
    assert node.quiet(0.05)
    with node.stopped():
        leaves(client)
        node.list(node.hosts[0].entry(), rev=43)
    serves(node)


@LEAVES
def test_client_that_leaves_as_its_probe_is_answered(start: Start, leaves: Leaves) -> None:
    node = start(hosts=1, balancers=20)
    client = node.client(ask())
    wire = node.next_wire()
    assert wire.message().first.startswith("GET ")
    with node.stopped():
        leaves(client)
        wire.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    serves(node, wire)


@LEAVES
def test_client_that_leaves_behind_its_request(start: Start, leaves: Leaves) -> None:
    """It has gone by the time the request is read: not even the first attempt begins."""
    node = start(hosts=1)
    with node.stopped():
        for number in range(3):
            leaves(node.client(ask(f"{number}")))
    serves(node)


def test_client_that_stays_is_served_whatever_it_has_sent_ahead(start: Start) -> None:
    """Guards those who wait: bytes behind a request are no sign that its client has gone."""
    node = start(hosts=1)
    client = node.client(ask() + AHEAD)
    wire = node.next_wire()
    wire.serve()
    assert client.message().status == 200
    assert node.next_wire(wire).serve().fields["x-request-id"] == "9e"
