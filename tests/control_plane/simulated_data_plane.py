"""Data plane schedulers of the simulation, as far as they hear of configurations and workers.

The program's own sessions run on a loop in virtual time; only their connections are replaced.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from reedspoke.common.configuration import Configuration
from reedspoke.common.messages import MemberList, Version, WorkerList
from reedspoke.data_plane.confirmation import Confirmation
from reedspoke.data_plane.control_session import ControlSessions
from reedspoke.data_plane.subscription import StateListener, Subscription
from reedspoke.data_plane.watch_session import NodeState
from tests.control_plane.process_loop import ProcessLoop
from tests.control_plane.simulated_channel import DELAY_S, SimulatedChannel, join_channels
from tests.control_plane.simulated_control import ControlSchedulers
from tests.control_plane.simulation import Simulation
from tests.control_plane.worker_list_judge import WorkerListJudge

APPLY_S = 2.0
CONNECT_TIMEOUT_S = 0.7
DARK_SHARE = 0.3  # of the connections to an address where no process runs: they get no answer at all


@dataclass
class Node:
    """One machine of the data plane; `incarnation` counts its processes."""

    name: str
    zone: str
    clock_skew: float
    clock_rate: float
    incarnation: int = 0
    scheduler: DataPlaneScheduler | None = None
    frozen: bool = False


class SimulatedSessions(ControlSessions):
    """The program's sessions over simulated connections."""

    world: DataPlane
    node: Node

    async def _connect(self, address: str) -> Any:
        return await self.world.connect(self.node, address)


class DataPlaneScheduler:
    """One life of a data plane scheduler's process."""

    def __init__(self, world: DataPlane, node: Node, loop: ProcessLoop, seeds: tuple[str, ...]) -> None:
        self.loop = loop
        self.generation: int | None = None
        self.workers: WorkerList | None = None
        self.channels: list[SimulatedChannel] = []
        self.confirmation = Confirmation(APPLY_S, started=loop.time())
        self.seeds = seeds
        self._world = world
        self._node = node
        listener = StateListener(
            self._configured, self._listed, self._members_told, self._running_told, self._suspects_told
        )
        subscription = Subscription(listener, self.confirmation)
        sessions = SimulatedSessions(
            subscription, self._node_state, lambda: self.seeds, Random(f"{node.name} {node.incarnation}")
        )
        sessions.world = world
        sessions.node = node
        loop.create_task(sessions.run())

    def in_doubt(self) -> bool:
        """Whether a request without a route gets 503 instead of 404 now."""
        return self.confirmation.in_doubt(self.loop.time())

    def _node_state(self) -> NodeState:
        return NodeState(self._node.name, str(self._node.incarnation), self._node.zone, False, {})

    def _configured(self, configuration: Configuration, version: Version) -> None:
        before = self.generation or 0
        assert configuration.generation > before, f"{self._node.name} goes back from {before}"
        self.generation = configuration.generation

    def _listed(self, workers: WorkerList) -> None:
        self.workers = workers
        self._world.list_judge.holds(self._node.name, workers)

    def _members_told(self, members: MemberList) -> None:
        """Whom else there is does not matter here."""

    def _running_told(self, running: dict[str, tuple[int, int]]) -> None:
        """Nor what others run."""

    def _suspects_told(self, suspects: dict[str, int]) -> None:
        """Nor what they suspect."""


