"""The real process over loopback while control schedulers lose their majority and get it back."""

from __future__ import annotations

import http.client
import signal
import time

from reedspoke.common.errors import ErrorCode
from reedspoke.common.messages import CONFIGURATION
from reedspoke.common.node_settings import split_address
from reedspoke.data_plane.subscription import UNCONFIRMED_FALLBACK_S
from tests.control_plane_process.stand_ins import until
from tests.data_plane.stage import HOST, HOSTS, Stage
from tests.data_plane.stand_ins import CALL_S, UP_S

DOUBT_S = 4.0  # within which doubt has come, or has gone, also on a busy machine


def until_doubt(stage: Stage) -> None:
    until(lambda: stage.ask("/nowhere/")[0] == 503, DOUBT_S, "a request without route is refused for now")


def until_certain(stage: Stage, path: str = "/nowhere/") -> None:
    until(lambda: stage.ask(path)[0] == 404, DOUBT_S, f"{path} is refused for good")


def test_not_found_is_told_only_while_a_majority_confirms(stage: Stage) -> None:
    stage.start()
    until_certain(stage)
    stage.controls[0].lose_majority()
    until_doubt(stage)
    connection = http.client.HTTPConnection(*split_address(stage.edge.frontend), timeout=CALL_S)
    connection.request("GET", "/nowhere/", headers={"Host": HOST, "Reedspoke-Attempt-Id": "a1"})
    response = connection.getresponse()
    assert 0 < float(response.headers["Retry-After"]) <= 1
    assert f'"code":{int(ErrorCode.CONFIGURATION_IN_DOUBT)}'.encode() in response.read()
    connection.close()
    assert stage.ask("/one/")[0] == 200
    assert stage.edge.is_ready() == 200
    stage.controls[0].regain_majority()
    until_certain(stage)


def test_a_change_behind_the_cut_comes_from_the_other_one(stage: Stage) -> None:
    stage.start()
    stage.edge.write_settings(list(HOSTS))
    stage.edge.signal(signal.SIGHUP)
    stage.controls[1].start()
    stage.controls[0].lose_majority()
    stage.tell(5, "/two/", control=1)
    stage.until_status("/two/", 200)
    until_certain(stage)
    stage.tell(4, "/four/")  # what a cut-off one may still hold
    assert stage.ask("/four/")[0] in (404, 503)
    until_certain(stage, "/four/")
    assert stage.ask("/two/")[0] == 200


def test_without_any_control_scheduler_nothing_is_refused_for_good(stage: Stage) -> None:
    stage.start()
    stage.controls[0].stop()
    until_doubt(stage)
    assert stage.ask("/one/")[0] == 200
    assert stage.edge.is_ready() == 200


def test_a_start_with_an_unconfirmed_one_only_waits_and_then_takes_what_there_is(stage: Stage) -> None:
    control = stage.controls[0]
    control.start()
    stage.tell(3, "/one/")
    control.lose_majority()
    stage.edge.write_settings([HOSTS[0]])
    stage.edge.start()
    until(lambda: bool(control.watches), UP_S, "its session stands")
    first = time.monotonic()
    until(lambda: stage.edge.is_ready() == 200, UNCONFIRMED_FALLBACK_S + UP_S, "it is ready in the end")
    assert (
        time.monotonic() - first > UNCONFIRMED_FALLBACK_S - 1
    )  # its start was before its first `WatchRequest`
    assert stage.ask("/one/")[0] == 200
    assert stage.ask("/nowhere/")[0] == 503
    control.regain_majority()
    until_certain(stage)
    until(lambda: control.watches[-1].versions[CONFIGURATION] == (3, 0), UP_S, "it holds the same")


def test_a_start_takes_the_confirmed_one_at_once(stage: Stage) -> None:
    """Though one of the two seeds has only an old configuration, and no majority."""
    for control in stage.controls:
        control.start()
    stage.tell(3, "/old/")
    stage.tell(6, "/new/", control=1)
    stage.controls[0].lose_majority()
    stage.edge.write_settings(list(HOSTS))
    stage.edge.start()
    stage.edge.until_ready()
    assert stage.ask("/new/")[0] == 200
    until_certain(stage, "/old/")


def test_a_stopped_process_refuses_nothing_for_good_when_it_wakes(stage: Stage) -> None:
    """The route has come while it was stopped; its control scheduler is gone by then."""
    stage.start()
    until_certain(stage)
    waiting = http.client.HTTPConnection(*split_address(stage.edge.frontend), timeout=CALL_S)
    waiting.connect()
    stage.edge.signal(signal.SIGSTOP)
    stage.controls[0].stop()
    stopped_at = time.monotonic()
    waiting.request("GET", "/three/", headers={"Host": HOST, "Reedspoke-Attempt-Id": "a1"})
    until(lambda: time.monotonic() - stopped_at > 2, CALL_S, "the time for a change is over")
    stage.edge.signal(signal.SIGCONT)
    assert waiting.getresponse().status == 503
    waiting.close()
