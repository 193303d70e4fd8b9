"""When something last happened to each machine of the core: what the bounded rules are measured from."""

from __future__ import annotations

from dataclasses import dataclass, field

STABLE_AFTER_S = 3.0  # after an event the core counts as settled, and a machine as in touch
CATCH_UP_S = 4.0  # a machine that is back, or new, counts as lost for that long


@dataclass
class Disturbances:
    """Times of the events that disturb machines."""

    last_event: float = float("-inf")
    _last_of: dict[str, float] = field(default_factory=dict)
    _last_disk_of: dict[str, float] = field(default_factory=dict)

    def record(self, now: float, *addresses: str) -> None:
        """Something happened to these machines that also unsettles the core."""
        self.last_event = now
        for address in addresses:
            self._last_of[address] = now

    def record_disk_change(self, now: float, address: str) -> None:
        """A disk got into trouble or out of it, which leaves the core settled."""
        self._last_of[address] = now
        self._last_disk_of[address] = now

    def disk_changed_recently(self, now: float, address: str) -> bool:
        """Whether the machine counts as lost still for a trouble of its disk."""
        return now - self._last_disk_of.get(address, float("-inf")) < CATCH_UP_S

    def last_of(self, address: str) -> float:
        """When something last happened to a machine."""
        return self._last_of.get(address, float("-inf"))
