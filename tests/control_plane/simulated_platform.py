"""A simulated platform whose list of workers lags behind their changes and may be unreachable."""

from __future__ import annotations

import asyncio
import itertools
from bisect import bisect_right
from dataclasses import dataclass
from random import Random

from msgspec import structs

from reedspoke.control_plane.workers.platform_client import PlatformClient, PlatformError
from reedspoke.control_plane.workers.platform_messages import STATE_DRAINING, PlatformInstance, PlatformPage
from tests.control_plane.simulated_parts import VirtualTime

LAG_S = 0.8  # delay until the list shows a change
RESPONSE_TIME_S = (0.004, 0.03)
DRAIN_S = 3.0
INITIAL_WORKERS = 4
ZONE = "zone-m1"  # of all workers
BEFORE_START = float("-inf")


@dataclass(frozen=True)
class ListState:
    """The content of the list since a time."""

    since: float
    workers: dict[str, PlatformInstance]


class SimulatedPlatform:
    """Keeps every state of the list, oldest first."""

    def __init__(self, virtual_time: VirtualTime) -> None:
        self.is_unreachable = False
        self.reachable_since = BEFORE_START
        self._virtual_time = virtual_time
        self._names = itertools.count(1)
        self._states = [ListState(BEFORE_START, {})]
        for _ in range(INITIAL_WORKERS):
            self.add_worker()

    # ---- changes ----

    def add_worker(self) -> None:
        """Add a worker to the list."""
        name = f"i-{next(self._names)}"
        self._change(name, PlatformInstance(name, "service", "10.0.0.1:1", ZONE))

    def drain_worker(self, rng: Random, lasts: float = DRAIN_S) -> None:
        """Drain a random worker, and remove it after `lasts` seconds."""
        up = [name for name, worker in self._newest.items() if worker.state != STATE_DRAINING]
        if up:
            name = rng.choice(up)
            self._change(name, structs.replace(self._newest[name], state=STATE_DRAINING))
            self._virtual_time.at(self._virtual_time.now + lasts, lambda: self._change(name, None))

    def set_unreachable(self, is_unreachable: bool) -> None:
        """Make all calls fail from now on, or succeed again."""
        self.is_unreachable = is_unreachable
        if not is_unreachable:
            self.reachable_since = self._virtual_time.now

    # ---- queries ----

    def list_at(self, at: float) -> tuple[int, dict[str, PlatformInstance]]:
        """Return the number of the state that the list shows at a time, and its workers."""
        number = bisect_right(self._states, at - LAG_S, key=lambda state: state.since) - 1
        return number, self._states[number].workers

    def state_number_of(self, workers: dict[str, bool], at: float) -> int:
        """Return the newest state shown until `at` that has these workers; values tell whether they drain."""
        newest, _ = self.list_at(at)
        for number in range(newest, -1, -1):
            if _draining(self._states[number].workers) == workers:
                return number
        raise AssertionError("the platform has never shown this list")

    @property
    def _newest(self) -> dict[str, PlatformInstance]:
        return self._states[-1].workers

    def _change(self, name: str, worker: PlatformInstance | None) -> None:
        workers = dict(self._newest)
        if worker is None:
            workers.pop(name, None)
        else:
            workers[name] = worker
        self._states.append(ListState(self._virtual_time.now, workers))


def _draining(workers: dict[str, PlatformInstance]) -> dict[str, bool]:
    return {name: worker.state == STATE_DRAINING for name, worker in workers.items()}


class SimulatedPlatformClient(PlatformClient):
    """The platform client of one control plane node. The whole list is one page."""

    def __init__(self, platform: SimulatedPlatform, virtual_time: VirtualTime, random: Random) -> None:
        super().__init__("platform:1")
        self._platform = platform
        self._virtual_time = virtual_time
        self._random = random

    async def _call(self, token: str | None) -> PlatformPage:
        await asyncio.sleep(self._random.uniform(*RESPONSE_TIME_S))
        if self._platform.is_unreachable:
            raise PlatformError("the platform is unreachable")
        _, workers = self._platform.list_at(self._virtual_time.now)
        await asyncio.sleep(self._random.uniform(*RESPONSE_TIME_S))
        return PlatformPage(tuple(workers.values()))
