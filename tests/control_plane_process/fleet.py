"""Real control plane processes on loopback addresses, each with its own folder and settings file."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from reedspoke.common.metrics_endpoint import VIOLATION_EVENT
from reedspoke.common.unhandled_errors import UNHANDLED_EVENT
from reedspoke.lab.fleet_soak.findings import event_of
from tests.control_plane_process.stand_ins import (
    FakePlatform,
    Reply,
    configuration_document,
    send_request,
    wait_until,
)
from tests.ports import free_port

ROOT = Path(__file__).resolve().parents[2]
HOSTS = ("127.0.1.1", "127.0.1.2", "127.0.1.3")
STARTUP_TIMEOUT_S = 6.0
HEARTBEAT_MS = 1200
DEFECT_EVENTS = (VIOLATION_EVENT, UNHANDLED_EVENT)


def logged_defects(log_file: Path) -> list[str]:
    """Return the log lines of violated invariants and unhandled errors."""
    if not log_file.exists():
        return []
    return [line for line in log_file.read_text().splitlines() if event_of(line) in DEFECT_EVENTS]


class Node:
    """One control plane node."""

    def __init__(self, fleet: Fleet, number: int, host: str) -> None:
        self.fleet = fleet
        self.name = f"core-{number}"
        self.host = host
        self.operator_address = f"{host}:{fleet.control_port}"
        self.peer_address = f"{host}:{fleet.internal_port}"
        self.folder = fleet.folder / self.name
        self.settings_file = fleet.folder / f"{self.name}.json"
        self.log_file = fleet.folder / f"{self.name}.log"
        self.root = ROOT  # the checkout whose program the node runs
        self.process: subprocess.Popen[bytes] | None = None

    def settings(self, *, bootstrap: bool) -> dict[str, Any]:
        """Return the content of the node's settings file."""
        return {
            "node_name": self.name,
            "ip_address": self.host,
            "zone": f"zone-{self.name}",
            "bind": {"control_plane": self.operator_address},
            "internal_ports": [self.fleet.internal_port, self.fleet.internal_port],
            "seed_nodes": [f"{host}:{self.fleet.control_port}" for host in HOSTS],
            "bootstrap": bootstrap,
            "quorum_member": True,
            "data_dir": str(self.folder),
            "heartbeat_ms": HEARTBEAT_MS,
            "cloud_api": {"address": self.fleet.platform.address, "rate_per_s": 40, "lag_ms": 100},
            "metrics": f"{self.fleet.metrics_port}/metrics",
            "field_of_a_later_version": 1,
        }

    def start(self, *, bootstrap: bool = False) -> None:
        """Start the process with its usual settings."""
        self.folder.mkdir(exist_ok=True)
        self.start_with_settings(json.dumps(self.settings(bootstrap=bootstrap)))

    def start_with_settings(self, settings: str) -> None:
        """Start the process with this settings file."""
        self.settings_file.write_text(settings)
        environment = os.environ | {
            "REEDSPOKE_NODE_FILE": str(self.settings_file),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "reedspoke.control_plane"], cwd=self.root, env=environment, stderr=log
            )

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        assert self.process is not None
        self.process.kill()
        self.process.wait(5)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def status(self) -> dict[str, Any]:
        """Return the status of the node, or an empty one without a response."""
        reply = send_request(self.operator_address, "GET", "/reedspoke/status")
        if reply is None or reply.status != 200:
            return {}
        found: dict[str, Any] = json.loads(reply.body)
        return found

    def is_voter_among(self, voters: int) -> bool:
        """Return whether the node is up, in a view of this many voters.

        On a busy machine a voter may join late.
        """
        return len(self.status().get("voters", ())) == voters

    def put(self, document: bytes, match: str | None, *, in_chunks: bool = False) -> Reply | None:
        """Send a configuration to the node."""
        return send_request(
            self.operator_address, "PUT", "/reedspoke/configuration", document, match, in_chunks=in_chunks
        )

    def get(self) -> Reply | None:
        """Read the configuration from the node."""
        return send_request(self.operator_address, "GET", "/reedspoke/configuration")


class Fleet:
    """Three control plane nodes and a platform."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.internal_port = free_port(HOSTS)
        self.control_port = free_port(HOSTS)
        self.metrics_port = free_port(HOSTS)
        self.platform = FakePlatform("127.0.0.1")
        self.nodes = [Node(self, number, host) for number, host in enumerate(HOSTS)]

    def start(self) -> None:
        """Start all nodes as a new fleet."""
        for node in self.nodes:
            node.start(bootstrap=True)

    def close(self) -> None:
        """Stop all nodes, and check that no node logged a defect."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.kill()
        self.platform.close()
        assert [line for node in self.nodes for line in logged_defects(node.log_file)] == []

    def put_until_accepted(self, document: bytes, match: int, within: float) -> float:
        """Repeat the same call at the next node until it is accepted, as an operator does."""
        began = time.monotonic()
        tried = 0

        def accepted() -> bool:
            nonlocal tried
            node = self.nodes[tried % len(self.nodes)]
            tried += 1
            reply = node.put(document, str(match))
            assert reply is None or reply.status in (200, 503), reply
            return reply is not None and reply.status == 200

        wait_until(accepted, within, "the configuration is accepted")
        return time.monotonic() - began

    def first_configuration(self) -> bytes:
        """Put the first configuration, and return its document."""
        document = configuration_document(3)
        self.put_until_accepted(document, 0, STARTUP_TIMEOUT_S)
        return document

    def lease_holder(self) -> Node | None:
        """Return the node that holds the discovery lease, or None unless there is exactly one."""
        holders = [node for node in self.nodes if node.status().get("holds_list_duty")]
        return holders[0] if len(holders) == 1 else None
