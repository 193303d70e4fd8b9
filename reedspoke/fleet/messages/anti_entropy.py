"""Messages of the anti-entropy of member entries, after the Merkle trees of Dynamo (DeCandia et al., 2007).

Each member writes one `MemberEntry` about itself, and every member stores the entries of all. New entries
are spread by gossip. Entries that gossip has lost are found by comparing digests: `RootDigest` covers all
entries; where two roots differ, `RangeDigests` of smaller and smaller ranges of members locate the
difference, and `EntriesRequest` fetches the missing entries. The tree is not stored: the digest of a range
is the sum of the hashes of its entries.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from reedspoke.fleet.messages.fields import UInt16, UInt32

MAX_LISTED_ROLES = 6  # limit for the held roles and for the missing dependencies that an entry lists
MAX_DIGESTS_BYTES = 128
MAX_MEMBER_SET_BYTES = 128


class MemberEntry(Struct, frozen=True, array_like=True, tag=8):
    """The state that a member publishes about itself.

    `start_time_s` is the Unix time, in seconds, at which its process started; `version` increases with every
    change. `zone_hash`, `held_roles` and `missing` are hashes of names (`name_hash`), `phase` is a
    `NodePhase`.
    """

    member: UInt16
    start_time_s: UInt32
    version: UInt16
    zone_hash: UInt16
    phase: Annotated[int, Meta(ge=0, le=7)] = 0
    held_roles: Annotated[tuple[UInt16, ...], Meta(max_length=MAX_LISTED_ROLES)] = ()
    missing: Annotated[tuple[UInt16, ...], Meta(max_length=MAX_LISTED_ROLES)] = ()


class RootDigest(Struct, frozen=True, array_like=True, tag=9):
    """The digest of the sender's entries and of the member states that it assumes.

    `agreeing` is the set of members that are known to have sent the same digest, as a bit set with the first
    member in the lowest bit. It is empty if the sender has converged.
    """

    digest: Annotated[int, Meta(ge=0)]
    agreeing: Annotated[bytes, Meta(max_length=MAX_MEMBER_SET_BYTES)] = b""


class RangeDigests(Struct, frozen=True, array_like=True, tag=10):
    """Digests, 8 bytes each, of the equal parts of the members `low` (inclusive) to `high` (exclusive)."""

    low: UInt16
    high: UInt16
    digests: Annotated[bytes, Meta(max_length=MAX_DIGESTS_BYTES)]


class EntriesRequest(Struct, frozen=True, array_like=True, tag=11):
    """Asks for the entries of the members `low` (inclusive) to `high` (exclusive)."""

    low: UInt16
    high: UInt16
