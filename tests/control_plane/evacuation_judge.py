"""Checks that data plane nodes in touch obey the newest order on the zone of all workers."""

from __future__ import annotations

from reedspoke.common.messages import WorkerEntry
from reedspoke.control_plane.workers.platform_messages import STATE_DRAINING
from tests.control_plane.simulated_orders import SimulatedOrders
from tests.control_plane.simulated_parts import VirtualTime
from tests.control_plane.simulated_platform import SimulatedPlatform

EVACUATE_S = 5.0  # after its acknowledgement an order is obeyed


class EvacuationJudge:
    """Checks the lists by which data plane nodes choose workers; `looks` counts the checks."""

    def __init__(
        self, virtual_time: VirtualTime, platform: SimulatedPlatform, orders: SimulatedOrders
    ) -> None:
        self.looks = 0
        self._virtual_time = virtual_time
        self._platform = platform
        self._orders = orders

    def check(self, name: str, workers: tuple[WorkerEntry, ...]) -> None:
        """Check the list of a node that is in touch."""
        now = self._virtual_time.now
        if not self._orders.placed or now - self._orders.placed[-1].at < EVACUATE_S:
            return
        self.looks += 1
        if self._orders.placed[-1].evacuated:
            up = [worker.instance_id for worker in workers if not worker.draining]
            assert not up, f"{name} sends to {up} in an evacuated zone"
            return
        _, listed = self._platform.list_at(now)
        for worker in workers:
            instance = listed.get(worker.instance_id)
            leaves = instance is None or instance.state == STATE_DRAINING
            assert leaves or not worker.draining, (
                f"{name} spares {worker.instance_id} though the zone is not evacuated"
            )
