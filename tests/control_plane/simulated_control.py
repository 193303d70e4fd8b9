"""Simulated control schedulers without their replicas.

The process, lease, worker discovery and sessions are those of the program, on an event loop in virtual time.
Only sockets, threads and the platform are replaced.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, TypeVar, get_args

from msgspec import Struct

from reedspoke.common.messages import (
    EdgeMessage,
    Version,
    WorkerEntry,
    WorkerList,
    decode,
)
from reedspoke.common.node_settings import NodeSettings
from reedspoke.common.worker_lists import MarkedWorkers
from reedspoke.control_plane.peers.messages import PeerMessage
from reedspoke.control_plane.process import ControlProcess
from reedspoke.control_plane.replication.effects import SendMessage
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.replication.messages import ReplicaMessage
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.workers.discovery import WorkerDiscovery
from reedspoke.control_plane.workers.platform_client import PlatformClient
from reedspoke.control_plane.workers.platform_messages import PlatformPage
from tests.control_plane.process_loop import ProcessLoop
from tests.control_plane.simulated_channel import SimulatedChannel
from tests.control_plane.simulated_orders import SimulatedOrders
from tests.control_plane.simulated_parts import Machine
from tests.control_plane.simulated_platform import SimulatedPlatform, SimulatedPlatformClient
from tests.control_plane.simulation import Simulation
from tests.control_plane.worker_list_judge import WorkerListJudge

PREPARE_S = (0.0, 0.02)  # time to parse a configuration on another thread
FIRST_INCARNATION = 1
NO_SETTINGS_FILE = Path("/nonexistent/settings.json")

Value = TypeVar("Value")


class DocumentsThread:
    """Replacement for the thread that parses documents; results come after a random delay."""

    def __init__(self, loop: ProcessLoop, random: Random, lasts: tuple[float, float]) -> None:
        self._loop = loop
        self._random = random
        self._lasts = lasts

    def call(self, function: Callable[[], Value]) -> asyncio.Future[Value]:
        """As `JobThread.call`."""
        future: asyncio.Future[Value] = self._loop.create_future()

        def end() -> None:
            if not future.done():
                future.set_result(function())

        self._loop.call_later(self._random.uniform(*self._lasts), end)
        return future


class PeerLinks:
    """Replacement for the connections to other control schedulers."""

    def __init__(self, simulation: Simulation, address: str) -> None:
        self._simulation = simulation
        self._address = address

    def send(self, address: str, message: Struct) -> None:
        """As `PeerTransport.send`."""
        if address != self._address:
            self._simulation.send(self._address, SendMessage(address, message))

    def send_encoded(self, address: str, payload: bytes) -> None:
        """As `PeerTransport.send_encoded`."""
        self.send(address, decode(payload, PeerMessage))

    def close_idle(self) -> None:
        """Do nothing, as there are no connections."""


class ReplicaView:
    """Replacement for the driver: the state of the replica that the process reads."""

    def __init__(self, machine: Machine, loop: ProcessLoop) -> None:
        self._machine = machine
        self._loop = loop

    def majority_as_of(self) -> float | None:
        """As `ReplicaDriver.majority_as_of`."""
        replica = self._machine.replica
        return None if replica is None else replica.majority_as_of

    def confirmed_as_of(self) -> float | None:
        """As `ReplicaDriver.confirmed_as_of`."""
        replica = self._machine.replica
        return None if replica is None else replica.confirmed_as_of(self._loop.time())

    def holds_majority(self) -> bool:
        """As `ReplicaDriver.holds_majority`."""
        replica = self._machine.replica
        return replica is not None and replica.holds_majority(self._loop.time())


class NoTallies:
    """Replacement for the tallies, which share no state with the rest and have a simulation of their own."""

    def tick(self) -> None:
        """Do nothing."""

    def folders_in_contact(self) -> None:
        """Return that no order can be stored here."""

    def has_all_acknowledged(self) -> bool:
        """Return that the orders on zones are not known."""
        return False


class SimulatedWorkerDiscovery(WorkerDiscovery):
    """Worker discovery with a client of the simulated platform."""

    platform_client: PlatformClient

    async def _fetch_pages(self, client: PlatformClient, term: int | None) -> list[PlatformPage] | None:
        return await super()._fetch_pages(self.platform_client, term)


class ControlScheduler(ControlProcess):
    """One process of a control scheduler, without its replica."""

    def __init__(
        self,
        simulation: Simulation,
        machine: Machine,
        loop: ProcessLoop,
        platform: SimulatedPlatform,
        judge: WorkerListJudge,
        settings: NodeSettings,
        prepare_s: tuple[float, float] = PREPARE_S,
        orders: SimulatedOrders | None = None,
    ) -> None:
        self._prepare_s = prepare_s
        self._orders = orders
        self.loop = loop
        self.channels: list[SimulatedChannel] = []
        self._simulation = simulation
        self._machine = machine
        self._platform = platform
        self._judge = judge
        super().__init__(settings, NO_SETTINGS_FILE)

    def _make_address(self, settings: NodeSettings) -> str:
        return self._machine.address

    def _make_incarnation(self) -> int:
        return self._simulation.random.getrandbits(31)

    def _make_driver(self, settings: NodeSettings) -> Any:
        return ReplicaView(self._machine, self.loop)

    def _make_document_thread(self) -> Any:
        return DocumentsThread(self.loop, self._simulation.random, self._prepare_s)

    def _make_tallies(self, settings: NodeSettings, incarnation: int) -> Any:
        return NoTallies() if self._orders is None else self._orders.process_started(self._machine)

    def _make_transport(self, settings: NodeSettings) -> Any:
        return PeerLinks(self._simulation, self._address)

    def _make_discovery(self, settings: NodeSettings) -> WorkerDiscovery:
        discovery = SimulatedWorkerDiscovery(
            settings.cloud_api,
            self._lease,
            self._workers,
            self._publish_workers,
            self._exchange.send_all,
            MarkedWorkers if self._orders is None else self._evacuations.mark_workers,
        )
        random = self._simulation.random
        discovery.platform_client = SimulatedPlatformClient(self._platform, self._simulation, random)
        return discovery

    def _build_endpoints(self, settings: NodeSettings) -> None:
        """Do nothing, as there is no operator API and no metrics endpoint."""

    def begin(self) -> None:
        """Start the tasks of the process."""
        self.loop.create_task(self._discovery.run())
        self.loop.create_task(self._discovery.discover_without_lease())

    def term_held(self) -> int | None:
        """The term in which this scheduler holds the discovery lease; None if it does not hold it."""
        return self._lease.term if self._lease.is_held(self.loop.time()) else None

    def begin_shutdown(self) -> None:
        """Release the discovery lease on SIGTERM."""
        self._exchange.release_lease()

    def end_sessions(self) -> None:
        """Close all sessions, as a process does before a graceful end."""
        for channel in self.channels:
            channel.close()

    def peer_message(self, sender: str, message: Struct) -> None:
        """Handle a message of another control scheduler that is not for the replica."""
        self._exchange.handle(sender, message)  # type: ignore[arg-type]
        self._judge.check_held(self._address, self._workers.current)

    def record_peer_message(self, sender: str) -> None:
        """Record that a message of another control scheduler has arrived."""
        self._membership.peer_seen(sender, self.loop.time())

    def accept(self, channel: SimulatedChannel) -> None:
        """Accept the session of a data plane scheduler."""
        self.channels.append(channel)
        channel.on_message = lambda payload: self._edge_message(channel, payload)
        channel.on_end = lambda: self._sessions.connection_closed(channel)  # type: ignore[arg-type]

    def workers(self) -> tuple[WorkerEntry, ...] | None:
        """The worker list of this scheduler."""
        return None if self._workers.current is None else self._workers.current.workers

    def workers_version(self) -> Version:
        """The version of the worker list of this scheduler."""
        return self._workers.version

    def _edge_message(self, channel: SimulatedChannel, payload: bytes) -> None:
        self._sessions.message_received(channel, decode(payload, EdgeMessage))  # type: ignore[arg-type]

    def _publish_workers(self, workers: WorkerList) -> None:
        self._judge.check_published(self._address, self._machine.incarnation, workers)
        self._judge.check_held(self._address, self._workers.current)
        self._exchange.publish_workers(workers)


class ControlSchedulers:
    """The component that runs a `ControlScheduler` in each process of the simulation."""

    def __init__(self, simulation: Simulation, platform: SimulatedPlatform, judge: WorkerListJudge) -> None:
        self.running: dict[str, ControlScheduler] = {}
        self.prepare_s = PREPARE_S
        self.orders: SimulatedOrders | None = None  # without them no zone is ever evacuated
        self._simulation = simulation
        self._platform = platform
        self._judge = judge
        simulation.components.append(self)

    def started(self, machine: Machine) -> None:
        """A process has started."""
        self._judge.process_started(machine.address)
        loop = ProcessLoop(self._simulation, machine.clock_skew, machine.clock_rate)
        settings = NodeSettings(
            node_name=machine.address,
            ip_address=machine.address,
            zone=machine.zone,
            bootstrap=machine.bootstrap and machine.incarnation == FIRST_INCARNATION,
        )

        def build() -> None:
            scheduler = ControlScheduler(
                self._simulation,
                machine,
                loop,
                self._platform,
                self._judge,
                settings,
                self.prepare_s,
                self.orders,
            )
            self.running[machine.address] = scheduler
            scheduler.begin()

        loop.run(build)

    def stopped(self, machine: Machine) -> None:
        """A process has ended; its sessions are closed at once, or time out at the other end."""
        scheduler = self.running.pop(machine.address, None)
        if scheduler is None:
            return
        if machine.shutting_down or self._simulation.random.random() < 0.5:
            scheduler.end_sessions()
        scheduler.loop.end()

    def frozen(self, machine: Machine) -> None:
        """A process is frozen."""
        if machine.address in self.running:
            self.running[machine.address].loop.freeze()

    def thawed(self, machine: Machine) -> None:
        """A process continues."""
        if machine.address in self.running:
            self.running[machine.address].loop.thaw()

    def shutting_down(self, machine: Machine) -> None:
        """The process got SIGTERM."""
        self._within(machine, lambda scheduler: scheduler.begin_shutdown())

    def ticked(self, machine: Machine) -> None:
        """TICK_INTERVAL_S has passed."""
        self._within(machine, lambda scheduler: scheduler.ticked())

    def received(self, machine: Machine, sender: str, message: Struct) -> None:
        """A message of another control scheduler."""
        if isinstance(message, get_args(ReplicaMessage)):
            self._within(machine, lambda scheduler: scheduler.record_peer_message(sender))
        else:
            self._within(machine, lambda scheduler: scheduler.peer_message(sender, message))

    def delivered(self, machine: Machine, committed: CommittedConfiguration) -> None:
        """The replica has a newer configuration."""
        self._within(machine, lambda scheduler: scheduler.deliver(committed))

    def view_changed(self, machine: Machine, view: View) -> None:
        """The replica acts in a newer view."""
        self._within(machine, lambda scheduler: scheduler.view_changed(view))

    def _within(self, machine: Machine, action: Callable[[ControlScheduler], None]) -> None:
        scheduler = self.running.get(machine.address)
        if scheduler is not None:
            scheduler.loop.run(action, scheduler)
