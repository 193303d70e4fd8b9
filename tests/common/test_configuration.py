"""The checker of the operator's configuration, and differences between two configurations."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.common.configuration import (
    Configuration,
    apply_difference,
    difference,
    parse_configuration,
    read_checked,
    targets,
)
from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.messages import ConfigurationDelta, decode, encode


def route(**changes: Any) -> dict[str, Any]:
    """A valid route."""
    made: dict[str, Any] = {
        "name": "r1",
        "hostname": "a.example",
        "path_prefix": "/p/",
        "route_type": "idempotent",
        "timeout_ms": 3000,
        "upstream": "u1",
    }
    return made | changes


def without(document: dict[str, Any], key: str) -> dict[str, Any]:
    return {name: value for name, value in document.items() if name != key}


def split(*weights: float) -> dict[str, Any]:
    """A route whose traffic is split between two services."""
    parts = [{"upstream": f"u{number}", "weight": weight} for number, weight in enumerate(weights, 1)]
    return without(route(), "upstream") | {"traffic_split": parts}


def document(*routes: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """A valid document with these routes."""
    made: dict[str, Any] = {
        "generation": 1,
        "routes": list(routes),
        "upstreams": [{"name": "u1"}, {"name": "u2"}],
    }
    return made | changes


def parse(made: dict[str, Any]) -> Configuration:
    return parse_configuration(json.dumps(made).encode())


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
def test_an_invalid_document_is_refused_with_its_code(made: dict[str, Any], code: ErrorCode) -> None:
    with pytest.raises(FleetError) as refused:
        parse(made)
    assert refused.value.code is code


@pytest.mark.parametrize("raw", [b"", b"{", b"\xff\xfe", b'{"generation":1,', b"nonsense"])
def test_what_cannot_be_read_whole_is_refused(raw: bytes) -> None:
    with pytest.raises(FleetError) as refused:
        parse_configuration(raw)
    assert refused.value.code is ErrorCode.CONFIGURATION_UNREADABLE


def test_every_cut_of_a_valid_document_is_refused() -> None:
    raw = json.dumps(document(route(), split(1, 2) | {"name": "r2", "path_prefix": "/q/"})).encode()
    assert parse_configuration(raw).generation == 1
    for length in range(len(raw)):
        with pytest.raises(FleetError):
            parse_configuration(raw[:length])


def test_a_fault_names_the_route() -> None:
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


def test_the_parts_of_a_split_are_kept() -> None:
    parsed = parse(document(split(90, 10)))
    assert [(part["upstream"], part["weight"]) for part in targets(parsed.routes["r1"])] == [
        ("u1", 90),
        ("u2", 10),
    ]


def test_the_same_prefix_at_another_host_is_another_route() -> None:
    assert len(parse(document(route(), route(name="r2", hostname="b.example"))).routes) == 2


# ---- differences ----

NAMES = st.sampled_from(["u1", "u2", "u3", "ü", "u 4"])
WEIGHTS = st.one_of(st.integers(1, 100), st.floats(0.001, 100, allow_nan=False))
OPTIONAL = {
    "target_ms": st.integers(1, 10_000),
    "priority": st.integers(0, 9),
    "max_attempts": st.integers(1, 5),
    "session_affinity": st.booleans(),
    "stream_resume": st.booleans(),
    "gap_aim_ms": st.floats(1, 1000, allow_nan=False),
    "a_later_field": st.integers(),
}
BODIES = st.fixed_dictionaries(
    {
        "route_type": st.sampled_from(["idempotent", "non_idempotent", "streaming"]),
        "timeout_ms": st.one_of(st.integers(1, 10**6), st.floats(0.5, 1000, allow_nan=False)),
        "traffic_split": st.lists(
            st.fixed_dictionaries({"upstream": NAMES, "weight": WEIGHTS}), min_size=1, max_size=3
        ),
    },
    optional=OPTIONAL,
)
SERVICES = st.fixed_dictionaries(
    {},
    optional={
        "health_check": st.sampled_from(["/health", "/other"]),
        "max_connections": st.integers(0, 500),
        "engine": st.fixed_dictionaries({"capacity": st.integers(1, 64), "kv_tokens": st.integers(0, 9999)}),
    },
)
LIMITS = st.dictionaries(
    st.sampled_from(["max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"]),
    st.integers(1, 10**6),
)


@st.composite
def documents(draw: st.DrawFn) -> Configuration:
    """Any valid configuration."""
    numbers = draw(st.sets(st.integers(0, 6)))
    routes: list[dict[str, Any]] = [
        draw(BODIES)
        | {"name": f"r{number}", "hostname": f"h{number % 2}.example", "path_prefix": f"/{number}/"}
        for number in numbers
    ]
    used = {part["upstream"] for made in routes for part in made["traffic_split"]}
    names = used | draw(st.sets(NAMES))
    upstreams = [draw(SERVICES) | {"name": name} for name in sorted(names)]
    made: dict[str, Any] = {
        "generation": draw(st.integers(1, 10**9)),
        "routes": routes,
        "upstreams": upstreams,
    }
    if draw(st.booleans()):
        made["limits"] = draw(LIMITS)
    return parse(made)


@settings(max_examples=60, deadline=None)
@given(old=documents(), new=documents())
def test_a_difference_makes_the_new_configuration_of_the_old_one(
    old: Configuration, new: Configuration
) -> None:
    delta = difference(old, new, (3, 0), (8, 0))
    arrived = decode(encode(delta), ConfigurationDelta)
    assert arrived == delta
    assert apply_difference(old, arrived) == new


@settings(max_examples=20, deadline=None)
@given(old=documents(), new=documents())
def test_applying_a_difference_leaves_the_old_configuration_as_it_is(
    old: Configuration, new: Configuration
) -> None:
    routes, upstreams, limits = dict(old.routes), dict(old.upstreams), dict(old.limits)
    apply_difference(old, difference(old, new, (1, 0), (2, 0)))
    assert (old.routes, old.upstreams, old.limits) == (routes, upstreams, limits)


@settings(max_examples=20, deadline=None)
@given(same=documents())
def test_no_difference_is_empty(same: Configuration) -> None:
    delta = difference(same, same, (1, 0), (2, 0))
    assert (delta.routes, delta.upstreams, delta.limits) == (b"[]", b"[]", b"")
    assert not delta.removed_routes
    assert not delta.removed_upstreams


def test_a_difference_holds_only_what_has_changed() -> None:
    many = [route(name=f"r{number}", path_prefix=f"/{number}/") for number in range(200)]
    old = parse(document(*many))
    many[7] = many[7] | {"timeout_ms": 1}
    delta = difference(old, parse(document(*many)), (1, 0), (2, 0))
    assert [changed["name"] for changed in json.loads(delta.routes)] == ["r7"]


def test_a_checked_document_is_read_as_it_was_checked() -> None:
    raw = json.dumps(document(route(), split(1, 3) | {"name": "r2", "path_prefix": "/q/"})).encode()
    assert read_checked(raw) == parse_configuration(raw)


@pytest.mark.parametrize(
    ("raw", "code"),
    [(b"{", ErrorCode.CONFIGURATION_UNREADABLE), (b'{"generation": "x"}', ErrorCode.CONFIGURATION_FIELD)],
)
def test_bytes_that_are_no_document_are_not_read(raw: bytes, code: ErrorCode) -> None:
    with pytest.raises(FleetError) as found:
        read_checked(raw)
    assert found.value.code is code
