"""Parsing and validation of the operator's configuration."""

from __future__ import annotations

import json
from typing import Any

import pytest

from reedspoke.common.configuration import route_targets
from reedspoke.common.configuration_parsing import parse_configuration, parse_validated
from reedspoke.common.errors import ErrorCode, FleetError
from tests.common.configuration_documents import document, parse, route, split, without

INVALID = [
    ("unknown service", document(route(upstream="u9")), ErrorCode.CONFIGURATION_UNKNOWN_UPSTREAM),
    (
        "unknown service in a split",
        document(route(traffic_split=[{"upstream": "u9", "weight": 1}])),
        ErrorCode.CONFIGURATION_UNKNOWN_UPSTREAM,
    ),
    (
        "unknown service beside a split",
        document(route(upstream="u9", traffic_split=[{"upstream": "u1", "weight": 1}])),
        ErrorCode.CONFIGURATION_UNKNOWN_UPSTREAM,
    ),
    (
        "unknown service of weight 0",
        document(route(traffic_split=[{"upstream": "u1", "weight": 1}, {"upstream": "u9", "weight": 0}])),
        ErrorCode.CONFIGURATION_UNKNOWN_UPSTREAM,
    ),
    (
        "same host and prefix",
        document(route(), route(name="r2")),
        ErrorCode.CONFIGURATION_DUPLICATE_ROUTE,
    ),
    (
        "same host in other letters",
        document(route(), route(name="r2", hostname="A.Example")),
        ErrorCode.CONFIGURATION_DUPLICATE_ROUTE,
    ),
    ("weights of 0", document(split(0, 0)), ErrorCode.CONFIGURATION_ZERO_WEIGHT),
    ("a single weight of 0", document(split(0)), ErrorCode.CONFIGURATION_ZERO_WEIGHT),
    ("a negative weight", document(split(3, -1)), ErrorCode.CONFIGURATION_ZERO_WEIGHT),
    ("weights that cancel out", document(split(1, -1)), ErrorCode.CONFIGURATION_ZERO_WEIGHT),
    ("no time", document(route(timeout_ms=0)), ErrorCode.CONFIGURATION_ZERO_TIMEOUT),
    ("negative time", document(route(timeout_ms=-5)), ErrorCode.CONFIGURATION_ZERO_TIMEOUT),
    ("no generation", without(document(), "generation"), ErrorCode.CONFIGURATION_FIELD),
    ("no routes", without(document(), "routes"), ErrorCode.CONFIGURATION_FIELD),
    ("no upstreams", without(document(), "upstreams"), ErrorCode.CONFIGURATION_FIELD),
    ("a route without host", document(without(route(), "hostname")), ErrorCode.CONFIGURATION_FIELD),
    ("a route without time", document(without(route(), "timeout_ms")), ErrorCode.CONFIGURATION_FIELD),
    ("a route without a service", document(without(route(), "upstream")), ErrorCode.CONFIGURATION_FIELD),
    ("an empty split alone", document(split()), ErrorCode.CONFIGURATION_FIELD),
    ("an unknown type of route", document(route(route_type="other")), ErrorCode.CONFIGURATION_FIELD),
    ("a generation as text", document(generation="1"), ErrorCode.CONFIGURATION_FIELD),
    ("routes as an object", document() | {"routes": {}}, ErrorCode.CONFIGURATION_FIELD),
]


@pytest.mark.parametrize(("made", "code"), [case[1:] for case in INVALID], ids=[case[0] for case in INVALID])
def test_an_invalid_document_is_rejected_with_its_code(made: dict[str, Any], code: ErrorCode) -> None:
    with pytest.raises(FleetError) as refused:
        parse(made)
    assert refused.value.code is code


@pytest.mark.parametrize("raw", [b"", b"{", b"\xff\xfe", b'{"generation":1,', b"nonsense"])
def test_an_unreadable_document_is_rejected(raw: bytes) -> None:
    with pytest.raises(FleetError) as refused:
        parse_configuration(raw)
    assert refused.value.code is ErrorCode.CONFIGURATION_UNREADABLE


def test_every_truncation_of_a_valid_document_is_rejected() -> None:
    raw = json.dumps(document(route(), split(1, 2) | {"name": "r2", "path_prefix": "/q/"})).encode()
    assert parse_configuration(raw).generation == 1
    for length in range(len(raw)):
        with pytest.raises(FleetError):
            parse_configuration(raw[:length])


def test_an_error_names_the_route() -> None:
    with pytest.raises(FleetError, match="r7"):
        parse(document(route(), route(name="r7", path_prefix="/q/", timeout_ms=0)))


def test_unknown_fields_are_ignored_everywhere() -> None:
    plain = document(route(), limits={"max_body_bytes": 7})
    rich = document(
        route(colour="red", later={"a": 1}),
        upstreams=[{"name": "u1", "tls": False, "engine": {"stride": 7}}, {"name": "u2", "weight": [1]}],
        limits={"max_body_bytes": 7, "most_colours": 3},
        another=None,
    )
    parsed = parse(rich)
    assert parsed.routes == parse(plain).routes
    assert parsed.limits == parse(plain).limits
    assert parsed.upstreams["u1"] == {"name": "u1", "engine": {}}


def test_the_weights_of_a_traffic_split_are_parsed() -> None:
    parsed = parse(document(split(90, 10)))
    assert [(part["upstream"], part["weight"]) for part in route_targets(parsed.routes["r1"])] == [
        ("u1", 90),
        ("u2", 10),
    ]


def test_the_same_prefix_at_another_host_is_another_route() -> None:
    assert len(parse(document(route(), route(name="r2", hostname="b.example"))).routes) == 2


def test_a_validated_document_is_parsed_to_the_same_configuration() -> None:
    raw = json.dumps(document(route(), split(1, 3) | {"name": "r2", "path_prefix": "/q/"})).encode()
    assert parse_validated(raw) == parse_configuration(raw)


@pytest.mark.parametrize(
    ("raw", "code"),
    [(b"{", ErrorCode.CONFIGURATION_UNREADABLE), (b'{"generation": "x"}', ErrorCode.CONFIGURATION_FIELD)],
)
def test_bytes_that_are_no_document_are_rejected_without_validation(raw: bytes, code: ErrorCode) -> None:
    with pytest.raises(FleetError) as found:
        parse_validated(raw)
    assert found.value.code is code
