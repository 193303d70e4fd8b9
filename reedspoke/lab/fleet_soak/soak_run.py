"""One run: a fleet under load, the troubles of a plan, then calm, and what was found."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import AsyncExitStack, contextmanager
from pathlib import Path
from typing import TextIO

from msgspec import Struct

from reedspoke.lab.fleet_emulator.client import Client, FailedTry
from reedspoke.lab.fleet_emulator.client_pool import ClientPool
from reedspoke.lab.fleet_emulator.ingress import Ingress, is_ready
from reedspoke.lab.fleet_emulator.layout import (
    configuration,
    draw_layout,
    encode_configuration,
    request_kinds,
    route_for,
)
from reedspoke.lab.fleet_emulator.ledger import Ledger
from reedspoke.lab.fleet_emulator.tally import Outcome, Tally
from reedspoke.lab.fleet_emulator.workload import KeyUse, RequestKind, Workload
from reedspoke.lab.fleet_soak.applications import TALLIES, Application
from reedspoke.lab.fleet_soak.evacuations import EVACUATE_S, ZONE, EvacuationOperator, ZoneOrderSent
from reedspoke.lab.fleet_soak.figures_reader import evaluations_in, figures_of, value_in
from reedspoke.lab.fleet_soak.findings import suspect_lines, unexplained
from reedspoke.lab.fleet_soak.history import History, Order, Verdict
from reedspoke.lab.fleet_soak.nuisance_clients import NuisanceClient
from reedspoke.lab.fleet_soak.operators import Operator
from reedspoke.lab.fleet_soak.plan import Plan, overlapping, write_plan
from reedspoke.lab.fleet_soak.relay import Relay
from reedspoke.lab.fleet_soak.soak_fleet import SoakFleet, SoakProcess
from reedspoke.lab.fleet_soak.soak_tenants import CALM_KEYS, TROUBLED_KEYS, quota_problems, tenants
from reedspoke.lab.fleet_soak.soak_workers import SoakWorkers
from reedspoke.lab.fleet_soak.tally_history import TallyHistory
from reedspoke.lab.fleet_soak.troubles import Troubles

OPERATORS = 2
START_S = 20.0
RECOVERY_S = 12.0  # after the last trouble, as the deployments promise
APPLY_S = 2.0
CALM_S = 2.5  # of load that has to be served once all is well again
LEAST_SERVED = 0.9  # of the requests then
READS_S = 1.0  # for which every machine is asked at the end
PAUSE_S = 0.1
IDLE_S = 8.0  # until nothing may be held any more
FIRST, CALM_SEED, NUISANCE_SEED = 1, 7919, 104_729  # far apart: attempt ids are drawn from them
EVACUATION_SEED = 15_485_863


class SoakReport(Struct):
    """What a run showed."""

    seed: int
    seconds: float
    problems: list[str]
    played: dict[str, int]
    skipped: dict[str, int]
    overlapping: int
    operators: dict[str, int]
    outcomes: dict[str, int]
    evaluations: dict[str, int]
    carried: int
    nuisances: int
    recovery_s: float
    failed_tries: int
    tallies: dict[str, int]
    evacuations: dict[str, int]


class SoakRun:
    """Everything of one run; logs, settings and disks lie in `folder`."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.problems: list[str] = []
        self._kinds = request_kinds(plan.per_s)
        self._ledger, self._tally, self._calm_tally = Ledger(), Tally(), Tally()
        self._history = History()
        self._tallies = TallyHistory()
        self._evaluations: Counter[str] = Counter()
        layout = draw_layout()
        self._relay = Relay(lambda address: self._fleet.machine_of(address))
        self._layout = layout
        self._workers = SoakWorkers(layout, plan.workers, plan.seed, self._ledger)
        self._begun = time.monotonic()
        self._recovery_s = 0.0
        self._failed_tries: list[FailedTry] = []
        self._evacuations = EvacuationOperator(lambda: self._fleet.seeds, plan.seed + EVACUATION_SEED)
        self._last_evacuation: ZoneOrderSent | None = None

    async def play(self) -> SoakReport:
        """Start, trouble, calm, stop, judge."""
        write_plan(self.plan, self.folder / "plan.json")
        async with AsyncExitStack() as stack:
            await self._relay.open()
            stack.push_async_callback(self._relay.close)
            self._fleet = SoakFleet(
                self._layout, self.plan.control, self.plan.edges, self.folder, self._relay.endpoint
            )
            await self._workers.open()
            stack.push_async_callback(self._workers.close)
            stack.push_async_callback(self._fleet.stop)
            with (self.folder / "troubles.txt").open("w") as told:
                troubles = Troubles(
                    self.plan,
                    self._fleet,
                    self._workers,
                    self._relay,
                    self._tallies,
                    lambda text: self._tell(told, text),
                )
                await self._start()
                nuisances = await self._troubled(troubles)
                await self._calm()
        self._judge(troubles)
        return self._report(troubles, nuisances)

    def _tell(self, told: TextIO, text: str) -> None:
        print(f"{time.monotonic() - self._begun:7.2f} {text}", file=told, flush=True)

    # ---- parts of a run ----

    async def _start(self) -> None:
        for process in self._fleet.processes:
            process.start()
        first = self._operator("first", FIRST)
        async with asyncio.timeout(START_S):
            while (await first.change()).verdict is not Verdict.ACKNOWLEDGED:
                await asyncio.sleep(PAUSE_S)
            for edge in self._fleet.edge_addresses:
                while not await is_ready(edge.readiness):
                    await asyncio.sleep(PAUSE_S)

    async def _troubled(self, troubles: Troubles) -> int:
        """Load, nuisances, operators and troubles at once. The number of connections of nuisances."""
        nuisance = NuisanceClient(
            lambda: tuple(edge.frontend for edge in self._fleet.edge_addresses),
            Workload(self._kinds, self.plan.seed + 1, TROUBLED_KEYS),
            self._ledger,
            self.plan.seed + NUISANCE_SEED,
        )
        seeds = [self.plan.seed * 10 + number for number in range(OPERATORS)]
        beside = [self._operator(f"operator-{seed}", seed).run() for seed in seeds]
        applications = [self._application(number).run() for number in range(self.plan.applications)]
        beside.append(self._evacuations.run())
        with background(nuisance.run(), *beside, *applications, self._watch_processes()):
            load = asyncio.create_task(
                self._load(self._tally, self.plan.seed, self.plan.seconds, TROUBLED_KEYS)
            )
            await troubles.run()
            await self._until_well()
            await load
        return nuisance.connections

    async def _load(self, tally: Tally, seed: int, seconds: float, keys: tuple[KeyUse, ...]) -> None:
        ingress = Ingress(self._fleet.edge_addresses, seed)
        await ingress.look()
        pool = ClientPool(ingress)
        with background(ingress.run()):
            client = Client(pool, self._ledger, tally, seed)
            await client.run(Workload(self._kinds, seed, keys), seconds)
        self._failed_tries += client.failed_tries
        pool.close()

    async def _watch_processes(self) -> None:
        """Note the processes that end by themselves, and add up the figures of those that live."""
        while True:
            for process in self._fleet.processes:
                if process.has_ended_itself():
                    process.wanted = False
                    self.problems.append(f"{process.name} ended by itself with {process.exit_status()}")
            await asyncio.sleep(PAUSE_S)

    async def _until_well(self) -> None:
        """After the last trouble a change is acknowledged and in force everywhere, in time."""
        begun = time.monotonic()
        operator = self._operator("last", self.plan.seed)
        try:
            async with asyncio.timeout(RECOVERY_S):
                while (order := await operator.change()).verdict is not Verdict.ACKNOWLEDGED:
                    await asyncio.sleep(PAUSE_S)
        except TimeoutError:
            self.problems.append(f"no change was acknowledged in {RECOVERY_S:g} s after the last trouble")
            return
        self._recovery_s = time.monotonic() - begun
        await self._in_force(order)

    async def _in_force(self, order: Order) -> None:
        until = max(order.decided_at + APPLY_S, time.monotonic() + APPLY_S)
        behind = list(self._fleet.edges)
        while behind and time.monotonic() < until:
            behind = [edge for edge in behind if await self._generation(edge) < order.generation]
            await asyncio.sleep(PAUSE_S)
        for edge in behind:
            held = await self._generation(edge)
            self.problems.append(f"{edge.name} holds {held}, not {order.generation}, {APPLY_S:g} s later")

    async def _generation(self, edge: SoakProcess) -> int:
        return int(value_in(await figures_of(edge), "reedspoke_configuration_generation") or 0)

    async def _calm(self) -> None:
        """Load without troubles, then every machine is read, and then nothing may be held any more."""
        await self._order_evacuation()
        await self._load(self._calm_tally, self.plan.seed + CALM_SEED, CALM_S, CALM_KEYS)
        reader = self._operator("reader", FIRST)
        until = time.monotonic() + READS_S
        while time.monotonic() < until:
            for address in self._fleet.seeds:
                await reader.read(address)
            await asyncio.sleep(PAUSE_S)
        await self._read_tallies()
        for edge in self._fleet.edges:
            await self._until_idle(edge)
        for process in self._fleet.processes:
            self._evaluations += evaluations_in(await figures_of(process))

    def _application(self, number: int) -> Application:
        seed = self.plan.seed * 100 + number
        return Application(self._tallies, lambda: self._fleet.seeds, self._fleet.life_of, seed)

    async def _order_evacuation(self) -> None:
        """The orders that were sent so far are in force as they should be; send a last one."""
        self.problems += await self._evacuations.problems_at_the_end()
        evacuated = self.plan.seed % 2 == 0
        self._last_evacuation = await self._evacuations.order(evacuated=evacuated, gives_up=False)
        if self._last_evacuation.acknowledged_at is None:
            self.problems.append("the last order on the zone was not acknowledged in time")
            return
        self.problems += await self._evacuations.problems_at_the_end()
        await asyncio.sleep(max(0.0, self._last_evacuation.acknowledged_at + EVACUATE_S - time.monotonic()))

    def _late_runs(self) -> list[str]:
        """The attempts that reached the zone after its last evacuation had to be obeyed."""
        order = self._last_evacuation
        if order is None or order.acknowledged_at is None or not order.evacuated:
            return []
        since = order.acknowledged_at + EVACUATE_S
        return [
            run.attempt_id
            for runs in self._ledger.runs.values()
            for run in runs
            if run.at > since and self._workers.zones.get(run.instance_id) == ZONE
        ]

    async def _read_tallies(self) -> None:
        """Every machine reads every tally; by now nothing has been wrong for longer than merging takes."""
        reader = self._application(self.plan.applications)
        totals: dict[str, dict[str, int | None]] = {
            tally: {address: await reader.read_at(address, tally) for address in self._fleet.seeds}
            for tally in TALLIES
        }
        self.problems += self._tallies.problems_at_the_end(totals)

    async def _until_idle(self, edge: SoakProcess) -> None:
        until = time.monotonic() + IDLE_S
        while (held := value_in(await figures_of(edge), "reedspoke_open_requests")) != 0:
            if time.monotonic() > until:
                self.problems.append(f"{edge.name} holds {held} requests {IDLE_S:g} s after the last")
                return
            await asyncio.sleep(PAUSE_S)

    def _operator(self, name: str, seed: int) -> Operator:
        return Operator(name, self._history, lambda: self._fleet.seeds, self._document, seed)

    def _document(self, generation: int, text: str) -> bytes:
        """A configuration that only its last route tells from others."""
        made = configuration(self._kinds, generation)
        marker = RequestKind("marker", "marker.example", f"/{text}/", "idempotent", PLAIN, 0.0)
        made["routes"].append(route_for(marker, 0))
        made["tenants"] = tenants(generation)
        return encode_configuration(made)

    # ---- judgement ----

    def _judge(self, troubles: Troubles) -> None:
        findings = self._ledger.findings()
        for name, count in findings.counts().items():
            if count:
                self.problems.append(f"{name}: {count}, {getattr(findings, name)[:5]}")
        self.problems += [f"mixed: {text}" for text in self._tally.mixed + self._calm_tally.mixed]
        self.problems += self._history.problems() + troubles.unclean_ends + self._tallies.problems()
        self.problems += quota_problems(self._ledger)
        if late := self._late_runs():
            self.problems.append(f"EVAC: {len(late)} requests reached the evacuated zone, {late[:5]}")
        asked = self._calm_tally.requests
        served = self._calm_tally.total(Outcome.SERVED) + self._calm_tally.total(Outcome.LATE)
        if asked and served < LEAST_SERVED * asked:
            causes = dict(self._calm_tally.causes)
            self.problems.append(f"{served} of {asked} requests served after all troubles: {causes}")
        for log in sorted(self.folder.glob("*.log")):
            self.problems += [f"{log.stem}: {line}" for line in suspect_lines(log)]
        ends = {edge.settings.bind.frontend: edge.ends for edge in self._fleet.edges}
        self.problems += unexplained(self.folder, self._failed_tries, ends)

    def _report(self, troubles: Troubles, nuisances: int) -> SoakReport:
        outcomes = {outcome.value: self._tally.total(outcome) for outcome in Outcome}
        return SoakReport(
            seed=self.plan.seed,
            seconds=round(time.monotonic() - self._begun, 1),
            problems=self.problems,
            played=dict(troubles.played),
            skipped=dict(troubles.skipped),
            overlapping=overlapping(self.plan.troubles),
            operators=self._history.counts(),
            outcomes=outcomes,
            evaluations=dict(self._evaluations),
            carried=self._relay.carried,
            nuisances=nuisances,
            recovery_s=round(self._recovery_s, 2),
            failed_tries=len(self._failed_tries),
            tallies=self._tallies.counts(),
            evacuations=self._evacuations.counts(),
        )


PLAIN = frozenset(("plain-pool",))


@contextmanager
def background(*doing: object) -> Iterator[None]:
    """Run these beside the block, and cancel them at its end."""
    tasks = [asyncio.ensure_future(item) for item in doing]  # type: ignore[call-overload]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
