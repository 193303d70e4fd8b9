"""Tests of the log lines of operators' calls and of the metrics of a running control plane node."""

from __future__ import annotations

import json
from typing import Any

from reedspoke.control_plane.api.call_log import CALL_EVENT
from tests.control_plane_process.fleet import Fleet
from tests.control_plane_process.stand_ins import configuration_document, send_request

ACCEPTED_S = 6.0


def operator_calls(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the log lines of operators' calls at all nodes."""
    lines = [json.loads(line) for node in fleet.nodes for line in node.log_file.read_text().splitlines()]
    return [line for line in lines if line["event"] == CALL_EVENT]


def test_a_change_and_its_rejection_are_logged(fleet: Fleet) -> None:
    document = configuration_document(3)
    fleet.put_until_accepted(document, 0, ACCEPTED_S)
    reply = fleet.nodes[0].put(configuration_document(9), "2")
    assert reply is not None
    assert reply.status == 412
    calls = operator_calls(fleet)
    (accepted,) = [line for line in calls if line["status"] == 200]
    assert (accepted["method"], accepted["match"], accepted["size"]) == ("PUT", "0", len(document))
    assert accepted["took_ms"] > 0
    (rejected,) = [line for line in calls if line["status"] == 412]
    assert rejected["code"] > 0
    assert rejected["message"]
    assert rejected["checksum"] != accepted["checksum"]


def test_the_metrics_of_a_node_contain_its_state(fleet: Fleet) -> None:
    fleet.put_until_accepted(configuration_document(3), 0, ACCEPTED_S)
    node = fleet.nodes[0]
    node.get()
    reply = send_request(f"{node.host}:{fleet.metrics_port}", "GET", "/metrics")
    assert reply is not None
    text = reply.body.decode()
    assert 'reedspoke_control_state{what="voters"} 3' in text
    assert 'reedspoke_control_state{what="disk_works"} 1' in text
    assert (
        'reedspoke_operator_calls_total{method="GET",path="/reedspoke/configuration",status="200",code=""}'
        in text
    )
    assert 'reedspoke_invariant_violations_total{invariant="read_has_grant"} 0' in text
    assert "reedspoke_unhandled_errors_total 0" in text


def test_a_call_of_an_unserved_path_is_logged_and_counted(fleet: Fleet) -> None:
    node = fleet.nodes[0]
    reply = send_request(node.operator_address, "POST", "/reedspoke/nothing/here", b"{}")
    assert reply is not None
    assert reply.status == 404
    (line,) = [line for line in operator_calls(fleet) if line["status"] == 404]
    assert (line["level"], line["path"], line["code"]) == ("warning", "/reedspoke/nothing/here", 501)
    metrics = send_request(f"{node.host}:{fleet.metrics_port}", "GET", "/metrics")
    assert metrics is not None
    counted = 'reedspoke_operator_calls_total{method="POST",path="unknown",status="404",code="501"} 1'
    assert counted in metrics.body.decode()
