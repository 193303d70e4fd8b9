"""A simulated fleet: worker discovery, sessions, data plane schedulers, platform and judges."""

from __future__ import annotations

from tests.control_plane.evacuation_judge import EvacuationJudge
from tests.control_plane.fleet_judge import FleetJudge
from tests.control_plane.simulated_control import ControlSchedulers
from tests.control_plane.simulated_data_plane import DataPlane
from tests.control_plane.simulated_orders import SimulatedOrders
from tests.control_plane.simulated_platform import SimulatedPlatform
from tests.control_plane.simulation import Simulation
from tests.control_plane.worker_list_judge import WorkerListJudge

DATA_PLANE_SCHEDULERS = 3


class SimulatedFleet:
    """All parts but the replicas, for a simulation that has not run yet."""

    def __init__(self, simulation: Simulation, data_plane_schedulers: int = DATA_PLANE_SCHEDULERS) -> None:
        self.platform = SimulatedPlatform(simulation)
        self.lists = WorkerListJudge(simulation, self.platform)
        self.control = ControlSchedulers(simulation, self.platform, self.lists)
        self.data_plane = DataPlane(simulation, self.control, self.lists, data_plane_schedulers)
        self.judge = FleetJudge(simulation, self.control, self.data_plane, self.lists)

    def serve_orders(self, simulation: Simulation) -> SimulatedOrders:
        """Let operators send orders on zones; called before the first start."""
        orders = self.control.orders = SimulatedOrders(simulation, self.judge.contact)
        self.judge.evacuations = EvacuationJudge(simulation, self.platform, orders)
        return orders

    def heal(self) -> None:
        """End all faults outside the core."""
        self.data_plane.heal_partitions()
        self.platform.set_unreachable(False)
        for name in self.data_plane.nodes:
            self.data_plane.thaw(name)

    def check_end(self) -> None:
        """Check that all data plane schedulers are in touch and certain of the newest configuration."""
        newest = self.judge.newest_acknowledged
        for name, scheduler in self.data_plane.schedulers().items():
            assert self.judge.contact.in_touch(name), f"{name} is not in touch at the end"
            assert scheduler.generation == (newest or None), f"{name} holds {scheduler.generation}"
            assert not newest or not scheduler.in_doubt(), f"{name} is in doubt at the end"
