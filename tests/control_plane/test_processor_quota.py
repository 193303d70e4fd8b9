"""Test that processes suspended for 90 ms of each 100 ms are not taken for lost."""

from __future__ import annotations

import pytest

from tests.control_plane.fleet_scenario import acknowledged, fleet_in_service, run_with_orders
from tests.control_plane.processor_quota import ProcessorQuota
from tests.control_plane.random_schedule import FaultScenario

RUN_S = 20.0
CHECK_INTERVAL_S = 0.007  # not a divisor of the period
ACKNOWLEDGED_S = 2.0  # half of the shortest `ack_ms`


def _views(scenario: FaultScenario) -> dict[str, int]:
    return {
        address: machine.replica.view.number
        for address, machine in scenario.simulation.machines.items()
        if machine.replica is not None and machine.replica.view is not None
    }


def _terms(scenario: FaultScenario) -> set[int]:
    running = scenario.fleet.control.running.values()
    return {term for scheduler in running if (term := scheduler.term_held()) is not None}


def _channels(scenario: FaultScenario) -> dict[str, int]:
    """Return how many sessions each data plane node has opened."""
    return {
        name: len(node.scheduler.channels)
        for name, node in scenario.fleet.data_plane.nodes.items()
        if node.scheduler is not None
    }


class ConfirmationWatch:
    """Checks every CHECK_INTERVAL_S whether a data plane node's last confirmation is too old."""

    def __init__(self, scenario: FaultScenario) -> None:
        self._scenario = scenario
        self.checks = 0
        self.found: list[tuple[float, str]] = []
        self._check()

    def _check(self) -> None:
        now = self._scenario.simulation.now
        self._scenario.simulation.at(now + CHECK_INTERVAL_S, self._check)
        for name, scheduler in self._scenario.fleet.data_plane.schedulers().items():
            self.checks += 1
            if scheduler.confirmation.is_expired(scheduler.loop.time()):
                self.found.append((now, name))


@pytest.mark.parametrize(("machines", "tolerated"), [(3, 1), (5, 2)])
@pytest.mark.parametrize("seed", [71, 72, 73])
def test_suspended_processes_are_not_taken_for_lost(seed: int, machines: int, tolerated: int) -> None:
    """No view changes, the discovery lease keeps its term, and sessions and confirmations stay current."""
    scenario = fleet_in_service(seed, machines, tolerated)
    simulation = scenario.simulation
    simulation.run(3.0)
    views, terms = _views(scenario), _terms(scenario)
    assert len(terms) == 1
    channels = _channels(scenario)
    watch = ConfirmationWatch(scenario)
    ProcessorQuota(scenario)
    orders = run_with_orders(scenario, RUN_S)
    simulation.run(ACKNOWLEDGED_S)
    assert acknowledged(scenario, orders) == orders
    assert _views(scenario) == views
    assert _terms(scenario) == terms
    assert watch.checks > 20 * RUN_S  # checks of processes that run at that time
    assert watch.found == []
    assert _channels(scenario) == channels
