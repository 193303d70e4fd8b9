"""Orders on disks whose stores take long: how long a call waits, and that tries do not undo each other.

An operator waits for a second, then sends the order to the next node, as the API's callers do.
"""

from __future__ import annotations

from random import Random

import pytest

from reedspoke.control_plane.tallies.messages import TallyAdd
from tests.control_plane.tallies import simulated_tallies
from tests.control_plane.tallies.simulated_tallies import CALLER_TIMEOUT_S, Node, OrderRecord, Simulation

ACK_S = 5.0  # within which the deployments' operators want an order acknowledged
ADDS_PER_S = 25
BACKOFF_S = 0.1  # between two tries
STEP_S = 0.005


def simulated(monkeypatch: pytest.MonkeyPatch, store_s: float, seed: int = 1) -> Simulation:
    """Three machines that have met, on which each store takes `store_s`."""
    monkeypatch.setattr(simulated_tallies, "SYNC_S", (store_s, store_s))
    simulation = Simulation(seed, count=3, tolerated=1)
    simulation.run(3.0 + 20 * store_s)
    return simulation


def add_all_the_time(simulation: Simulation, random: Random) -> None:
    """Let applications add to a tally at all machines that run."""
    running = [node for node in simulation.nodes.values() if node.replica is not None]
    simulation.add(random.choice(running), TallyAdd("t", random.getrandbits(60), 1))
    simulation.at(1 / ADDS_PER_S, lambda: add_all_the_time(simulation, random))


def send_once(simulation: Simulation, node: Node, order: OrderRecord) -> None:
    """Send an order to a node, and wait for its answer until the caller gives up."""
    end = simulation.now + CALLER_TIMEOUT_S
    simulation.order(node, order)
    while not order.acknowledged and node.replica is not None and simulation.now < end:
        simulation.run(STEP_S)


def seconds_to_acknowledge(simulation: Simulation, evacuated: bool, first: int) -> float:
    """Send a new order to one node after the other, from the first one on, until it is acknowledged."""
    order = OrderRecord(evacuated)
    simulation.orders.append(order)
    nodes = list(simulation.nodes.values())
    began = simulation.now
    for attempt in range(first, first + 20):
        send_once(simulation, nodes[attempt % len(nodes)], order)
        if order.acknowledged:
            break
        simulation.run(BACKOFF_S)
    assert order.acknowledged
    return simulation.now - began


@pytest.mark.parametrize("store_s", [0.003, 0.03, 0.06, 0.12, 0.2, 0.3, 0.4])
def test_an_order_waits_for_one_store_on_two_disks(monkeypatch: pytest.MonkeyPatch, store_s: float) -> None:
    """Guards against an order that first reserves its number: on slow disks no call had the time for that."""
    simulation = simulated(monkeypatch, store_s)
    for number in range(12):
        waited = seconds_to_acknowledge(simulation, number % 2 == 0, first=number)
        assert waited < 2 * store_s + 0.03
        simulation.run(0.7 + 4 * store_s)
    assert simulation.problems == []


@pytest.mark.parametrize("is_one_down", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_an_order_is_acknowledged_in_time_beside_many_adds(
    monkeypatch: pytest.MonkeyPatch, seed: int, is_one_down: bool
) -> None:
    """Guards against tries that each begin anew, while none has the time to end."""
    simulation = simulated(monkeypatch, 0.4, seed)
    if is_one_down:
        simulation.kill(simulation.nodes["n2"])
        simulation.run(4.0)
    random = Random(seed)
    add_all_the_time(simulation, random)
    simulation.run(3.0)
    for number in range(6):
        waited = seconds_to_acknowledge(simulation, number % 2 == 0, first=random.randrange(3))
        assert waited < ACK_S
        simulation.run(1.0 + random.random())
    assert [problem for problem in simulation.problems if "SLOW" not in problem] == []
