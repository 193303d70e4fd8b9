"""Simulated data plane nodes, reduced to receiving configurations and lists of workers.

They run the real session code on an event loop in virtual time. Only the connections are simulated.
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
UNANSWERED_CONNECT_SHARE = 0.3  # share of the connections to an address without a process that get no answer


@dataclass
class Node:
    """One machine of the data plane. `incarnation` counts its processes."""

    name: str
    zone: str
    clock_skew: float
    clock_rate: float
    incarnation: int = 0
    scheduler: DataPlaneScheduler | None = None
    frozen: bool = False


class SimulatedSessions(ControlSessions):
    """The real sessions over simulated connections."""

    world: DataPlane
    node: Node

    async def _connect(self, address: str) -> Any:
        return await self.world.connect(self.node, address)


class DataPlaneScheduler:
    """One process of a data plane node."""

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
            self._configuration_received,
            self._workers_received,
            self._members_received,
            self._load_received,
            self._suspects_received,
            self._evacuations_received,
        )
        subscription = Subscription(listener, self.confirmation)
        sessions = SimulatedSessions(
            subscription, self._node_state, lambda: self.seeds, Random(f"{node.name} {node.incarnation}")
        )
        sessions.world = world
        sessions.node = node
        loop.create_task(sessions.run())

    def in_doubt(self) -> bool:
        """Return whether a request without a route currently gets status 503 instead of 404."""
        return self.confirmation.in_doubt(self.loop.time())

    def _node_state(self) -> NodeState:
        return NodeState(self._node.name, str(self._node.incarnation), self._node.zone, False, {})

    def _configuration_received(self, configuration: Configuration, version: Version) -> None:
        before = self.generation or 0
        assert configuration.generation > before, (
            f"{self._node.name} goes back from generation {before} to {configuration.generation}"
        )
        self.generation = configuration.generation

    def _workers_received(self, workers: WorkerList) -> None:
        self.workers = workers
        self._world.list_judge.check_held(self._node.name, workers)

    def _evacuations_received(self, workers: WorkerList) -> None:
        self.workers = workers

    def _members_received(self, members: MemberList) -> None:
        """Ignore the members, which the simulation does not use."""

    def _load_received(self, running: dict[str, tuple[int, int]]) -> None:
        """Ignore the load of other data plane nodes."""

    def _suspects_received(self, suspects: dict[str, int]) -> None:
        """Ignore the suspicions of other data plane nodes."""


class DataPlane:
    """All data plane nodes, named `e1`, `e2`, …"""

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

    # ---- events of nodes ----

    def start(self, name: str) -> None:
        """Start the process of a node if it does not run."""
        node = self.nodes[name]
        if node.scheduler is not None:
            return
        node.incarnation += 1
        node.frozen = False
        self._record_event(name)
        self.list_judge.process_started(name)
        loop = ProcessLoop(self._simulation, node.clock_skew, node.clock_rate)

        def build() -> None:
            node.scheduler = DataPlaneScheduler(self, node, loop, self._simulation.seeds)

        loop.run(build)

    def kill(self, name: str, restart_after: float) -> None:
        """Kill the process, and restart it after `restart_after` seconds."""
        node = self.nodes[name]
        scheduler, node.scheduler = node.scheduler, None
        self._record_event(name)
        if scheduler is not None:
            for channel in scheduler.channels:
                channel.close()
            scheduler.loop.end()
        self._simulation.at(self._simulation.now + restart_after, lambda: self.start(name))

    def freeze(self, name: str) -> None:
        """Suspend the process as an injected fault."""
        self._record_event(name)
        self.suspend(name)

    def thaw(self, name: str) -> None:
        """Resume the process after an injected fault."""
        if self.nodes[name].frozen:
            self._record_event(name)
            self.resume(name)

    def suspend(self, name: str) -> None:
        """Suspend the process without counting it as a fault of its machine."""
        node = self.nodes[name]
        if node.scheduler is not None:
            node.frozen = True
            node.scheduler.loop.freeze()

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        node = self.nodes[name]
        if node.frozen and node.scheduler is not None:
            node.frozen = False
            node.scheduler.loop.thaw()

    def partition(self, name: str, addresses: list[str], outbound: bool = True, inbound: bool = True) -> None:
        """Partition a node from control plane nodes in one or both directions."""
        for address in addresses:
            if outbound:
                self._simulation.network.cut_outside.add((name, address))
            if inbound:
                self._simulation.network.cut_outside.add((address, name))

    def heal_partitions(self) -> None:
        """Heal all partitions of data plane nodes."""
        self._simulation.network.cut_outside.clear()

    def seeds_changed(self) -> None:
        """Apply the changed seeds of the simulation to the settings of all nodes."""
        for scheduler in self.schedulers().values():
            scheduler.seeds = self._simulation.seeds

    def schedulers(self) -> dict[str, DataPlaneScheduler]:
        """Return the processes that run and are not suspended, by name."""
        return {
            node.name: node.scheduler
            for node in self.nodes.values()
            if node.scheduler is not None and not node.frozen
        }

    def _record_event(self, name: str) -> None:
        """Record an event of a data plane node. It does not affect whether the control plane is stable."""
        self._simulation.disturbances.record_disk_change(self._simulation.now, name)

    # ---- connections ----

    async def connect(self, node: Node, address: str) -> SimulatedChannel:
        """Open a simulated connection, in place of `open_channel`."""
        scheduler = node.scheduler
        assert scheduler is not None
        await asyncio.sleep(self._random.uniform(*DELAY_S))
        target = self._control.running.get(address)
        network = self._simulation.network
        reached = network.carries(node.name, address) and network.carries(address, node.name)
        if not reached or (target is None and self._random.random() < UNANSWERED_CONNECT_SHARE):
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
