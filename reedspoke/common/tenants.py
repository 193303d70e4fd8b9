"""Tenants of the operator's configuration: their keys, quotas and urgency, and what makes them invalid.

Messages of errors name tenants and never a key.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NotRequired, TypedDict

from reedspoke.common.errors import ErrorCode, FleetError

TOKENS = "token_count"  # the `unit` of quotas that are counted in tokens


class Tenant(TypedDict):
    """Who holds which keys, and how much may be asked for with them."""

    name: str
    api_keys: NotRequired[list[str]]
    priority: NotRequired[int | None]  # 0 is the most urgent; goes before that of the route
    unit: NotRequired[str | None]  # `token_count`: the quota counts tokens; else requests
    plain_tokens: NotRequired[float | None]  # counted for a request that names no tokens
    rate_per_s: NotRequired[float | None]  # 0 or none: no limit
    burst: NotRequired[float | None]


def tenants_fault(tenants: Iterable[Tenant]) -> FleetError | None:
    """The first fault of these tenants, or None."""
    names: set[str] = set()
    holders: dict[str, str] = {}  # name of the tenant, by key
    for tenant in tenants:
        name = tenant["name"]
        if name in names:
            return FleetError(ErrorCode.CONFIGURATION_DUPLICATE_TENANT, f"tenant {name}: the name is taken")
        names.add(name)
        fault = _quota_fault(tenant)
        if fault is not None:
            return fault
        for key in tenant.get("api_keys", ()):
            holder = holders.setdefault(key, name)
            if holder != name:
                text = f"tenants {holder} and {name} share a key"
                return FleetError(ErrorCode.CONFIGURATION_SHARED_KEY, text)
    return None


def _quota_fault(tenant: Tenant) -> FleetError | None:
    figures = (tenant.get("rate_per_s"), tenant.get("burst"), tenant.get("plain_tokens"))
    if any(figure is not None and figure < 0 for figure in figures):
        text = f"tenant {tenant['name']}: a figure of its quota is below 0"
        return FleetError(ErrorCode.CONFIGURATION_FIELD, text)
    return None
