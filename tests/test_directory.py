"""Service discovery: the initial list, its changes, and a watch that fails."""

from __future__ import annotations

import json
import socket
import time

import pytest

from tests.peers import Node, Peer, Start, Wire, ask, took


def test_known_list_is_used_until_the_watch_delivers_one(start: Start) -> None:
    node = start(hosts=2)
    assert node.followed == "GET /v1/endpoints?follow=1&since=41 HTTP/1.1"
    assert node.ready() == 200
    node.watch.begin()
    node.list(node.hosts[0].entry())
    client = node.client(ask())
    node.next_wire().serve()
    assert client.message().status == 200


def announce_leaving(node: Node, uid: int, how: str) -> None:
    """Announce that a host leaves, followed by a heartbeat."""
    node.watch.begin()
    others = [host.entry() for host in node.hosts if host.uid != f"s-{uid}"]
    if how == "not in a full list":
        node.list(*others, full=True)
    else:
        node.list(node.hosts[uid].entry(how))
    node.watch.chunk(b"\n")


@pytest.mark.parametrize("indent", [None, 2], ids=["a line", "indented"])
@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
@pytest.mark.parametrize("how", ["Terminating", "Gone", "not in a full list"])
def test_leaving_host_gets_no_new_jobs(start: Start, how: str, pushed: bool, indent: int | None) -> None:
    """Guards draining, also where an agent pushes the lists and only the program can follow them. An indented
    list was once malformed for the program, so every watch failed on it."""
    node = start(hosts=2, pushed=pushed)
    node.indent = indent
    announce_leaving(node, 0, how)
    wires: list[Wire] = []
    for number in range(5):
        client = node.client(ask(f"{number}"))
        wires = [node.next_wire(*wires)]
        assert wires[0].sock.getsockname() == node.hosts[1].sock.getsockname()
        wires[0].serve()
        assert client.message().status == 200


def test_draining_host_finishes_its_jobs(start: Start) -> None:
    node = start(hosts=1)
    client = node.client(ask())
    wire = node.next_wire()
    leg = wire.message()
    announce_leaving(node, 0, "Terminating")
    wire.serve(leg)
    assert client.message().status == 200
    assert wire.ended(), "its connection is not reused"


@pytest.mark.parametrize("by", ["list", "hand"])
def test_drain_during_a_slow_connect_is_respected(start: Start, by: str) -> None:
    """Guards the drain rule: a job counts as sent with its first byte, possibly long after the decision."""
    node = start(hosts=1, connect_timeout=4_000_000)
    host = node.hosts[0]
    host.sock.listen(0)
    # This connection fills the backlog, so that further ones wait.
    filler = socket.create_connection(host.sock.getsockname())
    client = node.client(ask())
    assert node.ready() == 200, "the leg is connecting by now"
    if by == "list":
        announce_leaving(node, 0, "Terminating")
    else:
        assert node.call("/v1/workers/s-0/suspend").status == 200
    host.accept().close()
    filler.close()
    assert host.accept().ended(), "it connects in the end, and no byte is written"
    assert client.message().status == 503


def test_host_restarts_at_another_address_with_its_uid(start: Start) -> None:
    node = start(hosts=2)
    moved = node.hosts.pop()
    node.watch.begin()
    node.list(node.hosts[0].entry(endpoint=moved.endpoint, boot_ms=1), full=True)
    node.watch.chunk(b"\n")
    node.hosts = [moved]
    client = node.client(ask())
    node.next_wire().serve()
    assert client.message().status == 200


@pytest.mark.parametrize(
    "bad",
    [
        "no object",
        {},
        {"uid": 7, "state": "Ready", "endpoint": "127.0.0.1:1"},
        {"uid": "s-x", "state": "Ready", "endpoint": "worker.local:80"},
        {"uid": "s-x", "state": "Ready", "endpoint": "127.0.0.1:99999"},
        {"uid": "s-x", "state": "Sleepy", "endpoint": "127.0.0.1:1"},
        {"uid": "s-x", "state": "Ready"},
    ],
    ids=str,
)
def test_bad_entry_is_skipped_and_logged(start: Start, bad: object) -> None:
    node = start(hosts=1)
    node.watch.begin()
    node.list(bad, node.hosts[0].entry(), full=True)
    node.watch.chunk(b"\n")
    client = node.client(ask())
    node.next_wire().serve()
    assert client.message().status == 200
    assert "entry skipped" in node.log()


