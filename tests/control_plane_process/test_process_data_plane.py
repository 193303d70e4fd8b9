"""Tests of data plane sessions and the list of workers with three real control plane processes."""

from __future__ import annotations

import json
import signal
import time

from reedspoke.common.messages import ConfigurationDelta, ConfigurationSnapshot, MemberList, WorkerList
from tests.control_plane_process.fleet import HEARTBEAT_MS, STARTUP_TIMEOUT_S, Fleet
from tests.control_plane_process.stand_ins import (
    WORKERS_TIMEOUT_S,
    Answer,
    EdgeClient,
    configuration_document,
    fetch_new_workers,
    platform_instance,
    wait_for_leased_workers,
    wait_until,
)

ACK_S = 4.0
HEARTBEAT_S = HEARTBEAT_MS / 1000


NEEDED = {"configuration", "workers"}

# ---- the data plane ----


def test_a_session_delivers_configuration_workers_and_members(fleet: Fleet) -> None:
    document = fleet.first_configuration()
    edge = EdgeClient(fleet.nodes[0].peer_address)
    received: dict[str, Answer] = {}

    def complete() -> bool:
        received.update(edge.fetch_updates())
        members = received.get("members")
        known = isinstance(members, MemberList) and len(members.control) == 3 and len(members.edges) == 1
        return len(received) == 3 and known

    wait_until(complete, WORKERS_TIMEOUT_S, "all sources have arrived")
    snapshot, workers, members = received["configuration"], received["workers"], received["members"]
    assert isinstance(snapshot, ConfigurationSnapshot)
    assert snapshot.document == document
    assert isinstance(workers, WorkerList)
    assert [worker.instance_id for worker in workers.workers] == ["i-1", "i-2", "i-3"]
    assert isinstance(members, MemberList)
    assert [member.address for member in members.control] == [node.peer_address for node in fleet.nodes]
    assert [member.node_name for member in members.edges] == ["edge-1"]


def test_a_session_is_notified_of_a_change_immediately_and_receives_the_delta(fleet: Fleet) -> None:
    fleet.first_configuration()
    edge = EdgeClient(fleet.nodes[2].peer_address)
    wait_until(
        lambda: edge.versions.keys() >= NEEDED or edge.fetch_updates() is None,
        WORKERS_TIMEOUT_S,
        "the needed sources have arrived",
    )
    before = edge.versions["configuration"]
    fleet.put_until_accepted(configuration_document(4, routes=50), 3, ACK_S)
    began = time.monotonic()
    deltas: list[Answer] = []

    def delivered() -> bool:
        deltas.extend(answer for source, answer in edge.fetch_updates().items() if source == "configuration")
        return bool(deltas)

    wait_until(delivered, 1.0, "the change is delivered")
    assert time.monotonic() - began < 0.5
    (delta,) = deltas
    assert isinstance(delta, ConfigurationSnapshot | ConfigurationDelta)
    assert delta.version > before


def test_a_small_change_of_a_large_configuration_is_delivered_as_a_delta(fleet: Fleet) -> None:
    fleet.put_until_accepted(configuration_document(3, routes=500), 0, STARTUP_TIMEOUT_S)
    edge = EdgeClient(fleet.nodes[1].peer_address)
    wait_until(lambda: "configuration" in edge.fetch_updates(), 3.0, "the first configuration is delivered")
    base = edge.versions["configuration"]
    changed = json.loads(configuration_document(3, routes=500)) | {"generation": 8}
    changed["routes"][7]["timeout_ms"] = 77
    del changed["routes"][9]
    fleet.put_until_accepted(json.dumps(changed).encode(), 3, ACK_S)
    found: list[Answer] = []

    def delivered() -> bool:
        found.extend(answer for source, answer in edge.fetch_updates().items() if source == "configuration")
        return bool(found)

    wait_until(delivered, 2.0, "the change is delivered as a delta")
    (delta,) = found
    assert isinstance(delta, ConfigurationDelta)
    assert (delta.base, delta.generation, delta.removed_routes) == (base, 8, ("r9",))
    assert [route["name"] for route in json.loads(delta.routes)] == ["r7"]


def test_a_watch_is_answered_within_the_heartbeat_when_nothing_is_new(fleet: Fleet) -> None:
    fleet.first_configuration()
    edge = EdgeClient(fleet.nodes[0].peer_address)

    def quiet() -> bool:
        return not edge.fetch_updates() and len(edge.versions) == 3

    wait_until(quiet, WORKERS_TIMEOUT_S, "no source has an update")
    began = time.monotonic()
    edge.watch()
    assert time.monotonic() - began < HEARTBEAT_S


