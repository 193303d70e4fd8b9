"""Checks of the list of workers by an observer outside of the simulated processes."""

from __future__ import annotations

from dataclasses import dataclass, field

from reedspoke.common.messages import NO_VERSION, Version, WorkerEntry, WorkerList
from reedspoke.common.worker_lists import platform_entries
from reedspoke.control_plane.workers.platform_messages import STATE_DRAINING
from reedspoke.control_plane.workers.worker_list import UNLEASED_TERM
from tests.control_plane.simulated_parts import VirtualTime
from tests.control_plane.simulated_platform import SimulatedPlatform

PROPAGATION_LIMIT_S = 3.0  # the longest time until all processes know that a listed worker is draining

Holder = tuple[str, int]


@dataclass
class KnownList:
    """The version of a process's list, and the number of the platform's state that it shows."""

    version: Version = NO_VERSION
    state: int = 0


@dataclass
class WorkerListJudge:
    """Checks each list when it is published or received."""

    virtual_time: VirtualTime
    platform: SimulatedPlatform
    publications: int = 0
    _holders: dict[int, Holder] = field(default_factory=dict)
    _states: dict[Version, int] = field(default_factory=dict)
    _held: dict[str, KnownList] = field(default_factory=dict)

    def process_started(self, name: str) -> None:
        """Record that a new process has started, which has no list."""
        self._held.pop(name, None)

    def check_published(self, address: str, incarnation: int, workers: WorkerList) -> None:
        """Check a list that a control plane node publishes: one holder per term, one state per version."""
        self.publications += 1
        term = workers.version[0]
        if term == UNLEASED_TERM:
            return
        holder = self._holders.setdefault(term, (address, incarnation))
        assert holder == (address, incarnation), f"two processes publish under term {term}"
        state = self._state_of(workers)
        assert self._states.setdefault(workers.version, state) == state, (
            f"two different lists have version {workers.version}"
        )

    def check_held(self, name: str, workers: WorkerList | None) -> None:
        """Check that the list of a process is not older than the one that it had."""
        before = self._held.get(name, KnownList())
        if workers is None or workers.version == before.version:
            return
        assert workers.version > before.version, f"{name} goes back to list version {workers.version}"
        state = self._states.get(workers.version)
        if state is None:
            state = self._state_of(workers)
        leased = before.version[0] > UNLEASED_TERM
        assert not leased or state >= before.state, f"the list of {name} goes back to an older state"
        self._held[name] = KnownList(workers.version, state)

    def check_known(self, name: str, workers: tuple[WorkerEntry, ...] | None) -> None:
        """Check that a connected process knows what the platform has shown for `PROPAGATION_LIMIT_S`."""
        now = self.virtual_time.now
        if self.platform.is_unreachable or now - self.platform.reachable_since < PROPAGATION_LIMIT_S:
            return
        assert workers is not None, f"{name} has no list of workers"
        _, listed_before = self.platform.list_at(now - PROPAGATION_LIMIT_S)
        for worker in workers:
            listed = listed_before.get(worker.instance_id)
            gone = listed is None and not self._is_new(worker.instance_id, now)
            leaving = gone or (listed is not None and listed.state == STATE_DRAINING)
            assert worker.draining or not leaving, f"{name} still lists {worker.instance_id} as up"

    def _is_new(self, instance_id: str, now: float) -> bool:
        return instance_id in self.platform.list_at(now)[1]

    def _state_of(self, workers: WorkerList) -> int:
        draining = {worker.instance_id: worker.draining for worker in platform_entries(workers)}
        return self.platform.state_number_of(draining, self.virtual_time.now)
