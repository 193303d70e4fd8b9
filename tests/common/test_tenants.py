"""Tenants of the configuration: what is invalid, and how changes of theirs travel."""

from __future__ import annotations

from typing import Any

import pytest

from reedspoke.common.configuration_delta import apply_delta, make_delta
from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.messages import ConfigurationDelta, decode, encode
from tests.common.configuration_documents import document, parse, route

SECRET = "k-very-secret"


def tenant(name: str, *keys: str, **changes: Any) -> dict[str, Any]:
    return {"name": name, "api_keys": list(keys)} | changes


@pytest.mark.parametrize(
    ("tenants", "code"),
    [
        ([tenant("a", SECRET), tenant("b", "k2", SECRET)], ErrorCode.CONFIGURATION_SHARED_KEY),
        ([tenant("a", "k1"), tenant("a", "k2")], ErrorCode.CONFIGURATION_DUPLICATE_TENANT),
        ([tenant("a", "k1", rate_per_s=-1)], ErrorCode.CONFIGURATION_FIELD),
        ([tenant("a", "k1", burst=-1)], ErrorCode.CONFIGURATION_FIELD),
        ([tenant("a", 7)], ErrorCode.CONFIGURATION_FIELD),  # type: ignore[arg-type]
        ([{"api_keys": ["k1"]}], ErrorCode.CONFIGURATION_FIELD),
    ],
)
def test_invalid_tenants_are_rejected_without_naming_a_key(tenants: list[Any], code: ErrorCode) -> None:
    with pytest.raises(FleetError) as caught:
        parse(document(route(), tenants=tenants))
    assert caught.value.code is code
    assert SECRET not in caught.value.message


@pytest.mark.parametrize(
    "tenants",
    [
        [],
        [tenant("a")],
        [tenant("a", "k1", "k1")],
        [tenant("a", "k1", rate_per_s=0, burst=0), tenant("b", "k2")],
        [tenant("a", "k1", rate_per_s=None, priority=None, unit=None)],
        [tenant("a", "k1", unit="token_count", plain_tokens=200, rate_per_s=10.5, burst=3, priority=1, x=1)],
    ],
)
def test_valid_tenants_are_accepted(tenants: list[Any]) -> None:
    held = parse(document(route(public=True), tenants=tenants)).tenants
    assert held is not None
    assert list(held) == [each["name"] for each in tenants]


def test_a_configuration_without_tenants_needs_no_keys() -> None:
    assert parse(document(route())).tenants is None
    assert parse(document(route(), tenants=None)).tenants is None


CHANGES: list[list[Any] | None] = [
    None,
    [],
    [tenant("a", "k1")],
    [tenant("a", "k1", "k2"), tenant("b", "k3", rate_per_s=5)],
    [tenant("b", "k1")],
]


@pytest.mark.parametrize("before", CHANGES)
@pytest.mark.parametrize("after", CHANGES)
def test_a_delta_replaces_the_tenants(before: list[Any] | None, after: list[Any] | None) -> None:
    old = parse(document(route(), tenants=before))
    new = parse(document(route(), tenants=after, generation=2))
    delta = decode(encode(make_delta(old, new, (1, 1), (1, 2))), ConfigurationDelta)
    assert apply_delta(old, delta) == new


def test_a_delta_contains_only_the_tenants_that_changed() -> None:
    old = parse(document(route(), tenants=[tenant(f"t{n}", f"k{n}") for n in range(50)]))
    new = parse(document(route(), tenants=[tenant(f"t{n}", f"k{n}") for n in range(1, 50)], generation=2))
    delta = make_delta(old, new, (1, 1), (1, 2))
    assert (delta.tenants, delta.removed_tenants) == (b"[]", ("t0",))
