"""The disk stand-in: troubles, and what a loss of power leaves."""

from __future__ import annotations

import errno
import os
from collections.abc import Iterator
from pathlib import Path
from random import Random

import pytest

from reedspoke.lab.fleet_soak.disk_layer import FULL, NONE, DiskLayer
from reedspoke.lab.fleet_soak.power_loss import lose_disk, lose_power

NOTHING_KEPT = 2  # a seed


class Disk:
    """A wrapped disk with its two folders."""

    def __init__(self, root: Path) -> None:
        self.folder, self.synced, self.trouble = root / "disk", root / "synced", root / "trouble"
        self.folder.mkdir()
        self.synced.mkdir()
        self.trouble.write_text(NONE)
        DiskLayer(self.folder, self.synced, self.trouble).install()

    def write(self, name: str, data: bytes, *, sync: bool) -> None:
        descriptor = os.open(self.folder / name, os.O_RDWR | os.O_CREAT)
        os.lseek(descriptor, 0, os.SEEK_END)
        os.write(descriptor, data)
        if sync:
            os.fsync(descriptor)
        os.close(descriptor)

    def remove(self, name: str, *, sync: bool) -> None:
        os.unlink(self.folder / name)
        if sync:
            descriptor = os.open(self.folder, os.O_RDONLY)
            os.fsync(descriptor)
            os.close(descriptor)

    def after_power_loss(self, seed: int) -> tuple[str, dict[str, bytes]]:
        kept = lose_power(self.folder, self.synced, Random(seed))
        return kept, {path.name: path.read_bytes() for path in self.folder.iterdir()}


@pytest.fixture
def disk(tmp_path: Path) -> Iterator[Disk]:
    with pytest.MonkeyPatch.context() as patch:
        for name in ("open", "write", "fsync", "close", "unlink"):
            patch.setattr(os, name, getattr(os, name))  # put back at the end
        yield Disk(tmp_path)


def test_what_was_synced_is_there_after_a_loss_of_power_and_the_rest_may_not(disk: Disk) -> None:
    disk.write("log", b"synced", sync=True)
    disk.write("log", b" later", sync=False)
    disk.write("new", b"never synced", sync=False)
    kept, files = disk.after_power_loss(NOTHING_KEPT)
    assert kept != "all"
    assert files["log"].startswith(b"synced")
    assert "new" not in files


@pytest.mark.parametrize("seed", range(20))
def test_no_loss_of_power_takes_what_was_synced(disk: Disk, seed: int) -> None:
    disk.write("log", b"synced", sync=True)
    disk.write("log", b" later", sync=False)
    _, files = disk.after_power_loss(seed)
    assert files["log"] in [b"synced" + b" later"[:count] for count in range(7)]


def test_a_removal_lasts_once_its_folder_was_synced(disk: Disk) -> None:
    for name in ("a", "b"):
        disk.write(name, b"x", sync=True)
    disk.remove("a", sync=True)
    disk.remove("b", sync=False)
    assert {path.name for path in disk.synced.iterdir()} == {"b"}


def test_a_full_disk_refuses_writes(disk: Disk) -> None:
    disk.trouble.write_text(FULL)
    with pytest.raises(OSError, match=os.strerror(errno.ENOSPC)):
        disk.write("log", b"x", sync=True)


def test_a_lost_disk_is_empty(disk: Disk) -> None:
    disk.write("log", b"x", sync=True)
    lose_disk(disk.folder, disk.synced)
    assert list(disk.folder.iterdir()) == list(disk.synced.iterdir()) == []
