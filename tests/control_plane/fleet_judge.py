"""Checks for whole fleets: by when each scheduler must have the newest configuration and worker list."""

from __future__ import annotations

from bisect import bisect_right

from tests.control_plane.contact import ContactWatch
from tests.control_plane.disturbances import STABLE_AFTER_S
from tests.control_plane.evacuation_judge import EvacuationJudge
from tests.control_plane.simulated_control import ControlSchedulers
from tests.control_plane.simulated_data_plane import APPLY_S, DataPlane, DataPlaneScheduler
from tests.control_plane.simulation import Simulation
from tests.control_plane.worker_list_judge import WorkerListJudge

STRETCH_S = 5.0  # additional time while the core is not stable
LOOK_S = 0.05


class FleetJudge:
    """Checks all schedulers every LOOK_S."""

    def __init__(
        self,
        simulation: Simulation,
        control: ControlSchedulers,
        data_plane: DataPlane,
        lists: WorkerListJudge,
    ) -> None:
        self.contact = ContactWatch(simulation)
        self.evacuations: EvacuationJudge | None = None
        self.looks_in_touch = 0
        self.looks_certain = 0
        self._simulation = simulation
        self._control = control
        self._data_plane = data_plane
        self._lists = lists
        self._acknowledged_at: list[float] = []
        self._generations: list[int] = []
        simulation.judge.on_acknowledged.append(self._acknowledged)
        self._look()

    @property
    def newest_acknowledged(self) -> int:
        """The newest generation that has been acknowledged."""
        return self._generations[-1] if self._generations else 0

    def acknowledged_before(self, at: float) -> int:
        """The newest generation that had been acknowledged at this time."""
        place = bisect_right(self._acknowledged_at, at)
        return self._generations[place - 1] if place else 0

    def _acknowledged(self) -> None:
        newest = self._simulation.judge.newest_acknowledged
        if not self._generations or newest > self._generations[-1]:
            self._acknowledged_at.append(self._simulation.now)
            self._generations.append(newest)

    def _look(self) -> None:
        self._simulation.at(self._simulation.now + LOOK_S, self._look)
        self.contact.look(list(self._data_plane.nodes))
        for name, scheduler in self._data_plane.schedulers().items():
            self._check_denied(name, scheduler)
            self._check_configuration(name, scheduler)
            if self.contact.in_touch(name):
                workers = scheduler.workers
                self._lists.check_known(name, workers.workers if workers else None)
                if self.evacuations is not None and workers is not None:
                    self.evacuations.check(name, workers.workers)
        for machine in self._simulation.running():
            if self.contact.in_touch(machine.address) and not machine.shutting_down:
                workers_here = self._control.running[machine.address].workers()
                self._lists.check_known(machine.address, workers_here)

    def _check_denied(self, name: str, scheduler: DataPlaneScheduler) -> None:
        """Check that a scheduler which is certain of its version has the newest one.

        Otherwise it would answer 404 for a route that only a newer version has.
        """
        if scheduler.generation is None or scheduler.in_doubt():
            return
        self.looks_certain += 1
        wanted = self.acknowledged_before(self._simulation.now - APPLY_S)
        assert scheduler.generation >= wanted, f"{name} is certain of {scheduler.generation}, not {wanted}"

    def _check_configuration(self, name: str, scheduler: DataPlaneScheduler) -> None:
        bound = self._bound(name)
        if bound is None:
            return
        self.looks_in_touch += 1
        wanted = self.acknowledged_before(self._simulation.now - bound)
        held = scheduler.generation or 0
        assert held >= wanted, f"{name} holds {held} and not {wanted}, {bound} s after its acknowledgement"

    def _bound(self, name: str) -> float | None:
        """Time after an acknowledgement by which a data plane scheduler must have it; None if unbounded."""
        contact = self.contact
        if contact.in_touch(name):
            return APPLY_S
        own = min(contact.connected_for(name), contact.undisturbed_for(name))
        if own >= STABLE_AFTER_S and contact.majority_for() >= APPLY_S + STRETCH_S:
            return APPLY_S + STRETCH_S
        return None
