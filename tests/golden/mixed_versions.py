"""Plays fleets of two versions of the program: `python -m tests.golden.mixed_versions --old CHECKOUT`.

Each play starts three control plane schedulers, some from an earlier version's checkout, and a data plane
scheduler of one of the two; it fails with an AssertionError where a change, a list of workers or a restart
with the other version on the same disk does not come out as in a fleet of one version.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from types import TracebackType

from reedspoke.common.messages import ConfigurationDelta, ConfigurationSnapshot, WorkerList
from tests.control_plane_process.fleet import HEARTBEAT_MS, ROOT, Fleet, Node
from tests.control_plane_process.stand_ins import (
    EdgeClient,
    configuration_document,
    send_request,
    wait_for_leased_workers,
    wait_until,
)
from tests.ports import free_port

EDGE_HOST = "127.0.1.9"
CHANGE_S = 20.0
UP_S = 30.0  # programs without compiled files, on a busy machine
NODES = 3
EVACUATION_PATH = "/reedspoke/evacuation/za"  # of the zone of all workers


class EdgeProcess:
    """A real data plane scheduler of one version."""

    def __init__(self, fleet: Fleet, root: Path) -> None:
        self.readiness = f"{EDGE_HOST}:{free_port((EDGE_HOST,))}"
        settings = {
            "node_name": "edge-process",
            "ip_address": EDGE_HOST,
            "zone": "za",
            "bind": {"frontend": f"{EDGE_HOST}:{free_port((EDGE_HOST,))}", "readiness": self.readiness},
            "internal_ports": [fleet.internal_port, fleet.internal_port],
            "seed_nodes": [node.operator_address for node in fleet.nodes],
            "heartbeat_ms": HEARTBEAT_MS,
            "metrics": "",
        }
        path = fleet.folder / "edge.json"
        path.write_text(json.dumps(settings))
        self.log_file = fleet.folder / "edge.log"
        environment = os.environ | {"REEDSPOKE_NODE_FILE": str(path), "PYTHONDONTWRITEBYTECODE": "1"}
        with self.log_file.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "reedspoke.data_plane"], cwd=root, env=environment, stderr=log
            )

    def is_ready(self) -> bool:
        """Whether it has a configuration and workers."""
        reply = send_request(self.readiness, "GET", "/ready")
        return reply is not None and reply.status == 200

    def has_in_force(self, generation: int) -> bool:
        """Whether its log says that this configuration is in force."""
        lines = [json.loads(line) for line in self.log_file.read_text().splitlines() if line.startswith("{")]
        return any(
            line.get("event") == "configuration in force" and line.get("generation") == generation
            for line in lines
        )

    def __enter__(self) -> EdgeProcess:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._process.kill()
        self._process.wait(5)


def play(roots: tuple[Path, ...], edge_root: Path, folder: Path) -> None:
    """A change through each scheduler, then each one restarted with the other version on its disk."""
    fleet = Fleet(folder)
    for node, root in zip(fleet.nodes, roots, strict=True):
        node.root = root
    try:
        fleet.start()
        wait_until(lambda: all(node.is_voter_among(NODES) for node in fleet.nodes), UP_S, "all are voters")
        fleet.first_configuration()
        with EdgeProcess(fleet, edge_root) as edge:
            wait_until(edge.is_ready, UP_S, "the data plane scheduler is ready")
            play_changes(fleet, edge)
            play_evacuations(fleet)
            play_restarts(fleet, edge, {*roots, edge_root})
            play_evacuations(fleet)
    finally:
        fleet.close()


def play_changes(fleet: Fleet, edge: EdgeProcess) -> None:
    """Each scheduler takes a change, and each one's sessions bring it."""
    for generation, node in enumerate(fleet.nodes, start=4):
        document = configuration_document(generation, routes=5)
        reply = node.put(document, str(generation - 1))
        assert reply is not None
        assert reply.status == 200, reply
        check_served(fleet, edge, document, generation)
    for node in fleet.nodes:
        client = EdgeClient(node.peer_address, node_name=f"edge-at-{node.name}")
        names = [worker.instance_id for worker in wait_for_leased_workers(client).workers]
        assert names == ["i-1", "i-2", "i-3"]
        client.close()


