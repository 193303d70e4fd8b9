"""What a node does not know is told as unknown, not as empty, by its status and its metrics."""

from __future__ import annotations

import json
import threading
import time
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from tests.control_plane_process.fleet import Fleet, Node
from tests.control_plane_process.stand_ins import send_request, wait_until

ZONE = "za"
PATH = f"/reedspoke/evacuation/{ZONE}"
STATE_UNKNOWN = 313
STATUS_PATH = "/reedspoke/status"
ACKNOWLEDGED_S = 8.0
UP_S = 12.0
STARTUP_S = 10.0  # after which a node answers with what it knows, also without the others
SLOW_SYNCS = """
import os, time

fsync = os.fsync

def slow_fsync(descriptor):
    time.sleep(0.1)
    fsync(descriptor)

os.fsync = slow_fsync
"""


def is_acknowledged(node: Node) -> bool:
    """Send an evacuation to a node and return whether it is acknowledged."""
    reply = send_request(node.operator_address, "POST", PATH)
    return reply is not None and reply.status == 200


def shows_zone(node: Node) -> bool:
    """Whether a node says that the zone is evacuated."""
    return node.status().get("evacuated") == [ZONE]


class Watcher:
    """Reads the status and the metrics of a node all the time, and keeps every answer."""

    def __init__(self, node: Node) -> None:
        self.answers: list[dict[str, Any]] = []
        self.rejections: set[int] = set()
        self.metrics: list[str] = []
        self._node = node
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._watch)
        self._thread.start()

    def _watch(self) -> None:
        while not self._ended.is_set():
            reply = send_request(self._node.operator_address, "GET", STATUS_PATH)
            if reply is not None and reply.status == 200:
                self.answers.append(json.loads(reply.body))
            elif reply is not None:
                self.rejections.add(json.loads(reply.body)["error"]["code"])
            metrics = send_request(f"{self._node.host}:{self._node.fleet.metrics_port}", "GET", "/metrics")
            self.metrics += [] if metrics is None else metrics.body.decode().splitlines()
            time.sleep(0.005)

    def end(self) -> None:
        """Stop."""
        self._ended.set()
        self._thread.join()


def test_a_node_that_starts_shows_no_state_as_empty(
    fleet: Fleet, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a status without evacuated zones, view and workers before a log is open."""
    first, second, third = fleet.nodes
    wait_until(partial(is_acknowledged, first), ACKNOWLEDGED_S, "the evacuation is acknowledged")
    wait_until(lambda: all(shows_zone(node) for node in fleet.nodes), ACKNOWLEDGED_S, "known to all")
    for node in fleet.nodes:
        node.kill()
    (tmp_path / "sitecustomize.py").write_text(SLOW_SYNCS)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    watcher = Watcher(first)
    try:
        first.start()
        wait_until(lambda: STATE_UNKNOWN in watcher.rejections, UP_S, "the node rejects the call")
        for node in (second, third):
            node.start()
        wait_until(lambda: all(shows_zone(node) for node in fleet.nodes), UP_S, "known to all again")
    finally:
        watcher.end()
    assert watcher.answers
    assert [answer["evacuated"] for answer in watcher.answers if answer["evacuated"] != [ZONE]] == []
    assert [answer for answer in watcher.answers if not answer["view"] or answer["workers"] == 0] == []
    for name in ("view", "voters", "chain", "workers", "generation", "sequence", "evacuated_zones"):
        assert f'reedspoke_control_state{{what="{name}"}} 0' not in watcher.metrics
    assert 'reedspoke_control_state{what="evacuated_zones"} 1' in watcher.metrics


def test_a_node_that_missed_an_order_does_not_show_that_there_is_none(fleet: Fleet) -> None:
    """Guards against a status by the orders of one disk, while the nodes that have others are down."""
    first, second, third = fleet.nodes
    first.kill()
    wait_until(partial(is_acknowledged, second), ACKNOWLEDGED_S, "the evacuation is acknowledged")
    for node in (second, third):
        node.kill()
    watcher = Watcher(first)
    try:
        first.start()
        wait_until(lambda: bool(watcher.answers), STARTUP_S + UP_S, "the node answers without the others")
        for node in (second, third):
            node.start()
        wait_until(partial(shows_zone, first), UP_S, "the node knows the order")
    finally:
        watcher.end()
    assert watcher.rejections == {STATE_UNKNOWN}
    shown = [answer["evacuated"] for answer in watcher.answers]
    assert [zones for zones in shown if zones not in (None, [ZONE])] == []
    assert shown[0] is None
    assert 'reedspoke_control_state{what="evacuated_zones"} 0' not in watcher.metrics
