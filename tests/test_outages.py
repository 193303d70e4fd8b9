"""Outages of discovery and exhausted descriptors: service meanwhile, and recovery."""

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

DELIVERED, ANSWER = 6.0, 2.0  # s: until updates count as delivered; of these, for the response
SLACK = 0.25  # s of delay that this machine may add


def silent(wire: Wire) -> None:
    """Accept the call and never respond."""


def busy(wire: Wire) -> None:
    wire.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


def cut(wire: Wire) -> None:
    wire.begin()
    wire.chunk(b'{"rev":57,"all":true,"targets":[{"uid":"s-0",')
    wire.reset()


Fails = Callable[[Wire], None] | None


def outage(discovery: Peer, fails: Fails, span: float) -> Wire:
    """Let discovery fail for `span` s; return the first call after that, which must come in time."""
    held, back = [], time.monotonic() + span
    if fails is None:
        discovery.sock.close()
        time.sleep(span)  # the length of the outage
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
    assert took(back) < DELIVERED - ANSWER + SLACK
    return call


def check_drain(node: Node) -> None:
    """Drain the first of two workers, and check that jobs only go to the other."""
    node.watch.begin()
    node.list(node.hosts[0].entry("Terminating"), node.hosts[1].entry(), full=True, rev=60)
    node.watch.chunk(b"\n")
    assert node.ready() == 200
    left, node.hosts = node.hosts[0], node.hosts[1:]
    wires: list[Wire] = []
    for number in range(3):
        client = node.client(ask(f"{number}"))
        while True:  # with many schedulers each probes before it sends
            wires = [node.next_wire(*wires)]
            message = wires[0].message()
            if message.first.startswith("POST"):
                break
            wires[0].send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        wires[0].serve(message)
        assert client.message().status == 200
    left.sock.settimeout(0.05)
    with pytest.raises(TimeoutError):
        left.accept()


@pytest.mark.parametrize("fails", [None, silent, busy, cut], ids=["refused", "silent", "503", "cut"])
@pytest.mark.parametrize("schedulers", [1, 200])
def test_drain_after_an_outage_is_applied_in_time(start: Start, fails: Fails, schedulers: int) -> None:
    """Whatever failed before, discovery is called within 4 s of its recovery; the backoff reached 19 s at 200
    schedulers, so drains were missed."""
    node = start(hosts=2, balancers=schedulers, me=schedulers - 1)
    node.watch.begin()
    node.list(node.hosts[0].entry())
    node.watch.reset()
    node.watch = outage(node.discovery, fails, 3.0)
    check_drain(node)


def test_new_address_during_an_outage_is_called_in_time(start: Start) -> None:
    """SIGHUP arrives while discovery is down, and the new address fails at first; no drain may be missed."""
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
    assert took(since) < 2 + SLACK, "updates of a new address count as delivered after 4 s"
    node.watch = outage(moved, busy, 1.0)
    check_drain(node)


@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
def test_idle_clients_fill_the_descriptors_without_discovery(start: Start, pushed: bool) -> None:
    """A descriptor is reserved for discovery: idle clients delay neither the watch nor jobs."""
    node = start(hosts=2, sockets=60 + OPERATOR_DESCRIPTORS, pushed=pushed)
    node.watch.begin()
    node.list(node.hosts[0].entry())
    node.watch.reset()
    for _ in range(80):
        node.client()
    node.watch = outage(node.discovery, None, 1.0)
    for _ in range(80):
        node.client()
    check_drain(node)
    assert node.call("/v1/readyz").status == 200, "descriptors are reserved for operators as well"


@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
@pytest.mark.parametrize("fails", [silent, busy, cut], ids=["silent", "503", "cut"])
def test_new_process_is_ready_whatever_discovery_does(start: Start, fails: Fails, pushed: bool) -> None:
    """A new process is ready within 10 s with the configured list; with an agent, only after the agent's
    first message or a time-out."""
    since = time.monotonic()
    node = start(hosts=1, pushed=pushed)
    assert fails is not None
    fails(node.watch)
    if pushed:
        assert node.ready() == 503, "no message of its agent yet"
    while node.ready() != 200:
        assert took(since) < WAIT
    client = node.client(ask())
    node.next_wire().serve()
    assert client.message().status == 200


def processor_time(node: Node) -> float:
    """Return the seconds of processor time that the program has used."""
    fields = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2].split()
    return sum(map(int, fields[11:13])) / 100


def test_exhausted_descriptors_cause_no_busy_loop(start: Start) -> None:
    """With fewer descriptors than configured, accept fails at once and repeatedly: this must not cause a busy
    loop, and an idle client is evicted for the waiting one."""
    node = start(hosts=1, sockets=256)
    idle = [node.client(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n") for _ in range(6)]
    for client in idle:
        assert client.message().status == 200
    used = len(list(Path(f"/proc/{node.process.pid}/fd").iterdir()))
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (used, used))
    before, waiting = processor_time(node), node.client(ask())
    node.logged("tried again in")
    wire = node.next_wire()  # it was accepted, and another descriptor is free for its attempt
    wire.serve()
    assert waiting.message().status == 200
    assert sum(client.ended() for client in idle[:2]) == 2, "the longest idle clients were evicted"
    time.sleep(1.0)  # no client waits any more
    assert processor_time(node) - before < 0.5
    assert node.log().count("tried again in") < 10


def test_failed_accept_is_retried_every_tenth_of_a_second(start: Start) -> None:
    """The same if no client can be evicted, since all wait for their responses."""
    node = start(hosts=1, sockets=256)
    busy_ones = [node.client(ask(f"{n}", cls="book")) for n in range(2)]
    wires = [node.next_wire() for _ in busy_ones]
    attempts = [wire.message() for wire in wires]
    used = len(list(Path(f"/proc/{node.process.pid}/fd").iterdir()))
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (used, used))
    waiting = node.client(ask("7c"))
    node.logged("tried again in")
    before = processor_time(node)
    time.sleep(1.0)  # several retries
    assert processor_time(node) - before < 0.5
    assert node.log().count("tried again in") < 15
    for wire, attempt, client in zip(wires, attempts, busy_ones, strict=True):
        wire.serve(attempt)
        assert client.message().status == 200
        client.sock.shutdown(socket.SHUT_RDWR)
    wire = node.next_wire(*wires)
    wire.serve()
    assert waiting.message().status == 200
