"""Start, readiness, graceful shutdown, and the limits."""

from __future__ import annotations

import json
import os
import select
import shutil
import subprocess
import sys
import threading
import time
import tomllib
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from tests.peers import ROOT, SETTINGS, Node, Peer, Start, Wire, ask, took

READY = b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n"


def test_shutdown_answers_all_accepted_requests(start: Start) -> None:
    node = start(hosts=1)
    idle, busy, ready = node.client(READY), node.client(ask()), node.client(READY)
    assert (idle.message().status, ready.message().status) == (200, 200)
    wire = node.next_wire()
    attempt = wire.message()
    node.process.terminate()
    since = time.monotonic()
    assert idle.ended(), "idle connections are closed"
    late = node.client(ask("2b", deadline=2.0))
    assert node.ready() == 503
    other = node.next_wire()
    other.serve()
    answer = late.message()
    assert (answer.status, answer.fields["connection"]) == (200, "close")
    assert late.ended()
    wire.serve(attempt)
    answer = busy.message()
    assert (answer.status, answer.fields["connection"]) == (200, "close")
    busy.close()
    late.close()
    assert node.process.wait(8) == 0
    assert 0.5 < took(since) < 2.5, "new clients are still accepted for a while"
    assert "stopped" in node.log()


@dataclass
class ClientCase:
    """A client at SIGTERM: what it has sent, what it sends `wait` s later, and what it receives."""

    before: bytes
    after: bytes
    wait: float
    status: int  # of its last response; 0: a close without a byte


WHOLE = ask("5e", body=b"x" * 3000, deadline=4.0)
HEAD_CUT, BODY_CUT = 40, len(WHOLE) - 1000


@pytest.mark.parametrize(
    "case",
    [
        ClientCase(b"", WHOLE, 0.3, 200),
        ClientCase(b"", b"", 0.0, 0),
        ClientCase(b"", WHOLE, 1.0, 0),
        ClientCase(WHOLE[:HEAD_CUT], WHOLE[HEAD_CUT:], 0.3, 200),
        ClientCase(WHOLE[:HEAD_CUT], WHOLE[HEAD_CUT:], 1.0, 503),
        ClientCase(WHOLE[:BODY_CUT], WHOLE[BODY_CUT:], 0.3, 200),
        ClientCase(WHOLE[:BODY_CUT], WHOLE[BODY_CUT:], 1.0, 503),
        ClientCase(WHOLE[:BODY_CUT], b"", 0.0, 408),
        ClientCase(WHOLE, b"", 0.0, 200),
        ClientCase(READY, WHOLE, 0.2, 0),
        ClientCase(b"\r\n", b"", 0.0, 0),
    ],
    ids=[
        "never spoke, asks", "never spoke", "never spoke, asks late", "half a head", "half a head, late",
        "half a body", "half a body, late", "half a body for good", "waits", "answered and kept",
        "a blank line",
    ],
)  # fmt: skip
def test_each_client_state_at_a_shutdown(start: Start, case: ClientCase) -> None:
    """After SIGTERM each client is answered with `Connection: close`, or closed before its bytes are read; no
    request is read and then dropped, up to SIGKILL."""
    node = start(hosts=2)
    busy = node.client(ask("0a", cls="book", deadline=4.0))
    held = node.next_wire()  # an attempt in flight keeps the process running
    first = held.message()
    held.begin()
    held.state(first, "started")
    client = node.client(case.before)
    if case.before == READY:
        assert client.message().status == 200
    elif case.before == WHOLE:
        other = node.next_wire()
        attempt = other.message()
    assert node.ready() == 200, "earlier input has been read"
    node.process.terminate()
    node.logged("stopping")
    since = time.monotonic()
    if case.after:
        time.sleep(case.wait)  # relative to SIGTERM
        with suppress(OSError):
            client.send(case.after)
    if case.status == 0:
        assert client.ended()
    else:
        if case.status == 200:
            if case.before != WHOLE:
                other = node.next_wire()
                attempt = other.message()
            other.serve(attempt)
        answer = client.message()
        assert (answer.status, answer.fields["connection"]) == (case.status, "close")
        assert client.ended()
        client.close()
    held.state(first, "done", result="fine")
    held.end()
    assert busy.message().status == 200
    assert took(since) < 3.7, "SIGKILL may follow"


def test_late_requests_are_answered_before_sigkill(start: Start) -> None:
    """Requests whose last byte arrived 0.7 s after SIGTERM were still unanswered at SIGKILL, before their
    deadline."""
    node = start(hosts=2)
    whole = ask("5e", cls="book", body=b"x" * 3000, deadline=5.0)
    client = node.client(whole[:-10])
    assert node.ready() == 200
    node.process.terminate()
    node.logged("stopping")
    since = time.monotonic()
    time.sleep(1.0)  # past the 0.7 s in which new requests are accepted
    client.send(whole[-10:])
    wire = node.next_wire()
    attempt = wire.message()
    wire.begin()
    wire.state(attempt, "started")  # and it never completes
    answer = client.message()
    assert (answer.status, answer.fields["connection"]) == (502, "close")
    assert took(since) < 3.7


