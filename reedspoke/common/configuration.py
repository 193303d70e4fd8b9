"""The operator's configuration: its shape as typed dictionaries, and a small checker.

`parse_configuration` reads a whole document; what it returns is frozen and shared freely. `difference` and
`apply_difference` turn one configuration into another: a change of a large one stays small on the wire.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NotRequired, TypedDict

import msgspec
from expression import Error, Ok, Result
from msgspec import Struct

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.messages import ConfigurationDelta, Version
from reedspoke.common.tenants import Tenant, tenants_fault


class Split(TypedDict):
    """A part of a route's traffic."""

    upstream: str
    weight: float


class Model(TypedDict):
    """A model that an engine serves."""

    name: str


class Engine(TypedDict):
    """What the workers of a language model service can hold."""

    capacity: NotRequired[int]
    kv_tokens: NotRequired[int]
    models: NotRequired[list[Model]]


class Upstream(TypedDict):
    """A service."""

    name: str
    health_check: NotRequired[str]
    max_connections: NotRequired[int]
    engine: NotRequired[Engine]


class Route(TypedDict):
    """Which requests go to which service, and how they may be handled."""

    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_ms: NotRequired[float]
    gap_aim_ms: NotRequired[float]
    priority: NotRequired[int]
    upstream: NotRequired[str]
    traffic_split: NotRequired[list[Split]]
    max_attempts: NotRequired[int]
    session_affinity: NotRequired[bool]
    stream_resume: NotRequired[bool]
    public: NotRequired[bool]  # its requests need no key


class RequestLimits(TypedDict, total=False):
    """Bounds on what a client may send, and how slowly."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class Document(TypedDict):
    """A whole configuration."""

    generation: int
    routes: list[Route]
    upstreams: list[Upstream]
    limits: NotRequired[RequestLimits]
    tenants: NotRequired[list[Tenant] | None]


class Configuration(Struct, frozen=True):
    """A checked configuration, its routes, services and tenants by name."""

    generation: int
    routes: dict[str, Route]
    upstreams: dict[str, Upstream]
    limits: RequestLimits
    tenants: dict[str, Tenant] | None = None  # None: requests need no keys


ROUTE_TYPES = frozenset(("idempotent", "non_idempotent", "streaming"))
_DECODER = msgspec.json.Decoder(Document)


def parse_configuration(raw: bytes) -> Configuration:
    """A checked configuration out of its JSON. Raises FleetError with a code from 201 to 206, 211 or 212."""
    match check_document(raw):
        case Result(tag="ok", ok=configuration):
            return configuration
        case Result(error=error):
            raise error


def read_checked(raw: bytes) -> Configuration:
    """A configuration that a control scheduler has checked: its types are checked again, and nothing else, as
    that takes several times as long. Raises FleetError with code 201 or 202."""
    match _decode(raw):
        case Result(tag="ok", ok=document):
            return _index(document)
        case Result(error=error):
            raise error


def check_document(raw: bytes) -> Result[Configuration, FleetError]:
    """The configuration, or the first fault found in it."""
    return _decode(raw).bind(_check)


def _decode(raw: bytes) -> Result[Document, FleetError]:
    try:
        return Ok(_DECODER.decode(raw))
    except msgspec.ValidationError as error:
        return Error(FleetError(ErrorCode.CONFIGURATION_FIELD, str(error)))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(FleetError(ErrorCode.CONFIGURATION_UNREADABLE, str(error)))


def _check(document: Document) -> Result[Configuration, FleetError]:
    fault = _first_fault(document)
    return Ok(_index(document)) if fault is None else Error(fault)


def _index(document: Document) -> Configuration:
    routes = {route["name"]: route for route in document["routes"]}
    upstreams = {upstream["name"]: upstream for upstream in document["upstreams"]}
    listed = document.get("tenants")
    tenants = None if listed is None else {tenant["name"]: tenant for tenant in listed}
    limits = document.get("limits", RequestLimits())
    return Configuration(document["generation"], routes, upstreams, limits, tenants)


def _first_fault(document: Document) -> FleetError | None:
    names = {upstream["name"] for upstream in document["upstreams"]}
    places: set[tuple[str, str]] = set()
    route_names: set[str] = set()
    for route in document["routes"]:
        fault = _route_fault(route, names)
        if fault is not None:
            return fault
        place = (route["hostname"].lower(), route["path_prefix"])
        if place in places or route["name"] in route_names:
            text = f"route {route['name']}: its host and prefix, or its name, are taken by another route"
            return FleetError(ErrorCode.CONFIGURATION_DUPLICATE_ROUTE, text)
        places.add(place)
        route_names.add(route["name"])
    return tenants_fault(document.get("tenants") or ())


def _route_fault(route: Route, upstreams: set[str]) -> FleetError | None:
    name = route["name"]
    targets = list(_targets(route))
    if not targets:
        text = f"route {name}: neither upstream nor traffic_split names a service"
        return FleetError(ErrorCode.CONFIGURATION_FIELD, text)
    named = [split["upstream"] for split in targets] + [route.get("upstream", targets[0]["upstream"])]
    for upstream in named:
        if upstream not in upstreams:
            text = f"route {name}: unknown upstream {upstream}"
            return FleetError(ErrorCode.CONFIGURATION_UNKNOWN_UPSTREAM, text)
    weights = [split["weight"] for split in targets]
    if min(weights) < 0 or sum(weights) <= 0:
        return FleetError(ErrorCode.CONFIGURATION_ZERO_WEIGHT, f"route {name}: weights add up to 0")
    if route["timeout_ms"] <= 0:
        return FleetError(ErrorCode.CONFIGURATION_ZERO_TIMEOUT, f"route {name}: timeout_ms is not above 0")
    if route["route_type"] not in ROUTE_TYPES:
        text = f"route {name}: unknown route_type {route['route_type']}"
        return FleetError(ErrorCode.CONFIGURATION_FIELD, text)
    return None


def _targets(route: Route) -> Iterable[Split]:
    split = route.get("traffic_split")
    upstream = route.get("upstream")
    if split:
        return split
    return () if upstream is None else (Split(upstream=upstream, weight=1),)


def targets(route: Route) -> tuple[Split, ...]:
    """The services that take a route's requests, each with its weight."""
    return tuple(_targets(route))


