"""The real process on loopback addresses, with fake control plane nodes and workers."""

from __future__ import annotations

import http.client
import json
import select
import signal
import socket

from reedspoke.common.messages import CONFIGURATION
from reedspoke.common.node_settings import split_address
from tests.control_plane_process.stand_ins import wait_until
from tests.data_plane.stage import HOST, HOSTS, Stage
from tests.data_plane.stand_ins import (
    CALL_TIMEOUT_S,
    WAIT_TIMEOUT_S,
)
from tests.data_plane.wire import event, events

CONNECTION_COUNT = 400  # concurrent connections
CONNECT_S = 0.9  # clients wait one second for a connection


def test_process_becomes_ready_serves_and_applies_changes(stage: Stage) -> None:
    stage.edge.write_settings([HOSTS[0]])
    stage.edge.start()
    wait_until(lambda: stage.edge.readiness_status() == 503, WAIT_TIMEOUT_S, "it listens and is not ready")
    stage.controls[0].start()
    stage.publish(3, "/one/")
    stage.edge.until_ready()
    assert stage.request("/one/x?y=1") == (200, b"i-1 ran /one/x?y=1")
    assert stage.worker.requests[-1].get("reedspoke-target-instance") == "i-1"
    assert stage.request("/two/")[0] == 404
    stage.publish(5, "/two/")
    stage.until_status("/two/", 200)
    assert stage.request("/one/")[0] == 404


def test_process_keeps_serving_without_any_control_plane_node(stage: Stage) -> None:
    stage.start()
    stage.controls[0].stop()
    connection = http.client.HTTPConnection(*split_address(stage.edge.frontend), timeout=CALL_TIMEOUT_S)
    for number in range(20):
        connection.request("GET", "/one/", headers={"Host": HOST, "Reedspoke-Attempt-Id": f"a{number}"})
        assert connection.getresponse().read() == b"i-1 ran /one/"
    connection.close()
    assert stage.edge.readiness_status() == 200


def test_node_with_an_older_configuration_changes_nothing(stage: Stage) -> None:
    stage.controls[1].start()
    stage.publish(2, "/old/", control=1)
    stage.controls[0].start()
    stage.publish(5, "/new/")
    stage.edge.write_settings(list(HOSTS))
    stage.edge.start()
    stage.edge.until_ready()
    stage.until_status("/new/", 200)
    stage.controls[0].stop()
    old = stage.controls[1]
    seen = len(old.watches)
    wait_until(
        lambda: len(old.watches) > seen + 2,
        WAIT_TIMEOUT_S,
        "the node with the old configuration has responded again",
    )
    assert old.watches[-1].versions[CONFIGURATION] == (5, 0)
    assert stage.request("/new/")[0] == 200
    assert stage.request("/old/")[0] == 404


def test_stream_in_flight_at_sigterm_completes(stage: Stage) -> None:
    stage.start()
    idle = http.client.HTTPConnection(*split_address(stage.edge.frontend), timeout=CALL_TIMEOUT_S)
    idle.connect()
    stream = http.client.HTTPConnection(*split_address(stage.edge.frontend), timeout=CALL_TIMEOUT_S)
    stream.request("GET", "/stream/", headers={"Host": HOST, "Reedspoke-Attempt-Id": "a1"})
    response = stream.getresponse()
    assert response.read(len(event(1))) == event(1)
    stage.edge.signal(signal.SIGTERM)
    wait_until(lambda: stage.edge.readiness_status() == 503, WAIT_TIMEOUT_S, "it is not ready any more")
    assert idle.sock.recv(1) == b""
    assert stage.request("/one/") == (200, b"i-1 ran /one/")
    stage.worker.resume_stream()
    assert response.read() == events(2, 3)
    assert stage.edge.wait(WAIT_TIMEOUT_S) == 0
    assert any(watch.draining for watch in stage.controls[0].watches)
    stream.close()
    idle.close()


def test_many_connections_are_established_while_the_process_is_suspended(stage: Stage) -> None:
    """A full listen queue drops SYN packets; the client's retransmission comes only after one second."""
    stage.start()
    stage.edge.signal(signal.SIGSTOP)
    try:
        waiting = [start_connecting(stage.edge.frontend) for _ in range(CONNECTION_COUNT)]
        wait_until(
            lambda: all(is_connected(client) for client in waiting), CONNECT_S, "all connections are up"
        )
    finally:
        stage.edge.signal(signal.SIGCONT)
    for client in waiting:
        client.close()


def start_connecting(address: str) -> socket.socket:
    """A socket with a connection attempt in progress."""
    client = socket.socket()
    client.setblocking(False)
    client.connect_ex(split_address(address))
    return client


def is_connected(client: socket.socket) -> bool:
    poll = select.poll()
    poll.register(client, select.POLLOUT)
    return bool(poll.poll(0))


def test_changed_settings_are_read_at_sighup(stage: Stage) -> None:
    stage.start()
    stage.controls[0].stop()
    stage.controls[1].start()
    stage.publish(7, "/seven/", control=1)
    stage.edge.write_settings([HOSTS[1]])
    stage.edge.signal(signal.SIGHUP)
    stage.until_status("/seven/", 200)


def test_unusable_settings_are_logged_and_end_the_process(stage: Stage) -> None:
    stage.edge.write_settings([HOSTS[0]])
    settings = json.loads(stage.edge.settings_file.read_text())
    stage.edge.settings_file.write_text(json.dumps(settings | {"bind": {"frontend": stage.edge.frontend}}))
    stage.edge.start()
    assert stage.edge.wait(WAIT_TIMEOUT_S) == 2
    line = json.loads(stage.edge.log_file.read_text())
    assert (line["code"], line["name"]) == (102, "settings_invalid")
    assert "bind.readiness" in line["message"]
