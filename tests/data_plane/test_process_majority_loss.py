"""The real process on loopback addresses while control plane nodes lose and regain their majority."""

from __future__ import annotations

import http.client
import signal
import time

from reedspoke.common.errors import ErrorCode
from reedspoke.common.messages import CONFIGURATION
from reedspoke.common.node_settings import split_address
from reedspoke.data_plane.subscription import UNCONFIRMED_FALLBACK_S
from tests.control_plane_process.stand_ins import wait_until
from tests.data_plane.stage import HOST, HOSTS, Stage
from tests.data_plane.stand_ins import CALL_TIMEOUT_S, WAIT_TIMEOUT_S

CHANGE_TIMEOUT_S = 4.0  # for a change to or from doubt, also on a busy machine


def wait_until_in_doubt(stage: Stage) -> None:
    wait_until(
        lambda: stage.request("/nowhere/")[0] == 503,
        CHANGE_TIMEOUT_S,
        "a request without a route gets 503",
    )


def wait_until_not_in_doubt(stage: Stage, path: str = "/nowhere/") -> None:
    wait_until(lambda: stage.request(path)[0] == 404, CHANGE_TIMEOUT_S, f"{path} gets 404")


def test_404_is_sent_only_while_a_majority_confirms(stage: Stage) -> None:
    stage.start()
    wait_until_not_in_doubt(stage)
    stage.controls[0].lose_majority()
    wait_until_in_doubt(stage)
    connection = http.client.HTTPConnection(*split_address(stage.edge.frontend), timeout=CALL_TIMEOUT_S)
    connection.request("GET", "/nowhere/", headers={"Host": HOST, "Reedspoke-Attempt-Id": "a1"})
    response = connection.getresponse()
    assert 0 < float(response.headers["Retry-After"]) <= 1
    assert f'"code":{int(ErrorCode.CONFIGURATION_IN_DOUBT)}'.encode() in response.read()
    connection.close()
    assert stage.request("/one/")[0] == 200
    assert stage.edge.readiness_status() == 200
    stage.controls[0].regain_majority()
    wait_until_not_in_doubt(stage)


def test_change_during_a_partition_arrives_from_the_other_node(stage: Stage) -> None:
    stage.start()
    stage.edge.write_settings(list(HOSTS))
    stage.edge.signal(signal.SIGHUP)
    stage.controls[1].start()
    stage.controls[0].lose_majority()
    stage.publish(5, "/two/", control=1)
    stage.until_status("/two/", 200)
    wait_until_not_in_doubt(stage)
    stage.publish(4, "/four/")  # a partitioned node may still have it
    assert stage.request("/four/")[0] in (404, 503)
    wait_until_not_in_doubt(stage, "/four/")
    assert stage.request("/two/")[0] == 200


def test_without_any_control_plane_node_404_becomes_503(stage: Stage) -> None:
    stage.start()
    stage.controls[0].stop()
    wait_until_in_doubt(stage)
    assert stage.request("/one/")[0] == 200
    assert stage.edge.readiness_status() == 200


def test_start_with_unconfirmed_state_only_waits_and_then_applies_it(stage: Stage) -> None:
    control = stage.controls[0]
    control.start()
    stage.publish(3, "/one/")
    control.lose_majority()
    stage.edge.write_settings([HOSTS[0]])
    stage.edge.start()
    wait_until(lambda: bool(control.watches), WAIT_TIMEOUT_S, "its session is open")
    started_at = time.monotonic()
    wait_until(
        lambda: stage.edge.readiness_status() == 200,
        UNCONFIRMED_FALLBACK_S + WAIT_TIMEOUT_S,
        "it becomes ready",
    )
    # The process started before its first `WatchRequest`.
    assert time.monotonic() - started_at > UNCONFIRMED_FALLBACK_S - 1
    assert stage.request("/one/")[0] == 200
    assert stage.request("/nowhere/")[0] == 503
    control.regain_majority()
    wait_until_not_in_doubt(stage)
    wait_until(
        lambda: control.watches[-1].versions[CONFIGURATION] == (3, 0),
        WAIT_TIMEOUT_S,
        "it has the same version",
    )


def test_start_applies_the_confirmed_configuration_at_once(stage: Stage) -> None:
    """One of the two seeds has only an old configuration and no majority."""
    for control in stage.controls:
        control.start()
    stage.publish(3, "/old/")
    stage.publish(6, "/new/", control=1)
    stage.controls[0].lose_majority()
    stage.edge.write_settings(list(HOSTS))
    stage.edge.start()
    stage.edge.until_ready()
    assert stage.request("/new/")[0] == 200
    wait_until_not_in_doubt(stage, "/old/")


def test_suspended_process_does_not_answer_404_when_it_resumes(stage: Stage) -> None:
    """The route may have been added during the suspension, and the control plane node is down by then."""
    stage.start()
    wait_until_not_in_doubt(stage)
    waiting = http.client.HTTPConnection(*split_address(stage.edge.frontend), timeout=CALL_TIMEOUT_S)
    waiting.connect()
    stage.edge.signal(signal.SIGSTOP)
    stage.controls[0].stop()
    suspended_at = time.monotonic()
    waiting.request("GET", "/three/", headers={"Host": HOST, "Reedspoke-Attempt-Id": "a1"})
    wait_until(lambda: time.monotonic() - suspended_at > 2, CALL_TIMEOUT_S, "the apply time has passed")
    stage.edge.signal(signal.SIGCONT)
    assert waiting.getresponse().status == 503
    waiting.close()