def _changed(old: dict[str, Any], new: dict[str, Any]) -> list[Any]:
    return [value for name, value in new.items() if old.get(name) != value]


def _removed(old: dict[str, Any], new: dict[str, Any]) -> tuple[str, ...]:
    return tuple(name for name in old if name not in new)


def difference(old: Configuration, new: Configuration, base: Version, version: Version) -> ConfigurationDelta:
    """What turns `old` into `new`."""
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


def apply_difference(old: Configuration, delta: ConfigurationDelta) -> Configuration:
    """The configuration that `delta` makes of `old`, which must be its base."""
    routes = {name: route for name, route in old.routes.items() if name not in delta.removed_routes}
    for route in msgspec.json.decode(delta.routes, type=list[Route]):
        routes[route["name"]] = route
    upstreams = {name: item for name, item in old.upstreams.items() if name not in delta.removed_upstreams}
    for upstream in msgspec.json.decode(delta.upstreams, type=list[Upstream]):
        upstreams[upstream["name"]] = upstream
    limits = msgspec.json.decode(delta.limits, type=RequestLimits) if delta.limits else old.limits
    return Configuration(delta.generation, routes, upstreams, limits, _tenants_of(old, delta))


def _tenants_of(old: Configuration, delta: ConfigurationDelta) -> dict[str, Tenant] | None:
    if not delta.keyed:
        return None
    known = old.tenants or {}
    tenants = {name: tenant for name, tenant in known.items() if name not in delta.removed_tenants}
    for tenant in msgspec.json.decode(delta.tenants, type=list[Tenant]):
        tenants[tenant["name"]] = tenant
    return tenants
