"""All processes stand still for 90 ms of each 100: nothing of that is taken for a loss."""

from __future__ import annotations

import pytest

from tests.control_plane.processor_quota import ProcessorQuota
from tests.control_plane.random_schedule import World
from tests.control_plane.worst_day import acknowledged, fleet_in_service, run_with_orders

PLAYED_S = 20.0
LOOK_S = 0.007  # no multiple of the period
ACKNOWLEDGED_S = 2.0  # half of the shortest `ack_ms`


def _views(world: World) -> dict[str, int]:
    return {
        address: machine.replica.view.number
        for address, machine in world.simulation.machines.items()
        if machine.replica is not None and machine.replica.view is not None
    }


def _terms(world: World) -> set[int]:
    running = world.fleet.control.running.values()
    return {term for scheduler in running if (term := scheduler.term_held()) is not None}


def _channels(world: World) -> dict[str, int]:
    """How many sessions each data plane scheduler has opened."""
    return {
        name: len(node.scheduler.channels)
        for name, node in world.fleet.data_plane.nodes.items()
        if node.scheduler is not None
    }


class DoubtWatch:
    """Looks every LOOK_S whether a data plane scheduler has not heard of the newest version for too long."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.looks = 0
        self.found: list[tuple[float, str]] = []
        self._look()

    def _look(self) -> None:
        now = self._world.simulation.now
        self._world.simulation.at(now + LOOK_S, self._look)
        for name, scheduler in self._world.fleet.data_plane.schedulers().items():
            self.looks += 1
            if scheduler.confirmation.is_expired(scheduler.loop.time()):
                self.found.append((now, name))


@pytest.mark.parametrize(("machines", "tolerated"), [(3, 1), (5, 2)])
@pytest.mark.parametrize("seed", [71, 72, 73])
def test_standing_still_is_taken_for_no_loss(seed: int, machines: int, tolerated: int) -> None:
    """No view changes, no duty changes hands, no session is opened anew, no configuration grows old."""
    world = fleet_in_service(seed, machines, tolerated)
    simulation = world.simulation
    simulation.run(3.0)
    views, terms = _views(world), _terms(world)
    assert len(terms) == 1
    channels = _channels(world)
    doubts = DoubtWatch(world)
    ProcessorQuota(world)
    orders = run_with_orders(world, PLAYED_S)
    simulation.run(ACKNOWLEDGED_S)
    assert acknowledged(world, orders) == orders
    assert _views(world) == views
    assert _terms(world) == terms
    assert doubts.looks > 20 * PLAYED_S  # of processes that run at that moment
    assert doubts.found == []
    assert _channels(world) == channels
