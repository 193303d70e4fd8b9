"""The real program with the stand-in authority: certificates come and go while clients are served."""

from __future__ import annotations

import json
import re
import signal
import socket
import ssl
import subprocess
import sys
import time
from pathlib import Path

import pytest

from reedspoke.tls.store import Store
from tests.acme.world import API, SHOP, World
from tests.peers import ROOT, WAIT, Node, Start, Wire, ask
from tests.ports import free_port


def certs(node: Node, *words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "reedspoke", "certs", "--operator", str(node.operator), *words],
        cwd=ROOT, capture_output=True, text=True, timeout=30, check=False,
    )  # fmt: skip


def test_a_certificate_is_got_and_serves_authorisations(start: Start, world: World) -> None:
    authority = world.authority()
    node = start(hosts=1, operator=world.operator())
    client = world.secure()
    client.send(ask())
    node.next_wire().serve()
    assert client.message().body == b"fine"
    assert authority.counts["orders"] == authority.counts["issued"] == 1
    key = world.store / "api.pem"
    assert key.stat().st_mode & 0o777 == 0o600
    assert "PRIVATE" not in node.log()
    end, told = time.monotonic() + WAIT, ""
    while not re.search(r'reedspoke_certificate_expiry_seconds\{name="api"\} 3[0-9.]+', told):
        assert time.monotonic() < end, told
        told = node.call("/v1/metrics").body.decode()
    assert 'reedspoke_certificate_alarm{name="api"} 0.0' in told
    assert 'reedspoke_orders_total{authority="first",outcome="installed"} 1.0' in told
    assert node.stop() == 0


def test_renewal_with_a_booking_in_flight_and_a_handshake_half_done(start: Start, world: World) -> None:
    """Guards what is open: the old connection ends as it began, and is used again behind it."""
    world.authority()
    node = start(hosts=1, operator=world.operator())
    client = world.secure()
    before = world.serial()
    client.send(ask(cls="book"))
    wire = node.next_wire()
    leg = wire.message()
    half = socket.create_connection(("127.0.0.1", world.tls), WAIT)
    half.send(b"\x16\x03\x01\x01\x00\x01\x00")
    assert certs(node, "renew", "api").returncode == 0
    assert world.renewed(before) != before
    wire.serve(leg, result="booked")
    assert client.message().body == b"booked"
    client.send(ask("2b"))
    node.next_wire(wire).serve()
    assert client.message().status == 200
    half.close()


def test_no_certificate_yet_is_told_and_refused(start: Start, world: World) -> None:
    world.authority().hang(True)
    node = start(hosts=1, operator=world.operator())
    node.logged("serving")
    with pytest.raises(ssl.SSLError, match="HANDSHAKE_FAILURE"):
        world.dial()
    node.logged("certificate api has no certificate yet")
    plain = node.client(ask())
    node.next_wire().serve()
    assert plain.message().status == 200, "the plain front serves"
    world.authorities[0].hang(False)
    world.secure()


@pytest.mark.parametrize(
    ("endpoint", "when"),
    [("newAccount", "after"), ("newOrder", "call"), ("newOrder", "after"), ("challenge", "after")]
    + [("authz", "after"), ("finalize", "call"), ("finalize", "after"), ("certificate", "after")],
)
def test_killed_in_the_middle_of_an_order_the_next_process_goes_on(
    start: Start, world: World, endpoint: str, when: str
) -> None:
    authority = world.authority()
    node = None

    def kill() -> None:
        while node is None:
            time.sleep(0.001)
        node.process.kill()

    authority.on(endpoint, when, call=kill)
    node = start(hosts=1, operator=world.operator())
    assert node.process.wait(WAIT) == -signal.SIGKILL
    again = start(hosts=1, operator=world.operator())
    world.secure()
    # Told to look for the answer while nobody is there to give it, the authority ends that order itself.
    assert authority.counts["orders"] <= (2 if endpoint == "challenge" else 1)
    assert authority.counts["accounts"] == 1
    again.logged("installed from first")


