"""The maximum size of the log, with large documents, with many small ones, and with restarts.

To run more changes:
`STORAGE_LARGE_CHANGES=200 .venv/bin/python -m pytest tests/control_plane/test_storage_size.py`.
"""

from __future__ import annotations

import os

import pytest

from reedspoke.control_plane.replication import outbox as replica_outbox
from reedspoke.control_plane.replication.effects import StoreRecords
from reedspoke.control_plane.replication.events import StoreCompleted
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import LOG_REWRITE_THRESHOLD_BYTES
from reedspoke.control_plane.storage.log_format import BATCH_COPIES, encode_batch, encoded_size
from tests.control_plane.storage_simulation import StorageSimulation

MEGABYTE = 1 << 20
LARGE_CHANGES = int(os.environ.get("STORAGE_LARGE_CHANGES", "24"))
CHANGES_PER_PROCESS = 3
SMALL_CHANGES = 300
SMALL_DOCUMENT = 500


def _max_log_bytes(simulation: StorageSimulation, documents: list[bytes]) -> int:
    """The maximum size of a single machine's log while it stores these documents, with restarts."""
    for generation, document in enumerate(documents):
        if generation % CHANGES_PER_PROCESS == CHANGES_PER_PROCESS - 1:
            simulation.kill("m1", restart_after=0.1)
            simulation.run(0.2)
            simulation.settle()
            simulation.run(1.0)
        assert simulation.put_and_wait("m1", generation, generation + 1, document) is None
    return simulation.disk("m1").files.max_bytes


def _single_machine(monkeypatch: pytest.MonkeyPatch) -> StorageSimulation:
    simulation = StorageSimulation(monkeypatch, seed=5, machines=1, tolerated=0)
    simulation.settle()
    simulation.run(1.0)
    return simulation


def test_the_log_is_bounded_with_large_documents(monkeypatch: pytest.MonkeyPatch) -> None:
    """The bound: LOG_REWRITE_THRESHOLD_BYTES of outdated records, the current document, a new one and
    the rewritten log.
    """
    largest = 4 * MEGABYTE
    sizes = [largest, MEGABYTE, largest, 2 * MEGABYTE]
    documents = [b"%06d" % number + b"x" * sizes[number % 4] for number in range(LARGE_CHANGES)]
    log_bytes = _max_log_bytes(_single_machine(monkeypatch), documents)
    assert log_bytes < LOG_REWRITE_THRESHOLD_BYTES + 4 * BATCH_COPIES * largest + MEGABYTE
    assert log_bytes < 64 * MEGABYTE


def test_the_log_is_bounded_with_many_small_documents(monkeypatch: pytest.MonkeyPatch) -> None:
    limit = 20_000
    monkeypatch.setattr(replica_outbox, "LOG_REWRITE_THRESHOLD_BYTES", limit)
    documents = [b"%06d" % number + b"x" * SMALL_DOCUMENT for number in range(SMALL_CHANGES)]
    log_bytes = _max_log_bytes(_single_machine(monkeypatch), documents)
    history = 2 * BATCH_COPIES * SMALL_CHANGES * 45
    assert log_bytes < limit + 8 * BATCH_COPIES * SMALL_DOCUMENT + history


def test_encoded_size_is_the_size_on_disk() -> None:
    records = [b"one", b"", b"x" * 100]
    assert encoded_size(records) == len(encode_batch(records))


def test_a_log_that_is_long_at_the_start_is_rewritten_after_the_first_store() -> None:
    """The outdated part of a restored log is unknown; without the rewrite it could grow at each restart."""
    outbox = Outbox("at-own", 10.0, LOG_REWRITE_THRESHOLD_BYTES // BATCH_COPIES + 1)
    outbox.snapshot_records = lambda: (b"state",)
    assert _replaces_after_one_store(outbox)
    assert not _replaces_after_one_store(Outbox("at-own", 10.0, 1000))


def _replaces_after_one_store(outbox: Outbox) -> bool:
    outbox.store([], lambda _: None)
    (store,) = outbox.take_effects()
    assert isinstance(store, StoreRecords)
    outbox.store_completed(StoreCompleted(store.token))
    return any(isinstance(effect, StoreRecords) and effect.replace for effect in outbox.take_effects())
