"""How the driver uses the data folder: what runs on which thread, and the handling of a corrupt log."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from reedspoke.common.node_settings import NodeSettings
from reedspoke.control_plane.replication import replica_storage
from reedspoke.control_plane.replication.driver import ReplicaDriver
from reedspoke.control_plane.replication.effects import SendMessage
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.replication.replica import Replica
from reedspoke.control_plane.replication.settings import ReplicaSettings
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.storage.log_opening import open_log
from reedspoke.control_plane.storage.log_slots import CONTROL_LOG_NAME, CORRUPT_LOG_NAME

ADDRESS = "127.0.0.1:7660"
LIMIT_S = 5.0


class Surroundings:
    """Ignores all that the driver requests."""

    def send(self, effect: SendMessage) -> None:
        """Drop the message."""

    def deliver(self, committed: CommittedConfiguration) -> None:
        """Do nothing."""

    def view_changed(self, view: View) -> None:
        """Do nothing."""

    def ticked(self) -> None:
        """Do nothing."""


class RecordedReplicas:
    """Records how the driver creates replicas."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.threads: list[str] = []
        self.settings: list[ReplicaSettings] = []
        self.records: list[list[bytes]] = []
        monkeypatch.setattr(replica_storage, "Replica", self._make)

    def _make(self, settings: ReplicaSettings, records: list[bytes], *others: Any) -> Replica:
        self.threads.append(threading.current_thread().name)
        self.settings.append(settings)
        self.records.append(list(records))
        return Replica(settings, records, *others)


def _run(folder: Path, until: Callable[[], bool]) -> None:
    async def run() -> None:
        settings = NodeSettings(
            "core-1", "127.0.0.1", "z", seed_nodes=("127.0.0.1:8146",), bootstrap=True, data_dir=str(folder)
        )
        driver = ReplicaDriver(settings, ADDRESS, Surroundings())
        driver.start()
        async with asyncio.timeout(LIMIT_S):
            while not until() or driver._replica is None:
                await asyncio.sleep(0.005)
            for _ in range(2):
                await driver._storage_thread.call(lambda: None)  # waits until the stores have ended

    asyncio.run(run())


def test_a_long_log_is_replayed_on_the_storage_thread(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    replicas = RecordedReplicas(monkeypatch)
    _run(tmp_path, lambda: bool(replicas.threads))
    assert replicas.threads == ["storage"]
    assert replicas.settings[0].bootstrap


@pytest.mark.parametrize("damage", ["bytes", "record"])
def test_a_folder_with_a_corrupt_log_does_not_bootstrap_in_this_process_or_the_next(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, damage: str
) -> None:
    """`bootstrap` is still set in the settings, but the part of the agreed state in the log is lost."""
    _make_corrupt(tmp_path, damage)
    replicas = RecordedReplicas(monkeypatch)

    def has_restarted_empty() -> bool:
        return bool(replicas.records) and replicas.records[-1] == []

    _run(tmp_path, has_restarted_empty)
    assert (tmp_path / CORRUPT_LOG_NAME).exists()
    assert not replicas.settings[-1].bootstrap
    replicas.settings.clear()
    _run(tmp_path, lambda: bool(replicas.settings))
    assert not replicas.settings[-1].bootstrap


def _make_corrupt(folder: Path, damage: str) -> None:
    opened = open_log(folder)
    opened.writer.append([b"no known record"])
    opened.writer.append([b"another"])
    opened.writer.close()
    if damage == "bytes":
        content = (folder / CONTROL_LOG_NAME).read_bytes()
        (folder / CONTROL_LOG_NAME).write_bytes(content.replace(b"no known", b"NO KNOWN"))
