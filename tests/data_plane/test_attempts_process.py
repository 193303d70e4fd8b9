"""A real process: signals during attempts, and an address that another instance has taken over."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import struct
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest
from msgspec import Struct

from reedspoke.common.messages import WorkerEntry
from tests.control_plane_process.stand_ins import wait_until
from tests.data_plane.stand_ins import (
    CALL_TIMEOUT_S,
    SEAL,
    WAIT_TIMEOUT_S,
    Background,
    ControlStandIn,
    EdgeProcess,
    WorkerStandIn,
    call,
)
from tests.data_plane.wire import SeenRequest
from tests.ports import free_port

HOSTS = ("127.0.0.1",)
HOST = "a.example"
GRACE_S = 2.5
BOUNDS = {"grace_s": GRACE_S, "retry_ratio": 4}  # A new process has no retry slack yet.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, with a time-out of 0.
Call = Future[tuple[int, bytes]]


def document() -> bytes:
    route = {
        "name": "once",
        "hostname": HOST,
        "path_prefix": "/once/",
        "route_type": "non_idempotent",
        "timeout_ms": 10_000,
        "target_ms": 1000,
        "max_attempts": 3,
        "upstream": "u1",
    }
    return json.dumps({"generation": 1, "routes": [route], "upstreams": [{"name": "u1"}]}).encode()


class Workers:
    """State that all workers of a test share: the order of arrivals, and when they may answer."""

    def __init__(self) -> None:
        self.arrived: list[tuple[str, str]] = []  # Worker and attempt id.
        self.may_answer = asyncio.Event()

    def count(self, attempt_id: str) -> int:
        return sum(arrived_id == attempt_id for _, arrived_id in self.arrived)


class Worker(WorkerStandIn):
    """Does what the path says, once it may answer."""

    def __init__(self, background: Background, name: str, workers: Workers) -> None:
        super().__init__(background, name)
        self.workers = workers

    async def _answer(self, request: SeenRequest, writer: asyncio.StreamWriter) -> None:
        attempt_id = request.get("reedspoke-attempt-id") or ""
        self.workers.arrived.append((self.name, attempt_id))
        echo = f"Reedspoke-Attempt-Id: {attempt_id}\r\n"
        if request.get("reedspoke-target-instance") != self.name:
            writer.write(f"HTTP/1.1 421 No\r\n{echo}Content-Length: 0\r\n\r\n".encode())
            return
        action = request.target.rpartition("/")[2]
        if action == "silence":
            await asyncio.sleep(60)
        await self.workers.may_answer.wait()
        if action == "reset":
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        elif action == "refuse" and self.workers.count(attempt_id) == 1:
            refusal = f"HTTP/1.1 503 No\r\n{echo}Reedspoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            writer.write(refusal.encode())
        else:
            head = f"HTTP/1.1 200 OK\r\n{echo}Reedspoke-Response-Seal: {SEAL}\r\nContent-Length: 2\r\n\r\n"
            writer.write(head.encode() + b"ok")


class Stage(Struct, eq=False):
    """A data plane process with a control scheduler and workers."""

    background: Background
    control: ControlStandIn
    workers: Workers
    edge: EdgeProcess
    calls: ThreadPoolExecutor

    def start(self, *entries: WorkerEntry) -> None:
        self.control.start()
        self.control.publish(3, document(), entries)
        self.edge.write_settings([HOSTS[0]])
        settings = json.loads(self.edge.settings_file.read_text()) | {"bounds": BOUNDS}
        self.edge.settings_file.write_text(json.dumps(settings))
        self.edge.start()
        self.edge.until_ready()

    def worker(self, name: str) -> Worker:
        worker = Worker(self.background, name, self.workers)
        worker.start()
        return worker

    def send_request(self, action: str) -> Call:
        """Sends a request whose attempt id is the action."""
        return self.calls.submit(call, self.edge.frontend, "POST", f"/once/{action}", HOST, action)

    def send_and_wait_for_arrival(self, *actions: str) -> dict[str, Call]:
        calls = {action: self.send_request(action) for action in actions}
        wait_until(
            lambda: all(self.workers.count(action) for action in actions),
            WAIT_TIMEOUT_S,
            "all are at workers",
        )
        return calls

    def let_workers_answer(self) -> None:
        self.background.loop.call_soon_threadsafe(self.workers.may_answer.set)


@pytest.fixture
def stage(tmp_path: Path) -> Iterator[Stage]:
    background = Background()
    port = free_port(HOSTS)
    frontend, readiness = (f"127.0.0.1:{free_port(HOSTS)}" for _ in range(2))
    control = ControlStandIn(background, HOSTS[0], port)
    edge = EdgeProcess(tmp_path, frontend, readiness, port)
    try:
        with ThreadPoolExecutor(8) as calls:
            yield Stage(background, control, Workers(), edge, calls)
    finally:
        edge.kill()
        control.stop()
        background.close()


def test_sigterm_in_the_middle_of_attempts(stage: Stage) -> None:
    """Answers arrive. A request that may have run is neither retried nor answered as not run."""
    stage.start(stage.worker("i-1").entry(), stage.worker("i-2").entry())
    calls = stage.send_and_wait_for_arrival("answer", "reset", "refuse", "silence")
    stage.edge.signal(signal.SIGTERM)
    wait_until(lambda: stage.edge.readiness_status() == 503, WAIT_TIMEOUT_S, "it is draining")
    stage.let_workers_answer()
    assert calls["answer"].result(CALL_TIMEOUT_S) == (200, b"ok")
    assert calls["reset"].result(CALL_TIMEOUT_S)[0] == 502
    assert calls["refuse"].result(CALL_TIMEOUT_S) == (200, b"ok")
    assert calls["silence"].result(CALL_TIMEOUT_S + GRACE_S)[0] == 502
    assert stage.edge.wait(WAIT_TIMEOUT_S) == 0
    counts = {action: stage.workers.count(action) for action in calls}
    assert counts == {"answer": 1, "reset": 1, "refuse": 2, "silence": 1}


def test_sighup_in_the_middle_of_attempts(stage: Stage) -> None:
    """It changes nothing for requests in flight."""
    stage.start(stage.worker("i-1").entry(), stage.worker("i-2").entry())
    calls = stage.send_and_wait_for_arrival("answer", "reset", "refuse")
    for _ in range(3):
        stage.edge.signal(signal.SIGHUP)
    assert stage.edge.readiness_status() == 200
    stage.let_workers_answer()
    assert calls["answer"].result(CALL_TIMEOUT_S) == (200, b"ok")
    assert calls["reset"].result(CALL_TIMEOUT_S)[0] == 502
    assert calls["refuse"].result(CALL_TIMEOUT_S) == (200, b"ok")
    counts = {action: stage.workers.count(action) for action in calls}
    assert counts == {"answer": 1, "reset": 1, "refuse": 2}


@pytest.mark.parametrize("during", [None, signal.SIGHUP, signal.SIGTERM])
def test_an_address_that_another_instance_has_taken_over(stage: Stage, during: signal.Signals | None) -> None:
    """A request for the old instance never runs at the new one and is retried at another worker.

    Once the list names the new instance, connections for the old one are not used.
    """
    new, other = stage.worker("i-2"), stage.worker("i-3")
    old_entry = WorkerEntry("i-1", "u1", new.address, "za", "v1", 8, False)
    stage.let_workers_answer()
    stage.start(old_entry, other.entry())
    first = [stage.send_request(f"a{number}") for number in range(6)]
    assert {call.result(CALL_TIMEOUT_S) for call in first} == {(200, b"ok")}
    if during is not None:
        stage.edge.signal(during)
    if during is signal.SIGTERM:  # An idle connection is closed unread.
        wait_until(lambda: stage.edge.readiness_status() == 503, WAIT_TIMEOUT_S, "it is draining")
    assert stage.send_request("later").result(CALL_TIMEOUT_S) == (200, b"ok")
    refused = [attempt for name, attempt in stage.workers.arrived if name == "i-2"]
    served = [attempt for name, attempt in stage.workers.arrived if name == "i-3"]
    assert sorted(served) == sorted([f"a{number}" for number in range(6)] + ["later"])
    assert refused, "some requests went to the old address first"
    assert set(refused) < set(served)
    if during is not signal.SIGTERM:
        stage.control.publish(5, document(), (new.entry(),))
        wait_until(
            lambda: stage.send_request("new").result(CALL_TIMEOUT_S) == (200, b"ok") and "i-2" in last(stage),
            WAIT_TIMEOUT_S,
            "i-2 serves",
        )


def last(stage: Stage) -> str:
    """The worker of the latest request."""
    return stage.workers.arrived[-1][0]