@pytest.mark.parametrize("kind", ["wrong_key", "wrong_name", "wrong_chain", "expired"])
def test_a_wrong_certificate_is_never_installed(start: Start, world: World, kind: str) -> None:
    authority = world.authority()
    authority.on("finalize", kind)
    node = start(hosts=1, operator=world.operator())
    world.secure()
    node.logged("what it issued is not installed")
    assert authority.counts["issued"] == 2
    assert Store(world.store).load("api") is not None


@pytest.mark.parametrize("kind", ["nonce", "reset", "broken", "malformed", "forget", "limited"])
def test_each_misbehaviour_of_the_authority_is_got_over(start: Start, world: World, kind: str) -> None:
    authority = world.authority()
    for endpoint in ("newOrder", "authz", "order", "finalize", "certificate"):
        authority.on(endpoint, kind, figure=1)
    start(hosts=1, operator=world.operator(order_limit="3s"))
    world.secure(patience=25)


def test_a_broken_store_file_is_told_and_renewed_round(start: Start, world: World) -> None:
    world.authority()
    store = Store(world.store)
    store.write("api.pem", b"-----BEGIN CERTIFICATE-----\n")
    store.write("api.order", b"reedspoke-acme 9 00\n{}")
    store.write("first.rate", b"half")
    (world.store / "account-first.json").write_text("{}")
    node = start(hosts=1, operator=world.operator())
    world.secure()
    for line in ("api.pem is unusable", "api.order is unusable", "its form is 9", "first.rate is unusable"):
        node.logged(line)
    node.logged("account-first.json is unusable")


def test_names_change_by_sighup_and_a_bad_file_leaves_the_old_in_force(start: Start, world: World) -> None:
    authority = world.authority()
    authority.on("finalize", "slow", 2, figure=0.7)
    node = start(hosts=1, operator=world.operator())
    while not authority.counts["finalize"]:
        time.sleep(0.01)
    world.certificates = {"shop": [SHOP]}  # in the middle of the order for another
    world.reload(node)
    world.secure(SHOP)
    with pytest.raises(ssl.SSLError, match="UNRECOGNIZED"):
        world.dial(API)
    node.operator.write_text('{"version": 1, "tlss": {}}')
    node.process.send_signal(signal.SIGHUP)
    node.logged("the operator file in force stays")
    node.logged("tlss: unknown key")
    world.dial(SHOP)


def test_a_taken_challenge_port_is_told_and_tried_again(start: Start, world: World) -> None:
    world.authority()
    taken = socket.socket()
    taken.bind(("127.0.0.1", world.http))
    taken.listen()
    node = start(hosts=1, operator=world.operator())
    node.logged("challenge listener")
    node.logged("Address already in use")
    taken.close()
    world.secure()


def test_two_processes_on_one_store_order_once(start: Start, world: World) -> None:
    authority = world.authority()
    authority.on("*", "slow", 6, figure=0.2)
    start(hosts=1, operator=world.operator())
    first, world.tls = world.tls, free_port()
    other = world.operator()
    other["acme"]["http"]["listen"] = f"127.0.0.1:{free_port()}"
    second = start(hosts=1, operator=other)
    world.secure()
    serial, world.tls = world.serial(), first
    world.secure()
    assert world.serial() == serial
    assert authority.counts["orders"] == 1
    assert authority.counts["accounts"] == 1
    assert second.stop() == 0


def test_next_authority_serves_where_the_first_is_down(start: Start, world: World) -> None:
    world.authority("first").hang(True)
    world.authority("second")
    node = start(hosts=1, operator=world.operator())
    world.secure(patience=20)
    node.logged("installed from second")


