"""Tests of three real control plane processes on loopback addresses, from outside."""

from __future__ import annotations

import json
import signal
import time

import pytest

from reedspoke.common.configuration_delta import apply_delta
from reedspoke.common.configuration_parsing import parse_configuration
from reedspoke.common.messages import ConfigurationDelta
from reedspoke.control_plane.storage.log_format import BATCH_COPIES, encode_batch
from tests.control_plane_process.fleet import HEARTBEAT_MS, HOSTS, STARTUP_TIMEOUT_S, Fleet
from tests.control_plane_process.stand_ins import (
    Answer,
    EdgeClient,
    Reply,
    configuration_document,
    send_request,
    wait_for_leased_workers,
    wait_until,
)

ACK_S = 4.0
HEARTBEAT_S = HEARTBEAT_MS / 1000


# ---- the operator ----


def test_a_read_before_the_first_configuration_is_not_found(fleet: Fleet) -> None:
    def answered() -> bool:
        reply = fleet.nodes[1].get()
        return reply is not None and reply.status == 404 and reply.error_code() == 304

    wait_until(answered, STARTUP_TIMEOUT_S, "the absence of a configuration is reported")


def test_a_configuration_is_accepted_and_returned_byte_for_byte_everywhere(fleet: Fleet) -> None:
    document = fleet.first_configuration()
    for node in fleet.nodes:
        reply = node.get()
        assert reply is not None
        assert (reply.status, reply.body) == (200, document)


def test_the_responses_to_an_operator(fleet: Fleet) -> None:
    document = fleet.first_configuration()
    node = fleet.nodes[2]
    second = configuration_document(9, routes=3)

    def rejection(body: bytes, match: str | None) -> tuple[int, int]:
        reply = node.put(body, match)
        assert reply is not None
        return reply.status, reply.error_code()

    assert rejection(second, None) == (400, 209)
    assert rejection(second, "x") == (400, 209)
    assert rejection(second, "9" * 5000) == (400, 209)
    assert rejection(b"{", "3") == (400, 201)
    assert rejection(json.dumps(json.loads(second) | {"routes": [{"name": "r"}]}).encode(), "3") == (400, 202)
    assert rejection(configuration_document(2), "3") == (400, 207)
    assert rejection(second, "2") == (412, 208)
    reply = node.put(second, "3")
    assert reply is not None
    assert (reply.status, json.loads(reply.body)) == (200, {"generation": 9})
    assert rejection(configuration_document(12), "3") == (412, 208)
    for other in fleet.nodes:
        for again, match in ((second, "3"), (document, "0")):
            reply = other.put(again, match)
            assert reply is not None
            assert reply.status == 200, "a repeated document is already accepted"
        newest = other.get()
        assert newest is not None
        assert newest.body == second


def test_unknown_paths_and_methods(fleet: Fleet) -> None:
    fleet.first_configuration()
    address = fleet.nodes[0].operator_address
    for method, path, status in (("GET", "/", 404), ("POST", "/reedspoke/configuration", 405)):
        reply = send_request(address, method, path)
        assert reply is not None
        assert reply.status == status


def test_a_configuration_of_four_megabytes_is_accepted_in_chunks_and_replicated(fleet: Fleet) -> None:
    fleet.first_configuration()
    large = configuration_document(9, routes=30000)
    assert len(large) > 4_000_000
    edge = EdgeClient(fleet.nodes[1].peer_address)
    edge.fetch_updates()
    wait_until(
        lambda: _accepted(fleet.nodes[0].put(large, "3", in_chunks=True)),
        ACK_S,
        "the large configuration is accepted",
    )
    for node in fleet.nodes:
        reply = node.get()
        assert reply is not None
        assert reply.body == large
    held: list[Answer] = []

    def delivered() -> bool:
        held.extend(answer for source, answer in edge.fetch_updates().items() if source == "configuration")
        return bool(held)

    wait_until(delivered, 2.0, "the configuration is delivered to the data plane")
    assert isinstance(held[0], ConfigurationDelta)
    first = parse_configuration(configuration_document(3))
    assert apply_delta(first, held[0]) == parse_configuration(large)


def _accepted(reply: Reply | None) -> bool:
    assert reply is None or reply.status in (200, 503), reply
    return reply is not None and reply.status == 200


# ---- losses ----


