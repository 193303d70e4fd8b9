"""Operators' orders on the zone of all workers, and which control plane nodes know them.

The tallies that hold orders have a simulation of their own (`tests/control_plane/tallies`). Here an order is
acknowledged at once if a majority of the control plane is connected, and is then on as many disks as
required; other nodes learn of it while they are connected with the majority.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random

from reedspoke.control_plane.evacuation.order_log import ZONE_PREFIX, order_add
from reedspoke.control_plane.tallies.messages import TallyAdd
from tests.control_plane.contact import ContactWatch
from tests.control_plane.simulated_parts import Disk, Machine
from tests.control_plane.simulated_platform import ZONE
from tests.control_plane.simulation import Simulation

LOOK_S = 0.05
KNOWN_AFTER_S = 0.3  # until a node that has started and is connected with a majority knows all orders
ORDER_INTERVAL_S = (0.5, 8.0)
SAME_EFFECT_SHARE = 0.2


@dataclass(frozen=True)
class PlacedOrder:
    """An acknowledged order, and the time of its acknowledgement."""

    number: int
    evacuated: bool
    at: float


class OrdersOfNode:
    """Stands in for the tallies of one process, whose disk has the orders up to a number."""

    def __init__(self, orders: SimulatedOrders, machine: Machine) -> None:
        self.is_known = False
        self.connected_since: float | None = None
        self._orders = orders
        self._machine = machine

    def tick(self) -> None:
        """Do nothing."""

    def folders_in_contact(self) -> None:
        """Return that no order can be stored here: `SimulatedOrders` stores them."""

    def has_all_acknowledged(self) -> bool:
        """Whether the process has all orders acknowledged before it started."""
        return self.is_known

    def newest_by_prefix(self, prefix: str) -> list[TallyAdd]:
        """The newest order on the disk."""
        assert prefix == ZONE_PREFIX
        number = self._orders.number_on(self._machine.disk)
        return [order_add(ZONE, number, self._orders.placed[number - 1].evacuated)] if number else []


class SimulatedOrders:
    """Owns the orders, the processes, and the number of the newest order on each disk."""

    def __init__(self, simulation: Simulation, contact: ContactWatch) -> None:
        self.placed: list[PlacedOrder] = []
        self._simulation = simulation
        self._contact = contact
        self._nodes: dict[str, OrdersOfNode] = {}
        self._numbers: dict[str, int] = {}
        self._look()

    def number_on(self, disk: Disk) -> int:
        """The number of the newest order on a disk; 0 without any."""
        return self._numbers.get(disk.folder_id, 0)

    def process_started(self, machine: Machine) -> OrdersOfNode:
        """The stand-in for the tallies of a process that starts."""
        node = self._nodes[machine.address] = OrdersOfNode(self, machine)
        node.is_known = machine.bootstrap and not self.placed
        return node

    def place(self, evacuated: bool) -> bool:
        """Send an order. Returns whether it is acknowledged."""
        knowing = [address for address in sorted(self._contact.majority_side()) if self._knows(address)]
        copies = self._simulation.tolerated + 1
        if len(knowing) < max(copies, len(self._simulation.machines) - copies + 1):
            return False
        number = len(self.placed) + 1
        self.placed.append(PlacedOrder(number, evacuated, self._simulation.now))
        for address in knowing[:copies]:
            self._numbers[self._simulation.machines[address].disk.folder_id] = number
        return True

    def place_all_the_time(self, random: Random) -> None:
        """Send orders at random times from now on."""
        last = bool(self.placed) and self.placed[-1].evacuated
        self.place(last if random.random() < SAME_EFFECT_SHARE else not last)
        next_at = self._simulation.now + random.uniform(*ORDER_INTERVAL_S)
        self._simulation.at(next_at, partial(self.place_all_the_time, random))

    def _knows(self, address: str) -> bool:
        node = self._nodes.get(address)
        return node is not None and node.is_known

    def _look(self) -> None:
        """Let the nodes of the majority learn of all orders."""
        now = self._simulation.now
        majority = self._contact.majority_side()
        for address, node in self._nodes.items():
            if address not in majority:
                node.connected_since = None
                continue
            if node.connected_since is None:
                node.connected_since = now
            if now - node.connected_since >= KNOWN_AFTER_S or node.is_known:
                node.is_known = True
                self._numbers[self._simulation.machines[address].disk.folder_id] = len(self.placed)
        self._simulation.at(now + LOOK_S, self._look)
