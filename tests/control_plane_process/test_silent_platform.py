"""Evacuations on three real nodes while the platform does not answer."""

from __future__ import annotations

from functools import partial

import pytest

from reedspoke.common.messages import EvacuationOrders, WorkerList
from tests.control_plane_process.fleet import Fleet, Node
from tests.control_plane_process.stand_ins import (
    EARLIER_SOURCES,
    EdgeClient,
    send_request,
    wait_for_leased_workers,
    wait_until,
)

ZONE = "za"  # of all workers
PATH = f"/reedspoke/evacuation/{ZONE}"
EVACUATE_S = 5.0  # within which the deployments want an order obeyed
ACKNOWLEDGED_S = 8.0
RELEASED_S = 6.0
UNAVAILABLE = 503


def order(node: Node, evacuated: bool) -> None:
    """Repeat an order until it is acknowledged."""

    def is_acknowledged() -> bool:
        reply = send_request(node.operator_address, "POST" if evacuated else "DELETE", PATH)
        return reply is not None and reply.status == 200

    wait_until(is_acknowledged, ACKNOWLEDGED_S, f"acknowledged: {evacuated}")


def all_drain(edge: EdgeClient, expected: bool, lists: list[WorkerList]) -> bool:
    """Whether all workers of the newest list drain, or none does; `lists` has those received so far."""
    answer = edge.fetch_updates().get("workers")
    if isinstance(answer, WorkerList):
        lists.append(answer)
    return bool(lists) and {worker.draining for worker in lists[-1].workers} == {expected}


def silence(fleet: Fleet) -> None:
    """Let the platform fail until the first holder of the discovery lease has given it up."""
    fleet.platform.status = UNAVAILABLE
    released = "discovery lease released"
    wait_until(
        lambda: any(released in node.log_file.read_text() for node in fleet.nodes), RELEASED_S, released
    )


@pytest.mark.parametrize("evacuated", [True, False], ids=["evacuated", "withdrawn"])
def test_an_order_is_published_while_the_platform_fails(fleet: Fleet, evacuated: bool) -> None:
    """Guards against an order that nobody publishes once the discovery lease has passed on.

    The data plane node is one of the version before, which knows of orders by lists alone.
    """
    edge = EdgeClient(fleet.nodes[0].peer_address)
    lists = [wait_for_leased_workers(edge)]
    if not evacuated:
        order(fleet.nodes[1], True)
        wait_until(partial(all_drain, edge, True, lists), EVACUATE_S, "the zone drains")
    silence(fleet)
    order(fleet.nodes[1], evacuated)
    wait_until(partial(all_drain, edge, evacuated, lists), EVACUATE_S, f"all workers drain: {evacuated}")
    edge.close()


@pytest.mark.parametrize("evacuated", [True, False], ids=["evacuated", "withdrawn"])
def test_an_order_is_delivered_though_no_node_has_a_list(fleet: Fleet, evacuated: bool) -> None:
    """Guards against an order that rides on a list: after a restart there is none without the platform."""
    order(fleet.nodes[0], not evacuated)
    fleet.platform.status = UNAVAILABLE
    for node in fleet.nodes:
        node.kill()
    for node in fleet.nodes:
        node.start()
    order(fleet.nodes[1], evacuated)
    edge = EdgeClient(fleet.nodes[2].peer_address, sources=(*EARLIER_SOURCES, "evacuations"))
    delivered: list[EvacuationOrders] = []

    def is_delivered() -> bool:
        answer = edge.fetch_updates().get("evacuations")
        delivered.extend([answer] if isinstance(answer, EvacuationOrders) else [])
        return bool(delivered) and delivered[-1].orders[0].evacuated == evacuated

    wait_until(is_delivered, EVACUATE_S, "the order is delivered")
    assert [one.zone for one in delivered[-1].orders] == [ZONE]
    assert edge.versions.get("workers", (0, 0)) == (0, 0)
    edge.close()


def test_a_node_that_does_not_know_the_orders_delivers_none(fleet: Fleet) -> None:
    """Guards against an older order, or none, from a node that was down when a newer one was sent."""
    first, second, third = fleet.nodes
    first.kill()
    order(second, True)
    for node in (second, third):
        node.kill()
    first.start()
    wait_until(
        lambda: send_request(first.operator_address, "GET", "/reedspoke/status"), ACKNOWLEDGED_S, "it is up"
    )
    edge = EdgeClient(first.peer_address, sources=(*EARLIER_SOURCES, "evacuations"))
    for _ in range(5):
        assert "evacuations" not in edge.watch_once().versions
    edge.close()