@pytest.mark.parametrize("lost", range(3))
def test_a_change_is_acknowledged_after_one_node_is_killed(fleet: Fleet, lost: int) -> None:
    fleet.first_configuration()
    fleet.nodes[lost].kill()
    fleet.put_until_accepted(configuration_document(5), 3, ACK_S)
    for node in fleet.nodes:
        if node is not fleet.nodes[lost]:
            reply = node.get()
            assert reply is not None
            assert reply.body == configuration_document(5)
    fleet.nodes[lost].start()

    def has_it() -> bool:
        reply = fleet.nodes[lost].get()
        return reply is not None and reply.body == configuration_document(5)

    wait_until(has_it, STARTUP_TIMEOUT_S, "the killed node has the change after its restart")


def test_the_state_survives_a_simultaneous_kill_of_all_nodes(fleet: Fleet) -> None:
    document = fleet.first_configuration()
    edge = EdgeClient(fleet.nodes[0].peer_address)
    held = wait_for_leased_workers(edge).version
    for node in fleet.nodes:
        node.kill()
    for node in fleet.nodes:
        node.start()

    def read_back() -> bool:
        replies = [node.get() for node in fleet.nodes]
        return all(reply is not None and reply.body == document for reply in replies)

    wait_until(read_back, STARTUP_TIMEOUT_S, "every node returns the configuration")
    again = EdgeClient(fleet.nodes[1].peer_address)
    again.versions = {"workers": held}
    assert wait_for_leased_workers(again).version > held, (
        "the new list is newer than the one that the data plane has"
    )


def test_a_node_with_a_corrupt_log_recovers_without_it(fleet: Fleet) -> None:
    fleet.first_configuration()
    node = fleet.nodes[1]
    node.kill()
    log = node.folder / "control.log"
    content = bytearray(log.read_bytes())
    copy_size = len(encode_batch([b"-" * 16, b"1"])) // BATCH_COPIES
    for copy in range(BATCH_COPIES):
        content[20 + copy * copy_size] ^= 0xFF  # both copies of the first batch, which valid ones follow
    log.write_bytes(content)
    node.start()

    def has_it() -> bool:
        reply = node.get()
        return reply is not None and reply.body == configuration_document(3)

    wait_until(has_it, STARTUP_TIMEOUT_S, "the node serves the configuration again")
    assert b'"code":401' in node.log_file.read_bytes()
    fleet.put_until_accepted(configuration_document(5), 3, ACK_S)


# ---- shutdown and settings ----


@pytest.mark.parametrize("leaver", range(3))
def test_a_node_shuts_down_gracefully_and_the_others_keep_serving(fleet: Fleet, leaver: int) -> None:
    fleet.first_configuration()
    node = fleet.nodes[leaver]
    edge = EdgeClient(node.peer_address)
    edge.fetch_updates()
    began = time.monotonic()
    node.signal(signal.SIGTERM)
    assert node.process is not None
    assert node.process.wait(3) == 0
    assert time.monotonic() - began < 1.5
    with pytest.raises(ConnectionError):
        edge.watch()
    fleet.put_until_accepted(configuration_document(5), 3, ACK_S)


def test_invalid_settings_end_the_process_with_a_numbered_error(fleet: Fleet) -> None:
    node = fleet.nodes[0]
    node.kill()
    settings = node.settings(bootstrap=False)
    for change, code, key in (({"data_dir": None}, 102, "data_dir"), ({"ip_address": 5}, 102, "ip_address")):
        node.log_file.unlink()
        node.start_with_settings(json.dumps(settings | change))
        assert node.process is not None
        assert node.process.wait(5) == 2
        (line,) = node.log_file.read_text().splitlines()
        entry = json.loads(line)
        assert (entry["code"], entry["level"]) == (code, "error")
        assert key in entry["message"]


def test_changed_settings_are_reloaded_and_invalid_ones_rejected(fleet: Fleet) -> None:
    fleet.first_configuration()
    node = fleet.nodes[0]
    node.settings_file.write_text("{")
    node.signal(signal.SIGHUP)
    wait_until(
        lambda: b'"settings rejected"' in node.log_file.read_bytes(), 2.0, "the invalid file is logged"
    )
    changed = node.settings(bootstrap=False) | {"seed_nodes": [f"{HOSTS[0]}:{fleet.control_port}"]}
    node.settings_file.write_text(json.dumps(changed))
    wait_until(
        lambda: b'"seeds changed"' in node.log_file.read_bytes(), 4.0, "new seeds are loaded without a signal"
    )
    fleet.put_until_accepted(configuration_document(5), 3, ACK_S)
