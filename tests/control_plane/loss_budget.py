"""How many machines are lost at a time, as the users count: no more disks may be lost than are tolerated."""

from __future__ import annotations

from tests.control_plane.disturbances import CATCH_UP_S
from tests.control_plane.simulation import Simulation

LOOK_S = 0.1


class LossBudget:
    """A machine counts as lost while it is troubled and for CATCH_UP_S after; a successor has its slot.

    While more are lost than tolerated nobody can catch up, so that the time for it begins after that.
    """

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._slots = {address: address for address in simulation.machines}
        self._last_beyond = float("-inf")
        self._look()

    def allows_for_good(self, *addresses: str) -> bool:
        """Whether these machines, or their disks, may be lost for good now."""
        caught_up = self._simulation.now - self._last_beyond >= CATCH_UP_S
        return caught_up and self.allows(*addresses)

    def allows(self, *addresses: str) -> bool:
        """Whether these machines may be lost now; never one of a pair of which one replaces the other."""
        slots = [self.slot(address) for address in self._simulation.machines]
        if any(slots.count(self.slot(address)) > 1 for address in addresses):
            return False
        added = {self.slot(address) for address in addresses}
        return len(self._lost_slots() | added) <= self._simulation.tolerated

    def none_lost(self) -> bool:
        """Whether all machines count as there."""
        return not self._lost_slots()

    def slot(self, address: str) -> str:
        """The place in the core that a machine has; one that nobody planned has a place of its own."""
        return self._slots.setdefault(address, address)

    def succeeds(self, successor: str, address: str) -> None:
        """A machine will be replaced, or has been."""
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
