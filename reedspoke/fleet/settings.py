"""The object `fleet` of the operator file.

Keys, class names and docstrings are part of the published schema (`reedspoke config schema`) and keep its
terms: a `duty` is a singleton role, its `term` is the time to live of the lease, and a `granter` is a voter.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from reedspoke.units import Address, Duration, Name


class DutyCall(Struct, forbid_unknown_fields=True, frozen=True):
    """What the holder of a duty calls, again and again: a POST with `Fencing-Token`."""

    url: Annotated[str, Meta(pattern=r"^https?://", description="2xx: done; 409: a later token is known.")]
    every: Annotated[Duration, Meta(description="Between the beginnings of two calls.")] = "10s"
    limit: Annotated[Duration, Meta(description="Longest time for one call.")] = "2s"


class FleetDuty(Struct, forbid_unknown_fields=True, frozen=True):
    """Something that one scheduler of the fleet does at a time."""

    name: Name
    call: DutyCall | None = None
    term: Annotated[Duration, Meta(description="Of its lease: a dead holder is followed after two.")] = "3s"
    zone: Annotated[str, Meta(description="Where its holder had better be; a wish, never a second one.")] = ""


class Fleet(Struct, forbid_unknown_fields=True, frozen=True):
    """The other schedulers: who is alive, and duties that one holds at a time."""

    members: Annotated[
        list[Address],
        Meta(max_length=1024, description="All schedulers' UDP addresses; empty: the platform's `peers`."),
    ] = []
    me: Annotated[int, Meta(ge=0, description="Our place in `members`.")] = 0
    listen: Annotated[str, Meta(description="Our own UDP address; missing: our place's.")] = ""
    granters: Annotated[
        list[Annotated[int, Meta(ge=0)]],
        Meta(max_length=25, description="Who grants leases, by place; empty: the first five."),
    ] = []
    drift: Annotated[float, Meta(ge=0, le=0.2, description="By which clocks' rates may differ.")] = 0.01
    period: Annotated[Duration, Meta(description="Between two looks after members.")] = "1s"
    key_file: Annotated[
        str, Meta(description="Keys that messages are sealed with, one hexadecimal line each; mode 0600.")
    ] = ""
    duties: Annotated[list[FleetDuty], Meta(max_length=64)] = []
    certificates: Annotated[
        bool, Meta(description="One orders for all; `tls.store` is a folder that all of them share.")
    ] = False
