"""Messages by which voters grant leases, after PaxosLease (Trencseni, Gazso, Reinhardt, 2012).

PaxosLease is Paxos without disks: a value is chosen for a limited time, so a voter that restarts only has to
refrain from answering until everything that it may have granted has expired. A proposer runs two phases, each
answered by a majority of the voters:

1. `PrepareRequest` asks the voters to ignore older proposals. `PrepareResponse` names the unexpired lease
that the voter has granted, if there is one.
2. `AcceptRequest` asks for the lease itself; `AcceptResponse` grants it for the voter's time to live.

`ProposalRejected` answers a proposal that is older than one the voter has prepared for. `LeaseReleased`
ends a lease early. Each of these is sent inside a `LeaseMessage`, which names the singleton role and the time
to live. The holder announces itself to all members by `LeaseHeld`.

Members with different voters in their configurations could find two majorities, so they compare a
`ConfigurationDigest`.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from reedspoke.fleet.messages.fields import NO_MEMBER, ProposalNumber, UInt16, UInt32


class PrepareRequest(Struct, frozen=True, array_like=True, tag=0):
    """Phase 1: asks a voter to ignore proposals with a lower number."""

    proposal: ProposalNumber


class PrepareResponse(Struct, frozen=True, array_like=True, tag=1):
    """The voter's answer to phase 1; `granted` is the proposal of the unexpired lease, or 0 without one."""

    proposal: ProposalNumber
    granted: ProposalNumber


class AcceptRequest(Struct, frozen=True, array_like=True, tag=2):
    """Phase 2: asks a voter to grant the lease."""

    proposal: ProposalNumber


class AcceptResponse(Struct, frozen=True, array_like=True, tag=3):
    """The voter has granted the lease."""

    proposal: ProposalNumber


class ProposalRejected(Struct, frozen=True, array_like=True, tag=4):
    """The voter has prepared for the higher proposal `prepared`."""

    proposal: ProposalNumber
    prepared: ProposalNumber


class LeaseReleased(Struct, frozen=True, array_like=True, tag=5):
    """The holder has ended its lease; `successor` is the member that may propose first, or NO_MEMBER."""

    proposal: ProposalNumber
    successor: Annotated[int, Meta(ge=-1, le=0xFFFF)] = NO_MEMBER


ProposerMessage = PrepareRequest | AcceptRequest | LeaseReleased  # to a voter
VoterMessage = PrepareResponse | AcceptResponse | ProposalRejected  # to a proposer
LeaseProtocolMessage = (
    PrepareRequest | PrepareResponse | AcceptRequest | AcceptResponse | ProposalRejected | LeaseReleased
)


class LeaseMessage(Struct, frozen=True, array_like=True, tag=5):
    """A protocol message about the lease of one singleton role. `ttl_ms` is the sender's time to live."""

    role_hash: UInt16
    ttl_ms: UInt32
    message: LeaseProtocolMessage


class LeaseHeld(Struct, frozen=True, array_like=True, tag=6):
    """The sender holds the role's lease for at most `remaining_ms` from the moment of sending."""

    role_hash: UInt16
    token: ProposalNumber
    remaining_ms: UInt32


class ConfigurationDigest(Struct, frozen=True, array_like=True, tag=7):
    """Digest of the configuration; no lease is held or granted while the digests of members differ."""

    digest: UInt32
