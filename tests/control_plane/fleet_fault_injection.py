"""Fault injection into workers, the platform, and data plane schedulers with their links."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

from tests.control_plane.fault_injection import SHORT_S, Log
from tests.control_plane.simulated_fleet import SimulatedFleet
from tests.control_plane.simulation import Simulation

NODE_CUT_S = (0.5, 20.0)
PLATFORM_OUT_S = (0.5, 6.0)


class FleetFaultInjector:
    """Injects faults; each public method is one kind of fault, with its name in a schedule."""

    def __init__(self, simulation: Simulation, fleet: SimulatedFleet, log: Log) -> None:
        self._simulation = simulation
        self._fleet = fleet
        self._log = log

    def worker_comes(self, rng: Random) -> None:
        """A worker is added."""
        self._fleet.platform.add_worker()

    def worker_drains(self, rng: Random) -> None:
        """A worker begins to drain."""
        self._fleet.platform.drain_worker(rng)

    def platform_out(self, rng: Random) -> None:
        """The platform answers no call."""
        self._log("platform out of reach")
        self._fleet.platform.set_unreachable(True)
        self._later(rng.uniform(*PLATFORM_OUT_S), partial(self._fleet.platform.set_unreachable, False))

    def node_kill(self, rng: Random) -> None:
        """A data plane scheduler is killed and restarts."""
        name = self._node(rng)
        self._log(f"kill {name}")
        self._fleet.data_plane.kill(name, rng.uniform(*SHORT_S))

    def node_freeze(self, rng: Random) -> None:
        """A data plane scheduler is stopped for some time."""
        name = self._node(rng)
        self._log(f"freeze {name}")
        self._fleet.data_plane.freeze(name)
        self._later(rng.uniform(*SHORT_S), partial(self._fleet.data_plane.thaw, name))

    def node_cut(self, rng: Random) -> None:
        """A data plane scheduler is cut off from control schedulers, in one direction or both."""
        name = self._node(rng)
        machines = list(self._simulation.machines)
        count = rng.choice([1, len(machines) // 2, len(machines)])
        there, back = rng.choice([(True, True), (True, True), (True, False), (False, True)])
        seconds = rng.uniform(*NODE_CUT_S)
        chosen = rng.sample(machines, max(1, count))
        self._log(f"cut {name} off from {', '.join(chosen)} for {seconds:.1f} s, {there=} {back=}")
        self._fleet.data_plane.partition(name, chosen, there, back)
        self._later(seconds, self._fleet.data_plane.heal_partitions)

    def _node(self, rng: Random) -> str:
        return rng.choice(list(self._fleet.data_plane.nodes))

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        self._simulation.at(self._simulation.now + seconds, action)
