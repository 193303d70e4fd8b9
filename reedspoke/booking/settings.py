"""The `bookings` section of the operator file.

Names and docstrings of the classes and descriptions of the fields are part of the published schema
(`deploy/operator.schema.json`).
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from reedspoke.booking.messages import Identifier
from reedspoke.units import Duration

LEADER_ROLE = "bookings"  # Singleton role whose holder leads the replicated log of reservations.


class Zone(Struct, forbid_unknown_fields=True, frozen=True):
    """What of a zone may be booked."""

    name: Identifier
    cap: Annotated[int, Meta(ge=1, le=0xFFFF, description="Slots that may be booked at any moment.")]


class Team(Struct, forbid_unknown_fields=True, frozen=True):
    """What one tenant may have booked."""

    tenant: Identifier
    most: Annotated[int, Meta(ge=1, le=0xFFFF, description="Slots of one zone at any moment.")]


class Bookings(Struct, forbid_unknown_fields=True, frozen=True):
    """Slots of the hosts, booked ahead of time. All schedulers must have this alike."""

    zones: Annotated[list[Zone], Meta(min_length=1, max_length=64)]
    teams: Annotated[list[Team], Meta(max_length=1024, description="Others: up to the zone's cap.")] = []
    step: Annotated[Duration, Meta(description="Bookings begin and end on this grid.")] = "5m"
    horizon: Annotated[Duration, Meta(description="How far ahead one may end.")] = "60d"
    longest: Annotated[Duration, Meta(description="Longest booking.")] = "1d"
    folder: Annotated[
        str,
        Meta(description="Where a granter keeps them, mode 0700, on a disk that lasts; empty: in memory."),
    ] = ""
    term: Annotated[Duration, Meta(description="Of the lease of whoever leads the record.")] = "3s"
