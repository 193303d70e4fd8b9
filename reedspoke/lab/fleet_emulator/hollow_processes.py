"""The processes that share the hollow schedulers of a scale run."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import msgspec

from reedspoke.lab.fleet_emulator.fleet import FleetStartError
from reedspoke.lab.fleet_emulator.hollow_host import HollowPlan, HollowResult
from reedspoke.lab.fleet_emulator.layout import Layout, internal_address_of
from reedspoke.lab.fleet_emulator.process import ChildProcess
from reedspoke.lab.fleet_emulator.scale_figures import ScalePoint

HOLLOW_MODULE = "reedspoke.lab.fleet_emulator.hollow_host"
SEEDS = 3
STOP_TIMEOUT_S = 60.0  # a host works off what has come first


class HollowProcesses:
    """Starts and stops them, and reads what they have measured."""

    def __init__(self, point: ScalePoint, layout: Layout, folder: Path) -> None:
        self._point = point
        self._layout = layout
        self._folder = folder
        self._hosts = [self._make_host(number) for number in range(point.hosts)]

    def start(self) -> None:
        """Start all of them."""
        for host in self._hosts:
            host.start()

    def begin_load(self) -> None:
        """From now on the schedulers say that they have requests at workers."""
        for host in self._hosts:
            host.send_signal(signal.SIGUSR1)

    async def stop(self) -> None:
        """Ask all of them to end, and wait for it."""
        for host in self._hosts:
            host.terminate()
        for host in self._hosts:
            await asyncio.to_thread(host.wait, STOP_TIMEOUT_S)

    async def stop_and_read(self) -> list[HollowResult]:
        """End them; what each has measured. Raises FleetStartError where one has left nothing."""
        await self.stop()
        return [self._read_result(number) for number in range(self._point.hosts)]

    def cpu_seconds(self) -> float:
        """Processor time of all of them until now."""
        return sum(host.cpu_seconds() for host in self._hosts)

    def resident_mb_per_scheduler(self) -> float:
        """Memory of all of them, shared out among the schedulers."""
        return sum(host.resident_mb() for host in self._hosts) / self._point.edges

    def _make_host(self, number: int) -> ChildProcess:
        first = number * self._point.edges // self._point.hosts
        end = (number + 1) * self._point.edges // self._point.hosts
        seeds = tuple(
            internal_address_of(self._layout, seed) for seed in range(min(SEEDS, self._point.control))
        )
        plan = HollowPlan(seeds, first, end - first, self._point.load_size, str(self._result_path(number)))
        plan_path = self._folder / f"hollow-{number}.json"
        plan_path.write_bytes(msgspec.json.encode(plan))
        return ChildProcess(f"hollow-{number}", HOLLOW_MODULE, (str(plan_path),), self._folder)

    def _result_path(self, number: int) -> Path:
        return self._folder / f"hollow-{number}-result.json"

    def _read_result(self, number: int) -> HollowResult:
        path = self._result_path(number)
        if not path.exists():
            log_tail = self._hosts[number].log_tail()
            raise FleetStartError(f"hollow process {number} gave no result:\n{log_tail}")
        return msgspec.json.decode(path.read_bytes(), type=HollowResult)
