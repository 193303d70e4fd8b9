"""A run of an emulated fleet under load, and its report."""

from __future__ import annotations

import asyncio
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path

from msgspec import Struct

from reedspoke.lab.fleet_emulator.client import Client
from reedspoke.lab.fleet_emulator.client_pool import ClientPool
from reedspoke.lab.fleet_emulator.faults import NO_FAULTS, FaultShares
from reedspoke.lab.fleet_emulator.fleet import Fleet
from reedspoke.lab.fleet_emulator.ingress import Ingress
from reedspoke.lab.fleet_emulator.layout import (
    HEALTH_PATH,
    LIST_LAG_MS,
    MODEL_UPSTREAM,
    PLAIN_UPSTREAM,
    Layout,
    configuration,
    draw_layout,
    encode_configuration,
    request_kinds,
    zone_of,
)
from reedspoke.lab.fleet_emulator.ledger import Findings, Ledger
from reedspoke.lab.fleet_emulator.model_worker import ModelWorker
from reedspoke.lab.fleet_emulator.plain_worker import PlainWorker
from reedspoke.lab.fleet_emulator.process import FleetProcess
from reedspoke.lab.fleet_emulator.tally import KindFigures, Tally
from reedspoke.lab.fleet_emulator.worker import EmulatedWorker, WorkerProfile
from reedspoke.lab.fleet_emulator.worker_list import (
    ListedWorker,
    RateLimit,
    WorkerListServer,
    WorkerRegistry,
    listed,
)
from reedspoke.lab.fleet_emulator.workload import Workload

MODEL_CAPACITY = 16
PLAIN_CAPACITY = 6
PLAIN_SHARE = 3  # one worker in so many has no model


class Options(Struct, frozen=True):
    """Size of a run."""

    control: int = 3
    edges: int = 2
    workers: int = 4
    seconds: float = 8.0
    per_s: float = 40.0
    seed: int = 1
    faults: FaultShares = NO_FAULTS


class ProcessFigures(Struct, frozen=True):
    """What one process used: since its start in s, and under load in percent of a core."""

    name: str
    cpu_s: float
    load_cpu: float
    resident_mb: float
    running: bool


class Report(Struct):
    """Result of a run."""

    kinds: list[KindFigures]
    findings: Findings
    mixed: list[str]
    causes: dict[str, int]
    repeats: int
    list_calls: int
    probes: int
    processes: list[ProcessFigures]
    start_s: float

    def sound(self) -> bool:
        """Whether no rule was broken and every process still ran at the end."""
        alive = all(process.running for process in self.processes)
        return alive and not self.mixed and not self.findings.any()


class EmulatedWorkers:
    """The workers of a run and the platform's list of them."""

    def __init__(self, layout: Layout, options: Options, ledger: Ledger) -> None:
        self.workers = [make_worker(layout, number, options, ledger) for number in range(options.workers)]
        self.registry = WorkerRegistry(LIST_LAG_MS / 1000, time.monotonic)
        limit = RateLimit(layout.list_rate_per_s, time.monotonic)
        self.server = WorkerListServer(layout.platform(), self.registry, limit)

    async def __aenter__(self) -> EmulatedWorkers:
        for worker in self.workers:
            await worker.open()
        self.publish()
        await self.server.open()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.server.close()
        for worker in self.workers:
            await worker.close()

    def publish(self) -> None:
        """Tell the platform's list the state of every worker."""
        entries: dict[str, ListedWorker] = {}
        for worker in self.workers:
            entries[worker.profile.instance_id] = listed(worker.profile, worker.state)
        self.registry.change(entries)


def make_worker(layout: Layout, number: int, options: Options, ledger: Ledger) -> EmulatedWorker:
    """Worker `number`; the last of each group of three has no model."""
    plain = number % PLAIN_SHARE == PLAIN_SHARE - 1
    profile = WorkerProfile(
        instance_id=f"i{options.seed:x}w{number}",
        upstream=PLAIN_UPSTREAM if plain else MODEL_UPSTREAM,
        address=layout.worker(number),
        zone=zone_of(number),
        capacity=PLAIN_CAPACITY if plain else MODEL_CAPACITY,
        health_path=HEALTH_PATH,
        models=() if plain else ("m",),
    )
    seed = options.seed * 1000 + number
    if plain:
        return PlainWorker(profile, ledger, faults=options.faults, seed=seed)
    return ModelWorker(profile, ledger, faults=options.faults, seed=seed)


async def run(options: Options) -> Report:
    """Start a fleet, load it, stop it."""
    with tempfile.TemporaryDirectory(prefix="reedspoke-fleet-") as folder:
        return await run_in(Path(folder), options)


async def run_in(folder: Path, options: Options) -> Report:
    """The same, with logs and settings files in a folder that is kept."""
    layout, ledger, tally = draw_layout(), Ledger(), Tally()
    fleet = Fleet(layout, options.control, options.edges, folder)
    kinds = request_kinds(options.per_s)
    async with AsyncExitStack() as stack:
        workers = await stack.enter_async_context(EmulatedWorkers(layout, options, ledger))
        stack.push_async_callback(fleet.stop)
        begun = time.monotonic()
        fleet.start()
        await fleet.send_configuration(encode_configuration(configuration(kinds)), match=0)
        await fleet.wait_ready()
        start_s = time.monotonic() - begun
        before = [cpu_seconds(process) for process in fleet.processes]
        load_begun = time.monotonic()
        await load(fleet, Workload(kinds, options.seed), ledger, tally, options)
        load_s = time.monotonic() - load_begun
        pairs = zip(fleet.processes, before, strict=True)
        processes = [process_figures(process, used, load_s) for process, used in pairs]
    return Report(
        kinds=tally.figures(),
        findings=ledger.findings(),
        mixed=tally.mixed,
        causes=dict(tally.causes),
        repeats=ledger.repeats(),
        list_calls=workers.server.calls,
        probes=sum(worker.probes for worker in workers.workers),
        processes=processes,
        start_s=round(start_s, 2),
    )


async def load(fleet: Fleet, workload: Workload, ledger: Ledger, tally: Tally, options: Options) -> None:
    """Play the workload against the data plane."""
    ingress = Ingress(fleet.edge_addresses, options.seed)
    await ingress.look()
    polling = asyncio.create_task(ingress.run())
    pool = ClientPool(ingress)
    try:
        await Client(pool, ledger, tally, options.seed).run(workload, options.seconds)
    finally:
        polling.cancel()
        await asyncio.gather(polling, return_exceptions=True)
        pool.close()


def cpu_seconds(process: FleetProcess) -> float:
    """Processor time so far, 0 for a process that has ended."""
    return process.cpu_seconds() if process.running() else 0.0


def process_figures(process: FleetProcess, used_before: float, load_s: float) -> ProcessFigures:
    """What a process has used so far, and since `used_before` was read, `load_s` ago."""
    if not process.running():
        return ProcessFigures(process.name, 0.0, 0.0, 0.0, running=False)
    used = process.cpu_seconds()
    load_cpu = round(100 * (used - used_before) / load_s, 1)
    return ProcessFigures(process.name, used, load_cpu, round(process.resident_mb(), 1), running=True)
