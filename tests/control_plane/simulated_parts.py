"""Parts of the simulation: time, disks, machines and the network between them."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import StoreRecords
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.replication.events import Event
from reedspoke.control_plane.replication.replica import Replica
from reedspoke.control_plane.replication.view import View


class DiskMode(Enum):
    """Behaviour of a disk on a store."""

    WORKS = "works"
    STALLS = "stalls"
    FULL = "full"
    FAILS = "fails"  # reports an error, and may have written the data


class Direction(Enum):
    """Direction in which a cut drops messages, as seen from the machines that are cut off."""

    BOTH = "both"
    FROM_THEM = "from them"
    TO_THEM = "to them"


@dataclass
class Disk:
    """The data that survives a process; an empty disk has a new folder id."""

    folder_id: str
    records: list[bytes] = field(default_factory=list)
    mode: DiskMode = DiskMode.WORKS
    waiting: list[StoreRecords] = field(default_factory=list)
    made_at: float = 0.0


@dataclass
class Machine:
    """One core machine; `incarnation` is the number of its process."""

    address: str
    zone: str
    disk: Disk
    bootstrap: bool
    clock_skew: float = 0.0
    clock_rate: float = 1.0
    replica: Replica | None = None
    frozen: bool = False
    shutting_down: bool = False
    removed: bool = False  # permanently: it is not started again
    incarnation: int = 0
    tick_is_due: bool = False  # it was due while the process was frozen
    missed: list[Event] = field(default_factory=list)
    # Numbers of operator calls in the simulation, by their number in this process.
    calls: dict[int, int] = field(default_factory=dict)

    def clock(self, now: float) -> float:
        """The machine's steady clock, which keeps running while its process is stopped."""
        return self.clock_skew + now * self.clock_rate

    def true_time(self, clock: float) -> float:
        """The virtual time at which the machine's clock shows this."""
        return (clock - self.clock_skew) / self.clock_rate


class Component(Protocol):
    """A part of the control scheduler that runs beside the replica in the same process."""

    def started(self, machine: Machine) -> None:
        """A process has started."""

    def stopped(self, machine: Machine) -> None:
        """A process has ended."""

    def ticked(self, machine: Machine) -> None:
        """TICK_INTERVAL_S has passed in a process that is not frozen."""

    def shutting_down(self, machine: Machine) -> None:
        """The process got SIGTERM."""

    def frozen(self, machine: Machine) -> None:
        """A process is frozen."""

    def thawed(self, machine: Machine) -> None:
        """A process continues."""

    def received(self, machine: Machine, sender: str, message: Struct) -> None:
        """A message of another control scheduler; those between replicas go to the replica as well."""

    def delivered(self, machine: Machine, committed: CommittedConfiguration) -> None:
        """The replica has a newer configuration for the data plane."""

    def view_changed(self, machine: Machine, view: View) -> None:
        """The replica acts in a newer view."""


class IdleComponent:
    """A component that does nothing; subclasses override what they need."""

    def started(self, machine: Machine) -> None:
        """Do nothing."""

    def stopped(self, machine: Machine) -> None:
        """Do nothing."""

    def ticked(self, machine: Machine) -> None:
        """Do nothing."""

    def shutting_down(self, machine: Machine) -> None:
        """Do nothing."""

    def frozen(self, machine: Machine) -> None:
        """Do nothing."""

    def thawed(self, machine: Machine) -> None:
        """Do nothing."""

    def received(self, machine: Machine, sender: str, message: Struct) -> None:
        """Do nothing."""

    def delivered(self, machine: Machine, committed: CommittedConfiguration) -> None:
        """Do nothing."""

    def view_changed(self, machine: Machine, view: View) -> None:
        """Do nothing."""


@dataclass
class Network:
    """The cut links, by direction, and the rates at which messages are lost, duplicated or late."""

    cut: set[tuple[str, str]] = field(default_factory=set)  # between control schedulers
    cut_outside: set[tuple[str, str]] = field(default_factory=set)  # to and from data plane schedulers
    loss: float = 0.0
    duplicated: float = 0.0
    late: float = 0.0
    holds: bool = False  # messages on a cut link are delivered once it is restored, instead of lost
    check_encoding: bool = False
    cut_off: set[str] = field(default_factory=set)  # machines whose links are all cut

    def carries(self, sender: str, receiver: str) -> bool:
        """Whether the link from sender to receiver is up."""
        link = (sender, receiver)
        return link not in self.cut and link not in self.cut_outside

    @property
    def has_message_faults(self) -> bool:
        """Whether any message may be lost, duplicated or late."""
        return bool(self.loss or self.duplicated or self.late)

    @property
    def is_impaired(self) -> bool:
        """Whether any link is cut, or messages may be lost, duplicated or late."""
        return bool(self.cut) or self.has_message_faults


STORE_ERRORS = {DiskMode.FULL: ErrorCode.STORAGE_FULL, DiskMode.FAILS: ErrorCode.STORAGE_FAILED}


class VirtualTime:
    """Virtual time with a queue of actions; it passes only in `run` and `run_until`."""

    def __init__(self) -> None:
        self.now = 100.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._queue, (when, next(self._order), action))

    def run(self, duration: float) -> None:
        """Let time pass, and run the actions that are due."""
        end = self.now + duration
        while self._queue and self._queue[0][0] <= end:
            when, _, action = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit: float, step: float = 0.02) -> bool:
        """Let time pass until the condition holds; return False if the limit comes first."""
        end = self.now + limit
        while self.now < end:
            if condition():
                return True
            self.run(step)
        return condition()
