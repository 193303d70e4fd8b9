"""The front over TLS: what the plain one answers it answers too, and what is no handshake costs little."""

from __future__ import annotations

import socket
import ssl
import time
from contextlib import suppress

import pytest

from tests.acme.world import API, World
from tests.peers import WAIT, Start, Wire, ask, took


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n", 400),
        (b"GET /nothing HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n", 404),
        (ask().replace(b"Content-Length: 4", b"Content-Length: 4\r\nTransfer-Encoding: chunked"), 400),
        (ask().replace(b"Content-Length: 4", b"Content-Length: 99999"), 413),
        (ask("2b")[:60], 408),
    ],
    ids=["nonsense", "unknown", "hidden", "large", "half"],
)
def test_bad_clients_hear_the_same_as_on_the_plain_front(
    start: Start, world: World, data: bytes, status: int
) -> None:
    """Guards the last answer: the end is told in TLS's own words, so that it is not taken for cut off."""
    world.authority()
    node = start(hosts=1, operator=world.operator())
    client = world.secure()
    since = time.monotonic()
    client.send(data)
    assert client.message().status == status
    assert client.ended()
    assert took(since) < 3
    assert node.quiet(0.02)


def test_sixty_megabytes_over_tls_are_told_off_at_their_head(start: Start, world: World) -> None:
    world.authority()
    start(hosts=1, operator=world.operator())
    client = world.secure()
    client.send(ask().replace(b"Content-Length: 4", b"Content-Length: %d" % (60 << 20)))
    since, sent = time.monotonic(), 0
    with suppress(OSError):
        while sent < 60 << 20:
            sent += client.sock.send(b"x" * 65536)
    assert sent < 16 << 20
    assert took(since) < 3


def test_authorisations_sent_ahead_in_one_record_are_answered_in_order(start: Start, world: World) -> None:
    """Guards bytes that TLS has read and the socket no longer shows."""
    world.authority()
    node = start(hosts=1, operator=world.operator())
    client = world.secure()
    client.send(b"".join(ask(f"{n}", body=b"%d" % n * 200) for n in range(6)))
    wire = node.next_wire()
    for n in range(6):
        wire.serve(result=f"result {n}")
    assert [client.message().body for _ in range(6)] == [b"result %d" % n for n in range(6)]


@pytest.mark.parametrize(
    "sent", [b"GET / HTTP/1.1\r\nHost: n\r\n\r\n", b"\x16\x03\x01\xff\xff" + b"x" * 99, b""]
)
def test_what_is_no_handshake_ends_within_three_seconds(start: Start, world: World, sent: bytes) -> None:
    world.authority()
    node = start(hosts=1, operator=world.operator())
    world.secure()
    since = time.monotonic()
    raw = socket.create_connection(("127.0.0.1", world.tls), WAIT)
    raw.sendall(sent)
    with suppress(ConnectionResetError):
        while raw.recv(4096):
            pass
    assert took(since) < 3
    raw.close()
    other = world.dial()
    other.send(ask())
    node.next_wire().serve()
    assert other.message().status == 200


def test_versions_and_names(start: Start, world: World) -> None:
    world.authority()
    start(hosts=1, operator=world.operator())
    world.secure()
    for version in (ssl.TLSVersion.TLSv1_2, ssl.TLSVersion.TLSv1_3):
        context = world.context()
        context.minimum_version = context.maximum_version = version
        wire = world.dial(API, context)
        assert isinstance(wire.sock, ssl.SSLSocket)
        assert wire.sock.version() == version.name.replace("_", ".")
    old = world.context()
    old.set_ciphers("DEFAULT:@SECLEVEL=0")
    with pytest.deprecated_call():
        old.minimum_version = old.maximum_version = ssl.TLSVersion.TLSv1_1
    with pytest.raises((ssl.SSLError, ConnectionError)):
        world.dial(API, old)
    for host in ("other.example.org", "127.0.0.1"):  # an address is not sent as a name
        with pytest.raises(ssl.SSLError, match="UNRECOGNIZED"):
            world.dial(host)


def test_a_planned_end_answers_what_came_over_tls(start: Start, world: World) -> None:
    world.authority()
    node = start(hosts=1, operator=world.operator())
    busy, idle = world.secure(), world.dial()
    busy.send(ask(cls="book"))
    wire: Wire = node.next_wire()
    leg = wire.message()
    node.process.terminate()
    assert idle.ended()
    wire.serve(leg)
    answer = busy.message()
    assert (answer.status, answer.fields["connection"]) == (200, "close")
    assert busy.ended()
    assert node.process.wait(WAIT) == 0
