"""Evacuation orders on disks whose syncs take long, on three real nodes."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from tests.control_plane_process.fleet import Fleet, Node
from tests.control_plane_process.stand_ins import send_request, wait_until

PATH = "/reedspoke/evacuation/za"
SYNC_S = 0.4
READY_S = 20.0  # a start takes several syncs
ACK_S = 5.0  # within which the deployments' operators want an order acknowledged
SLOW_SYNCS = f"""
import os, time

fsync = os.fsync

def slow_fsync(descriptor):
    time.sleep({SYNC_S})
    fsync(descriptor)

os.fsync = slow_fsync
"""


@pytest.fixture
def slow_fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Fleet:
    """Three nodes, not started yet, each sync of which takes SYNC_S longer."""
    (tmp_path / "sitecustomize.py").write_text(SLOW_SYNCS)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    return Fleet(tmp_path)


def seconds_to_acknowledge(nodes: list[Node], method: str) -> float:
    """Send an order to one node after the other until it is acknowledged, as an operator does."""
    began = time.monotonic()
    while time.monotonic() < began + 2 * ACK_S:
        for node in nodes:
            reply = send_request(node.operator_address, method, PATH)
            assert reply is None or reply.status in (200, 503, 504), reply
            if reply is not None and reply.status == 200:
                return time.monotonic() - began
            time.sleep(0.1)
    raise AssertionError(f"{method} got no clear answer")


def test_orders_are_acknowledged_in_time_on_slow_disks(slow_fleet: Fleet) -> None:
    """Guards against orders that are never acknowledged where each store takes 0.4 s."""
    slow_fleet.start()
    first, second, third = slow_fleet.nodes
    try:
        wait_until(
            lambda: all(node.is_voter_among(3) for node in slow_fleet.nodes), READY_S, "all are voters"
        )
        time.sleep(SYNC_S * 5)
        assert seconds_to_acknowledge([second, third, first], "POST") < ACK_S
        assert seconds_to_acknowledge([first, second, third], "DELETE") < ACK_S
        assert seconds_to_acknowledge([third, first, second], "DELETE") < ACK_S
        first.kill()
        assert seconds_to_acknowledge([first, second, third], "POST") < ACK_S
    finally:
        slow_fleet.close()
