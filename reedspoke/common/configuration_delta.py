"""Differences between two configurations, so that a small change of a large one stays small on the wire."""

from __future__ import annotations

from typing import Any

import msgspec

from reedspoke.common.configuration import Configuration, RequestLimits, Route, Upstream
from reedspoke.common.messages import ConfigurationDelta, Version
from reedspoke.common.tenants import Tenant


def make_delta(old: Configuration, new: Configuration, base: Version, version: Version) -> ConfigurationDelta:
    """What turns `old`, of version `base`, into `new`, of `version`."""
    old_tenants, new_tenants = old.tenants or {}, new.tenants or {}
    return ConfigurationDelta(
        base=base,
        version=version,
        generation=new.generation,
        routes=msgspec.json.encode(_changed(old.routes, new.routes)),
        removed_routes=_removed(old.routes, new.routes),
        upstreams=msgspec.json.encode(_changed(old.upstreams, new.upstreams)),
        removed_upstreams=_removed(old.upstreams, new.upstreams),
        limits=b"" if old.limits == new.limits else msgspec.json.encode(new.limits),
        keyed=new.tenants is not None,
        tenants=msgspec.json.encode(_changed(old_tenants, new_tenants)),
        removed_tenants=_removed(old_tenants, new_tenants),
    )


def apply_delta(old: Configuration, delta: ConfigurationDelta) -> Configuration:
    """The configuration that `delta` makes of `old`, which must have the version `delta.base`."""
    changed_routes = msgspec.json.decode(delta.routes, type=list[Route])
    changed_upstreams = msgspec.json.decode(delta.upstreams, type=list[Upstream])
    limits = msgspec.json.decode(delta.limits, type=RequestLimits) if delta.limits else old.limits
    return Configuration(
        generation=delta.generation,
        routes=_replaced(old.routes, delta.removed_routes, changed_routes),
        upstreams=_replaced(old.upstreams, delta.removed_upstreams, changed_upstreams),
        limits=limits,
        tenants=_tenants_of(old, delta),
    )


def _changed(old: dict[str, Any], new: dict[str, Any]) -> list[Any]:
    return [value for name, value in new.items() if old.get(name) != value]


def _removed(old: dict[str, Any], new: dict[str, Any]) -> tuple[str, ...]:
    return tuple(name for name in old if name not in new)


def _replaced(old: dict[str, Any], removed: tuple[str, ...], changed: list[Any]) -> dict[str, Any]:
    items = {name: item for name, item in old.items() if name not in removed}
    for item in changed:
        items[item["name"]] = item
    return items


def _tenants_of(old: Configuration, delta: ConfigurationDelta) -> dict[str, Tenant] | None:
    if not delta.keyed:
        return None
    changed = msgspec.json.decode(delta.tenants, type=list[Tenant])
    return _replaced(old.tenants or {}, delta.removed_tenants, changed)
