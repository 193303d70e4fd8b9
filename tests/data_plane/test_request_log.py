"""Somebody who has only logs and figures can say why a request failed: found by its attempt id."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest

from reedspoke.common.log_rate_limit import LogRateLimiter
from reedspoke.data_plane import request_log
from reedspoke.data_plane.request_log import RequestLog
from reedspoke.data_plane.request_trace import RequestOutcome, RequestTrace
from reedspoke.telemetry.metrics import Registry
from tests.data_plane.plane import WORKER, Plane, fresh_plane

LONG_S = 30.0
SOON_S = 5.0
EARLIER = 12  # requests before one that is sent again

Lines = list[tuple[str, dict[str, Any]]]


@pytest.fixture
def told(monkeypatch: pytest.MonkeyPatch) -> Lines:
    """The log lines on requests, as event and fields that have been through JSON."""
    found: Lines = []

    def note(level: int, event: str, **fields: object) -> None:
        found.append((event, json.loads(msgspec.json.encode(fields, enc_hook=str))))

    monkeypatch.setattr(request_log, "log", note)
    return found


def about(told: Lines, attempt_id: str) -> dict[str, Any]:
    """The one line on an attempt id."""
    (found,) = [fields for _, fields in told if fields.get("attempt_id") == attempt_id]
    return found


def test_a_silent_worker(told: Lines) -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        plane.new_request("/once/", "a7")
        plane.loop.run_for(LONG_S)
    line = about(told, "a7")
    assert line["outcome"] in ("failed", "expired")
    assert line["status"] == 504
    assert line["repeat"] == "never"
    assert line["generation"] == 1
    (attempt,) = line["attempts"]
    assert attempt["worker"] == "i-1"
    assert attempt["address"] == WORKER.address
    assert attempt["fate"] == "may_have_run"
    assert attempt["chosen_ms"] <= attempt["sent_ms"] < attempt["ended_ms"]


def test_a_worker_that_resets_after_the_request(told: Lines) -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        plane.new_request("/once/", "a7")
        plane.arrival().worker.reset()
        plane.loop.run_for(1)
    line = about(told, "a7")
    assert (line["outcome"], line["status"], line["reason"]) == ("failed", 502, "MAY_HAVE_RUN")
    assert [attempt["ending"] for attempt in line["attempts"]] == ["closed"]


def test_no_worker_in_time(told: Lines) -> None:
    with fresh_plane() as plane:
        plane.receive_state(())
        plane.new_request("/once/", "a7")
        plane.loop.run_for(SOON_S)
    line = about(told, "a7")
    assert (line["outcome"], line["status"], line["reason"]) == ("refused", 503, "NO_WORKER")
    assert "attempts" not in line
    assert line["after_ms"] > 0


def test_a_request_that_was_sent_again_and_served(told: Lines) -> None:
    with fresh_plane() as plane:
        other = type(WORKER)("i-2", "u1", "10.0.0.2:80", "za", "v1", 1, False)
        plane.receive_state((WORKER, other))
        for number in range(EARLIER):  # each grants a part of a repeat
            plane.new_request("/once/", f"b{number}")
            plane.arrival().worker.send(plane.arrival().complete_answer())
        plane.new_request("/once/", "a7")
        plane.arrival().worker.send(
            plane.arrival().complete_answer(b"", "503 Full", Reedspoke_Not_Executed="1")
        )
        plane.arrival().worker.send(plane.arrival().complete_answer())
    ((event, line),) = told
    assert event == "request retried"
    assert [attempt["fate"] for attempt in line["attempts"]] == ["never_ran", "answered"]
    assert line["attempts"][0]["not_executed"]


def test_a_client_that_leaves(told: Lines) -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        client = plane.new_request("/once/", "a7")
        client.arrive_end()
        plane.loop.run_for(1)
    line = about(told, "a7")
    assert line["outcome"] == "client_left"
    assert line["attempts"][0]["ending"] == "abandoned"


def test_a_request_without_a_route_tells_the_generation_and_the_doubt(told: Lines) -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        plane.new_request("/nowhere/", "a7")
        plane.loop.run_for(LONG_S)
        plane.new_request("/nowhere/", "a8")
    certain, doubtful = about(told, "a7"), about(told, "a8")
    assert (certain["status"], certain["generation"], certain.get("in_doubt")) == (404, 1, None)
    assert (doubtful["status"], doubtful["in_doubt"]) == (503, True)
    assert certain["reason"].endswith("/nowhere/")


def test_what_is_no_request(told: Lines) -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        plane.connect().arrive(b"nonsense\r\n\r\n")
        plane.loop.settle()
    ((event, line),) = told
    assert event == "request unreadable"
    assert line["status"] == 400


def test_what_goes_well_is_counted_and_not_written(told: Lines) -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        plane.new_request("/once/", "a7")
        plane.arrival().worker.send(plane.arrival().complete_answer())
        text = figures(plane)
    assert told == []
    assert 'reedspoke_requests_total{route="ronce",outcome="served",status="200"} 1' in text
    assert 'reedspoke_attempts_total{upstream="u1",ending="complete",fate="answered"} 1' in text
    assert "reedspoke_queue_seconds_count 1" in text
    assert "reedspoke_configuration_generation 1" in text


def test_lines_are_bounded_and_what_was_left_out_is_told(told: Lines) -> None:
    now = [0.0]
    made = RequestLog(Registry(), LogRateLimiter(lambda: now[0], burst=2, per_s=1))
    for number in range(5):
        made.record(refused(f"a{number}"))
    assert [line["attempt_id"] for _, line in told] == ["a0", "a1"]
    now[0] = 1.0
    made.record(refused("a9"))
    assert about(told, "a9")["suppressed_before"] == 3
    found = made.find("a3")
    assert found is not None
    assert found.status == 503


def refused(attempt_id: str) -> RequestTrace:
    """A trace of a refused request."""
    trace = RequestTrace(attempt_id, route="r")
    trace.request_ended(RequestOutcome.REFUSED, 503, "OVERLOAD", 1.0)
    return trace


def figures(plane: Plane) -> str:
    """The figures of the process."""
    return plane.plane._registry.text()
