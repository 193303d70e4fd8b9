"""The HTTP API for bookings, tested against processes of the real program."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest

from tests.peers import WAIT, Message, Node, Start
from tests.ports import free_port

BOOKINGS = {"zones": [{"name": "north", "cap": 6}], "teams": [{"tenant": "small", "most": 2}], "step": "1m"}


def operator(me: int, members: list[str], granters: list[int]) -> dict[str, Any]:
    fleet = {"members": members, "me": me, "granters": granters, "period": "200ms"}
    return {"version": 1, "fleet": fleet, "bookings": {**BOOKINGS, "term": "400ms"}}


@pytest.fixture
def pair(start: Start) -> tuple[Node, Node]:
    """Two schedulers; only the first is a voter."""
    members = [f"127.0.0.1:{free_port()}" for _ in range(2)]
    nodes = [start(hosts=1, me=me, balancers=2, operator=operator(me, members, [0])) for me in range(2)]
    return nodes[0], nodes[1]


def call(node: Node, method: str, path: str, body: object = None) -> Message:
    data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    connection = node.caller(
        f"{method} /v1/{path} HTTP/1.1\r\nHost: o\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
    )
    response = connection.message()
    assert connection.ended()
    return response


def booking_body(slots: int, hour: int, tenant: str = "acme", **more: object) -> dict[str, object]:
    day = time.strftime("%Y-%m-%d", time.gmtime(time.time() + 2 * 86_400))
    times = {"from": f"{day}T{hour:02}:00:00Z", "to": f"{day}T{hour + 2:02}:00:00+00:00"}
    return {"tenant": tenant, "zone": "north", "slots": slots, **times, **more}


def result(response: Message) -> tuple[int, str]:
    return response.status, json.loads(response.body)["state"]


def book_with_retries(node: Node, name: str, body: dict[str, object]) -> Message:
    """Retry while the outcome is unknown: the log has no leader until its first lease is acquired."""
    end = time.monotonic() + WAIT
    while (response := call(node, "POST", f"bookings/{name}", body)).status == 202 and time.monotonic() < end:
        pass
    return response


def test_a_booking_through_any_scheduler_is_seen_by_all(pair: tuple[Node, Node]) -> None:
    voter, other = pair
    assert result(book_with_retries(other, "first", booking_body(4, 2))) == (201, "booked")
    response = call(voter, "POST", "bookings/second", booking_body(3, 3))
    assert result(response) == (409, "refused")
    body = json.loads(response.body)
    assert body["because"] == ["first"]
    assert body["free"][0]["from"].endswith("T04:00:00Z")
    assert result(call(other, "POST", "bookings/first", booking_body(4, 2))) == (201, "booked"), (
        "a repeated request has the same outcome"
    )
    assert result(call(other, "POST", "bookings/small", booking_body(3, 10, "small"))) == (409, "refused")
    assert result(call(voter, "DELETE", "bookings/first", {"version": 1})) == (200, "cancelled")
    assert result(call(other, "POST", "bookings/first", booking_body(4, 2))) == (409, "stale")
    assert result(call(other, "POST", "bookings/second", booking_body(3, 3, version=1))) == (201, "booked")
    assert result(call(voter, "GET", "bookings/second")) == (200, "booked")
    assert call(voter, "GET", "bookings/never").status == 404
    listed = json.loads(call(voter, "GET", "bookings").body)
    assert [one["name"] for one in listed["bookings"]] == ["second"]
    metrics = voter.call("/v1/metrics").body.decode()
    assert "scheduler_record_serving 1" in metrics
    assert 'scheduler_bookings_told_total{what="refused"}' in metrics


def test_a_scheduler_that_is_not_a_voter_names_the_voters(pair: tuple[Node, Node]) -> None:
    for path in ("bookings", "bookings/first"):
        response = call(pair[1], "GET", path)
        assert response.status == 503
        problem = json.loads(response.body)
        assert problem["type"] == "urn:reedspoke:bookings-elsewhere"
        assert "[0]" in problem["detail"]
        assert response.fields["content-type"] == "application/problem+json"


@pytest.mark.parametrize(
    "body",
    [
        b"", b"no json", {}, booking_body(0, 2), booking_body(3, 2, zone=7), booking_body(3, 2, more=1),
        booking_body(3, 2, tenant="Too Large"), {**booking_body(3, 2), "from": "2026-01-01T00:00:00"},
        {**booking_body(3, 2), "to": "soon"},
    ],
    ids=repr,
)  # fmt: skip
def test_an_invalid_booking_gets_a_problem_document(start: Start, body: object) -> None:
    node = start(hosts=1, operator=operator(0, [f"127.0.0.1:{free_port()}"], [0]))
    response = call(node, "POST", "bookings/first", body)
    assert response.status == 400
    problem = json.loads(response.body)
    assert problem["type"] == "urn:reedspoke:no-booking"
    assert problem["remedy"]


def test_without_a_majority_the_outcome_is_unknown(start: Start) -> None:
    members = [f"127.0.0.1:{free_port()}" for _ in range(3)]
    node = start(hosts=1, balancers=3, operator=operator(0, members, [0, 1, 2]))
    began = time.monotonic()
    assert result(call(node, "POST", "bookings/first", booking_body(4, 2))) == (202, "unknown")
    assert 1.5 < time.monotonic() - began < 2.3


def test_a_series_books_each_occurrence_under_its_own_name(pair: tuple[Node, Node]) -> None:
    day = time.strftime("%Y-%m-%d", time.gmtime(time.time() + 2 * 86_400))
    body = {
        "tenant": "acme", "zone": "north", "slots": 4, "from": f"{day}T02:00:00", "to": f"{day}T04:00:00",
        "clock": "Europe/Vienna", "repeat": "FREQ=WEEKLY;COUNT=3",
    }  # fmt: skip
    book_with_retries(pair[1], "first", booking_body(1, 20))
    response = call(pair[1], "POST", "bookings/weekly/series", body)
    assert response.status == 201
    bookings = json.loads(response.body)["bookings"]
    assert [one["name"] for one in bookings] == ["weekly.1", "weekly.2", "weekly.3"]
    assert {one["state"] for one in bookings} == {"booked"}
    assert result(call(pair[0], "GET", "bookings/weekly.2")) == (200, "booked")
    conflicting = call(pair[0], "POST", "bookings/other/series", {**body, "repeat": "FREQ=DAILY;COUNT=2"})
    assert conflicting.status == 409
    states = {one["name"]: one["state"] for one in json.loads(conflicting.body)["bookings"]}
    assert states == {"other.1": "refused", "other.2": "booked"}
    invalid = call(pair[0], "POST", "bookings/other/series", {**body, "repeat": "FREQ=DAILY"})
    assert (invalid.status, json.loads(invalid.body)["type"]) == (400, "urn:reedspoke:rule-unusable")
