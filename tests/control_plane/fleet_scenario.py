"""Helpers of the named fault scenarios: a fleet in service, and changes submitted all the time."""

from __future__ import annotations

from tests.control_plane.operators import Order
from tests.control_plane.random_schedule import FaultScenario
from tests.control_plane.simulation import Simulation

START_S = 4.0  # all schedulers are in touch after this
ORDER_INTERVAL_S = 0.5


def fleet_in_service(seed: int, machines: int = 3, tolerated: int = 1) -> FaultScenario:
    """A fleet with one configuration in force."""
    scenario = FaultScenario(seed, Simulation(seed, machines, tolerated))
    scenario.simulation.settle()
    scenario.operators.order_next()
    scenario.simulation.run(START_S)
    assert not scenario.operators.open_orders()
    return scenario


def run_with_orders(scenario: FaultScenario, seconds: float, at: str | None = None) -> list[Order]:
    """Let time pass with a change of the newest configuration every ORDER_INTERVAL_S, sent to `at` first."""
    orders = []
    end = scenario.simulation.now + seconds
    while scenario.simulation.now < end:
        newest = scenario.operators.newest()
        orders.append(scenario.operators.order(newest, newest + 1, at=at))
        scenario.simulation.run(ORDER_INTERVAL_S)
    return orders


def acknowledged(scenario: FaultScenario, orders: list[Order]) -> list[Order]:
    """Those of the orders whose change has been acknowledged."""
    changes = scenario.simulation.judge.changes
    return [order for order in orders if changes[order.document].acknowledged]
