"""Key checks: which requests may be forwarded by their key, and for which tenant."""

from __future__ import annotations

import math

import pytest

from reedspoke.common.configuration import Configuration, RequestLimits
from reedspoke.common.node_settings import Bounds
from reedspoke.common.tenants import Tenant
from reedspoke.data_plane.key_check import (
    CLOCK_DRIFT_MARGIN_S,
    ConfigurationFreshness,
    KeyVerdict,
    check_key,
    max_configuration_age_s,
)
from reedspoke.data_plane.tenant_directory import KeyHolder, TenantDirectory, TenantQuota

FRESH = ConfigurationFreshness(0.1, in_doubt=False)
IN_DOUBT = ConfigurationFreshness(0.1, in_doubt=True)


def directory(*tenants: Tenant) -> TenantDirectory:
    return TenantDirectory(
        Configuration(1, {}, {}, RequestLimits(), {item["name"]: item for item in tenants})
    )


DIRECTORY = directory(
    Tenant(name="a", api_keys=["k1", "k2"], priority=1),
    Tenant(name="b", api_keys=["k3"], rate_per_s=5, burst=5, unit="token_count", plain_tokens=200),
)


@pytest.mark.parametrize(
    ("key", "public", "freshness", "verdict", "name"),
    [
        (b"k1", False, FRESH, KeyVerdict.ALLOWED, "a"),
        (b"k2", False, IN_DOUBT, KeyVerdict.ALLOWED, "a"),
        (b"k3", True, FRESH, KeyVerdict.ALLOWED, "b"),
        (b"", True, FRESH, KeyVerdict.ALLOWED, None),
        (b"gone", True, FRESH, KeyVerdict.ALLOWED, None),
        (b"", False, FRESH, KeyVerdict.UNKNOWN, None),
        (b"gone", False, FRESH, KeyVerdict.UNKNOWN, None),
        (b"k1, k2", False, FRESH, KeyVerdict.UNKNOWN, None),
        (b"gone", False, IN_DOUBT, KeyVerdict.IN_DOUBT, None),
    ],
)
def test_verdict(
    key: bytes, public: bool, freshness: ConfigurationFreshness, verdict: KeyVerdict, name: str | None
) -> None:
    checked = check_key(DIRECTORY, key, public=public, freshness=freshness, max_age_s=5.0)
    assert checked.verdict is verdict
    assert (checked.holder and checked.holder.name) == name


@pytest.mark.parametrize(
    ("age_s", "max_age_s", "verdict"),
    [
        (4.9, 5.0, KeyVerdict.ALLOWED),
        (5.1, 5.0, KeyVerdict.IN_DOUBT),
        (math.inf, 5.0, KeyVerdict.IN_DOUBT),
        (math.inf, None, KeyVerdict.ALLOWED),
    ],
)
def test_key_is_valid_only_while_its_configuration_is_fresh(
    age_s: float, max_age_s: float | None, verdict: KeyVerdict
) -> None:
    freshness = ConfigurationFreshness(age_s, in_doubt=age_s > 1)
    assert (
        check_key(DIRECTORY, b"k1", public=False, freshness=freshness, max_age_s=max_age_s).verdict is verdict
    )


def test_without_tenants_no_key_is_needed() -> None:
    without = TenantDirectory(Configuration(1, {}, {}, RequestLimits()))
    checked = check_key(without, b"k1", public=False, freshness=IN_DOUBT, max_age_s=0.0)
    assert (checked.verdict, checked.holder) == (KeyVerdict.ALLOWED, None)


def test_maximum_age_is_below_the_limit_of_the_deployment() -> None:
    assert max_configuration_age_s(Bounds(revoke_strict=True, revoke_ms=5000)) == 5 - CLOCK_DRIFT_MARGIN_S
    assert max_configuration_age_s(Bounds(revoke_strict=True, revoke_ms=100)) == 0
    assert max_configuration_age_s(Bounds(revoke_ms=5000)) is None


def test_directory_has_priority_and_quota() -> None:
    assert DIRECTORY.find(b"k1") == KeyHolder("a", 1, None)
    assert DIRECTORY.find(b"k3") == KeyHolder("b", None, TenantQuota(True, 200))


@pytest.mark.parametrize(
    ("quota", "tokens", "units"),
    [
        (TenantQuota(True, 200), 1540, 1540),
        (TenantQuota(True, 200), 0, 200),
        (TenantQuota(False, 200), 1540, 1),
    ],
)
def test_units_of_a_request(quota: TenantQuota, tokens: int, units: float) -> None:
    assert quota.units(tokens) == units


def test_directory_stores_no_key() -> None:
    assert "k1" not in repr(vars(DIRECTORY))
