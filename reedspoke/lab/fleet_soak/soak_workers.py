"""The workers of a run and the platform's list: they fall silent, crash, drain and come back as new ones."""

from __future__ import annotations

import asyncio
import time

from reedspoke.lab.fleet_emulator.experiment import Options, make_worker
from reedspoke.lab.fleet_emulator.faults import FaultShares
from reedspoke.lab.fleet_emulator.layout import LIST_LAG_MS, Layout
from reedspoke.lab.fleet_emulator.ledger import Ledger
from reedspoke.lab.fleet_emulator.worker import EmulatedWorker, WorkerState
from reedspoke.lab.fleet_emulator.worker_list import (
    ListedWorker,
    RateLimit,
    WorkerListServer,
    WorkerRegistry,
    listed,
)

FAULTS = FaultShares(garbled=0.01, surplus=0.01, lost=0.02)
DRAIN_S = 3.5  # that a worker serves on after the list shows it as draining
LISTED_AFTER_CRASH_S = 2.0
REUSE_S = 0.5  # until another incarnation takes an address: less than deployments promise


class SoakWorkers:
    """Each place has one worker at a time; every incarnation has a new id."""

    def __init__(self, layout: Layout, count: int, seed: int, ledger: Ledger) -> None:
        self._layout = layout
        self._ledger = ledger
        self._seed = seed
        self._count = count
        self._incarnations = 0
        self._listed: dict[str, ListedWorker] = {}
        self.zones: dict[str, str] = {}  # by instance id, of all that there ever were
        self.places: list[EmulatedWorker | None] = [self._make(number) for number in range(count)]
        self.registry = WorkerRegistry(LIST_LAG_MS / 1000, time.monotonic)
        limit = RateLimit(layout.list_rate_per_s, time.monotonic)
        self.platform = WorkerListServer(layout.platform(), self.registry, limit)

    def _make(self, number: int) -> EmulatedWorker:
        self._incarnations += 1
        options = Options(workers=self._count, seed=self._seed * 1000 + self._incarnations, faults=FAULTS)
        worker = make_worker(self._layout, number, options, self._ledger)
        self.zones[worker.profile.instance_id] = worker.profile.zone
        return worker

    async def open(self) -> None:
        """Start them all."""
        for worker in self.places:
            assert worker is not None
            await worker.open()
            self._list(worker)
        await self.platform.open()

    async def close(self) -> None:
        """End them all."""
        await self.platform.close()
        for worker in self.places:
            if worker is not None:
                await worker.close()

    def _list(self, worker: EmulatedWorker) -> None:
        self._listed[worker.profile.instance_id] = listed(worker.profile, worker.state)
        self.registry.change(self._listed)

    def _unlist(self, worker: EmulatedWorker) -> None:
        self._listed.pop(worker.profile.instance_id, None)
        self.registry.change(self._listed)

    async def fall_silent(self, place: int, seconds: float) -> None:
        """It says nothing for a while."""
        worker = self.places[place]
        if worker is not None:
            worker.go_dark()
            await asyncio.sleep(seconds)
            worker.recover()

    async def crash(self, place: int, seconds: float) -> None:
        """It is gone at once; the list notices later, and a new one comes at the same address."""
        worker, self.places[place] = self.places[place], None
        if worker is None:
            return
        await worker.crash()
        await asyncio.sleep(LISTED_AFTER_CRASH_S)
        self._unlist(worker)
        await self._succeed(place, max(REUSE_S, seconds - LISTED_AFTER_CRASH_S))

    async def replace(self, place: int) -> None:
        """It drains, ends and is followed by a new one."""
        worker = self.places[place]
        if worker is None or worker.state is WorkerState.DRAINING:
            return
        worker.drain()
        self._list(worker)
        await asyncio.sleep(DRAIN_S + LIST_LAG_MS / 1000)
        if self.places[place] is not worker:
            return
        self.places[place] = None
        self._unlist(worker)
        await worker.crash()
        await self._succeed(place, REUSE_S)

    async def _succeed(self, place: int, seconds: float) -> None:
        await asyncio.sleep(seconds)
        worker = self._make(place)
        await worker.open()
        self.places[place] = worker
        self._list(worker)

    async def stop_platform(self, seconds: float) -> None:
        """The list does not answer for a while."""
        await self.platform.close()
        await asyncio.sleep(seconds)
        await self.platform.open()
