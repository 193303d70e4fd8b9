"""Start, readiness, the planned end, and the limits."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

import pytest

from tests.peers import ROOT, SETTINGS, Peer, Start, Wire, ask, took

READY = b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n"


def test_planned_end_answers_all_that_was_taken(start: Start) -> None:
    node = start(hosts=1)
    idle, busy, ready = node.client(READY), node.client(ask()), node.client(READY)
    assert (idle.message().status, ready.message().status) == (200, 200)
    wire = node.leg()
    leg = wire.message()
    node.process.terminate()
    since = time.monotonic()
    assert idle.ended(), "idle connections are closed"
    late = node.client(ask("2b", deadline=2.0))
    assert node.ready() == 503
    other = node.leg()
    other.serve()
    answer = late.message()
    assert (answer.status, answer.fields["connection"]) == (200, "close")
    assert late.ended()
    wire.serve(leg)
    answer = busy.message()
    assert (answer.status, answer.fields["connection"]) == (200, "close")
    busy.close()
    late.close()
    assert node.process.wait(8) == 0
    assert 0.5 < took(since) < 2.5, "clients that still come are taken in for a while"
    assert "stopped" in node.log()


def test_planned_end_does_not_wait_for_a_client_that_says_nothing(start: Start) -> None:
    node = start(hosts=1)
    node.client()
    since = time.monotonic()
    assert node.stop() == 0
    assert took(since) < 2


def test_not_ready_without_any_host(start: Start) -> None:
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
    node.leg().serve()
    assert client.message().status == 200


def test_memory_stays_bounded_under_large_authorisations(start: Start) -> None:
    """Guards the limit of 192 MB: many clients at once, each with the largest body and a large answer."""
    node = start(hosts=1, sockets=256)
    body, result = b"x" * 65536, "y" * 65000
    clients = [node.client(ask(f"{n}", body=body)) for n in range(60)]
    wires: list[Wire] = []
    for _ in clients:
        wires.append(node.leg(*wires))
        wires[-1].serve(result=result)
        wires = list(dict.fromkeys(wires))
    assert sum(client.message().status == 200 for client in clients) == 60
    status = Path(f"/proc/{node.process.pid}/status").read_text()
    peak = int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1])
    assert peak < 96 * 1024, "half of what there is"


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
    """Guards the time of a restart: where nothing can be written each start would compile anew."""
    shutil.copytree(ROOT / "reedspoke", tmp_path / "reedspoke", ignore=shutil.ignore_patterns("__pycache__"))
    (tmp_path / ".venv").symlink_to(sys.prefix)
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    subprocess.run(["/bin/sh", "-c", build], cwd=tmp_path, check=True)
    sources = [path.stem for path in (tmp_path / "reedspoke").rglob("*.py")]
    compiled = [path.name.split(".")[0] for path in (tmp_path / "reedspoke").rglob("*.pyc")]
    assert sorted(compiled) == sorted(sources)
