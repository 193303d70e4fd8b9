"""Tests of how long a control plane process keeps running after SIGTERM."""

from __future__ import annotations

import shutil
import signal
import subprocess
import time

import pytest

from tests.control_plane_process.fleet import STARTUP_TIMEOUT_S, Fleet
from tests.control_plane_process.stand_ins import wait_until

NEEDED_FOR_S = 2.0
SUCCESSOR_S = 4.0
GRACE_S = 8.0  # the settings' default
SHUTDOWN_S = 2.0


def _wait_until_chain_has(fleet: Fleet, asked: int, length: int) -> None:
    wait_until(
        lambda: len(fleet.nodes[asked].status().get("chain", ())) == length,
        STARTUP_TIMEOUT_S,
        "the chain is repaired",
    )


@pytest.mark.parametrize(("lost", "leaver", "stays"), [(0, 2, 1), (2, 1, 0), (1, 0, 2)])
def test_a_node_whose_replica_is_needed_stays_until_its_successor_has_it(
    fleet: Fleet, lost: int, leaver: int, stays: int
) -> None:
    document = fleet.first_configuration()
    fleet.nodes[lost].kill()
    _wait_until_chain_has(fleet, stays, 2)
    leaving = fleet.nodes[leaver]
    leaving.signal(signal.SIGTERM)
    assert leaving.process is not None
    with pytest.raises(subprocess.TimeoutExpired):
        leaving.process.wait(NEEDED_FOR_S)
    shutil.rmtree(fleet.nodes[lost].folder)
    fleet.nodes[lost].start()
    assert leaving.process.wait(SUCCESSOR_S) == 0

    def read_back() -> bool:
        reply = fleet.nodes[lost].get()
        return reply is not None and (reply.status, reply.body) == (200, document)

    wait_until(read_back, STARTUP_TIMEOUT_S, "the successor returns the configuration")


def test_a_node_without_a_successor_ends_within_its_grace_period(fleet: Fleet) -> None:
    fleet.first_configuration()
    fleet.nodes[0].kill()
    _wait_until_chain_has(fleet, 1, 2)
    leaving = fleet.nodes[2]
    began = time.monotonic()
    leaving.signal(signal.SIGTERM)
    assert leaving.process is not None
    assert leaving.process.wait(GRACE_S) == 0
    assert time.monotonic() - began > GRACE_S / 2


def test_nodes_that_shut_down_together_do_not_wait_for_one_another(fleet: Fleet) -> None:
    fleet.first_configuration()
    for node in fleet.nodes:
        node.signal(signal.SIGTERM)
    for node in fleet.nodes:
        assert node.process is not None
        assert node.process.wait(SHUTDOWN_S) == 0
