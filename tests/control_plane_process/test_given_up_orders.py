"""Orders that got no answer never prevail over orders that were acknowledged later, on three real nodes."""

from __future__ import annotations

import signal
import socket
import threading
import time
from functools import partial

import pytest

from reedspoke.common.messages import WorkerList
from reedspoke.control_plane.evacuation.order_log import is_evacuated
from tests.control_plane_process.fleet import Fleet, Node
from tests.control_plane_process.logged_orders import logged_orders
from tests.control_plane_process.stand_ins import EdgeClient, fetch_new_workers, send_request, wait_until

ZONE = "za"
PATH = f"/reedspoke/evacuation/{ZONE}"
ACKNOWLEDGED_S = 8.0
LOGGED_S = 2.0
GIVE_UP_S = 0.4  # after which a caller hangs up; less than a paused node takes to lose its majority
UNDISTURBED_S = 3.0  # after which all nodes have what any of them has
MOST_ATTEMPTS = 8


def method_of(evacuated: bool) -> str:
    """The method of the call that orders this."""
    return "POST" if evacuated else "DELETE"


def is_acknowledged(node: Node, evacuated: bool) -> bool:
    """Send an order to a node and return whether it is acknowledged."""
    reply = send_request(node.operator_address, method_of(evacuated), PATH)
    assert reply is None or reply.status in (200, 503, 504), reply
    return reply is not None and reply.status == 200


def acknowledge(node: Node, evacuated: bool) -> None:
    """Repeat an order at a node until it is acknowledged."""
    wait_until(partial(is_acknowledged, node, evacuated), ACKNOWLEDGED_S, f"acknowledged: {evacuated}")


def shows(node: Node, evacuated: bool) -> bool:
    """Whether a node says this of the zone."""
    return node.status().get("evacuated") == ([ZONE] if evacuated else [])


def answers_reads(node: Node) -> bool:
    """Whether a node has what the others had when they met; it rejects reads of tallies before."""
    reply = send_request(node.operator_address, "GET", "/reedspoke/tallies/any")
    return reply is not None and reply.status == 200


def always_shows(nodes: list[Node], evacuated: bool) -> bool:
    """Whether no node says anything else for some time, and all say this at its end."""
    end = time.monotonic() + UNDISTURBED_S
    while time.monotonic() < end:
        if any(shows(node, not evacuated) for node in nodes):
            return False
        time.sleep(0.05)
    return all(shows(node, evacuated) for node in nodes)


def kill_all_once_logged(fleet: Fleet, node: Node, evacuated: bool) -> bool:
    """Send an order to a node, and kill all once it is in the node's log. Whether it is in no other log."""
    before = len(logged_orders(node.folder, ZONE))
    killed = threading.Event()

    def kill() -> None:
        end = time.monotonic() + LOGGED_S
        while time.monotonic() < end:
            if len(logged_orders(node.folder, ZONE)) > before:
                for one in fleet.nodes:
                    one.signal(signal.SIGKILL)
                killed.set()
                return

    watcher = threading.Thread(target=kill)
    watcher.start()
    acknowledged = is_acknowledged(node, evacuated)
    watcher.join()
    if not killed.is_set():
        return False
    for one in fleet.nodes:
        one.kill()
    logged = logged_orders(node.folder, ZONE)[before:]
    others = [one for one in fleet.nodes if one is not node]
    known = [order for one in others for order in logged_orders(one.folder, ZONE)]
    assert all(is_evacuated(order) == evacuated for order in logged)
    return not acknowledged and bool(logged) and not any(order in known for order in logged)


def all_show(nodes: list[Node], evacuated: bool) -> bool:
    """Whether all nodes say this of the zone."""
    return all(shows(node, evacuated) for node in nodes)


def log_at_one_node_alone(fleet: Fleet, first: bool) -> bool:
    """Have the first order acknowledged and then the opposite one logged by the first node alone."""
    node, other, _ = fleet.nodes
    # Without an order before the first one, a node that lacks it may show the same as one that has it.
    for evacuated in (not first, first):
        acknowledge(other, evacuated)
        wait_until(partial(all_show, fleet.nodes, evacuated), ACKNOWLEDGED_S, "known to all")
    if kill_all_once_logged(fleet, node, not first):
        return True
    for one in fleet.nodes:
        if one.process is not None and one.process.poll() is not None:
            one.start()
    return False


def send_and_hang_up(node: Node, evacuated: bool) -> None:
    """Send an order to a node, wait for its answer in vain, and close the connection."""
    host, port = node.operator_address.split(":")
    with socket.create_connection((host, int(port)), timeout=GIVE_UP_S) as connection:
        call = f"{method_of(evacuated)} {PATH} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        connection.sendall(call.encode())
        with pytest.raises(TimeoutError):
            connection.recv(1)


@pytest.mark.parametrize("last", [True, False], ids=["evacuated", "withdrawn"])
def test_an_order_whose_caller_hung_up_is_not_carried_out_later(fleet: Fleet, last: bool) -> None:
    """Guards against an order that a paused process reads only after a later one was acknowledged."""
    node, other, _ = fleet.nodes
    acknowledge(other, last)
    wait_until(lambda: all(shows(one, last) for one in fleet.nodes), ACKNOWLEDGED_S, "known to all")
    node.signal(signal.SIGSTOP)
    send_and_hang_up(node, not last)
    acknowledge(other, last)
    node.signal(signal.SIGCONT)
    assert always_shows(fleet.nodes, last)


@pytest.mark.parametrize("last", [True, False], ids=["evacuated", "withdrawn"])
def test_an_order_in_one_log_does_not_undo_the_order_acknowledged_after_it(fleet: Fleet, last: bool) -> None:
    """Guards against an acknowledged order that an older one undoes as its node comes back."""
    node, other, third = fleet.nodes
    assert any(log_at_one_node_alone(fleet, last) for _ in range(MOST_ATTEMPTS))
    for one in (other, third):
        one.start()
    acknowledge(other, last)
    node.start()
    wait_until(partial(answers_reads, node), ACKNOWLEDGED_S, "the first node has caught up")
    assert always_shows(fleet.nodes, last)


def lists_of(node: Node, seconds: float) -> list[WorkerList]:
    """The lists of workers that a node gives to a data plane node that has just started."""
    edge = EdgeClient(node.peer_address)
    found: list[WorkerList] = []
    end = time.monotonic() + seconds
    try:
        while time.monotonic() < end:
            workers = fetch_new_workers(edge)
            found += [] if workers is None else [workers]
    finally:
        edge.close()
    return found


@pytest.mark.parametrize("last", [True, False], ids=["evacuated", "withdrawn"])
def test_a_node_that_has_just_started_lists_no_workers_by_its_own_orders_alone(
    fleet: Fleet, last: bool
) -> None:
    """Guards against requests to an evacuated zone while a restarted node has not met the others yet."""
    node, other, third = fleet.nodes
    assert any(log_at_one_node_alone(fleet, last) for _ in range(MOST_ATTEMPTS))
    for one in (other, third):
        one.start()
    acknowledge(other, last)
    wait_until(partial(shows, third, last), ACKNOWLEDGED_S, "known to the third node")
    for one in (other, third):
        one.kill()
    for one in fleet.nodes:
        one.start()
    wait_until(lambda: bool(node.status()), ACKNOWLEDGED_S, "the first node is up")
    lists = lists_of(node, UNDISTURBED_S)
    assert lists
    assert {worker.draining for listed in lists for worker in listed.workers} == {last}
