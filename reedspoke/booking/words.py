"""What is said of bookings: orders as the record keeps them, and what became of them. Times are s of Unix
time."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from reedspoke.fleet.replicated_log.messages import MAX_ENTRY_BYTES

MOST_NAME = 24  # bytes of a booking's, a tenant's and a zone's name
Word = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_.-]{0,23}$")]
When = Annotated[int, Meta(ge=0, le=0xFFFF_FFFF)]
Count = Annotated[int, Meta(ge=1, le=0xFFFF)]
Version = Annotated[int, Meta(ge=0, le=0xFFFF)]


class Book(Struct, frozen=True, array_like=True, tag=0):
    """`cap`: slots of the zone that may be booked, by whoever asked the record; `most`: of this tenant's.
    What becomes of it is the same everywhere, as all that decides it stands in it. `version` rises with each
    change of one name: an older one changes nothing."""

    name: Word
    version: Version
    tenant: Word
    zone: Word
    slots: Count
    begin: When
    end: When
    cap: Count
    most: Count


class Cancel(Struct, frozen=True, array_like=True, tag=1):
    """`at`: when it was ordered; where it has overtaken its booking, its name is remembered from then on."""

    name: Word
    version: Version
    at: When


class Forget(Struct, frozen=True, array_like=True, tag=2):
    """What ended before that is of no interest any more."""

    before: When


Order = Book | Cancel | Forget

ENCODE = msgspec.msgpack.Encoder().encode
DECODE = msgspec.msgpack.Decoder(Order).decode


class Free(Struct, frozen=True, array_like=True):
    """A window in which as many slots are free."""

    begin: int
    end: int


class Told(Struct, frozen=True, array_like=True):
    """What became of an order: `booked`, `refused`, `cancelled`, `stale` (a later version is known),
    `absent`, or `unknown`: nobody could say within the time; ask again under the same name. `why`: names in
    the way, a limit, or the reason. `slots`, `begin`, `end`, `version`: of the booking as it stands."""

    what: str
    name: str
    why: tuple[str, ...] = ()
    free: tuple[Free, ...] = ()
    tenant: str = ""
    zone: str = ""
    slots: int = 0
    begin: int = 0
    end: int = 0
    version: int = 0


def order_bytes(order: Order) -> bytes:
    """Raises ValueError where it is too long for an entry of the record."""
    data = ENCODE(order)
    if len(data) > MAX_ENTRY_BYTES:
        raise ValueError(f"{len(data)} bytes, at most {MAX_ENTRY_BYTES}")
    return data
