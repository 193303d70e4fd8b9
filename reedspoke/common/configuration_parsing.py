"""Parses and validates the operator's configuration.

Steps that may fail return a `Result`; the two public functions raise its error. Error codes are those of
`docs/errors.md`, 2xx; a message names the first invalid route or tenant.
"""

from __future__ import annotations

import msgspec
from expression import Error, Ok, Result

from reedspoke.common.configuration import Configuration, Document, RequestLimits, Route, route_targets
from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.tenants import first_tenant_error

ROUTE_TYPES = frozenset(("idempotent", "non_idempotent", "streaming"))
_DECODER = msgspec.json.Decoder(Document)


def parse_configuration(raw: bytes) -> Configuration:
    """Parse and validate a document. Raises FleetError with a code from 201 to 206, 211 or 212."""
    return _value_or_raise(_decode(raw).bind(_validate))


def parse_validated(raw: bytes) -> Configuration:
    """Parse a document that a control plane node has validated before.

    Only its types are checked again: full validation of a large document takes several times as long. Raises
    FleetError with code 201 or 202.
    """
    return _value_or_raise(_decode(raw).map(_index))


def _value_or_raise(result: Result[Configuration, FleetError]) -> Configuration:
    match result:
        case Result(tag="ok", ok=configuration):
            return configuration
        case Result(error=error):
            raise error


def _decode(raw: bytes) -> Result[Document, FleetError]:
    try:
        return Ok(_DECODER.decode(raw))
    except msgspec.ValidationError as error:
        return Error(FleetError(ErrorCode.CONFIGURATION_FIELD, str(error)))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(FleetError(ErrorCode.CONFIGURATION_UNREADABLE, str(error)))


def _validate(document: Document) -> Result[Configuration, FleetError]:
    error = _first_error(document)
    return Ok(_index(document)) if error is None else Error(error)


def _index(document: Document) -> Configuration:
    routes = {route["name"]: route for route in document["routes"]}
    upstreams = {upstream["name"]: upstream for upstream in document["upstreams"]}
    listed = document.get("tenants")
    tenants = None if listed is None else {tenant["name"]: tenant for tenant in listed}
    limits = document.get("limits", RequestLimits())
    return Configuration(document["generation"], routes, upstreams, limits, tenants)


def _first_error(document: Document) -> FleetError | None:
    upstream_names = {upstream["name"] for upstream in document["upstreams"]}
    matched: set[tuple[str, str]] = set()  # host and path prefix of each route so far
    route_names: set[str] = set()
    for route in document["routes"]:
        error = _route_error(route, upstream_names)
        if error is not None:
            return error
        host_and_prefix = (route["hostname"].lower(), route["path_prefix"])
        if host_and_prefix in matched or route["name"] in route_names:
            message = f"route {route['name']}: its host and prefix, or its name, are taken by another route"
            return FleetError(ErrorCode.CONFIGURATION_DUPLICATE_ROUTE, message)
        matched.add(host_and_prefix)
        route_names.add(route["name"])
    return first_tenant_error(document.get("tenants") or ())


def _route_error(route: Route, upstream_names: set[str]) -> FleetError | None:
    name = route["name"]
    targets = route_targets(route)
    if not targets:
        message = f"route {name}: neither upstream nor traffic_split names a service"
        return FleetError(ErrorCode.CONFIGURATION_FIELD, message)
    named = [split["upstream"] for split in targets] + [route.get("upstream", targets[0]["upstream"])]
    for upstream in named:
        if upstream not in upstream_names:
            message = f"route {name}: unknown upstream {upstream}"
            return FleetError(ErrorCode.CONFIGURATION_UNKNOWN_UPSTREAM, message)
    weights = [split["weight"] for split in targets]
    if min(weights) < 0 or sum(weights) <= 0:
        return FleetError(ErrorCode.CONFIGURATION_ZERO_WEIGHT, f"route {name}: weights add up to 0")
    if route["timeout_ms"] <= 0:
        return FleetError(ErrorCode.CONFIGURATION_ZERO_TIMEOUT, f"route {name}: timeout_ms is not above 0")
    if route["route_type"] not in ROUTE_TYPES:
        message = f"route {name}: unknown route_type {route['route_type']}"
        return FleetError(ErrorCode.CONFIGURATION_FIELD, message)
    return None
