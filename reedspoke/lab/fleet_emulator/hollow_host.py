"""`python -m reedspoke.lab.fleet_emulator.hollow_host PLAN`: a process with many hollow schedulers.

SIGUSR1 makes them report loads, SIGTERM ends the process, which then writes what it measured.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections.abc import Iterable
from pathlib import Path

import msgspec
from msgspec import Struct, field

from reedspoke.lab.fleet_emulator.hollow_edge import HollowEdge, Meter
from reedspoke.lab.fleet_emulator.layout import zone_of

SAMPLE_S = 0.1
START_GAP_S = 0.005  # between two hollow schedulers
LONGEST_LIFE_S = 600.0
CANCEL_LOOK_S = 0.2


class HollowPlan(Struct, frozen=True):
    """What a process is to play."""

    seeds: tuple[str, ...]  # internal addresses of control schedulers
    first: int
    count: int
    load_size: int
    result_path: str


class TrafficSample(Struct, frozen=True, array_like=True):
    """Bytes so far."""

    at: float
    bytes_in: int
    bytes_out: int


class HollowResult(Struct):
    """What a process measured."""

    meter: Meter
    traffic: list[TrafficSample] = field(default_factory=list)


class HollowHost:
    """All hollow schedulers of this process."""

    def __init__(self, plan: HollowPlan) -> None:
        self._plan = plan
        self._meter = Meter()
        self._traffic: list[TrafficSample] = []
        self._ended = asyncio.Event()
        numbers = range(plan.first, plan.first + plan.count)
        self._edges = [HollowEdge(number, zone_of(number), plan.seeds, self._meter) for number in numbers]

    async def run(self) -> HollowResult:
        """Until SIGTERM, or the longest life."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._ended.set)
        loop.add_signal_handler(signal.SIGUSR1, self._report_loads)
        tasks = [asyncio.create_task(self._sample())]
        for edge in self._edges:
            tasks.append(asyncio.create_task(edge.run()))
            await asyncio.sleep(START_GAP_S)
        try:
            async with asyncio.timeout(LONGEST_LIFE_S):
                await self._ended.wait()
        except TimeoutError:
            pass
        result = HollowResult(self._meter, self._traffic)
        await cancel_all(tasks)
        return result

    def _report_loads(self) -> None:
        for edge in self._edges:
            edge.load_size = self._plan.load_size

    async def _sample(self) -> None:
        while True:
            sample = TrafficSample(time.monotonic(), self._meter.bytes_in, self._meter.bytes_out)
            self._traffic.append(sample)
            await asyncio.sleep(SAMPLE_S)


async def cancel_all(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel until all have ended: `asyncio.wait_for` of Python 3.11 can lose a cancellation."""
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_LOOK_S)


async def play(plan: HollowPlan) -> HollowResult:
    """Run one process of hollow schedulers."""
    return await HollowHost(plan).run()


def main() -> int:
    """The exit status."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=HollowPlan)
    result = asyncio.run(play(plan))
    Path(plan.result_path).write_bytes(msgspec.json.encode(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
