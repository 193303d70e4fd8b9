"""Evacuations in a simulated fleet: whatever the platform does, an acknowledged order is obeyed in time.

The checks are in `evacuation_judge`.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

import pytest

from tests.control_plane.evacuation_judge import EVACUATE_S
from tests.control_plane.random_schedule import FaultScenario, draw_steps
from tests.control_plane.simulated_orders import SimulatedOrders
from tests.control_plane.simulation import Simulation

START_S = 4.0
OUTAGE_S = 2.5  # longer than it takes until the holder of the discovery lease gives it up
RESTART_S = 1.0
RECOVERED_S = 6.0  # after which all nodes are in touch again
STEPS = 60


class Story:
    """A fleet with orders; the platform is silent once `silence` has been called."""

    def __init__(self, seed: int, machines: int = 3, tolerated: int = 1) -> None:
        self.scenario = FaultScenario(seed, Simulation(seed, machines, tolerated))
        self.simulation = self.scenario.simulation
        self.fleet = self.scenario.fleet
        self.orders: SimulatedOrders = self.fleet.serve_orders(self.simulation)
        self.simulation.settle()
        self.scenario.operators.order_next()
        self.simulation.run(START_S)

    def silence(self) -> None:
        """The platform answers no call from now on."""
        self.fleet.platform.set_unreachable(True)
        self.simulation.run(OUTAGE_S)

    def order(self, evacuated: bool) -> None:
        """Send an order until it is acknowledged, and wait until it has to be obeyed."""
        assert self.simulation.run_until(lambda: self.orders.place(evacuated), RECOVERED_S)
        self.obeyed()

    def obeyed(self) -> None:
        """Wait until the newest order has to be obeyed by all, and check that this was judged."""
        self.simulation.run(EVACUATE_S + RECOVERED_S)
        assert self.fleet.judge.evacuations is not None
        before = self.fleet.judge.evacuations.looks
        self.simulation.run(1.0)
        assert self.fleet.judge.evacuations.looks > before

    def restart_control(self) -> None:
        """All control plane processes are killed and start again."""
        for address in list(self.simulation.machines):
            self.simulation.kill(address, RESTART_S)
        self.simulation.run(RECOVERED_S)

    def restart_edges(self) -> None:
        """All data plane processes are killed and start again."""
        for name in self.fleet.data_plane.nodes:
            self.fleet.data_plane.kill(name, RESTART_S)
        self.simulation.run(RECOVERED_S)

    def kill_holder(self) -> None:
        """The process that holds the discovery lease is killed, and starts again."""
        for address in self._holders():
            self.simulation.kill(address, RESTART_S)
        self.simulation.run(RESTART_S)

    def hand_over(self) -> None:
        """The process that holds the discovery lease ends after SIGTERM, and starts again."""
        for address in self._holders():
            self.simulation.shut_down(address)
            self.simulation.at(self.simulation.now + RESTART_S, partial(self.simulation.start, address))
        self.simulation.run(RECOVERED_S)

    def cut_holder_off(self) -> None:
        """The process that holds the discovery lease is cut off from all others for some time."""
        self.simulation.cut_off(self._holders())
        for address in self._holders():
            for name in self.fleet.data_plane.nodes:
                self.fleet.data_plane.partition(name, [address])
        self.simulation.run(RECOVERED_S)
        self.simulation.restore_links()
        self.fleet.data_plane.heal_partitions()
        self.simulation.run(RECOVERED_S)

    def _holders(self) -> list[str]:
        running = self.fleet.control.running.items()
        return [address for address, control in running if control.term_held() is not None]

    def platform_is_back_with_another_list(self) -> None:
        """The platform answers again; a worker has come, and another one drains."""
        self.fleet.platform.add_worker()
        self.fleet.platform.drain_worker(Random(1), lasts=60.0)
        self.fleet.platform.set_unreachable(False)
        self.simulation.run(RECOVERED_S)


def nothing(story: Story) -> None:
    """Nothing else happens."""


TROUBLES: list[Callable[[Story], None]] = [
    nothing,
    Story.kill_holder,
    Story.hand_over,
    Story.cut_holder_off,
    Story.restart_control,
    Story.restart_edges,
]


@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("evacuated", [True, False], ids=["evacuated", "withdrawn"])
@pytest.mark.parametrize("is_before", [True, False], ids=["before", "after"])
def test_an_order_is_obeyed_without_the_platform(
    trouble: Callable[[Story], None], evacuated: bool, is_before: bool
) -> None:
    """The trouble comes before the order or after it, while the platform is silent."""
    story = Story(seed=7)
    if not evacuated:
        story.order(True)
    story.silence()
    if is_before:
        trouble(story)
    story.order(evacuated)
    if not is_before:
        trouble(story)
        story.obeyed()
    story.platform_is_back_with_another_list()
    story.obeyed()
    story.order(not evacuated)


def test_an_order_of_before_the_silence_is_obeyed_after_all_control_processes_restarted() -> None:
    story = Story(seed=8)
    story.order(True)
    story.silence()
    story.restart_control()
    story.obeyed()
    story.order(False)
    story.order(True)


@pytest.mark.parametrize(
    ("seed", "machines", "tolerated"),
    [(seed, 3, 1) for seed in range(1, 13)] + [(seed, 5, 2) for seed in range(21, 29)],
)
def test_orders_are_obeyed_in_random_schedules(seed: int, machines: int, tolerated: int) -> None:
    play(seed, STEPS, machines, tolerated)


def play(seed: int, steps: int, machines: int, tolerated: int) -> None:
    """Run a random schedule of faults, with an operator who sends orders all the time."""
    scenario = FaultScenario(seed, Simulation(seed, machines, tolerated))
    orders = scenario.fleet.serve_orders(scenario.simulation)
    orders.place_all_the_time(Random(f"orders {seed}"))
    for step in draw_steps(seed, steps):
        scenario.run_step(step)
    scenario.end()
    assert orders.placed
