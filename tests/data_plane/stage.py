"""The real process on loopback addresses, with two control schedulers and a worker."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from msgspec import Struct

from tests.control_plane_process.fleet import logged_defects
from tests.control_plane_process.stand_ins import wait_until
from tests.data_plane.stand_ins import (
    WAIT_TIMEOUT_S,
    Background,
    ControlStandIn,
    EdgeProcess,
    WorkerStandIn,
    call,
)
from tests.ports import free_port

HOSTS = ("127.0.0.1", "127.0.0.2")
HOST = "a.example"


def document(generation: int, *prefixes: str) -> bytes:
    """A configuration with routes for these prefixes and for the stream."""
    routes = [
        {
            "name": f"r{prefix}",
            "hostname": HOST,
            "path_prefix": prefix,
            "route_type": "streaming" if prefix == "/stream/" else "idempotent",
            "timeout_ms": 10_000,
            "upstream": "u1",
        }
        for prefix in ("/stream/", *prefixes)
    ]
    return json.dumps({"generation": generation, "routes": routes, "upstreams": [{"name": "u1"}]}).encode()


class Stage(Struct, eq=False):
    """A data plane process with its control schedulers and a worker."""

    background: Background
    controls: list[ControlStandIn]
    worker: WorkerStandIn
    edge: EdgeProcess

    def publish(self, sequence: int, *prefixes: str, control: int = 0) -> None:
        configuration = document(sequence, *prefixes)
        self.controls[control].publish(sequence, configuration, (self.worker.entry(),))

    def request(self, path: str, attempt_id: str = "a1") -> tuple[int, bytes]:
        return call(self.edge.frontend, "GET", path, HOST, attempt_id)

    def until_status(self, path: str, status: int) -> None:
        wait_until(lambda: self.request(path)[0] == status, WAIT_TIMEOUT_S, f"{path} gives {status}")

    def start(self) -> None:
        """Starts the process with one control scheduler that serves a route to /one/."""
        self.controls[0].start()
        self.publish(3, "/one/")
        self.edge.write_settings([HOSTS[0]])
        self.edge.start()
        self.edge.until_ready()


@contextmanager
def fresh_stage(folder: Path) -> Iterator[Stage]:
    """A stage until the block ends."""
    background = Background()
    port = free_port(HOSTS)
    frontend, readiness = (f"127.0.0.1:{free_port(HOSTS)}" for _ in range(2))
    controls = [ControlStandIn(background, host, port) for host in HOSTS]
    worker = WorkerStandIn(background, "i-1")
    worker.start()
    edge = EdgeProcess(folder, frontend, readiness, port)
    try:
        yield Stage(background, controls, worker, edge)
    finally:
        edge.kill()
        for control in controls:
            control.stop()
        background.close()
    assert logged_defects(edge.log_file) == []
