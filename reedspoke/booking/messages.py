"""Commands of the reservation table and their outcomes, as they stand in the replicated log and on the wire.

Tags and the order of fields are stored data. Times are s of Unix time.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from reedspoke.fleet.replicated_log.messages import MAX_ENTRY_BYTES

MAX_OUTCOME_BYTES = 140  # of an outcome that goes to another scheduler: it has to fit a datagram

Identifier = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_.-]{0,23}$")]  # of a booking, a tenant, a zone
UnixTime = Annotated[int, Meta(ge=0, le=0xFFFF_FFFF)]
SlotCount = Annotated[int, Meta(ge=1, le=0xFFFF)]
Version = Annotated[int, Meta(ge=0, le=0xFFFF)]


class ReserveCommand(Struct, frozen=True, array_like=True, tag=0):
    """Reserves slots of a zone from `begin` to before `end`, or changes the reservation of that name.

    The leader that appends it fills in the limits (slots of the zone, and of this tenant in it), so that
    all that decides its outcome stands in the command. `version` rises with each change of one name; an
    older one changes nothing.
    """

    name: Identifier
    version: Version
    tenant: Identifier
    zone: Identifier
    slots: SlotCount
    begin: UnixTime
    end: UnixTime
    zone_limit: SlotCount
    tenant_limit: SlotCount


class CancelCommand(Struct, frozen=True, array_like=True, tag=1):
    """Cancels a reservation; one that overtakes its reservation is remembered from `requested_at` on."""

    name: Identifier
    version: Version
    requested_at: UnixTime


class PurgeCommand(Struct, frozen=True, array_like=True, tag=2):
    """Removes what ended before that time."""

    ended_before: UnixTime


BookingCommand = ReserveCommand | CancelCommand | PurgeCommand


class BookingStatus(StrEnum):
    """What became of a command; the values stand on the wire and in the HTTP API."""

    BOOKED = "booked"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    STALE = "stale"  # a later version is known
    ABSENT = "absent"
    UNKNOWN = "unknown"  # nobody could say in time: it may have been booked, ask again under the same name
    PURGED = "forgotten"


class FreeWindow(Struct, frozen=True, array_like=True):
    """A time from `begin` to before `end` with enough free slots."""

    begin: int
    end: int


class BookingOutcome(Struct, frozen=True, array_like=True):
    """What became of a command. `status`: a value of `BookingStatus`.

    `reasons`: names of conflicting reservations, a limit, or what is wrong.

    `tenant` to `version` are those of the reservation as it stands.
    """

    status: str
    name: str
    reasons: tuple[str, ...] = ()
    free_windows: tuple[FreeWindow, ...] = ()
    tenant: str = ""
    zone: str = ""
    slots: int = 0
    begin: int = 0
    end: int = 0
    version: int = 0


_encode = msgspec.msgpack.Encoder().encode
decode_command = msgspec.msgpack.Decoder(BookingCommand).decode
decode_outcome = msgspec.msgpack.Decoder(BookingOutcome).decode


def encode_command(command: BookingCommand) -> bytes:
    """Encode a command. Raises ValueError where it is too long for an entry of the log."""
    data = _encode(command)
    if len(data) > MAX_ENTRY_BYTES:
        raise ValueError(f"{len(data)} bytes, at most {MAX_ENTRY_BYTES}")
    return data


def encode_outcome(outcome: BookingOutcome) -> bytes:
    """Encode an outcome, in MAX_OUTCOME_BYTES at most: reasons and windows are left out, the last first."""
    while len(data := _encode(outcome)) > MAX_OUTCOME_BYTES:
        if outcome.free_windows and len(outcome.free_windows) >= len(outcome.reasons):
            outcome = msgspec.structs.replace(outcome, free_windows=outcome.free_windows[:-1])
        else:
            outcome = msgspec.structs.replace(outcome, reasons=outcome.reasons[:-1])
    return data


def booking_name(command: BookingCommand) -> str:
    """Return the reservation that a command is about; "" for a purge."""
    return "" if isinstance(command, PurgeCommand) else command.name


def refused_outcome(command: BookingCommand, reason: str) -> BookingOutcome:
    """Return the outcome of a command that breaks a rule."""
    return BookingOutcome(BookingStatus.REFUSED, booking_name(command), (reason,))
