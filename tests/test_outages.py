"""Discovery that is down, and descriptors that run out: what is owed meanwhile, and when it is back."""

from __future__ import annotations

import json
import resource
import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from reedspoke.net.core import OPERATOR_DESCRIPTORS
from tests.peers import WAIT, Node, Peer, Start, Wire, ask, took

TOLD, ANSWER = 6.0, 2.0  # s: what discovery has counts as told; of these, that its answer may take
SLACK = 0.25  # s that this machine may be late by


def silent(wire: Wire) -> None:
    """It is accepted, and never answered."""


def busy(wire: Wire) -> None:
    wire.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


def cut(wire: Wire) -> None:
    wire.begin()
    wire.chunk(b'{"rev":57,"all":true,"targets":[{"uid":"s-0",')
    wire.reset()


Fails = Callable[[Wire], None] | None


def outage(discovery: Peer, fails: Fails, span: float) -> Wire:
    """It is down for so long; the first call after that, which has to come in time."""
    held, back = [], time.monotonic() + span
    if fails is None:
        discovery.sock.close()
        time.sleep(span)  # the time is the matter here
        discovery.listen()
    else:
        while (left := back - time.monotonic()) > 0:
            discovery.sock.settimeout(left)
            try:
                held.append(discovery.accept())
            except TimeoutError:
                break
            fails(held[-1])
    back = time.monotonic()
    discovery.sock.settimeout(WAIT)
    call = discovery.accept()
    assert call.message().first.startswith("GET /v1/endpoints?follow=1")
    assert took(back) < TOLD - ANSWER + SLACK
    return call


def heeds_a_drain(node: Node) -> None:
    """Of its two hosts the first leaves; from now on jobs go to the other one alone."""
    node.watch.begin()
    node.list(node.hosts[0].entry("Terminating"), node.hosts[1].entry(), full=True, rev=60)
    node.watch.chunk(b"\n")
    assert node.ready() == 200
    left, node.hosts = node.hosts[0], node.hosts[1:]
    wires: list[Wire] = []
    for number in range(3):
        client = node.client(ask(f"{number}"))
        while True:  # of many schedulers each looks before it sends
            wires = [node.next_wire(*wires)]
            told = wires[0].message()
            if told.first.startswith("POST"):
                break
            wires[0].send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        wires[0].serve(told)
        assert client.message().status == 200
    left.sock.settimeout(0.05)
    with pytest.raises(TimeoutError):
        left.accept()


@pytest.mark.parametrize("fails", [None, silent, busy, cut], ids=["refused", "silent", "503", "cut"])
@pytest.mark.parametrize("schedulers", [1, 200])
def test_a_drain_behind_an_outage_is_heeded_in_time(start: Start, fails: Fails, schedulers: int) -> None:
    """Guards drains: whatever failed before, discovery is called within 4 s of its return; the pause came to
    19 s at 200 schedulers."""
    node = start(hosts=2, balancers=schedulers, me=schedulers - 1)
    node.watch.begin()
    node.list(node.hosts[0].entry())
    node.watch.reset()
    node.watch = outage(node.discovery, fails, 3.0)
    heeds_a_drain(node)


def test_a_new_address_during_an_outage_is_called_in_time(start: Start) -> None:
    """Guards drains where SIGHUP comes while discovery is down, and the new address fails at first."""
    node = start(hosts=2, balancers=200, me=150)
    node.watch.begin()
    node.list(node.hosts[0].entry())
    node.watch.reset()
    node.discovery.sock.close()
    moved = Peer()
    node.reload(json.dumps({**node.told, "discovery": moved.endpoint}))
    node.logged("reload: directory moves")
    since = time.monotonic()
    busy(moved.accept())
    assert took(since) < 2 + SLACK, "a new address counts as told 4 s later"
    node.watch = outage(moved, busy, 1.0)
    heeds_a_drain(node)


@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
def test_idle_clients_may_fill_the_descriptors_while_discovery_is_down(start: Start, pushed: bool) -> None:
    """Guards discovery's own place: whoever holds connections, the watch is back on time, and jobs run."""
    node = start(hosts=2, sockets=60 + OPERATOR_DESCRIPTORS, pushed=pushed)
    node.watch.begin()
    node.list(node.hosts[0].entry())
    node.watch.reset()
    for _ in range(80):
        node.client()
    node.watch = outage(node.discovery, None, 1.0)
    for _ in range(80):
        node.client()
    heeds_a_drain(node)
    assert node.call("/v1/readyz").status == 200, "the operators' door has its place as well"


@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
@pytest.mark.parametrize("fails", [silent, busy, cut], ids=["silent", "503", "cut"])
def test_a_new_process_is_ready_whatever_discovery_does(start: Start, fails: Fails, pushed: bool) -> None:
    """Guards restarts: ready within 10 s by the list that it was given; and not before it is true, where an
    agent's word goes before that list."""
    since = time.monotonic()
    node = start(hosts=1, pushed=pushed)
    assert fails is not None
    fails(node.watch)
    if pushed:
        assert node.ready() == 503, "its agent has said nothing yet"
    while node.ready() != 200:
        assert took(since) < WAIT
    client = node.client(ask())
    node.next_wire().serve()
    assert client.message().status == 200


def spent(node: Node) -> float:
    """Seconds of processor time."""
    fields = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2].split()
    return sum(map(int, fields[11:13])) / 100


def test_a_system_without_descriptors_is_waited_for_and_not_spun_on(start: Start) -> None:
    """Guards the core and those who wait: fewer descriptors than were promised, and accept fails at once,
    again and again; one that is owed nothing goes in place of who waits."""
    node = start(hosts=1, sockets=256)
    idle = [node.client(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n") for _ in range(6)]
    for client in idle:
        assert client.message().status == 200
    used = len(list(Path(f"/proc/{node.process.pid}/fd").iterdir()))
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (used, used))
    before, waiting = spent(node), node.client(ask())
    node.logged("tried again in")
    wire = node.next_wire()  # it has been taken in, and another's descriptor carries its attempt
    wire.serve()
    assert waiting.message().status == 200
    assert sum(client.ended() for client in idle[:2]) == 2, "those who were idle the longest made room"
    time.sleep(1.0)  # the time is the matter here: nobody waits any more
    assert spent(node) - before < 0.5
    assert node.log().count("tried again in") < 10


def test_accept_that_cannot_be_is_tried_again_each_tenth_of_a_second(start: Start) -> None:
    """The same where nobody can be let go: all that are there wait for their answers."""
    node = start(hosts=1, sockets=256)
    busy_ones = [node.client(ask(f"{n}", cls="book")) for n in range(2)]
    wires = [node.next_wire() for _ in busy_ones]
    legs = [wire.message() for wire in wires]
    used = len(list(Path(f"/proc/{node.process.pid}/fd").iterdir()))
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (used, used))
    waiting = node.client(ask("7c"))
    node.logged("tried again in")
    before = spent(node)
    time.sleep(1.0)  # the time is the matter here
    assert spent(node) - before < 0.5
    assert node.log().count("tried again in") < 15
    for wire, leg, client in zip(wires, legs, busy_ones, strict=True):
        wire.serve(leg)
        assert client.message().status == 200
        client.sock.shutdown(socket.SHUT_RDWR)
    wire = node.next_wire(*wires)
    wire.serve()
    assert waiting.message().status == 200
