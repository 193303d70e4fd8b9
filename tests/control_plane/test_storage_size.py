"""The bytes that the log takes at any instant, with large documents and with many small ones, and restarts.

More of them: `STORAGE_LARGE_CHANGES=200 .venv/bin/python -m pytest tests/control_plane/test_storage_size.py`.
"""

from __future__ import annotations

import os

import pytest

from reedspoke.control_plane.replication import outbox as replica_outbox
from reedspoke.control_plane.replication.effects import StoreRecords
from reedspoke.control_plane.replication.events import StoreCompleted
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import LOG_REWRITE_THRESHOLD_BYTES
from reedspoke.control_plane.storage.log_format import COPIES, encode_batch, encoded_size
from tests.control_plane.storage_simulation import StorageSimulation

MEGABYTE = 1 << 20
LARGE_CHANGES = int(os.environ.get("STORAGE_LARGE_CHANGES", "24"))
CHANGES_PER_LIFE = 3
SMALL_CHANGES = 300
SMALL_DOCUMENT = 500


def _most_bytes(simulation: StorageSimulation, documents: list[bytes]) -> int:
    """The most that the log of a single machine took while it stored these, with restarts in between."""
    for generation, document in enumerate(documents):
        if generation % CHANGES_PER_LIFE == CHANGES_PER_LIFE - 1:
            simulation.kill("m1", restart_after=0.1)
            simulation.run(0.2)
            simulation.settle()
            simulation.run(1.0)
        assert simulation.put_and_wait("m1", generation, generation + 1, document) is None
    return simulation.disk("m1").files.most_bytes


def _alone(monkeypatch: pytest.MonkeyPatch) -> StorageSimulation:
    simulation = StorageSimulation(monkeypatch, seed=5, machines=1, tolerated=0)
    simulation.settle()
    simulation.run(1.0)
    return simulation


def test_large_documents_take_a_bounded_part_of_a_small_disk(monkeypatch: pytest.MonkeyPatch) -> None:
    """A log with as much out of date as allowed, a live document, one more, and the rewritten log."""
    largest = 4 * MEGABYTE
    sizes = [largest, MEGABYTE, largest, 2 * MEGABYTE]
    documents = [b"%06d" % number + b"x" * sizes[number % 4] for number in range(LARGE_CHANGES)]
    most = _most_bytes(_alone(monkeypatch), documents)
    assert most < LOG_REWRITE_THRESHOLD_BYTES + 4 * COPIES * largest + MEGABYTE
    assert most < 64 * MEGABYTE


def test_many_small_documents_take_a_bounded_part(monkeypatch: pytest.MonkeyPatch) -> None:
    limit = 20_000
    monkeypatch.setattr(replica_outbox, "LOG_REWRITE_THRESHOLD_BYTES", limit)
    documents = [b"%06d" % number + b"x" * SMALL_DOCUMENT for number in range(SMALL_CHANGES)]
    most = _most_bytes(_alone(monkeypatch), documents)
    history = 2 * COPIES * SMALL_CHANGES * 45
    assert most < limit + 8 * COPIES * SMALL_DOCUMENT + history


def test_the_size_is_counted_as_it_is_on_disk() -> None:
    records = [b"one", b"", b"x" * 100]
    assert encoded_size(records) == len(encode_batch(records))


def test_a_log_that_was_long_at_the_start_is_rewritten_by_the_first_store() -> None:
    """What of it is out of date is not known then; by its whole length it might grow with each restart."""
    outbox = Outbox("at-own", 10.0, LOG_REWRITE_THRESHOLD_BYTES // COPIES + 1)
    outbox.snapshot_records = lambda: (b"state",)
    assert _replaces_after_one_store(outbox)
    assert not _replaces_after_one_store(Outbox("at-own", 10.0, 1000))


def _replaces_after_one_store(outbox: Outbox) -> bool:
    outbox.store([], lambda _: None)
    (store,) = outbox.take_effects()
    assert isinstance(store, StoreRecords)
    outbox.store_completed(StoreCompleted(store.token))
    return any(isinstance(effect, StoreRecords) and effect.replace for effect in outbox.take_effects())
