"""Operators evacuate a zone and withdraw the evacuation, on three real control plane nodes."""

from __future__ import annotations

import json
from functools import partial

from tests.control_plane_process.fleet import Fleet, Node
from tests.control_plane_process.stand_ins import (
    EdgeClient,
    send_request,
    wait_for_leased_workers,
    wait_until,
)

ACKNOWLEDGED_S = 6.0
PUBLISHED_S = 3.0
PATH = "/reedspoke/evacuation/za"


def order(node: Node, method: str) -> bool:
    """Send an order to a node and return whether it is acknowledged."""
    reply = send_request(node.operator_address, method, PATH)
    assert reply is None or reply.status in (200, 503, 504), reply
    return reply is not None and reply.status == 200


def zone_drains(fleet: Fleet, expected: bool) -> bool:
    """Whether the status of each node and the list sent to data plane nodes show `expected` for the zone."""
    for node in fleet.nodes:
        if (node.status().get("evacuated") == ["za"]) != expected:
            return False
    client = EdgeClient(fleet.nodes[0].peer_address)
    try:
        workers = wait_for_leased_workers(client).workers
    finally:
        client.close()
    return all(worker.draining == expected for worker in workers)


def test_an_evacuation_stays_in_force_until_it_is_withdrawn_also_after_all_nodes_were_killed(
    fleet: Fleet,
) -> None:
    first, second, third = fleet.nodes
    wait_until(partial(order, first, "POST"), ACKNOWLEDGED_S, "the evacuation is acknowledged")
    assert order(second, "POST")  # repeated at another node
    wait_until(partial(zone_drains, fleet, True), PUBLISHED_S, "the zone's workers drain")
    for node in fleet.nodes:
        node.kill()
    for node in fleet.nodes:
        node.start()
    wait_until(
        partial(zone_drains, fleet, True),
        2 * ACKNOWLEDGED_S,
        "the evacuation is in force after all nodes were killed",
    )
    wait_until(partial(order, third, "DELETE"), ACKNOWLEDGED_S, "the withdrawal is acknowledged")
    wait_until(partial(zone_drains, fleet, False), PUBLISHED_S, "the zone's workers are used again")
    calls = [json.loads(line) for line in third.log_file.read_text().splitlines() if PATH in line]
    assert calls[-1]["method"] == "DELETE"
