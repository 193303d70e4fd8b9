"""One scale run: real control plane processes, hollow schedulers, a long list of workers, changes, a loss."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from reedspoke.lab.fleet_emulator.fleet import Fleet
from reedspoke.lab.fleet_emulator.hollow_processes import HollowProcesses
from reedspoke.lab.fleet_emulator.layout import LIST_LAG_MS, draw_layout, encode_configuration
from reedspoke.lab.fleet_emulator.scale_figures import RunFigures, ScalePoint
from reedspoke.lab.fleet_emulator.scale_inputs import HollowWorkers, long_configuration
from reedspoke.lab.fleet_emulator.scale_summary import (
    LIST_PHASE,
    Change,
    Moment,
    Phase,
    Recording,
    ScaleSummary,
)
from reedspoke.lab.fleet_emulator.worker_list import RateLimit, WorkerListServer, WorkerRegistry

SETTLE_S = 4.0
CHANGE_GAP_S = 1.0
BURST = 10
LIST_CHANGE_GAP_S = 1.5
LIST_CHANGES = 5
AFTER_LOSS_S = 6.0
START_LIMIT_S = 30.0
START_QUIET_S = 3.0
START_QUIET_PER_EDGE_S = 0.035  # until the lists of members have settled


class ScaleRun:
    """Plays one size."""

    def __init__(self, point: ScalePoint, folder: Path) -> None:
        self.point = point
        self.layout = draw_layout(point.list_rate_per_s)
        self.fleet = Fleet(self.layout, point.control, point.real_edges, folder)
        self.registry = WorkerRegistry(LIST_LAG_MS / 1000, time.monotonic)
        limit = RateLimit(point.list_rate_per_s, time.monotonic)
        self.list_server = WorkerListServer(self.layout.platform(), self.registry, limit)
        self.hollow = HollowProcesses(point, self.layout, folder)
        self.workers = HollowWorkers(self.layout, point.workers)
        self.document = long_configuration(point.routes)
        self.recording = Recording(point)

    async def play(self) -> RunFigures:
        """All phases, then the figures."""
        async with AsyncExitStack() as stack:
            await self.list_server.open()
            stack.push_async_callback(self.list_server.close)
            self.registry.change(self.workers.entries)
            stack.push_async_callback(self.fleet.stop)
            stack.push_async_callback(self.hollow.stop)
            begun = time.monotonic()
            await self._start()
            self.recording.start_s = time.monotonic() - begun
            await self._calm_phases()
            self.recording.hollow_mb = self.hollow.resident_mb_per_scheduler()
            await self._lose_head()
            results = await self.hollow.stop_and_read()
        self.recording.generation = self.document["generation"]
        return ScaleSummary(self.recording, results).figures()

    # ---- phases ----

    async def _start(self) -> None:
        self.fleet.start()
        await self._change("start")
        self.hollow.start()
        await self.fleet.wait_ready()
        await asyncio.sleep(START_QUIET_S + START_QUIET_PER_EDGE_S * self.point.edges)

    async def _calm_phases(self) -> None:
        await self._phase("idle", asyncio.sleep(self.point.seconds))
        await self._phase("changes", self._steady_changes("changes"))
        await self._phase("burst", self._burst())
        await self._phase(LIST_PHASE, self._list_changes())
        if self.point.load_size:
            self.hollow.begin_load()
            await asyncio.sleep(SETTLE_S)
            await self._phase("loaded", asyncio.sleep(self.point.seconds))
            await self._phase("loaded changes", self._steady_changes("loaded changes"))

    async def _phase(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        begin = self._moment()
        await work
        self.recording.phases.append(Phase(name, begin, self._moment()))

    async def _steady_changes(self, phase: str) -> None:
        end = time.monotonic() + self.point.seconds
        while time.monotonic() < end:
            began = time.monotonic()
            await self._change(phase)
            await asyncio.sleep(max(0.0, began + CHANGE_GAP_S - time.monotonic()))

    async def _burst(self) -> None:
        for _ in range(BURST):
            await self._change("burst")
        await asyncio.sleep(SETTLE_S)

    async def _list_changes(self) -> None:
        for _ in range(LIST_CHANGES):
            self.workers.replace_oldest()
            self.registry.change(self.workers.entries)
            await asyncio.sleep(LIST_CHANGE_GAP_S)

    async def _lose_head(self) -> None:
        self.recording.lost_at = time.monotonic()
        self.fleet.control[0].kill()
        await self._change("after loss")
        await asyncio.sleep(AFTER_LOSS_S)

    # ---- steps ----

    async def _change(self, phase: str) -> None:
        """Send the next configuration and wait until it is acknowledged."""
        match = self.document["generation"] - 1
        sent_at = time.monotonic()
        await self.fleet.send_configuration(encode_configuration(self.document), match, START_LIMIT_S)
        self.recording.changes.append(Change(phase, match + 1, sent_at, time.monotonic()))
        self.document["generation"] += 1
        route = self.document["routes"][match % len(self.document["routes"])]
        route["timeout_ms"] += 1

    def _moment(self) -> Moment:
        control = [process for process in self.fleet.control if process.running()]
        real = self.fleet.edges
        return Moment(
            at=time.monotonic(),
            control_cpu=tuple(process.cpu_seconds() for process in control),
            control_mb=tuple(process.resident_mb() for process in control),
            hollow_cpu=self.hollow.cpu_seconds(),
            real_cpu=sum(process.cpu_seconds() for process in real),
            real_mb=max((process.resident_mb() for process in real), default=0.0),
        )
