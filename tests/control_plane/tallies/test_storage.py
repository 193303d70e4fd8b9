"""Which data folders have lost nothing: those of a first start, or of a version without tallies."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from reedspoke.common.node_settings import NodeSettings
from reedspoke.control_plane.storage.log_opening import open_log, quarantine_log
from reedspoke.control_plane.tallies.replica import TallyReplica
from reedspoke.control_plane.tallies.storage import TALLY_LOG_NAME, TallyStorage


def opened(folder: Path, bootstrap: bool) -> TallyReplica:
    """Open the log of a folder and return the replica."""

    async def run() -> TallyReplica:
        future: asyncio.Future[TallyReplica] = asyncio.get_running_loop().create_future()
        settings = NodeSettings("n", "127.0.0.1", "za", bootstrap=bootstrap, data_dir=str(folder))
        TallyStorage(settings, 1, future.set_result, lambda completed: None).open()
        return await asyncio.wait_for(future, 5)

    return asyncio.run(run())


def lost_nothing(replica: TallyReplica) -> bool:
    """Whether a replica treats its empty folder as one that has lost nothing."""
    return not replica._catch_up._waits_for_peer


def test_a_folder_of_a_first_start(tmp_path: Path) -> None:
    assert lost_nothing(opened(tmp_path, bootstrap=True))


def test_a_folder_on_a_replaced_disk(tmp_path: Path) -> None:
    assert not lost_nothing(opened(tmp_path, bootstrap=False))


def test_a_folder_of_a_version_without_tallies(tmp_path: Path) -> None:
    open_log(tmp_path).writer.close()
    assert lost_nothing(opened(tmp_path, bootstrap=False))


@pytest.mark.parametrize("bootstrap", [True, False])
def test_a_folder_whose_tallies_were_corrupt(tmp_path: Path, bootstrap: bool) -> None:
    open_log(tmp_path).writer.close()
    open_log(tmp_path, TALLY_LOG_NAME).writer.close()
    quarantine_log(tmp_path, TALLY_LOG_NAME)
    assert not lost_nothing(opened(tmp_path, bootstrap=bootstrap))
