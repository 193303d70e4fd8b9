"""Messages of the failure detector, after SWIM (Das, Gupta, Motivala, 2002).

A member probes another one with `Ping`, which is answered by `Ack`. Without an answer in time it sends
`PingRequest` to some others, which ping the target in its place and pass the answer on. What a member
believes about others is spread by `MemberUpdate` on frames that are sent anyway (gossip by piggybacking).

SWIM's incarnation number has two parts here: `incarnation` identifies one process of the member, and
`refutation` is raised by that process alone, each time that it refutes a suspicion.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from reedspoke.fleet.messages.fields import UInt16


class Ping(Struct, frozen=True, array_like=True, tag=1):
    """Asks the receiver for an `Ack` with the same number."""

    probe_number: UInt16


class Ack(Struct, frozen=True, array_like=True, tag=2):
    """The answer to a `Ping`, from its receiver or from a member that pinged on behalf of the sender."""

    probe_number: UInt16


class PingRequest(Struct, frozen=True, array_like=True, tag=3):
    """Asks the receiver to ping `target` and to pass its answer on (SWIM's ping-req)."""

    probe_number: UInt16
    target: UInt16


class MemberUpdate(Struct, frozen=True, array_like=True, tag=4):
    """What the sender believes about one member; `state` is a `MemberState` up to GONE."""

    member: UInt16
    incarnation: UInt16
    refutation: UInt16
    state: Annotated[int, Meta(ge=0, le=2)]
