"""Number of machines that count as lost at a time, so that no more disks are lost than tolerated."""

from __future__ import annotations

from tests.control_plane.disturbances import CATCH_UP_S
from tests.control_plane.simulation import Simulation

LOOK_S = 0.1


class LossBudget:
    """A machine counts as lost during a fault and for CATCH_UP_S after it; a replacement has its slot.

    While more machines are lost than tolerated none can catch up, so the time to catch up starts after that.
    """

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._slots = {address: address for address in simulation.machines}
        self._last_beyond = float("-inf")
        self._look()

    def allows_for_good(self, *addresses: str) -> bool:
        """Whether these machines, or their disks, may be lost permanently now."""
        caught_up = self._simulation.now - self._last_beyond >= CATCH_UP_S
        return caught_up and self.allows(*addresses)

    def allows(self, *addresses: str) -> bool:
        """Whether these machines may be lost now; never a machine and its replacement at the same time."""
        slots = [self.slot(address) for address in self._simulation.machines]
        if any(slots.count(self.slot(address)) > 1 for address in addresses):
            return False
        added = {self.slot(address) for address in addresses}
        return len(self._lost_slots() | added) <= self._simulation.tolerated

    def none_lost(self) -> bool:
        """Whether no machine counts as lost."""
        return not self._lost_slots()

    def slot(self, address: str) -> str:
        """The slot of a machine in the core; a machine that replaces no other has a slot of its own."""
        return self._slots.setdefault(address, address)

    def succeeds(self, successor: str, address: str) -> None:
        """Assign the slot of a machine to its replacement."""
        self._slots[successor] = self.slot(address)

    def _look(self) -> None:
        if len(self._lost_slots()) > self._simulation.tolerated:
            self._last_beyond = self._simulation.now
        self._simulation.at(self._simulation.now + LOOK_S, self._look)

    def _lost_slots(self) -> set[str]:
        simulation = self._simulation
        present = {self.slot(address) for address in simulation.machines}
        lost = set(self._slots.values()) - present
        for address in simulation.machines:
            lately = simulation.now - simulation.disturbances.last_of(address) < CATCH_UP_S
            if lately or address in simulation.impaired_machines():
                lost.add(self.slot(address))
        return lost
