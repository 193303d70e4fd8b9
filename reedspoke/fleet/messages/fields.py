"""Bounded integer types for the fields of the fleet's messages, and the hash that represents a name.

A value out of bounds makes the whole frame malformed, so no handler has to check ranges again.
"""

from __future__ import annotations

from typing import Annotated
from zlib import crc32

from msgspec import Meta

UINT16_MASK = 0xFFFF
UINT32_MASK = 0xFFFF_FFFF

UInt16 = Annotated[int, Meta(ge=0, le=UINT16_MASK)]  # a member, an incarnation, a probe number, a hash
UInt32 = Annotated[int, Meta(ge=0, le=UINT32_MASK)]
ProposalNumber = Annotated[int, Meta(ge=0)]  # 64 bits; also the fencing token of the lease it obtained

NO_MEMBER = -1


def name_hash(name: str) -> int:
    """Returns the 16-bit hash that represents the name of a worker, a zone or a role in a message."""
    return crc32(name.encode()) & UINT16_MASK
