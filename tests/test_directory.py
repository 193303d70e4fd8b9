"""Discovery: the list at the start, its changes, and a watch that breaks."""

from __future__ import annotations

import json
import socket
import time

import pytest

from tests.peers import Node, Peer, Start, Wire, ask, took


def test_known_list_serves_until_the_watch_tells_more(start: Start) -> None:
    node = start(hosts=2)
    assert node.followed == "GET /v1/endpoints?follow=1&since=41 HTTP/1.1"
    assert node.ready() == 200
    node.watch.begin()
    node.list(node.hosts[0].entry())
    client = node.client(ask())
    node.next_wire().serve()
    assert client.message().status == 200


def told_off(node: Node, uid: int, how: str) -> None:
    """Tell the node that a host leaves, and let a later line prove that it has read it."""
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
def test_host_that_leaves_gets_nothing_new(start: Start, how: str, pushed: bool, indent: int | None) -> None:
    """Guards drains where lists are pushed: an agent has them, and nobody but the program can follow it. An
    indented list was malformed, whoever sent it, and each watch failed on it for ever."""
    node = start(hosts=2, pushed=pushed)
    node.indent = indent
    told_off(node, 0, how)
    wires: list[Wire] = []
    for number in range(5):
        client = node.client(ask(f"{number}"))
        wires = [node.next_wire(*wires)]
        assert wires[0].sock.getsockname() == node.hosts[1].sock.getsockname()
        wires[0].serve()
        assert client.message().status == 200


def test_host_that_drains_finishes_what_it_has(start: Start) -> None:
    node = start(hosts=1)
    client = node.client(ask())
    wire = node.next_wire()
    leg = wire.message()
    told_off(node, 0, "Terminating")
    wire.serve(leg)
    assert client.message().status == 200
    assert wire.ended(), "its connection is not kept for more"


@pytest.mark.parametrize("by", ["list", "hand"])
def test_drain_told_during_a_slow_dial_is_kept(start: Start, by: str) -> None:
    """Guards the drain rule: a send counts from its first byte, which may be long after the decision."""
    node = start(hosts=1, connect_timeout=4_000_000)
    host = node.hosts[0]
    host.sock.listen(0)
    filler = socket.create_connection(host.sock.getsockname())  # the system lets all others wait
    client = node.client(ask())
    assert node.ready() == 200, "what came before this is on its way by now"
    if by == "list":
        told_off(node, 0, "Terminating")
    else:
        assert node.call("/v1/workers/s-0/suspend").status == 200
    host.accept().close()
    filler.close()
    assert host.accept().ended(), "it comes up in the end, and not a byte is written"
    assert client.message().status == 503


def test_host_moves_and_restarts_under_its_uid(start: Start) -> None:
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
def test_watch_that_breaks_is_asked_for_again(start: Start, how: str, pushed: bool) -> None:
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
        assert node.watch.ended(), "the old watch is closed before the new one is asked for"
    if pushed and how == "503":  # nothing has come from the agent as yet
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
def test_sighup_moves_the_watch_and_disturbs_nobody(start: Start, pushed: bool) -> None:
    """Guards against an end by SIGHUP, and against PROXY_DISCOVERY, which names the old address for ever."""
    node = start(hosts=1, pushed=pushed)
    node.watch.begin()
    node.watch.chunk(b"\n")  # else a new process would wait for its agent's first word
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
    assert took(since) < 1, "4 s are given for all of it"
    assert node.watch.ended(), "the old watch is given up"
    node.watch = watch
    node.watch.begin()
    node.list(host.entry(), full=True, rev=3)
    wire.serve(leg)
    assert busy.message().status == 200
    idle.send(ask("2b"))
    node.hosts = [host]
    node.next_wire().serve()
    assert idle.message().status == 200, "the new list counts"
    assert node.process.poll() is None
    assert node.stop() == 0, "SIGTERM may follow"


@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
def test_watch_lost_after_sighup_is_asked_for_at_the_new_address(start: Start, pushed: bool) -> None:
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