def test_data_plane_nodes_are_members_at_all_nodes_with_their_load(fleet: Fleet) -> None:
    fleet.first_configuration()
    first = EdgeClient(fleet.nodes[0].peer_address, "edge-1")
    second = EdgeClient(fleet.nodes[1].peer_address, "edge-2")

    def load_of_the_other() -> bool:
        first.watch(running={"i-1": (2, 300)})
        return second.watch(running={"i-1": (1, 50)}).running == {"i-1": (2, 300)}

    wait_until(load_of_the_other, 4.0, "the load of the other data plane node is reported")

    def suspects_of_the_other() -> bool:
        first.watch(suspects=("i-7",))
        return second.watch(suspects=("i-8",)).suspects == {"i-7": 1}

    wait_until(suspects_of_the_other, 4.0, "the suspicions of the other data plane node are reported")

    def members() -> list[str]:
        answer = EdgeClient(fleet.nodes[2].peer_address, "edge-3").fetch("members")
        assert isinstance(answer, MemberList)
        return [edge.node_name for edge in answer.edges]

    first.watch()
    second.watch()
    wait_until(lambda: members() == ["edge-1", "edge-2"], 2.0, "both are members at the third node")
    first.watch(draining=True)
    first.close()

    def only_the_second() -> bool:
        second.watch()
        return members() == ["edge-2"]

    wait_until(only_the_second, 1.0, "the node that left is removed immediately")


# ---- the list of workers ----


def test_a_draining_worker_is_published_and_only_one_node_calls_the_platform(fleet: Fleet) -> None:
    edge = EdgeClient(fleet.nodes[0].peer_address)
    first = wait_for_leased_workers(edge)
    fleet.platform.instances[0] = platform_instance("i-1", state="draining")
    changed = wait_until(lambda: fetch_new_workers(edge), 2.0, "the draining worker is published")
    assert [worker.draining for worker in changed.workers] == [True, False, False]
    assert changed.version == (first.version[0], first.version[1] + 1)
    before = fleet.platform.calls
    time.sleep(2.0)  # counts the calls within two seconds
    pages = 2
    assert fleet.platform.calls - before <= pages * 4


def test_another_node_takes_over_discovery_when_the_lease_holder_is_killed(fleet: Fleet) -> None:
    holder = wait_until(fleet.lease_holder, WORKERS_TIMEOUT_S, "one node holds the lease")
    others = [node for node in fleet.nodes if node is not holder]
    edge = EdgeClient(others[0].peer_address)
    first = wait_for_leased_workers(edge)
    holder.kill()
    fleet.platform.instances.append(platform_instance("i-4"))
    changed = wait_until(lambda: fetch_new_workers(edge), 4.0, "a new lease holder publishes the list")
    assert changed.version > first.version
    assert len(changed.workers) == 4


def test_a_suspended_lease_holder_does_not_hold_the_lease_when_it_resumes(fleet: Fleet) -> None:
    holder = wait_until(fleet.lease_holder, WORKERS_TIMEOUT_S, "one node holds the lease")
    others = [node for node in fleet.nodes if node is not holder]
    wait_for_leased_workers(EdgeClient(others[0].peer_address))
    holder.signal(signal.SIGSTOP)
    wait_until(
        lambda: any(node.status().get("holds_list_duty") for node in others),
        4.0,
        "another node holds the lease",
    )
    holder.signal(signal.SIGCONT)
    wait_until(lambda: holder.status(), 2.0, "the suspended node has resumed")
    assert not holder.status()["holds_list_duty"]


def test_the_last_list_stays_available_while_the_platform_fails(fleet: Fleet) -> None:
    edge = EdgeClient(fleet.nodes[0].peer_address)
    first = wait_for_leased_workers(edge)
    fleet.platform.status = 503
    began = time.monotonic()
    while time.monotonic() - began < 3.0:
        assert fetch_new_workers(edge) is None
    answer = edge.fetch("workers")
    assert isinstance(answer, WorkerList)
    assert answer.workers == first.workers
    fleet.platform.status = 200
    fleet.platform.instances.append(platform_instance("i-4"))
    changed = wait_until(lambda: fetch_new_workers(edge), 4.0, "the list is published again")
    assert len(changed.workers) == 4


def test_a_list_that_a_data_plane_node_has_from_before_is_superseded(fleet: Fleet) -> None:
    edge = EdgeClient(fleet.nodes[0].peer_address)
    wait_for_leased_workers(edge)
    edge.versions["workers"] = (50, 3)
    newer = wait_until(lambda: fetch_new_workers(edge), 2.0, "a newer list is published")
    assert newer.version > (50, 3)
    assert [worker.instance_id for worker in newer.workers] == ["i-1", "i-2", "i-3"]
