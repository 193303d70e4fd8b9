"""Random schedules of faults and calls on real logs, and bytes that change while a process is down.

To run other schedules:
`STORAGE_SEEDS=1000:1400 .venv/bin/python -m pytest tests/control_plane/test_storage_random.py`.
"""

from __future__ import annotations

import os

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication import outbox as replica_outbox
from tests.control_plane.schedule import check_end, come_back, play
from tests.control_plane.storage_simulation import StorageSimulation

FIRST_SEED, END_SEED = map(int, os.environ.get("STORAGE_SEEDS", "0:40").split(":"))
STEPS = 20
LOG_REWRITE_THRESHOLD_BYTES = 3_000  # small, so that the steps include rewrites
ROUNDS = 8


@pytest.mark.parametrize("seed", range(FIRST_SEED, END_SEED))
def test_a_random_schedule(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    monkeypatch.setattr(replica_outbox, "LOG_REWRITE_THRESHOLD_BYTES", LOG_REWRITE_THRESHOLD_BYTES)
    play(StorageSimulation(monkeypatch, seed), tolerated=1, steps=STEPS)


@pytest.mark.parametrize("changed", [1, 2, 8])
@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + (END_SEED - FIRST_SEED) // 2))
def test_bytes_change_on_the_disk_of_a_member_that_is_down(
    monkeypatch: pytest.MonkeyPatch, seed: int, changed: int
) -> None:
    """One member at a time: it returns with all its records, or with a new folder."""
    monkeypatch.setattr(replica_outbox, "LOG_REWRITE_THRESHOLD_BYTES", LOG_REWRITE_THRESHOLD_BYTES)
    simulation = StorageSimulation(monkeypatch, seed)
    simulation.settle()
    simulation.run(1.0)
    for generation in range(ROUNDS):
        address = simulation.random.choice(simulation.chain())
        document = b"document %d" % generation
        assert _put(simulation, address, generation, document)
        simulation.kill(address, restart_after=None)
        before = simulation.disk(address).folder_id
        simulation.disk(address).change_bytes(simulation.random, changed)
        simulation.machines[address].bootstrap = False
        simulation.start(address)
        if changed == 1:
            assert simulation.disk(address).folder_id == before
        simulation.run(0.5)
        come_back(simulation, restarts_within=2.0)
    check_end(simulation)


def _put(simulation: StorageSimulation, address: str, generation: int, document: bytes) -> bool:
    """Send a change until it is accepted; it must never be rejected because another copy was lost."""
    for _ in range(10):
        error = simulation.put_and_wait(address, generation, generation + 1, document)
        if error not in (ErrorCode.NO_QUORUM, ErrorCode.WRITE_UNCLEAR):
            return error is None
    return False
