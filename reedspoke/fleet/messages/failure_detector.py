"""Messages of the failure detector, after SWIM (Das, Gupta, Motivala, 2002).

A member probes another one with `Ping`, which is answered by `Ack`. Without an ack in time it sends
`PingRequest` to some others, which ping the target on its behalf and forward the ack. The states of members
are spread by `MemberUpdate` on frames that are sent anyway (gossip by piggybacking).

SWIM's incarnation number has two parts here: `incarnation` identifies one process of the member, and
`refutation` is increased only by that process, each time that it refutes a suspicion.
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
    """Asks the receiver to ping `target` and to forward its ack (SWIM's ping-req)."""

    probe_number: UInt16
    target: UInt16


class MemberUpdate(Struct, frozen=True, array_like=True, tag=4):
    """The state of one member as known to the sender; `state` is a `MemberState` other than UNSEEN."""

    member: UInt16
    incarnation: UInt16
    refutation: UInt16
    state: Annotated[int, Meta(ge=0, le=2)]
