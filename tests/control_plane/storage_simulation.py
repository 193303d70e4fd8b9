"""Simulated control plane nodes with the real log on each machine, in a simulated file system.

After a process is killed, the file operation in which it was is either complete or has no effect. After a
power loss, a machine has all synced data and any part of the rest.
"""

from __future__ import annotations

import itertools
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import pytest
from msgspec import Struct

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.peers.transport import LARGE_MESSAGE_BYTES
from reedspoke.control_plane.replication.effects import StoreRecords
from reedspoke.control_plane.replication.messages import AppendRequest, InstallSnapshot
from reedspoke.control_plane.storage.log_format import encoded_size
from reedspoke.control_plane.storage.log_opening import OpenedLog, open_log, quarantine_log
from reedspoke.control_plane.storage.log_slots import SLOT_NAMES
from tests.control_plane.simulated_files import FOLDER, PowerLost, SimulatedFiles, use
from tests.control_plane.simulated_parts import Disk, DiskMode
from tests.control_plane.simulation import Simulation

CALLS_PER_STORE = 8

MessageFault = Callable[[str, str, Struct], list[float]]
TORN_PARTS = 4


@dataclass
class LogDisk(Disk):
    """A disk that holds a log."""

    monkeypatch: pytest.MonkeyPatch = field(default_factory=pytest.MonkeyPatch)
    files: SimulatedFiles = field(default_factory=SimulatedFiles)
    opened: OpenedLog | None = None

    def open(self) -> None:
        """Open the log at the start of a process."""
        use(self.monkeypatch, self.files)
        self.opened = self._opened()
        self.folder_id = self.opened.folder_id
        self.records = self.opened.records

    def _opened(self) -> OpenedLog:
        try:
            return open_log(FOLDER)
        except FleetError as error:
            if error.code is not ErrorCode.STORAGE_CORRUPT:
                raise
            quarantine_log(FOLDER)
            return open_log(FOLDER)

    def change_bytes(self, random: Random, count: int) -> None:
        """Change single bytes of the log of a process that has ended, more often near the end of the log."""
        (name,) = (name for name in SLOT_NAMES if name in self.files.names)
        content = bytearray(self.files.names[name].content)
        for _ in range(count):
            distance = int(random.random() ** 3 * len(content))
            content[-1 - distance] ^= random.randint(1, 255)
        self.files = SimulatedFiles({name: bytes(content)})

    def carry_out(self, store: StoreRecords) -> None:
        """Append the records, or rewrite the log with them."""
        assert self.opened is not None
        use(self.monkeypatch, self.files)
        writer = self.opened.writer
        (writer.rewrite if store.replace else writer.append)(store.records)

    def stop_in(self, stores: list[StoreRecords], random: Random, power: bool) -> None:
        """End the process during one of these stores; with `power`, the machine loses power."""
        self.files.lose_power_at = self.files.calls + random.randint(1, CALLS_PER_STORE * (len(stores) + 1))
        try:
            for store in stores:
                self.carry_out(store)
        except PowerLost:
            pass
        left = (
            random.choice(list(self.files.after_power_loss(TORN_PARTS))) if power else self.files.after_kill()
        )
        max_bytes = self.files.max_bytes
        self.files = SimulatedFiles(left)
        self.files.max_bytes = max_bytes
        self.opened = None


class StorageSimulation(Simulation):
    """A simulation in which machines keep their state in logs.

    `link_bytes_per_s` is the bandwidth of each link, `disk_bytes_per_s` the write speed of each disk.
    `message_fault` is called for each message and returns the extra delay of each copy that arrives.
    """

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, seed: int = 0, machines: int = 3, tolerated: int = 1
    ) -> None:
        self._monkeypatch = monkeypatch
        folder_ids = itertools.count(1)
        monkeypatch.setattr(secrets, "token_hex", lambda size: f"{next(folder_ids):0{2 * size}x}")
        self.link_bytes_per_s = float("inf")
        self.disk_bytes_per_s: dict[str, float] = {}
        self.message_fault: MessageFault | None = None
        self._large_link_free_at: dict[tuple[str, str], float] = {}
        super().__init__(seed, machines, tolerated, seeds=min(machines, 3))

    def disk(self, address: str) -> LogDisk:
        """The disk of a machine."""
        disk = self.machines[address].disk
        assert isinstance(disk, LogDisk)
        return disk

    def kill(self, address: str, restart_after: float | None = 0.3) -> None:
        """Kill the process during a store."""
        self._stop_in_stores(address, power=False)
        self._restart_later(address, restart_after)

    def lose_power(self, address: str, restart_after: float | None = 0.5) -> None:
        """Make the machine lose power during a store."""
        self._stop_in_stores(address, power=True)
        self._restart_later(address, restart_after)

    def _stop_in_stores(self, address: str, power: bool) -> None:
        machine = self.machines[address]
        if machine.replica is None:
            return
        works = machine.disk.mode in (DiskMode.WORKS, DiskMode.STALLS)
        stores = list(machine.disk.waiting) if works else []
        self._stop(address, keep_unsynced=False)
        self.disk(address).stop_in(stores, self.random, power)

    def _new_disk(self) -> Disk:
        return LogDisk(folder_id="", monkeypatch=self._monkeypatch)

    def _transmit(self, sender: str, receiver: str, message: Struct, extra: float) -> None:
        delays = [0.0]
        if self.message_fault is not None:
            delays = self.message_fault(sender, receiver, message)
        for delay in delays:
            transfer_s = self._time_on_link(sender, receiver, message)
            super()._transmit(sender, receiver, message, extra + delay + transfer_s)

    def _time_on_link(self, sender: str, receiver: str, message: Struct) -> float:
        """The time that a large message takes on its link, after earlier ones; 0 for a small message."""
        entry = message.entry if isinstance(message, AppendRequest | InstallSnapshot) else None
        if entry is None or len(entry.document) <= LARGE_MESSAGE_BYTES:
            return 0.0
        free_at = max(self.now, self._large_link_free_at.get((sender, receiver), 0.0))
        self._large_link_free_at[(sender, receiver)] = free_at + len(entry.document) / self.link_bytes_per_s
        return self._large_link_free_at[(sender, receiver)] - self.now

    def _start_store(self, address: str, store: StoreRecords) -> None:
        duration = encoded_size(store.records) / self.disk_bytes_per_s.get(address, float("inf"))
        self._disk_free[address] = max(self.now, self._disk_free.get(address, 0.0)) + duration
        super()._start_store(address, store)

    def _start(self, address: str) -> None:
        if self.machines[address].replica is None:
            self.disk(address).open()
        super()._start(address)

    @staticmethod
    def _write(disk: Disk, store: StoreRecords) -> None:
        assert isinstance(disk, LogDisk)
        try:
            disk.carry_out(store)
        except FleetError as error:
            raise AssertionError("no test makes operations of this file system fail") from error