def test_request_that_crosses_the_close_is_never_read(start: Start) -> None:
    """The client of a request in flight as its connection is closed gets an error, so that it can retry."""
    node = start(hosts=1)
    client, busy = node.client(READY), node.client(ask())
    attempt = node.next_wire()
    assert client.message().status == 200
    node.process.terminate()
    assert client.ended()
    with pytest.raises(OSError, match=r"reset|Broken pipe"):  # noqa: PT012
        for _ in range(50):
            client.send(ask("2b"))
            select.select([], [], [], 0.01)
    attempt.serve()
    assert busy.message().status == 200
    assert node.quiet(), "no attempt is sent"


def test_shutdown_does_not_wait_for_a_client_without_a_request(start: Start) -> None:
    node = start(hosts=1)
    node.client()
    since = time.monotonic()
    assert node.stop() == 0
    assert took(since) < 2


def test_not_ready_without_any_worker(start: Start) -> None:
    node = start(hosts=0)
    assert node.ready() == 503
    host = Peer("s-9")
    node.watch.begin()
    node.list(host.entry(), full=True)
    node.watch.chunk(b"\n")
    node.hosts.append(host)
    while node.ready() != 200:
        pass
    client = node.client(ask())
    node.next_wire().serve()
    assert client.message().status == 200


def serve_all(host: Peer, result: str) -> None:
    """Run a worker that accepts every connection and answers each job until its listener is closed."""

    def serve(wire: Wire) -> None:
        with suppress(OSError, EOFError):  # the program has closed the connection
            while True:
                wire.serve(result=result)

    def accept() -> None:
        with suppress(OSError):
            while True:
                threading.Thread(target=serve, args=(host.accept(),), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def retry_until_served(node: Node, client: Wire, asked: bytes) -> bool:
    """Retry requests that are rejected since they would wait too long on a busy machine."""
    end = time.monotonic() + 20.0
    while (answer := client.message()).status == 503 and time.monotonic() < end:
        time.sleep(0.05)
        client = node.client(asked)
    return answer.status == 200


def test_memory_stays_bounded_under_large_requests(start: Start) -> None:
    """The limit is 192 MB: many clients at once, each with the largest body and a large result."""
    node = start(hosts=1, sockets=256)
    serve_all(node.hosts[0], result="y" * 65000)
    body = b"x" * 65536
    asked = {f"{n}": ask(f"{n}", body=body, deadline=30.0) for n in range(60)}
    clients = {name: node.client(data) for name, data in asked.items()}
    assert sum(retry_until_served(node, clients[name], data) for name, data in asked.items()) == 60
    status = Path(f"/proc/{node.process.pid}/status").read_text()
    peak = int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1])
    assert peak < 96 * 1024, "half of the limit"


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"listen": "somewhere"}, "PROXY_LISTEN"),
        ({"discovery": "10.0.0.1"}, "PROXY_DISCOVERY"),
        ({"seed": "not hex"}, "malformed"),
        ({"settings": {**SETTINGS, "categories": []}}, "classes"),
        ({"settings": {"me": 0}}, "malformed"),
        ({"limits": {"sockets": 8}}, "limits.sockets"),
        ({"listen": "127.0.0.1:0"}, "PROXY_LISTEN"),
        ({"ops": "nowhere"}, "PROXY_OPS"),
        ({"ops": "127.0.0.1:0"}, "PROXY_OPS"),
        ({"ops": "127.0.0.1:9", "limits": {"sockets": 40}}, "limits.sockets"),
        ({"ops": "192.0.2.1:8081"}, "cannot listen"),
        ({"listen": "192.0.2.1:8080"}, "cannot listen"),
    ],
    ids=str,
)
def test_bad_configuration_ends_with_one_plain_message(
    tmp_path: Path, change: dict[str, Any], named: str
) -> None:
    path = tmp_path / "config.json"
    good = {"listen": "127.0.0.1:8080", "discovery": "127.0.0.1:8500", "settings": SETTINGS}
    path.write_text(json.dumps({**good, **change}))
    run = subprocess.run(
        [sys.executable, "-m", "reedspoke"], env={**os.environ, "PROXY_CONFIG": str(path)}, cwd=ROOT,
        capture_output=True, text=True, timeout=20, check=False,
    )  # fmt: skip
    assert run.returncode in (1, 2)
    assert named in run.stderr
    assert "Traceback" not in run.stderr


def test_build_leaves_the_program_compiled(tmp_path: Path) -> None:
    """On a read-only file system each start would compile all modules again, which delays restarts."""
    shutil.copytree(ROOT / "reedspoke", tmp_path / "reedspoke", ignore=shutil.ignore_patterns("__pycache__"))
    (tmp_path / ".venv").symlink_to(sys.prefix)
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    subprocess.run(["/bin/sh", "-c", build], cwd=tmp_path, check=True)
    sources = [path.stem for path in (tmp_path / "reedspoke").rglob("*.py")]
    compiled = [path.name.split(".")[0] for path in (tmp_path / "reedspoke").rglob("*.pyc")]
    assert sorted(compiled) == sorted(sources)
