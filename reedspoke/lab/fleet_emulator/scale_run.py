"""One scale run: real control plane processes, hollow schedulers, a long list of workers, changes, a loss."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path

import msgspec
from msgspec import Struct

from reedspoke.cluster.configuration import Document, Route
from reedspoke.lab.fleet_emulator.fleet import Fleet, FleetStartError
from reedspoke.lab.fleet_emulator.hollow_host import HollowPlan, HollowResult
from reedspoke.lab.fleet_emulator.layout import (
    HOSTNAME,
    LIST_LAG_MS,
    MODEL_UPSTREAM,
    Layout,
    configuration,
    draw_layout,
    encode_configuration,
    internal_address_of,
    request_kinds,
    zone_of,
)
from reedspoke.lab.fleet_emulator.measurement import (
    Delays,
    arrivals_of,
    bytes_between,
    delays,
    list_arrivals,
    settled_after,
    worst_of,
)
from reedspoke.lab.fleet_emulator.process import ChildProcess
from reedspoke.lab.fleet_emulator.scale_figures import (
    ChangeFigures,
    PhaseFigures,
    RunFigures,
    ScalePoint,
)
from reedspoke.lab.fleet_emulator.worker import WorkerProfile, WorkerState
from reedspoke.lab.fleet_emulator.worker_list import (
    ListedWorker,
    RateLimit,
    WorkerListServer,
    WorkerRegistry,
    listed,
)

HOLLOW_MODULE = "reedspoke.lab.fleet_emulator.hollow_host"
SEEDS = 3
LIST_PHASE = "list"
SETTLE_S = 4.0
CHANGE_GAP_S = 1.0
BURST = 10
LIST_CHANGE_GAP_S = 1.5
LIST_CHANGES = 5
REPLACED_SHARE = 0.01  # of the workers, at each change of the list
AFTER_LOSS_S = 6.0
START_LIMIT_S = 30.0
START_QUIET_S = 3.0
START_QUIET_PER_EDGE_S = 0.035  # until the lists of members have settled
ROUTE_TIMEOUT_MS = 5000
HOST_STOP_TIMEOUT_S = 60.0  # a host works off what has come first


class Moment(Struct, frozen=True):
    """What all processes have used until then."""

    at: float
    control_cpu: tuple[float, ...]
    control_mb: tuple[float, ...]
    hollow_cpu: float
    real_cpu: float
    real_mb: float


class Phase(Struct, frozen=True):
    """A named span of the run."""

    name: str
    begin: Moment
    end: Moment


class Change(Struct, frozen=True):
    """A change of the configuration."""

    phase: str
    generation: int
    sent_at: float
    acknowledged_at: float


class ScaleRun:
    """Plays one size."""

    def __init__(self, point: ScalePoint, folder: Path) -> None:
        self.point = point
        self.folder = folder
        self.layout = draw_layout(point.list_rate_per_s)
        self.fleet = Fleet(self.layout, point.control, point.real_edges, folder)
        self.registry = WorkerRegistry(LIST_LAG_MS / 1000, time.monotonic)
        limit = RateLimit(point.list_rate_per_s, time.monotonic)
        self.list_server = WorkerListServer(self.layout.platform(), self.registry, limit)
        self.hosts = [self._make_host(number) for number in range(point.hosts)]
        self.document = long_configuration(point.routes)
        self.phases: list[Phase] = []
        self.changes: list[Change] = []
        self.worker_entries = {
            entry.instance_id: entry
            for entry in (hollow_worker(self.layout, number) for number in range(point.workers))
        }
        self.replaced = 0
        self.lost_at = 0.0

    async def play(self) -> RunFigures:
        """All phases, then the figures."""
        async with AsyncExitStack() as stack:
            await self.list_server.open()
            stack.push_async_callback(self.list_server.close)
            self.registry.change(self.worker_entries)
            stack.push_async_callback(self.fleet.stop)
            stack.push_async_callback(self._stop_hosts)
            begun = time.monotonic()
            await self._start()
            start_s = time.monotonic() - begun
            await self._calm_phases()
            memory = sum(host.resident_mb() for host in self.hosts) / self.point.edges
            await self._lose_head()
            results = await self._results()
        return self._figures(results, start_s, memory)

    # ---- phases ----

    async def _start(self) -> None:
        self.fleet.start()
        await self._change("start")
        for host in self.hosts:
            host.start()
        await self.fleet.wait_ready()
        await asyncio.sleep(START_QUIET_S + START_QUIET_PER_EDGE_S * self.point.edges)

    async def _calm_phases(self) -> None:
        await self._phase("idle", asyncio.sleep(self.point.seconds))
        await self._phase("changes", self._steady_changes())
        await self._phase("burst", self._burst())
        await self._phase(LIST_PHASE, self._list_changes())
        if self.point.load_size:
            for host in self.hosts:
                host.send_signal(signal.SIGUSR1)
            await asyncio.sleep(SETTLE_S)
            await self._phase("loaded", asyncio.sleep(self.point.seconds))
            await self._phase("loaded changes", self._steady_changes("loaded changes"))

    async def _phase(self, name: str, work: object) -> None:
        assert asyncio.iscoroutine(work)
        begin = self._moment()
        await work
        self.phases.append(Phase(name, begin, self._moment()))

    async def _steady_changes(self, name: str = "changes") -> None:
        end = time.monotonic() + self.point.seconds
        while time.monotonic() < end:
            began = time.monotonic()
            await self._change(name)
            await asyncio.sleep(max(0.0, began + CHANGE_GAP_S - time.monotonic()))

    async def _burst(self) -> None:
        for _ in range(BURST):
            await self._change("burst")
        await asyncio.sleep(SETTLE_S)

    async def _list_changes(self) -> None:
        for _ in range(LIST_CHANGES):
            self._replace_workers()
            await asyncio.sleep(LIST_CHANGE_GAP_S)

    async def _lose_head(self) -> None:
        self.lost_at = time.monotonic()
        self.fleet.control[0].kill()
        await self._change("after loss")
        await asyncio.sleep(AFTER_LOSS_S)

    # ---- steps ----

    async def _change(self, phase: str) -> None:
        """Send the next configuration and wait until it is acknowledged."""
        match = self.document["generation"] - 1
        sent_at = time.monotonic()
        await self.fleet.send_configuration(encode_configuration(self.document), match, START_LIMIT_S)
        self.changes.append(Change(phase, match + 1, sent_at, time.monotonic()))
        self.document["generation"] += 1
        route = self.document["routes"][match % len(self.document["routes"])]
        route["timeout_ms"] += 1

    def _replace_workers(self) -> None:
        """The oldest workers begin to leave or are gone, as many new ones come."""
        count = max(1, int(self.point.workers * REPLACED_SHARE))
        for name in list(self.worker_entries)[:count]:
            del self.worker_entries[name]
        for _ in range(count):
            entry = hollow_worker(self.layout, self.point.workers + self.replaced)
            self.worker_entries[entry.instance_id] = entry
            self.replaced += 1
        self.registry.change(self.worker_entries)

    def _moment(self) -> Moment:
        control = [process for process in self.fleet.control if process.running()]
        real = self.fleet.edges
        return Moment(
            at=time.monotonic(),
            control_cpu=tuple(process.cpu_seconds() for process in control),
            control_mb=tuple(process.resident_mb() for process in control),
            hollow_cpu=sum(host.cpu_seconds() for host in self.hosts),
            real_cpu=sum(process.cpu_seconds() for process in real),
            real_mb=max((process.resident_mb() for process in real), default=0.0),
        )

    # ---- hollow schedulers ----

    def _make_host(self, number: int) -> ChildProcess:
        first = number * self.point.edges // self.point.hosts
        end = (number + 1) * self.point.edges // self.point.hosts
        seeds = tuple(
            internal_address_of(self.layout, seed) for seed in range(min(SEEDS, self.point.control))
        )
        plan = HollowPlan(seeds, first, end - first, self.point.load_size, str(self._result_path(number)))
        plan_path = self.folder / f"hollow-{number}.json"
        plan_path.write_bytes(msgspec.json.encode(plan))
        return ChildProcess(f"hollow-{number}", HOLLOW_MODULE, (str(plan_path),), self.folder)

    def _result_path(self, number: int) -> Path:
        return self.folder / f"hollow-{number}-result.json"

    async def _stop_hosts(self) -> None:
        for host in self.hosts:
            host.terminate()
        for host in self.hosts:
            await asyncio.to_thread(host.wait, HOST_STOP_TIMEOUT_S)

    async def _results(self) -> list[HollowResult]:
        await self._stop_hosts()
        return [self._read_result(number) for number in range(self.point.hosts)]

    def _read_result(self, number: int) -> HollowResult:
        path = self._result_path(number)
        if not path.exists():
            raise FleetStartError(f"hollow process {number} gave no result:\n{self.hosts[number].log_tail()}")
        return msgspec.json.decode(path.read_bytes(), type=HollowResult)

    # ---- figures ----

    def _figures(self, results: list[HollowResult], start_s: float, memory: float) -> RunFigures:
        first, last = self.phases[0].begin.at, self.phases[-1].end.at
        ends = [at for result in results for at in result.meter.session_ends if first <= at <= last]
        return RunFigures(
            point=self.point,
            start_s=round(start_s, 2),
            settle_s=round(settled_after(results, self.lost_at), 2),
            hollow_mb=round(memory, 3),
            sessions_lost=len(ends),
            end_causes=dict(sum((Counter(result.meter.end_causes) for result in results), Counter())),
            phases=[self._phase_figures(phase, results) for phase in self.phases],
            changes=[*self._all_changes(results), self._list_figures(results)],
        )

    def _phase_figures(self, phase: Phase, results: list[HollowResult]) -> PhaseFigures:
        begin, end = phase.begin, phase.end
        seconds = end.at - begin.at
        pairs = zip(begin.control_cpu, end.control_cpu, strict=True)
        shares = [100 * (after - before) / seconds for before, after in pairs]
        traffic = [bytes_between(result.traffic, begin.at, end.at) for result in results]
        edge_seconds = seconds * self.point.edges
        return PhaseFigures(
            phase=phase.name,
            seconds=round(seconds, 2),
            control_cpu=round(sum(shares), 2),
            control_cpu_worst=round(max(shares), 2),
            control_mb_worst=round(max(end.control_mb), 1),
            edge_in_bps=round(sum(into for into, _ in traffic) / edge_seconds),
            edge_out_bps=round(sum(out for _, out in traffic) / edge_seconds),
            hollow_cpu=round(100 * (end.hollow_cpu - begin.hollow_cpu) / edge_seconds, 3),
            real_cpu=round(
                100 * (end.real_cpu - begin.real_cpu) / seconds / max(1, self.point.real_edges), 2
            ),
            real_mb=round(end.real_mb, 1),
        )

    def _all_changes(self, results: list[HollowResult]) -> list[ChangeFigures]:
        names = dict.fromkeys(change.phase for change in self.changes)
        return [self._change_figures(name, results) for name in names]

    def _list_figures(self, results: list[HollowResult]) -> ChangeFigures:
        """From the first scheduler that has a new list of workers to the others."""
        phase = next(phase for phase in self.phases if phase.name == LIST_PHASE)
        spreads = []
        for arrivals in list_arrivals(results).values():
            if min(arrivals) > phase.begin.at:
                spreads.append(delays(arrivals, min(arrivals), self.point.edges))
        return ChangeFigures(LIST_PHASE, len(spreads), delays((), 0.0, 0), worst_of(spreads))

    def _change_figures(self, name: str, results: list[HollowResult]) -> ChangeFigures:
        changes = [change for change in self.changes if change.phase == name]
        waits = [change.acknowledged_at - change.sent_at for change in changes]
        return ChangeFigures(
            phase=name,
            changes=len(changes),
            acknowledged=delays(waits, 0.0, len(changes)),
            in_force=worst_of([self._in_force(change, results) for change in changes]),
        )

    def _in_force(self, change: Change, results: list[HollowResult]) -> Delays:
        """A scheduler that went past a version has it in force when the next one is."""
        arrivals = arrivals_of(results, change.generation)
        later = change.generation
        while len(arrivals) < self.point.edges and later < self.document["generation"]:
            later += 1
            arrivals += arrivals_of(results, later)[: self.point.edges - len(arrivals)]
        return delays(arrivals, change.sent_at, self.point.edges)


def long_configuration(routes: int) -> Document:
    """A configuration with this many routes."""
    document = configuration(request_kinds(1.0))
    sample = document["routes"][0]
    for number in range(len(document["routes"]), routes):
        route: Route = {**sample}
        route["name"] = f"route-{number}"
        route["hostname"] = HOSTNAME
        route["path_prefix"] = f"/tenant-{number}/"
        route["timeout_ms"] = ROUTE_TIMEOUT_MS
        document["routes"].append(route)
    return document


def hollow_worker(layout: Layout, number: int) -> ListedWorker:
    """An entry of the list behind which there is nothing."""
    profile = WorkerProfile(
        instance_id=f"i-{number:08x}",
        upstream=MODEL_UPSTREAM,
        address=layout.worker(number),
        zone=zone_of(number),
        capacity=64,
        models=("m",),
    )
    return listed(profile, WorkerState.UP)
