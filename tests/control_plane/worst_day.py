"""What the named schedules of the worst days have in common: a fleet in service, and orders all the time."""

from __future__ import annotations

from tests.control_plane.operators import Order
from tests.control_plane.random_schedule import World
from tests.control_plane.simulation import Simulation

START_S = 4.0  # the fleet is in touch after that
ORDER_INTERVAL_S = 0.5


def fleet_in_service(seed: int, machines: int = 3, tolerated: int = 1) -> World:
    """A fleet that has one configuration in force."""
    world = World(seed, Simulation(seed, machines, tolerated))
    world.simulation.settle()
    world.operators.order_next()
    world.simulation.run(START_S)
    assert not world.operators.open_orders()
    return world


def run_with_orders(world: World, seconds: float, at: str | None = None) -> list[Order]:
    """Let time pass with an order on the newest version every ORDER_INTERVAL_S, sent to `at` first."""
    orders = []
    end = world.simulation.now + seconds
    while world.simulation.now < end:
        newest = world.operators.newest()
        orders.append(world.operators.order(newest, newest + 1, at=at))
        world.simulation.run(ORDER_INTERVAL_S)
    return orders


def acknowledged(world: World, orders: list[Order]) -> list[Order]:
    """Those of the orders that have been acknowledged."""
    changes = world.simulation.judge.changes
    return [order for order in orders if changes[order.document].acknowledged]
