"""Tenants of the operator's configuration: their keys, quotas and priority, and what makes them invalid.

Error messages name tenants and never a key. The name and docstring of `Tenant` are published in
`openapi/operator.json`.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NotRequired, TypedDict

from reedspoke.common.errors import ErrorCode, FleetError

TOKENS = "token_count"  # value of `unit` for quotas that are counted in tokens


class Tenant(TypedDict):
    """Who holds which keys, and how much may be asked for with them."""

    name: str
    api_keys: NotRequired[list[str]]
    priority: NotRequired[int | None]  # 0 is the most urgent; goes before that of the route
    unit: NotRequired[str | None]  # `token_count`: the quota counts tokens; else requests
    plain_tokens: NotRequired[float | None]  # counted for a request that names no tokens
    rate_per_s: NotRequired[float | None]  # 0 or none: no limit
    burst: NotRequired[float | None]


def first_tenant_error(tenants: Iterable[Tenant]) -> FleetError | None:
    """The first reason why these tenants are invalid; None where they are valid.

    The error is not raised; its code is 202, 211 or 212.
    """
    names: set[str] = set()
    owner_of_key: dict[str, str] = {}  # name of the tenant
    for tenant in tenants:
        name = tenant["name"]
        if name in names:
            return FleetError(ErrorCode.CONFIGURATION_DUPLICATE_TENANT, f"tenant {name}: the name is taken")
        names.add(name)
        error = _quota_error(tenant)
        if error is not None:
            return error
        for key in tenant.get("api_keys", ()):
            owner = owner_of_key.setdefault(key, name)
            if owner != name:
                message = f"tenants {owner} and {name} share a key"
                return FleetError(ErrorCode.CONFIGURATION_SHARED_KEY, message)
    return None


def _quota_error(tenant: Tenant) -> FleetError | None:
    figures = (tenant.get("rate_per_s"), tenant.get("burst"), tenant.get("plain_tokens"))
    if any(figure is not None and figure < 0 for figure in figures):
        message = f"tenant {tenant['name']}: a figure of its quota is below 0"
        return FleetError(ErrorCode.CONFIGURATION_FIELD, message)
    return None