@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
@pytest.mark.parametrize("how", ["503", "reset", "end", "nonsense", "silence", "refused at first"])
def test_failed_watch_is_requested_again(start: Start, how: str, pushed: bool) -> None:
    node = start(hosts=1, pushed=pushed)
    if how != "503":
        node.watch.begin()
        node.list(node.hosts[0].entry(), rev=57)
    if how == "503":
        node.watch.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    elif how == "reset":
        node.watch.close()
    elif how == "end":
        node.watch.end()
    elif how == "nonsense":
        node.watch.chunk(json.dumps({"rev": "x"}).encode() + b"\n")
    elif how == "refused at first":
        node.watch.close()
        node.discovery.accept().close()
    again = node.discovery.accept()
    assert again.message().first.endswith(f"since={41 if how == '503' else 57} HTTP/1.1")
    if how == "silence":
        assert node.watch.ended(), "the old watch is closed before the new one is requested"
    if pushed and how == "503":  # the agent has sent nothing yet
        assert node.ready() == 503
        again.begin()
        again.chunk(b"\n")
        node.logged("directory: watch lost")
        while node.ready() != 200:
            pass
    assert node.ready() == 200
    client = node.client(ask())
    node.next_wire().serve()
    assert client.message().status == 200, "the last list stays in force"


@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
def test_sighup_moves_the_watch_without_affecting_clients(start: Start, pushed: bool) -> None:
    """Guards against termination by SIGHUP, and against PROXY_DISCOVERY, which keeps the old address."""
    node = start(hosts=1, pushed=pushed)
    node.watch.begin()
    node.watch.chunk(b"\n")  # otherwise the process would wait for the first bytes of its agent
    idle, busy = node.client(ask("0a")), node.client()
    wire = node.next_wire()
    wire.serve()
    assert idle.message().status == 200
    busy.send(ask())
    leg = wire.message()
    moved, host = Peer(), Peer("s-9")
    since = time.monotonic()
    node.reload(json.dumps({**node.told, "discovery": moved.endpoint}))
    watch = moved.accept()
    assert watch.message().first == "GET /v1/endpoints?follow=1&since=0 HTTP/1.1"
    assert took(since) < 1, "4 s are allowed for everything"
    assert node.watch.ended(), "the old watch is closed"
    node.watch = watch
    node.watch.begin()
    node.list(host.entry(), full=True, rev=3)
    wire.serve(leg)
    assert busy.message().status == 200
    idle.send(ask("2b"))
    node.hosts = [host]
    node.next_wire().serve()
    assert idle.message().status == 200, "the new list is in force"
    assert node.process.poll() is None
    assert node.stop() == 0, "SIGTERM still works"


@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
def test_watch_lost_after_sighup_is_requested_at_the_new_address(start: Start, pushed: bool) -> None:
    node = start(hosts=1, pushed=pushed)
    moved = Peer()
    node.reload(json.dumps({**node.told, "discovery": moved.endpoint}))
    moved.accept().close()
    assert "follow=1" in moved.accept().message().first


@pytest.mark.parametrize(
    "text",
    ["", '{"name": "n0"', "{}", '{"settings": {}}', "no address"],
    ids=["empty", "half", "bare", "bad", "address"],
)
def test_sighup_with_an_unusable_file_changes_nothing(start: Start, text: str) -> None:
    node = start(hosts=1)
    node.reload(text if text != "no address" else json.dumps({**node.told, "discovery": "elsewhere"}))
    node.logged("reload: the old configuration stays in force: ")
    node.watch.begin()
    node.list(node.hosts[0].entry())
    client = node.client(ask())
    node.next_wire().serve()
    assert client.message().status == 200
    node.reload(json.dumps(node.told))
    node.logged("reload: directory stays at ")
