"""The operator file's JSON Schema (2020-12), made from its types."""

from __future__ import annotations

import json
from typing import Any

import msgspec

from reedspoke.operator.types import Operator

DIALECT = "https://json-schema.org/draft/2020-12/schema"


def schema() -> dict[str, Any]:
    told = msgspec.json.schema(Operator)
    top = told["$defs"].pop("Operator")
    return {"$schema": DIALECT, **top, "$defs": told["$defs"]}


def text() -> str:
    return json.dumps(schema(), indent=2) + "\n"
