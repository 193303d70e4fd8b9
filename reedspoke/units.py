"""Names, durations and addresses in the operator file."""

from __future__ import annotations

import re
from typing import Annotated

from msgspec import Meta

DURATION_PATTERN = r"^[0-9]{1,9}(\.[0-9]{1,6})?(ms|s|m|h|d)$"
ADDRESS_PATTERN = r"^(\[[0-9a-fA-F:.]+\]|[0-9.]+):[0-9]{1,5}$"
SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86_400.0}

Duration = Annotated[
    str, Meta(pattern=DURATION_PATTERN, description="A number with its unit: 250ms, 2s, 5m, 12h or 30d.")
]
Address = Annotated[
    str, Meta(pattern=ADDRESS_PATTERN, description="ip:port, IPv6 in brackets; names are not resolved.")
]
Name = Annotated[
    str, Meta(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}$", description="Small letters, digits, - and _.")
]


def parse_seconds(text: str) -> float:
    """Parse a duration such as 250ms into seconds. Raises ValueError if the unit is missing or unknown."""
    found = re.match(DURATION_PATTERN, text)
    if found is None:
        raise ValueError(f"not a duration such as 250ms, 2s, 5m, 12h or 30d: {text!r}")
    return float(text[: found.start(2)]) * SECONDS_PER_UNIT[found[2]]


def parse_microseconds(text: str) -> int:
    """Parse a duration such as 250ms into microseconds. Raises ValueError like parse_seconds."""
    return round(parse_seconds(text) * 1_000_000)
