"""Tallies through the operator API of three control plane nodes.

Guards against an API without operations for tallies: each node answered all calls of applications with 404,
and no metric or log line showed it, because calls to unknown paths were neither counted nor logged. Such a
call is logged now:

    {"level":"warning","event":"operator call","method":"POST","path":"/reedspoke/tallies/t3","status":404,
     "code":501,"message":"unknown path /reedspoke/tallies/t3"}
"""

from __future__ import annotations

import json
from functools import partial

from tests.control_plane_process.fleet import Fleet, Node
from tests.control_plane_process.stand_ins import send_request, wait_until

ACKNOWLEDGED_S = 6.0
MERGED_S = 3.0
PATH = "/reedspoke/tallies/t3"


def add(node: Node, instance_id: str, amount: int) -> int:
    """Add to the tally at a node and return the status of the answer, or 0 without an answer."""
    body = json.dumps({"instance_id": instance_id, "held_by": amount}).encode()
    reply = send_request(node.operator_address, "POST", PATH, body)
    return 0 if reply is None else reply.status


def total(node: Node) -> int | None:
    """The total that a node reports, or None if it reports none."""
    reply = send_request(node.operator_address, "GET", PATH)
    if reply is None or reply.status != 200:
        return None
    found: int = json.loads(reply.body)["total"]
    return found


def reads(node: Node, expected: int) -> bool:
    """Whether a node reports this total."""
    return total(node) == expected


def test_an_acknowledged_add_is_read_everywhere_once_and_after_all_were_killed(fleet: Fleet) -> None:
    first, second, _ = fleet.nodes
    wait_until(lambda: add(first, "5c0e7a21d94b36f8", 4) == 200, ACKNOWLEDGED_S, "an add is acknowledged")
    assert total(first) == 4
    wait_until(
        lambda: add(second, "5c0e7a21d94b36f8", 4) == 200,
        ACKNOWLEDGED_S,
        "the same add is acknowledged at another node",
    )
    wait_until(
        lambda: add(second, "0000000000000001", 9) == 200,
        ACKNOWLEDGED_S,
        "another add is acknowledged at another node",
    )
    for node in fleet.nodes:
        wait_until(partial(reads, node, 13), MERGED_S, "each node reports the same total")
    for node in fleet.nodes:
        node.kill()
    for node in fleet.nodes:
        node.start()
    for node in fleet.nodes:
        wait_until(
            partial(reads, node, 13), ACKNOWLEDGED_S, "the total is the same after all nodes were killed"
        )
