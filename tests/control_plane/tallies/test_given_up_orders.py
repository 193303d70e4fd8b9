"""Orders that a node logged and nobody was told of never prevail over orders that were acknowledged later.

Each story: one node takes an order, and its log, or what it sends, is held up as soon as the order is given
to the log. The operator gives it up and sends another order, which is acknowledged by another node. Then the
first node comes back with all that it has.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec import Struct

from reedspoke.control_plane.evacuation.order_log import EVACUATED, WITHDRAWN, order_tally
from reedspoke.control_plane.tallies.messages import TallyAdd
from tests.control_plane.tallies.simulated_tallies import ZONE, Node, OrderRecord, Simulation

ANSWERED_S = 12.0
GIVEN_UP_S = 5.0
STEP_S = 0.05


class Fleet(Struct, frozen=True):
    """The number of machines, and how many of them may be lost."""

    machines: int
    tolerated: int


FLEETS = [Fleet(3, 1), Fleet(4, 1), Fleet(5, 1), Fleet(5, 2)]


def simulated(fleet: Fleet, seed: int = 1) -> Simulation:
    """A simulation whose nodes have met."""
    simulation = Simulation(seed, fleet.machines, fleet.tolerated)
    simulation.run(1.5)
    return simulation


def links_of(simulation: Simulation, node: Node) -> set[tuple[str, str]]:
    """The links between a node and all others, in both directions."""
    others = set(simulation.nodes) - {node.name}
    return {(node.name, other) for other in others} | {(other, node.name) for other in others}


def send(simulation: Simulation, node: Node, evacuated: bool) -> OrderRecord:
    """Send a new order to a node."""
    order = OrderRecord(evacuated)
    simulation.orders.append(order)
    simulation.order(node, order)
    return order


def acknowledge(simulation: Simulation, nodes: list[Node], evacuated: bool) -> None:
    """Send a new order, and send it again to one node after the other until it is acknowledged."""
    order = send(simulation, nodes[0], evacuated)
    end = simulation.now + ANSWERED_S
    while not order.acknowledged and simulation.now < end:
        attempt = int(simulation.now) % len(nodes)
        simulation.order(nodes[attempt], order)
        simulation.run(STEP_S)
    assert order.acknowledged


def cut_off(simulation: Simulation, node: Node) -> Callable[[], None]:
    """Cut a node off; it stores what it has."""
    simulation.set_cut(links_of(simulation, node))
    return lambda: simulation.set_cut(set())


def kill_all_as_the_order_is_stored(simulation: Simulation, node: Node) -> Callable[[], None]:
    """Kill all processes once the node has stored the order; the others start again."""
    simulation.set_cut(links_of(simulation, node))

    def kill() -> None:
        simulation.set_cut(set())
        for one in simulation.nodes.values():
            simulation.kill(one)
            if one is not node:
                simulation.at(1.0, lambda one=one: simulation.start(one))  # type: ignore[misc]

    simulation.at(0.1, kill)
    return lambda: simulation.start(node)


def stall_disk(simulation: Simulation, node: Node) -> Callable[[], None]:
    """The disk of the node stalls before it has stored the order."""
    node.disk.is_stalled = True

    def end() -> None:
        node.disk.is_stalled = False

    return end


def fill_disk(simulation: Simulation, node: Node) -> Callable[[], None]:
    """The disk of the node is full, but has the order after a restart."""
    node.disk.is_failing = True

    def restart() -> None:
        node.disk.records += node.disk.failed_records
        node.disk.failed_records = []
        simulation.kill(node)
        simulation.start(node)

    return restart


def stop_other_disks(simulation: Simulation, node: Node) -> Callable[[], None]:
    """The disks of all others stall; the node stores the order, and its process is killed."""
    for other in simulation.nodes.values():
        other.disk.is_stalled = other is not node

    def kill() -> None:
        simulation.kill(node)
        for other in simulation.nodes.values():
            other.disk.is_stalled = False

    simulation.set_cut(links_of(simulation, node))
    simulation.at(0.2, lambda: simulation.set_cut(set()))
    simulation.at(0.1, kill)
    return lambda: simulation.start(node)


def pause(simulation: Simulation, node: Node) -> Callable[[], None]:
    """The process of the node is paused as soon as the order is given to its log."""
    simulation.at(0.0, lambda: simulation.freeze(node))
    return lambda: simulation.thaw(node)


DISTURBANCES = [pause, cut_off, kill_all_as_the_order_is_stored, stall_disk, fill_disk, stop_other_disks]


@pytest.mark.parametrize("fleet", FLEETS, ids=str)
@pytest.mark.parametrize("disturb", DISTURBANCES)
@pytest.mark.parametrize("last", [True, False], ids=["last=evacuated", "last=withdrawn"])
@pytest.mark.parametrize("first", [None, True, False], ids=["no-first", "first=evacuated", "first=withdrawn"])
@pytest.mark.parametrize("ahead", [True, False], ids=["ahead", "not-ahead"])
def test_an_order_in_one_log_never_prevails_over_a_later_acknowledged_one(
    fleet: Fleet,
    disturb: Callable[[Simulation, Node], Callable[[], None]],
    last: bool,
    first: bool | None,
    ahead: bool,
) -> None:
    """With numbers that are reserved ahead, and with numbers that are reserved when they are needed."""
    simulation = simulated(fleet)
    simulation.reserves_ahead = ahead
    node, *others = simulation.nodes.values()
    if first is not None:
        acknowledge(simulation, others, first)
        simulation.run(0.5)
    ends: list[Callable[[], None]] = []
    simulation.on_order_logged = lambda logging_node: ends.append(disturb(simulation, logging_node))
    send(simulation, node, not last)
    simulation.run(GIVEN_UP_S)
    assert ends, "the order was not given to the log"
    acknowledge(simulation, others, last)
    ends[0]()
    simulation.settle()
    assert simulation.problems == []
    assert simulation.evacuated_at_all_nodes() == {last}


@pytest.mark.parametrize("fleet", FLEETS, ids=str)
@pytest.mark.parametrize("last", [True, False], ids=["last=evacuated", "last=withdrawn"])
@pytest.mark.parametrize("count", [1, 2, 3])
def test_orders_of_the_version_before_in_one_log_do_not_prevail(fleet: Fleet, last: bool, count: int) -> None:
    """The version before numbers an order by adding 1 to the newest one, and reserves no number."""
    simulation = simulated(fleet)
    node, *others = simulation.nodes.values()
    acknowledge(simulation, others, last)
    simulation.run(0.5)
    simulation.set_cut(links_of(simulation, node))
    for index in range(count):
        assert node.replica is not None
        newest = node.replica.newest(order_tally(ZONE))
        assert newest is not None
        amount = WITHDRAWN if (count - index) % 2 == last else EVACUATED
        add = TallyAdd(order_tally(ZONE), newest.add_id + 1, amount)
        simulation.log_order(node, OrderRecord(amount == EVACUATED), add, simulation.now)
        simulation.run(0.1)
    assert simulation.evacuated_at_all_nodes() == {True, False}
    simulation.run(GIVEN_UP_S)
    acknowledge(simulation, others, last)
    simulation.settle()
    assert simulation.problems == []
    assert simulation.evacuated_at_all_nodes() == {last}


@pytest.mark.parametrize("fleet", FLEETS, ids=str)
@pytest.mark.parametrize("last", [True, False], ids=["last=evacuated", "last=withdrawn"])
def test_a_later_order_prevails_though_disks_were_lost_in_between(fleet: Fleet, last: bool) -> None:
    """As many disks as may be lost are lost with the reservation that they hold."""
    simulation = simulated(fleet)
    node, *others = simulation.nodes.values()
    acknowledge(simulation, others, last)
    simulation.on_order_logged = lambda logging_node: simulation.set_cut(links_of(simulation, logging_node))
    send(simulation, node, not last)
    simulation.run(GIVEN_UP_S)
    simulation.set_cut(set())
    simulation.kill(node)
    lost = others[: fleet.tolerated]
    for one in lost:
        simulation.lose_disk(one)
    simulation.start(node)  # too few nodes have all orders without it
    for one in lost:
        simulation.start(one)
    simulation.run(GIVEN_UP_S)
    simulation.kill(node)
    acknowledge(simulation, others, last)
    simulation.settle()
    assert simulation.problems == []
    assert simulation.evacuated_at_all_nodes() == {last}


@pytest.mark.parametrize("fleet", FLEETS, ids=str)
@pytest.mark.parametrize("last", [True, False], ids=["last=evacuated", "last=withdrawn"])
def test_a_restarted_node_shows_no_older_order_while_losses_overlap(fleet: Fleet, last: bool) -> None:
    """A node missed an order; those that have it are down or have lost their disks while it starts.

    As many disks are lost as may be; all others that have the order return later.
    """
    simulation = simulated(fleet)
    missing, *others = simulation.nodes.values()
    acknowledge(simulation, others, not last)
    simulation.run(0.5)
    simulation.kill(missing)
    simulation.run(GIVEN_UP_S)
    acknowledge(simulation, others, last)
    simulation.run(0.5)
    lost, *down = others
    for one in down:
        simulation.kill(one)
    simulation.lose_disk(lost)
    simulation.start(lost)
    simulation.start(missing)
    simulation.run(GIVEN_UP_S)
    assert missing.replica is not None
    assert not missing.replica.has_all_acknowledged()
    simulation.settle()
    assert missing.replica.has_all_acknowledged()
    assert simulation.problems == []
    assert simulation.evacuated_at_all_nodes() == {last}


@pytest.mark.parametrize("fleet", FLEETS, ids=str)
def test_all_nodes_know_the_orders_though_most_disks_were_lost(fleet: Fleet) -> None:
    """More disks are lost than may be: no quorum is left, but nobody is missing either."""
    simulation = simulated(fleet)
    first, *others = simulation.nodes.values()
    for one in simulation.nodes.values():
        simulation.kill(one)
    for one in others:
        simulation.lose_disk(one)
    for one in simulation.nodes.values():
        simulation.start(one)
    simulation.run(GIVEN_UP_S)
    replicas = [node.replica for node in simulation.nodes.values()]
    assert all(replica is not None and replica.has_all_acknowledged() for replica in replicas)


def test_an_order_that_nothing_holds_up_is_acknowledged_at_once() -> None:
    """An order does not wait for the next periodic digests: the nodes answer its sync at once."""
    slowest = 0.0
    for seed in range(20):
        simulation = simulated(Fleet(5, 2), seed)
        node = simulation.nodes["n0"]
        began = simulation.now
        order = send(simulation, node, evacuated=True)
        while not order.acknowledged:
            simulation.run(0.001)
        slowest = max(slowest, simulation.now - began)
    assert slowest < 0.05
