"""Times of the last disturbance of each machine, from which the rules with time bounds are measured."""

from __future__ import annotations

from dataclasses import dataclass, field

STABLE_AFTER_S = 3.0  # after a disturbance the core counts as stable, and a machine as in touch
CATCH_UP_S = 4.0  # a machine that has returned, or is new, still counts as lost for this long


@dataclass
class Disturbances:
    """Times of the last disturbances of the core, of machines and of disks."""

    last_event: float = float("-inf")
    _last_of: dict[str, float] = field(default_factory=dict)
    _last_disk_of: dict[str, float] = field(default_factory=dict)

    def record(self, now: float, *addresses: str) -> None:
        """Record a disturbance of these machines, and of the core."""
        self.last_event = now
        for address in addresses:
            self._last_of[address] = now

    def record_disk_change(self, now: float, address: str) -> None:
        """Record that a disk began or ceased to fail, which does not disturb the core."""
        self._last_of[address] = now
        self._last_disk_of[address] = now

    def disk_changed_recently(self, now: float, address: str) -> bool:
        """Whether the machine still counts as lost after a change of its disk."""
        return now - self._last_disk_of.get(address, float("-inf")) < CATCH_UP_S

    def last_of(self, address: str) -> float:
        """Time of the last disturbance of a machine."""
        return self._last_of.get(address, float("-inf"))
