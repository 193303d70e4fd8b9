"""Logs and metrics alone tell why a request failed; its line is found by the attempt id."""

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
EARLIER_REQUESTS = 12  # Requests before one that is retried.

Lines = list[tuple[str, dict[str, Any]]]


@pytest.fixture
def log_lines(monkeypatch: pytest.MonkeyPatch) -> Lines:
    """The log lines about requests: event and fields, encoded to JSON and decoded."""
    lines: Lines = []

    def record(level: int, event: str, **fields: object) -> None:
        lines.append((event, json.loads(msgspec.json.encode(fields, enc_hook=str))))

    monkeypatch.setattr(request_log, "log", record)
    return lines


def line_about(log_lines: Lines, attempt_id: str) -> dict[str, Any]:
    """The only line about an attempt id."""
    (line,) = [fields for _, fields in log_lines if fields.get("attempt_id") == attempt_id]
    return line


def test_a_worker_that_never_answers(log_lines: Lines) -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        plane.new_request("/once/", "a7")
        plane.loop.run_for(LONG_S)
    line = line_about(log_lines, "a7")
    assert line["outcome"] in ("failed", "expired")
    assert line["status"] == 504
    assert line["repeat"] == "never"
    assert line["generation"] == 1
    (attempt,) = line["attempts"]
    assert attempt["worker"] == "i-1"
    assert attempt["address"] == WORKER.address
    assert attempt["fate"] == "may_have_run"
    assert attempt["chosen_ms"] <= attempt["sent_ms"] < attempt["ended_ms"]


def test_a_worker_that_resets_after_the_request(log_lines: Lines) -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        plane.new_request("/once/", "a7")
        plane.arrival().worker.reset()
        plane.loop.run_for(1)
    line = line_about(log_lines, "a7")
    assert (line["outcome"], line["status"], line["reason"]) == ("failed", 502, "MAY_HAVE_RUN")
    assert [attempt["ending"] for attempt in line["attempts"]] == ["closed"]


def test_no_worker_before_the_queue_limit(log_lines: Lines) -> None:
    with fresh_plane() as plane:
        plane.receive_state(())
        plane.new_request("/once/", "a7")
        plane.loop.run_for(SOON_S)
    line = line_about(log_lines, "a7")
    assert (line["outcome"], line["status"], line["reason"]) == ("refused", 503, "NO_WORKER")
    assert "attempts" not in line
    assert line["after_ms"] > 0


def test_a_request_that_was_retried_and_served(log_lines: Lines) -> None:
    with fresh_plane() as plane:
        other = type(WORKER)("i-2", "u1", "10.0.0.2:80", "za", "v1", 1, False)
        plane.receive_state((WORKER, other))
        for number in range(EARLIER_REQUESTS):  # Each adds to the retry budget.
            plane.new_request("/once/", f"b{number}")
            plane.arrival().worker.send(plane.arrival().complete_answer())
        plane.new_request("/once/", "a7")
        plane.arrival().worker.send(
            plane.arrival().complete_answer(b"", "503 Full", Reedspoke_Not_Executed="1")
        )
        plane.arrival().worker.send(plane.arrival().complete_answer())
    ((event, line),) = log_lines
    assert event == "request retried"
    assert [attempt["fate"] for attempt in line["attempts"]] == ["never_ran", "answered"]
    assert line["attempts"][0]["not_executed"]


def test_a_client_that_disconnects(log_lines: Lines) -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        client = plane.new_request("/once/", "a7")
        client.arrive_end()
        plane.loop.run_for(1)
    line = line_about(log_lines, "a7")
    assert line["outcome"] == "client_left"
    assert line["attempts"][0]["ending"] == "abandoned"


def test_a_request_without_a_route_logs_the_generation_and_the_doubt(log_lines: Lines) -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        plane.new_request("/nowhere/", "a7")
        plane.loop.run_for(LONG_S)
        plane.new_request("/nowhere/", "a8")
    certain, doubtful = line_about(log_lines, "a7"), line_about(log_lines, "a8")
    assert (certain["status"], certain["generation"], certain.get("in_doubt")) == (404, 1, None)
    assert (doubtful["status"], doubtful["in_doubt"]) == (503, True)
    assert certain["reason"].endswith("/nowhere/")


def test_a_malformed_request(log_lines: Lines) -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        plane.connect().arrive(b"nonsense\r\n\r\n")
        plane.loop.settle()
    ((event, line),) = log_lines
    assert event == "request unreadable"
    assert line["status"] == 400


def test_a_success_at_the_first_attempt_is_counted_and_not_logged(log_lines: Lines) -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        plane.new_request("/once/", "a7")
        plane.arrival().worker.send(plane.arrival().complete_answer())
        text = metrics_text(plane)
    assert log_lines == []
    assert 'reedspoke_requests_total{route="ronce",outcome="served",status="200"} 1' in text
    assert 'reedspoke_attempts_total{upstream="u1",ending="complete",fate="answered"} 1' in text
    assert "reedspoke_queue_seconds_count 1" in text
    assert "reedspoke_configuration_generation 1" in text


def test_log_lines_are_rate_limited_and_suppressed_ones_are_reported(log_lines: Lines) -> None:
    now = [0.0]
    request_log_under_test = RequestLog(Registry(), LogRateLimiter(lambda: now[0], burst=2, per_s=1))
    for number in range(5):
        request_log_under_test.record(refused(f"a{number}"))
    assert [line["attempt_id"] for _, line in log_lines] == ["a0", "a1"]
    now[0] = 1.0
    request_log_under_test.record(refused("a9"))
    assert line_about(log_lines, "a9")["suppressed_before"] == 3
    trace = request_log_under_test.find("a3")
    assert trace is not None
    assert trace.status == 503


def refused(attempt_id: str) -> RequestTrace:
    """A trace of a refused request."""
    trace = RequestTrace(attempt_id, route="r")
    trace.request_ended(RequestOutcome.REFUSED, 503, "OVERLOAD", 1.0)
    return trace


def metrics_text(plane: Plane) -> str:
    """The metrics of the process."""
    return plane.plane._registry.text()
