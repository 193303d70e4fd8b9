"""Which requests may run by their key, and for which tenant."""

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

CERTAIN = ConfigurationFreshness(0.1, in_doubt=False)
DOUBTFUL = ConfigurationFreshness(0.1, in_doubt=True)


def directory(*tenants: Tenant) -> TenantDirectory:
    return TenantDirectory(
        Configuration(1, {}, {}, RequestLimits(), {item["name"]: item for item in tenants})
    )


HELD = directory(
    Tenant(name="a", api_keys=["k1", "k2"], priority=1),
    Tenant(name="b", api_keys=["k3"], rate_per_s=5, burst=5, unit="token_count", plain_tokens=200),
)


@pytest.mark.parametrize(
    ("key", "public", "freshness", "verdict", "name"),
    [
        (b"k1", False, CERTAIN, KeyVerdict.ALLOWED, "a"),
        (b"k2", False, DOUBTFUL, KeyVerdict.ALLOWED, "a"),
        (b"k3", True, CERTAIN, KeyVerdict.ALLOWED, "b"),
        (b"", True, CERTAIN, KeyVerdict.ALLOWED, None),
        (b"gone", True, CERTAIN, KeyVerdict.ALLOWED, None),
        (b"", False, CERTAIN, KeyVerdict.UNKNOWN, None),
        (b"gone", False, CERTAIN, KeyVerdict.UNKNOWN, None),
        (b"k1, k2", False, CERTAIN, KeyVerdict.UNKNOWN, None),
        (b"gone", False, DOUBTFUL, KeyVerdict.IN_DOUBT, None),
    ],
)
def test_the_verdict(
    key: bytes, public: bool, freshness: ConfigurationFreshness, verdict: KeyVerdict, name: str | None
) -> None:
    checked = check_key(HELD, key, public=public, freshness=freshness, max_age_s=5.0)
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
def test_a_key_counts_only_while_its_configuration_is_certain(
    age_s: float, max_age_s: float | None, verdict: KeyVerdict
) -> None:
    freshness = ConfigurationFreshness(age_s, in_doubt=age_s > 1)
    assert check_key(HELD, b"k1", public=False, freshness=freshness, max_age_s=max_age_s).verdict is verdict


def test_without_tenants_no_key_is_needed() -> None:
    without = TenantDirectory(Configuration(1, {}, {}, RequestLimits()))
    checked = check_key(without, b"k1", public=False, freshness=DOUBTFUL, max_age_s=0.0)
    assert (checked.verdict, checked.holder) == (KeyVerdict.ALLOWED, None)


def test_the_bound_is_less_than_what_the_deployment_sets() -> None:
    assert max_configuration_age_s(Bounds(revoke_strict=True, revoke_ms=5000)) == 5 - CLOCK_DRIFT_MARGIN_S
    assert max_configuration_age_s(Bounds(revoke_strict=True, revoke_ms=100)) == 0
    assert max_configuration_age_s(Bounds(revoke_ms=5000)) is None


def test_the_directory_tells_priority_and_quota() -> None:
    assert HELD.find(b"k1") == KeyHolder("a", 1, None)
    assert HELD.find(b"k3") == KeyHolder("b", None, TenantQuota(True, 200))


@pytest.mark.parametrize(
    ("quota", "tokens", "units"),
    [
        (TenantQuota(True, 200), 1540, 1540),
        (TenantQuota(True, 200), 0, 200),
        (TenantQuota(False, 200), 1540, 1),
    ],
)
def test_what_a_request_costs(quota: TenantQuota, tokens: int, units: float) -> None:
    assert quota.units(tokens) == units


def test_no_key_stands_in_the_directory() -> None:
    assert "k1" not in repr(vars(HELD))