def play_evacuations(fleet: Fleet) -> None:
    """Each scheduler takes an order and the next one the opposite; each one's sessions bring them."""
    for number, node in enumerate(fleet.nodes):
        order(node, "POST")
        check_marked(fleet, True)
        order(fleet.nodes[(number + 1) % NODES], "DELETE")
        check_marked(fleet, False)


def order(node: Node, method: str) -> None:
    """Repeat an order on the zone of all workers until it is acknowledged."""

    def is_acknowledged() -> bool:
        reply = send_request(node.operator_address, method, EVACUATION_PATH)
        return reply is not None and reply.status == 200

    wait_until(is_acknowledged, CHANGE_S, f"{node.name} acknowledges {method}")


def check_marked(fleet: Fleet, expected: bool) -> None:
    """The list of each scheduler marks all workers as draining, or none."""
    for node in fleet.nodes:
        client = EdgeClient(node.peer_address, node_name=f"edge-at-{node.name}")
        lists: list[WorkerList] = []

        def is_marked(client: EdgeClient = client, lists: list[WorkerList] = lists) -> bool:
            answer = client.fetch_updates().get("workers")
            lists.extend([answer] if isinstance(answer, WorkerList) else [])
            return bool(lists) and {worker.draining for worker in lists[-1].workers} == {expected}

        wait_until(is_marked, CHANGE_S, f"the list of {node.name} is marked: {expected}")
        client.close()


def play_restarts(fleet: Fleet, edge: EdgeProcess, roots: set[Path]) -> None:
    """One after the other goes on with the other version's program on the same disk."""
    for generation, node in enumerate(fleet.nodes, start=10):
        node.kill()
        node.root = next(iter(roots - {node.root}), node.root)
        node.start()
        wait_until(lambda node=node: node.is_voter_among(NODES), UP_S, f"{node.name} votes again")  # type: ignore[misc]
        document = configuration_document(generation, routes=7)
        matched = 6 if generation == 10 else generation - 1
        fleet.put_until_accepted(document, matched, CHANGE_S)
        check_served(fleet, edge, document, generation)


def check_served(fleet: Fleet, edge: EdgeProcess, document: bytes, generation: int) -> None:
    """All schedulers give back this document, and a session of each brings it."""
    for node in fleet.nodes:

        def serves(address: str = node.operator_address) -> bool:
            reply = send_request(address, "GET", "/reedspoke/configuration")
            return reply is not None and (reply.status, reply.body) == (200, document)

        wait_until(serves, CHANGE_S, f"{node.name} gives back generation {generation}")
    wait_until(lambda: edge.has_in_force(generation), CHANGE_S, "the data plane scheduler has it in force")
    client = EdgeClient(fleet.nodes[generation % NODES].peer_address)
    wait_until(
        lambda: "configuration" in client.versions or not client.fetch_updates(),
        CHANGE_S,
        "a session brings it",
    )
    fetched = client.fetch("configuration")
    assert isinstance(fetched, ConfigurationSnapshot | ConfigurationDelta)
    client.close()


def main() -> None:
    """Play every mixture of the two versions, and print each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--old", type=Path, required=True, help="checkout of the earlier version")
    old = parser.parse_args().old.resolve()
    new = ROOT
    mixtures = {
        "one old beside two new, new edge": ((old, new, new), new),
        "one old beside two new, old edge": ((new, old, new), old),
        "two old beside one new, new edge": ((old, old, new), new),
        "two old beside one new, old edge": ((new, old, old), old),
        "all new, old edge": ((new, new, new), old),
        "all old, new edge": ((old, old, old), new),
    }
    for name, (roots, edge_root) in mixtures.items():
        with tempfile.TemporaryDirectory() as folder:
            play(roots, edge_root, Path(folder))
        print(f"{name}: sound", flush=True)


if __name__ == "__main__":
    main()