class DataPlane:
    """All data plane schedulers, named `e1`, `e2`, …"""

    def __init__(
        self, simulation: Simulation, control: ControlSchedulers, list_judge: WorkerListJudge, count: int
    ) -> None:
        self.list_judge = list_judge
        self.nodes: dict[str, Node] = {}
        self._simulation = simulation
        self._control = control
        random = Random(f"data plane {simulation.random.random()}")
        self._random = random
        zones = [machine.zone for machine in simulation.machines.values()]
        for number in range(1, count + 1):
            node = Node(
                f"e{number}",
                zones[number % len(zones)],
                random.uniform(0.0, 1000.0),
                1.0 + random.uniform(-1e-3, 1e-3),
            )
            self.nodes[node.name] = node
            simulation.at(simulation.now + random.uniform(0.0, 0.3), partial(self.start, node.name))

    # ---- what happens to nodes ----

    def start(self, name: str) -> None:
        """Start the process of a node."""
        node = self.nodes[name]
        if node.scheduler is not None:
            return
        node.incarnation += 1
        node.frozen = False
        self._note(name)
        self.list_judge.started(name)
        loop = ProcessLoop(self._simulation, node.clock_skew, node.clock_rate)

        def build() -> None:
            node.scheduler = DataPlaneScheduler(self, node, loop, self._simulation.seeds)

        loop.run(build)

    def kill(self, name: str, restart_after: float) -> None:
        """The process dies and starts again."""
        node = self.nodes[name]
        scheduler, node.scheduler = node.scheduler, None
        self._note(name)
        if scheduler is not None:
            for channel in scheduler.channels:
                channel.close()
            scheduler.loop.end()
        self._simulation.at(self._simulation.now + restart_after, lambda: self.start(name))

    def freeze(self, name: str) -> None:
        """The process is stopped."""
        self._note(name)
        self.stand_still(name)

    def thaw(self, name: str) -> None:
        """The process goes on."""
        if self.nodes[name].frozen:
            self._note(name)
            self.go_on(name)

    def stand_still(self, name: str) -> None:
        """The process gets no processor time for now, which is no trouble of its machine."""
        node = self.nodes[name]
        if node.scheduler is not None:
            node.frozen = True
            node.scheduler.loop.freeze()

    def go_on(self, name: str) -> None:
        """The process gets processor time again."""
        node = self.nodes[name]
        if node.frozen and node.scheduler is not None:
            node.frozen = False
            node.scheduler.loop.thaw()

    def cut(self, name: str, addresses: list[str], there: bool = True, back: bool = True) -> None:
        """A node is cut off from control schedulers, one way or both ways."""
        for address in addresses:
            if there:
                self._simulation.network.cut_outside.add((name, address))
            if back:
                self._simulation.network.cut_outside.add((address, name))

    def join(self) -> None:
        """All links of nodes carry again."""
        self._simulation.network.cut_outside.clear()

    def seeds_changed(self) -> None:
        """The settings of all nodes name other seeds."""
        for scheduler in self.schedulers().values():
            scheduler.seeds = self._simulation.seeds

    def schedulers(self) -> dict[str, DataPlaneScheduler]:
        """Those that run and are not frozen."""
        return {
            node.name: node.scheduler
            for node in self.nodes.values()
            if node.scheduler is not None and not node.frozen
        }

    def _note(self, name: str) -> None:
        """Something happened to a node, which leaves the core settled."""
        self._simulation.calm.disk_changed(self._simulation.now, name)

    # ---- connections ----

    async def connect(self, node: Node, address: str) -> SimulatedChannel:
        """As `open_channel`."""
        scheduler = node.scheduler
        assert scheduler is not None
        await asyncio.sleep(self._random.uniform(*DELAY_S))
        target = self._control.running.get(address)
        network = self._simulation.network
        reached = network.carries(node.name, address) and network.carries(address, node.name)
        if not reached or (target is None and self._random.random() < DARK_SHARE):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise TimeoutError
        if target is None:
            raise ConnectionRefusedError
        near = self._channel(node.name, address, scheduler.loop)
        far = self._channel(address, node.name, target.loop)
        join_channels(near, far)
        scheduler.channels.append(near)
        target.accept(far)
        await asyncio.sleep(self._random.uniform(*DELAY_S))
        return near

    def _channel(self, own: str, other: str, loop: ProcessLoop) -> SimulatedChannel:
        simulation = self._simulation
        return SimulatedChannel(own, other, loop, simulation, simulation.network, self._random)
