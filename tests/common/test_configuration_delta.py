"""Differences between two configurations, and their application."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.common.configuration import Configuration
from reedspoke.common.configuration_delta import apply_delta, make_delta
from reedspoke.common.messages import ConfigurationDelta, decode, encode
from tests.common.configuration_documents import document, parse, route

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
def test_a_delta_turns_the_old_configuration_into_the_new_one(old: Configuration, new: Configuration) -> None:
    delta = make_delta(old, new, (3, 0), (8, 0))
    arrived = decode(encode(delta), ConfigurationDelta)
    assert arrived == delta
    assert apply_delta(old, arrived) == new


@settings(max_examples=20, deadline=None)
@given(old=documents(), new=documents())
def test_applying_a_delta_does_not_change_the_old_configuration(
    old: Configuration, new: Configuration
) -> None:
    routes, upstreams, limits = dict(old.routes), dict(old.upstreams), dict(old.limits)
    apply_delta(old, make_delta(old, new, (1, 0), (2, 0)))
    assert (old.routes, old.upstreams, old.limits) == (routes, upstreams, limits)


@settings(max_examples=20, deadline=None)
@given(same=documents())
def test_the_delta_of_equal_configurations_is_empty(same: Configuration) -> None:
    delta = make_delta(same, same, (1, 0), (2, 0))
    assert (delta.routes, delta.upstreams, delta.limits) == (b"[]", b"[]", b"")
    assert not delta.removed_routes
    assert not delta.removed_upstreams


def test_a_delta_contains_only_what_has_changed() -> None:
    many = [route(name=f"r{number}", path_prefix=f"/{number}/") for number in range(200)]
    old = parse(document(*many))
    many[7] = many[7] | {"timeout_ms": 1}
    delta = make_delta(old, parse(document(*many)), (1, 0), (2, 0))
    assert [changed["name"] for changed in json.loads(delta.routes)] == ["r7"]