def test_dns_challenge_by_a_command_that_is_bounded(start: Start, world: World, tmp_path: Path) -> None:
    world.authority()
    command, seen = tmp_path / "dns.sh", tmp_path / "seen"
    command.write_text(f'#!/bin/sh\necho "$@" >> {seen}\n[ $(wc -l < {seen}) -gt 1 ] || sleep 60\n')
    command.chmod(0o755)
    operator = world.operator(dns={"command": [str(command)], "limit": "400ms"})
    operator["certificates"] = [{"name": "api", "hosts": ["*.example.org"], "challenge": "dns-01"}]
    node = start(hosts=1, operator=operator)
    node.logged("did not end within 0.4 s")
    end = time.monotonic() + WAIT
    while time.monotonic() < end and "api.pem" not in [file.name for file in world.store.iterdir()]:
        if seen.exists():
            rows = [line.split() for line in seen.read_text().splitlines()]
            world.txt = {name: [row[2] for row in rows] for _, name, _ in rows}
        time.sleep(0.02)
    world.secure("any.example.org")
    while not seen.read_text().splitlines()[-1].startswith("remove _acme-challenge.example.org"):
        assert time.monotonic() < end


def test_account_that_must_be_bound_and_its_key_that_is_rolled(
    start: Start, world: World, tmp_path: Path
) -> None:
    authority = world.authority(bindings={"us": b"0123456789abcdef0123456789abcdef"})
    key = tmp_path / "hmac"
    key.write_text("MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY\n")
    operator = world.operator()
    operator["acme"]["authorities"][0]["eab"] = {"key_id": "us", "key_file": str(key)}
    node = start(hosts=1, operator=operator)
    world.secure()
    before = dict(authority.accounts)
    assert certs(node, "roll-account", "first").returncode == 0
    assert authority.counts["keys rolled"] == 1
    assert authority.accounts != before
    serial = world.serial()
    assert certs(node, "revoke", "api", "--yes").returncode == 0
    assert authority.revoked == {serial}
    world.renewed(serial)
    assert len(authority.accounts) == 1


def test_list_and_show_work_beside_the_process_and_tell_no_key(start: Start, world: World) -> None:
    world.authority()
    node = start(hosts=1, operator=world.operator())
    world.secure()
    rows = json.loads(certs(node, "list", "--json").stdout)
    assert [(row["name"], row["state"], row["issuer"]) for row in rows] == [("api", "good", "first")]
    shown = certs(node, "show", "api").stdout
    assert "BEGIN CERTIFICATE" in shown
    assert "PRIVATE" not in shown
    missing = certs(node, "show", "nothing")
    assert (missing.returncode, missing.stderr.count("\n")) == (2, 1)
    node.stop()
    late = certs(node, "renew", "api", "--wait", "0.3")
    assert late.returncode == 1
    assert "no scheduler has taken the request up" in late.stderr


def test_ten_thousand_half_open_handshakes_crowd_nobody_out(start: Start, world: World) -> None:
    """Guards the TLS clients, the plain ones and the memory; each half-open one hears or sees an end in 3
    s."""
    world.authority()
    node = start(hosts=1, sockets=400, operator=world.operator())
    usual = world.secure()
    wires: list[Wire] = []

    def served(*clients: Wire) -> None:
        since = time.monotonic()
        for _ in clients:
            wires.append(node.next_wire(*wires))
            wires[-1].serve()
        assert [client.message().status for client in clients] == [200] * len(clients)
        assert time.monotonic() - since < 1

    usual.send(ask("u"))
    served(usual)
    status = Path(f"/proc/{node.process.pid}/status")
    half: list[socket.socket] = []
    for at in range(10_000):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", world.tls))
        half.append(sock)
        if len(half) > 600:
            half.pop(0).close()
        if at % 2000 == 1999:
            usual.send(ask(f"u{at}"))
            served(usual, node.client(ask(f"p{at}")))
    peak = int(next(line for line in status.read_text().splitlines() if line.startswith("VmHWM")).split()[1])
    assert peak < 128 * 1024
    for sock in half:
        sock.close()
    since = time.monotonic()
    world.secure()
    assert time.monotonic() - since < 3
    assert len(list(Path(f"/proc/{node.process.pid}/fd").iterdir())) < 400
