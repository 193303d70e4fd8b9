"""Documents of the operator's configuration for tests."""

from __future__ import annotations

import json
from typing import Any

from reedspoke.common.configuration import Configuration
from reedspoke.common.configuration_parsing import parse_configuration


def route(**changes: Any) -> dict[str, Any]:
    """A valid route."""
    made: dict[str, Any] = {
        "name": "r1",
        "hostname": "a.example",
        "path_prefix": "/p/",
        "route_type": "idempotent",
        "timeout_ms": 3000,
        "upstream": "u1",
    }
    return made | changes


def without(document: dict[str, Any], key: str) -> dict[str, Any]:
    return {name: value for name, value in document.items() if name != key}


def split(*weights: float) -> dict[str, Any]:
    """A route whose traffic is split between two services."""
    parts = [{"upstream": f"u{number}", "weight": weight} for number, weight in enumerate(weights, 1)]
    return without(route(), "upstream") | {"traffic_split": parts}


def document(*routes: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """A valid document with these routes."""
    made: dict[str, Any] = {
        "generation": 1,
        "routes": list(routes),
        "upstreams": [{"name": "u1"}, {"name": "u2"}],
    }
    return made | changes


def parse(made: dict[str, Any]) -> Configuration:
    return parse_configuration(json.dumps(made).encode())
