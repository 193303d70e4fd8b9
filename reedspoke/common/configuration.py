"""The operator's configuration as types: the document as it is sent, and `Configuration`, indexed by name.

The names and docstrings of the typed dictionaries are published in `openapi/operator.json`, which
`tests/control_plane_process/test_openapi.py` compares with them. Parsing and validation are in
`configuration_parsing`, differences between two configurations in `configuration_delta`.
"""

from __future__ import annotations

from typing import NotRequired, TypedDict

from msgspec import Struct

from reedspoke.common.tenants import Tenant


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
    """A validated configuration, with its routes, upstreams and tenants by name. It is never changed."""

    generation: int
    routes: dict[str, Route]
    upstreams: dict[str, Upstream]
    limits: RequestLimits
    tenants: dict[str, Tenant] | None = None  # None: requests need no keys


def route_targets(route: Route) -> tuple[Split, ...]:
    """The upstreams that take a route's requests, each with its weight; empty where the route names none."""
    split = route.get("traffic_split")
    if split:
        return tuple(split)
    upstream = route.get("upstream")
    return () if upstream is None else (Split(upstream=upstream, weight=1),)
