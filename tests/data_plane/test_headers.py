"""Header fields that are forwarded."""

from __future__ import annotations

import pytest

from reedspoke.data_plane.headers import (
    field_number,
    field_text,
    forwarded_answer_fields,
    forwarded_request_fields,
    status_line,
)
from reedspoke.net.http import Buffer, Head, parse_head


def head_of(raw: bytes, *, answer: bool = False) -> Head:
    buffer = Buffer()
    buffer.room(len(raw))[: len(raw)] = raw
    buffer.filled(len(raw))
    head = parse_head(buffer, answer=answer)
    assert head is not None
    return head


def request(*fields: bytes) -> Head:
    return head_of(b"".join([b"POST /p/ HTTP/1.1\r\n", *(field + b"\r\n" for field in fields), b"\r\n"]))


def answer(*fields: bytes) -> Head:
    return head_of(
        b"".join([b"HTTP/1.1 200 OK\r\n", *(field + b"\r\n" for field in fields), b"\r\n"]), answer=True
    )


def test_fields_are_forwarded_in_their_order_with_their_values() -> None:
    head = request(b"Host: a.example", b"X-One: 1", b"X-Two:  a b \xe9 ", b"X-One: 2", b"Accept: */*")
    assert forwarded_request_fields(head) == (
        b"host: a.example\r\nx-one: 1\r\nx-two: a b \xe9\r\nx-one: 2\r\naccept: */*\r\n"
    )


@pytest.mark.parametrize(
    "field",
    [
        b"Connection: keep-alive",
        b"Keep-Alive: timeout=5",
        b"Transfer-Encoding: chunked",
        b"Content-Length: 5",
        b"TE: trailers",
        b"Trailer: X-Sum",
        b"Upgrade: h2c",
        b"Proxy-Authorization: x",
        b"Expect: 100-continue",
        b"Reedspoke-Deadline-Ms: 5",
        b"Reedspoke-Target-Instance: i-other",
        b"Last-Event-Id: 4",
    ],
)
def test_hop_by_hop_and_replaced_fields_are_not_forwarded(field: bytes) -> None:
    assert forwarded_request_fields(request(field, b"X-Kept: 1")) == b"x-kept: 1\r\n"


def test_fields_that_connection_names_are_not_forwarded() -> None:
    head = request(b"Connection: close, X-Hop", b"X-Hop: 1", b"X-Kept: 1")
    assert forwarded_request_fields(head) == b"x-kept: 1\r\n"
    head_with_connection = answer(b"Connection: X-Hop", b"X-Hop: 1", b"X-Kept: 1")
    assert forwarded_answer_fields(head_with_connection) == b"x-kept: 1\r\n"


@pytest.mark.parametrize(
    "name",
    [
        b"Reedspoke-Attempt-Id",
        b"Reedspoke-Model-Name",
        b"Reedspoke-Token-Count",
        b"Reedspoke-Prompt-Prefix",
        b"Expect-Version",
        b"Cookie",
        b"Authorization",
    ],
)
def test_fields_for_the_worker_are_forwarded(name: bytes) -> None:
    assert forwarded_request_fields(request(name + b": v")) == name.lower() + b": v\r\n"


def test_an_answer_keeps_its_seal_and_loses_hop_by_hop_fields() -> None:
    head = answer(
        b"Reedspoke-Response-Seal: 1.2.3",
        b"Reedspoke-Attempt-Id: a1",
        b"Versions: 3",
        b"Content-Type: text/event-stream",
        b"Content-Length: 3",
        b"Transfer-Encoding: chunked",
        b"Connection: close",
        b"Keep-Alive: timeout=1",
    )
    assert forwarded_answer_fields(head) == (
        b"reedspoke-response-seal: 1.2.3\r\nreedspoke-attempt-id: a1\r\nversions: 3\r\n"
        b"content-type: text/event-stream\r\n"
    )


@pytest.mark.parametrize(
    ("text", "number"),
    [(b"5", 5.0), (b"1.5", 1.5), (b"", None), (b"soon", None), (b"\xb2", None), (b"0x10", None)],
)
def test_a_field_is_parsed_as_a_number_or_none(text: bytes, number: float | None) -> None:
    assert field_number(request(b"X-N: " + text), b"x-n") == number
    assert field_number(request(), b"x-n") is None


def test_a_field_is_read_as_text_or_empty() -> None:
    assert field_text(request(b"X-T: \xe9a"), b"x-t") == "éa"
    assert field_text(request(), b"x-t") == ""


def test_a_status_line_of_any_status() -> None:
    assert status_line(200) == b"HTTP/1.1 200 OK\r\n"
    assert status_line(599) == b"HTTP/1.1 599 Unknown\r\n"
