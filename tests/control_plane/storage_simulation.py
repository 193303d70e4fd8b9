"""The simulated core with the real log on each machine, on a file system in memory.

A killed process leaves the call that it was in done or not, and a machine without power what was synced and
any part of the rest.
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

CALLS_OF_A_STORE = 8

MessageFault = Callable[[str, str, Struct], list[float]]
TORN_PARTS = 4


@dataclass
class LogDisk(Disk):
    """A disk with a log on it."""

    monkeypatch: pytest.MonkeyPatch = field(default_factory=pytest.MonkeyPatch)
    files: SimulatedFiles = field(default_factory=SimulatedFiles)
    opened: OpenedLog | None = None

    def open(self) -> None:
        """A process starts."""
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
        """Change single bytes of the log of a process that has ended, the newest ones more often."""
        (name,) = (name for name in SLOT_NAMES if name in self.files.names)
        content = bytearray(self.files.names[name].content)
        for _ in range(count):
            distance = int(random.random() ** 3 * len(content))
            content[-1 - distance] ^= random.randint(1, 255)
        self.files = SimulatedFiles({name: bytes(content)})

    def carry_out(self, store: StoreRecords) -> None:
        """Append or rewrite."""
        assert self.opened is not None
        use(self.monkeypatch, self.files)
        writer = self.opened.writer
        (writer.rewrite if store.replace else writer.append)(store.records)

    def stop_in(self, stores: list[StoreRecords], random: Random, power: bool) -> None:
        """The process ends somewhere in these stores; without power, so does the machine."""
        self.files.lose_power_at = self.files.calls + random.randint(1, CALLS_OF_A_STORE * (len(stores) + 1))
        try:
            for store in stores:
                self.carry_out(store)
        except PowerLost:
            pass
        left = (
            random.choice(list(self.files.after_power_loss(TORN_PARTS))) if power else self.files.after_kill()
        )
        most_bytes = self.files.most_bytes
        self.files = SimulatedFiles(left)
        self.files.most_bytes = most_bytes
        self.opened = None


class StorageSimulation(Simulation):
    """Machines keep their state in logs.

    `link_bytes_per_s` is what each link carries, `disk_bytes_per_s` what a disk writes. `message_fault` is
    asked for each message, and gives the extra delay of each copy that arrives.
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
        self._large_free: dict[tuple[str, str], float] = {}
        super().__init__(seed, machines, tolerated, seeds=min(machines, 3))

    def disk(self, address: str) -> LogDisk:
        """The disk of a machine."""
        disk = self.machines[address].disk
        assert isinstance(disk, LogDisk)
        return disk

    def kill(self, address: str, restart_after: float | None = 0.3) -> None:
        """The process dies in the middle of a store."""
        self._stop_in_stores(address, power=False)
        self._restart_later(address, restart_after)

    def lose_power(self, address: str, restart_after: float | None = 0.5) -> None:
        """Power is lost in the middle of a store."""
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
            large = self._time_on_link(sender, receiver, message)
            super()._transmit(sender, receiver, message, extra + delay + large)

    def _time_on_link(self, sender: str, receiver: str, message: Struct) -> float:
        """How long a large message takes behind others; the connection for small ones is another."""
        entry = message.entry if isinstance(message, AppendRequest | InstallSnapshot) else None
        if entry is None or len(entry.document) <= LARGE_MESSAGE_BYTES:
            return 0.0
        free = max(self.now, self._large_free.get((sender, receiver), 0.0))
        self._large_free[(sender, receiver)] = free + len(entry.document) / self.link_bytes_per_s
        return self._large_free[(sender, receiver)] - self.now

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
            raise AssertionError("no test makes this file system refuse anything") from error
