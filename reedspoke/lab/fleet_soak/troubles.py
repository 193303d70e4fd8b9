"""Brings the troubles of a plan about, each in a task of its own, so that they overlap."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from random import Random
from typing import TypeVar

from reedspoke.lab.fleet_soak.disk_layer import FULL, NONE, SLOW, STALL
from reedspoke.lab.fleet_soak.plan import Kind, Plan, Trouble
from reedspoke.lab.fleet_soak.relay import Relay, Way
from reedspoke.lab.fleet_soak.soak_fleet import MOST_SEEDS, SoakFleet, SoakProcess
from reedspoke.lab.fleet_soak.soak_workers import SoakWorkers
from reedspoke.lab.fleet_soak.tally_history import DiskLoss, TallyHistory, Unsettled

CATCH_UP_S = 5.0  # without trouble at a control machine, after a disk was lost and before another may be
WRONG_SEEDS_S = 3.0
RESTART_S = 0.2
HUP_COUNT = 5
BETWEEN_CUTS_S = 0.3

Thing = TypeVar("Thing")


class Troubles:
    """Carries a plan out. `log` is told what is done."""

    def __init__(
        self,
        plan: Plan,
        fleet: SoakFleet,
        workers: SoakWorkers,
        relay: Relay,
        tallies: TallyHistory,
        log: Callable[[str], None],
    ) -> None:
        self.played: Counter[str] = Counter()
        self.skipped: Counter[str] = Counter()
        self.unclean_ends: list[str] = []
        self._tallies = tallies
        self._plan = plan
        self._fleet = fleet
        self._workers = workers
        self._relay = relay
        self._log = log
        self._random = Random(plan.seed ^ 0x5EED)
        self._control_unsettled_at = (
            time.monotonic()
        )  # the last moment at which a control machine was in trouble
        self._control_in_trouble = 0
        self._disk_missing = False  # a disk was lost, and its successor may not have caught up
        self._busy: set[str] = set()  # processes that are being ended or started

    async def run(self) -> None:
        """Until every trouble of the plan is over."""
        begun = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for trouble in self._plan.troubles:
                await asyncio.sleep(max(0.0, begun + trouble.at_s - time.monotonic()))
                group.create_task(self._play(trouble))

    async def _play(self, trouble: Trouble) -> None:
        played = await self._ways()[trouble.kind](trouble)
        counter = self.played if played else self.skipped
        counter[trouble.kind.value] += 1

    def _ways(self) -> dict[Kind, Callable[[Trouble], Awaitable[bool]]]:
        return {
            Kind.PAUSE_CONTROL: lambda trouble: self._pause(self._control(trouble), trouble),
            Kind.PAUSE_EDGE: lambda trouble: self._pause(self._edge(trouble), trouble),
            Kind.KILL_CONTROL: lambda trouble: self._kill(self._control(trouble), trouble),
            Kind.KILL_EDGE: lambda trouble: self._kill(self._edge(trouble), trouble),
            Kind.POWER_CONTROL: lambda trouble: self._lose_power([self._control(trouble)], trouble),
            Kind.POWER_ALL: lambda trouble: self._lose_power(list(self._fleet.control), trouble),
            Kind.TERM_CONTROL: lambda trouble: self._terminate(self._control(trouble), trouble),
            Kind.TERM_EDGE: lambda trouble: self._terminate(self._edge(trouble), trouble),
            Kind.HUP: self._hang_up,
            Kind.CUT_CONTROL: lambda trouble: self._cut_control(trouble, 1, both=True),
            Kind.CUT_ONE_WAY: lambda trouble: self._cut_control(trouble, 1, both=False),
            Kind.CUT_HALVES: lambda trouble: self._cut_control(
                trouble, len(self._fleet.control) // 2, both=True
            ),
            Kind.CUT_EDGE: self._cut_edge,
            Kind.CUT_WORKER: self._cut_worker,
            Kind.RESET: self._reset,
            Kind.DISK_FULL: lambda trouble: self._trouble_disk(trouble, FULL),
            Kind.DISK_SLOW: lambda trouble: self._trouble_disk(trouble, SLOW),
            Kind.DISK_STALL: lambda trouble: self._trouble_disk(trouble, STALL),
            Kind.DISK_LOST: lambda trouble: self._lose_disk(trouble, with_power=False),
            Kind.DISK_LOST_POWER_ALL: lambda trouble: self._lose_disk(trouble, with_power=True),
            Kind.REPLACE: lambda trouble: self._replace(trouble, planned=False),
            Kind.REPLACE_PLANNED: lambda trouble: self._replace(trouble, planned=True),
            Kind.WORKER_DARK: lambda trouble: self._worker(
                self._workers.fall_silent(self._place(trouble), trouble.for_s), trouble
            ),
            Kind.WORKER_CRASH: lambda trouble: self._worker(
                self._workers.crash(self._place(trouble), trouble.for_s), trouble
            ),
            Kind.WORKER_DRAIN: lambda trouble: self._worker(
                self._workers.replace(self._place(trouble)), trouble
            ),
            Kind.PLATFORM_DOWN: self._stop_platform,
            Kind.TERM_ROLL: self._roll,
            Kind.HUP_SERIES: self._hang_up_in_series,
            Kind.KILL_ALL: self._kill_all,
            Kind.CUT_LONG: self._cut_twice,
        }

    # ---- whom it befalls ----

    def _control(self, trouble: Trouble) -> SoakProcess:
        return picked(self._fleet.control, trouble)

    def _edge(self, trouble: Trouble) -> SoakProcess:
        return picked(self._fleet.edges, trouble)

    def _place(self, trouble: Trouble) -> int:
        return trouble.pick % len(self._workers.places)

    # ---- processes ----

    async def _pause(self, process: SoakProcess, trouble: Trouble) -> bool:
        if not process.running():
            return False
        starts = process.starts
        with self._unsettling(process):
            self._log(f"pause {process.name} for {trouble.for_s:.2f} s")
            process.pause()
            await asyncio.sleep(trouble.for_s)
            if process.starts == starts:
                process.go_on()
        return True

    async def _kill(self, process: SoakProcess, trouble: Trouble) -> bool:
        if not self._take(process):
            return False
        with self._unsettling(process):
            self._log(f"kill {process.name} for {trouble.for_s:.2f} s")
            await asyncio.to_thread(process.kill)
            await self._start_again(process, trouble.for_s)
        return True

    async def _terminate(self, process: SoakProcess, trouble: Trouble) -> bool:
        if not self._take(process):
            return False
        with self._unsettling(process):
            self._log(f"SIGTERM {process.name}")
            has_entered = process.has_entered()
            status = await process.end()
            if status != 0 and (has_entered or status != -signal.SIGTERM):
                self.unclean_ends.append(f"{process.name} ended with {status} after SIGTERM")
            await self._start_again(process, min(trouble.for_s, 1.0))
        return True

    async def _roll(self, trouble: Trouble) -> bool:
        """Each machine after the other, without waiting until the one before has caught up."""
        processes = list(self._fleet.processes)
        results = [await self._terminate(process, trouble) for process in processes]
        return any(results)

    async def _hang_up_in_series(self, trouble: Trouble) -> bool:
        process = picked(self._fleet.processes, trouble)
        self._log(f"{HUP_COUNT} SIGHUP to {process.name}, then SIGTERM")
        for _ in range(HUP_COUNT):
            reload_settings(process)
            await asyncio.sleep(trouble.for_s / HUP_COUNT / 10)
        return await self._terminate(process, trouble)

    async def _kill_all(self, trouble: Trouble) -> bool:
        taken = [process for process in self._fleet.processes if self._take(process)]
        self._log(f"kill {len(taken)} processes at once")
        with self._unsettling(*taken):
            for process in taken:
                process.send_signal(signal.SIGSTOP)  # all at one moment
            await asyncio.gather(*(asyncio.to_thread(process.kill) for process in taken))
            await asyncio.gather(*(self._start_again(process, min(trouble.for_s, 1.0)) for process in taken))
        return bool(taken)

    async def _cut_twice(self, trouble: Trouble) -> bool:
        count = max(1, len(self._fleet.control) // 2)
        await self._cut_control(trouble, count, both=True)
        await asyncio.sleep(BETWEEN_CUTS_S)
        return await self._cut_control(trouble, count, both=True)

    async def _lose_power(self, processes: list[SoakProcess], trouble: Trouble) -> bool:
        taken = [process for process in processes if self._take(process)]
        with self._unsettling(*taken):
            for process in taken:
                process.send_signal(signal.SIGSTOP)  # all at one moment
            for process in taken:
                kept = await asyncio.to_thread(process.lose_power, self._random)
                self._log(f"power loss of {process.name}; of unsynced writes it kept {kept}")
            await asyncio.sleep(trouble.for_s)
            await asyncio.gather(*(self._start_again(process, 0.0) for process in taken))
        return bool(taken)

    async def _lose_disk(self, trouble: Trouble, *, with_power: bool) -> bool:
        victim = self._control(trouble)
        if not self._may_lose_disk() or not self._take(victim):
            return False
        self._disk_missing = True
        with self._unsettling(victim):
            self._log(f"disk of {victim.name} is lost{', all others lose power' if with_power else ''}")
            others = [process for process in self._fleet.control if process is not victim]
            if with_power:
                for process in (victim, *others):
                    process.send_signal(signal.SIGSTOP)
            self._disk_is_lost(victim)
            await asyncio.to_thread(victim.lose_disk)
            if with_power:
                await self._lose_power(others, trouble)
            await self._start_again(victim, trouble.for_s)
        return True

    async def _replace(self, trouble: Trouble, *, planned: bool) -> bool:
        victim = self._control(trouble)
        if not self._may_lose_disk() or not self._take(victim):
            return False
        self._disk_missing = True
        with self._unsettling(victim):
            self._log(f"{victim.name} is replaced{', the new one first' if planned else ''}")
            if not planned:
                self._disk_is_lost(victim)
            if planned:
                self._fleet.add_control().start()
                await asyncio.sleep(1.0 + trouble.for_s)
                self._disk_is_lost(victim)
                if await victim.end() != 0:
                    self.unclean_ends.append(f"{victim.name} had to be killed as it was replaced")
                self._fleet.remove_control(victim)
            else:
                await asyncio.to_thread(victim.kill)
                self._fleet.remove_control(victim)
                await asyncio.sleep(trouble.for_s)
                self._fleet.add_control().start()
            self._tell_seeds(self._random.random() < 0.5)
        return True

    def _disk_is_lost(self, victim: SoakProcess) -> None:
        address = victim.settings.bind.control_plane
        self._tallies.disk_losses.append(DiskLoss(address, time.monotonic()))

    async def _hang_up(self, trouble: Trouble) -> bool:
        process = picked(self._fleet.processes, trouble)
        seeds = self._fleet.seeds[:MOST_SEEDS]
        wrong = tuple(seed.rpartition(":")[0] + ":9" for seed in seeds)
        process.change_settings(seed_nodes=wrong if trouble.pick % 3 == 0 else seeds[:1])
        self._log(f"SIGHUP {process.name} with seeds {process.settings.seed_nodes}")
        reload_settings(process)
        await asyncio.sleep(WRONG_SEEDS_S)
        process.change_settings(seed_nodes=self._fleet.seeds[:MOST_SEEDS])
        reload_settings(process)
        return True

    def _tell_seeds(self, by_signal: bool) -> None:
        for process in self._fleet.processes:
            process.change_settings(seed_nodes=self._fleet.seeds[:MOST_SEEDS])
            if by_signal:
                reload_settings(process)

    def _take(self, process: SoakProcess) -> bool:
        """Whether the process may be ended now; whoever takes it starts it again or removes it."""
        if process.name in self._busy or not process.wanted:
            return False
        self._busy.add(process.name)
        return True

    async def _start_again(self, process: SoakProcess, seconds: float) -> None:
        await asyncio.sleep(max(RESTART_S, seconds))
        if process.is_control:
            process.change_settings(bootstrap=False)
        process.change_settings(seed_nodes=self._fleet.seeds[:MOST_SEEDS])
        process.start()
        self._busy.discard(process.name)

    # ---- ways and disks ----

    async def _cut_control(self, trouble: Trouble, count: int, *, both: bool) -> bool:
        names = [process.name for process in self._fleet.control]
        start = trouble.pick % len(names)
        inside = [names[(start + number) % len(names)] for number in range(max(1, count))]
        ways = [Way(one, other) for one in inside for other in names if other not in inside]
        self._log(f"cut {inside} from the other control machines{'' if both else ', one way'}")
        with self._unsettling(*self._fleet.control):
            await self._cut(ways + [way.back() for way in ways] * both, trouble.for_s)
        return True

    async def _cut_edge(self, trouble: Trouble) -> bool:
        edge = self._edge(trouble).name
        self._log(f"cut {edge} from all control machines")
        ways = [Way(edge, process.name) for process in self._fleet.control]
        await self._cut(ways + [way.back() for way in ways], trouble.for_s)
        return True

    async def _cut_worker(self, trouble: Trouble) -> bool:
        worker = self._workers.places[self._place(trouble)]
        if worker is None:
            return False
        address = worker.profile.address
        self._log(f"cut {address} from all edge machines")
        ways = [Way(edge.name, address) for edge in self._fleet.edges]
        if trouble.pick % 2:
            ways = [way.back() for way in ways]  # its answers are lost
        await self._cut(ways, trouble.for_s)
        return True

    async def _cut(self, ways: list[Way], seconds: float) -> None:
        for way in ways:
            self._relay.cut(way)
        await asyncio.sleep(seconds)
        for way in ways:
            self._relay.join(way)

    async def _reset(self, trouble: Trouble) -> bool:
        name = picked(self._fleet.processes, trouble).name
        self._log(f"reset all connections of {name}")
        self._relay.reset(name)
        return True

    async def _trouble_disk(self, trouble: Trouble, state: str) -> bool:
        process = self._control(trouble)
        self._log(f"disk of {process.name}: {state} for {trouble.for_s:.2f} s")
        with self._unsettling(process):
            process.set_disk(state)
            await asyncio.sleep(trouble.for_s)
            process.set_disk(NONE)
        return True

    # ---- workers and platform ----

    async def _worker(self, doing: Awaitable[None], trouble: Trouble) -> bool:
        self._log(f"{trouble.kind.value} at place {self._place(trouble)}")
        await doing
        return True

    async def _stop_platform(self, trouble: Trouble) -> bool:
        if Kind.PLATFORM_DOWN.value in self._busy:
            return False
        self._busy.add(Kind.PLATFORM_DOWN.value)
        self._log("the platform's list does not answer")
        await self._workers.stop_platform(trouble.for_s)
        self._busy.discard(Kind.PLATFORM_DOWN.value)
        return True

    # ---- how many disks may be lost at a time ----

    def _may_lose_disk(self) -> bool:
        """One disk at a time, whatever else goes on: the next only after the last has surely caught up."""
        self._note_calm()
        return not self._disk_missing

    def _note_calm(self) -> None:
        calm_s = time.monotonic() - self._control_unsettled_at
        if self._control_in_trouble == 0 and calm_s >= CATCH_UP_S:
            self._disk_missing = False

    @contextmanager
    def _unsettling(self, *processes: SoakProcess) -> Iterator[None]:
        counts = any(process.is_control for process in processes)
        self._note_calm()
        self._control_in_trouble += counts
        unsettled = Unsettled(time.monotonic())
        if counts:
            self._tallies.unsettled.append(unsettled)
        try:
            yield
        finally:
            unsettled.until = time.monotonic()
            self._control_in_trouble -= counts
            if counts:
                self._control_unsettled_at = time.monotonic()


def picked(things: list[Thing], trouble: Trouble) -> Thing:
    """The one that the plan chose."""
    return things[trouble.pick % len(things)]


def reload_settings(process: SoakProcess) -> None:
    """SIGHUP; a process that has no code of its own yet reads its settings soon anyway."""
    if not process.running() or not process.has_entered():
        return
    with suppress(ProcessLookupError):  # another trouble may end it at this moment
        process.send_signal(signal.SIGHUP)
