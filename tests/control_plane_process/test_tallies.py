"""Applications counted with tallies, and not one of their calls was served: each control scheduler answered
404 from the first second on, so that at the end of the day what should have been counted could not be read.
The API had no operation for the path, and as nothing counted or logged a call without one, no figure rose.

What settled it, on a fleet on loopback:

    {"level":"warning","event":"operator call","method":"POST","path":"/reedspoke/tallies/t3","status":404,
     "code":501,"message":"unknown path /reedspoke/tallies/t3"}
"""

from __future__ import annotations

import json
from functools import partial

from tests.control_plane_process.fleet import Fleet, Node
from tests.control_plane_process.stand_ins import send_request, wait_until

COUNTED_S = 6.0
MERGED_S = 3.0
PATH = "/reedspoke/tallies/t3"


def add(node: Node, instance_id: str, amount: int) -> int:
    """The status of an add; 0 where there was no answer."""
    body = json.dumps({"instance_id": instance_id, "held_by": amount}).encode()
    reply = send_request(node.operator_address, "POST", PATH, body)
    return 0 if reply is None else reply.status


def total(node: Node) -> int | None:
    """What a node reads; None where it can't be read there."""
    reply = send_request(node.operator_address, "GET", PATH)
    if reply is None or reply.status != 200:
        return None
    found: int = json.loads(reply.body)["total"]
    return found


def reads(node: Node, expected: int) -> bool:
    """Whether a node reads this total."""
    return total(node) == expected


def test_an_acknowledged_add_is_read_everywhere_once_and_after_all_were_killed(fleet: Fleet) -> None:
    first, second, _ = fleet.nodes
    wait_until(lambda: add(first, "5c0e7a21d94b36f8", 4) == 200, COUNTED_S, "an add is acknowledged")
    assert total(first) == 4
    wait_until(lambda: add(second, "5c0e7a21d94b36f8", 4) == 200, COUNTED_S, "the same add, at another node")
    wait_until(lambda: add(second, "0000000000000001", 9) == 200, COUNTED_S, "an add at another node")
    for node in fleet.nodes:
        wait_until(partial(reads, node, 13), MERGED_S, "each node reads the same")
    for node in fleet.nodes:
        node.kill()
    for node in fleet.nodes:
        node.start()
    for node in fleet.nodes:
        wait_until(partial(reads, node, 13), COUNTED_S, "it is there after all were killed")
