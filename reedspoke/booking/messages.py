"""Commands of the reservation table and their outcomes, as encoded in the replicated log and on the wire.

Tags and the order of fields are part of the encoding and must not change. Times are Unix times in seconds.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from reedspoke.fleet.replicated_log.messages import MAX_ENTRY_BYTES

MAX_OUTCOME_BYTES = 140  # An encoded outcome must fit in a datagram to another scheduler.

# Name of a booking, tenant or zone.
Identifier = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_.-]{0,23}$")]
UnixTime = Annotated[int, Meta(ge=0, le=0xFFFF_FFFF)]
SlotCount = Annotated[int, Meta(ge=1, le=0xFFFF)]
Version = Annotated[int, Meta(ge=0, le=0xFFFF)]


class ReserveCommand(Struct, frozen=True, array_like=True, tag=0):
    """Reserves slots of a zone from `begin` (inclusive) to `end` (exclusive), or changes a reservation.

    The leader that appends the command fills in `zone_limit` and `tenant_limit` (the reservable slots of the
    zone, and of this tenant in the zone), so that the outcome depends only on the command and the table.
    `version` increases with each change to the reservation of a name; a command with an older version has
    no effect.
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
    """Cancels a reservation.

    If it arrives before its reservation does, the cancellation is stored for a retention time that starts at
    `requested_at`.
    """

    name: Identifier
    version: Version
    requested_at: UnixTime


class PurgeCommand(Struct, frozen=True, array_like=True, tag=2):
    """Removes the reservations that ended before `ended_before`."""

    ended_before: UnixTime


BookingCommand = ReserveCommand | CancelCommand | PurgeCommand


class BookingStatus(StrEnum):
    """The result of a command or query. The values are used on the wire and in the HTTP API."""

    BOOKED = "booked"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    STALE = "stale"  # A newer version of the reservation exists.
    ABSENT = "absent"
    # The request timed out or could not be stored. It may have been committed: retry it under the same name.
    UNKNOWN = "unknown"
    PURGED = "forgotten"


class FreeWindow(Struct, frozen=True, array_like=True):
    """A time range from `begin` (inclusive) to `end` (exclusive) with enough free slots."""

    begin: int
    end: int


class BookingOutcome(Struct, frozen=True, array_like=True):
    """The outcome of a command. `status` is a value of `BookingStatus`.

    `reasons` lists the names of conflicting reservations, or describes the limit or rule that was violated.
    `tenant` to `version` describe the current state of the reservation.
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
    """Encode a command. Raises ValueError if it is too long for a log entry."""
    data = _encode(command)
    if len(data) > MAX_ENTRY_BYTES:
        raise ValueError(
            f"encoded command has {len(data)} bytes, but a log entry has at most {MAX_ENTRY_BYTES}"
        )
    return data


def encode_outcome(outcome: BookingOutcome) -> bytes:
    """Encode an outcome in at most MAX_OUTCOME_BYTES.

    Reasons and free windows are dropped from the end of their lists as far as necessary.
    """
    while len(data := _encode(outcome)) > MAX_OUTCOME_BYTES:
        if outcome.free_windows and len(outcome.free_windows) >= len(outcome.reasons):
            outcome = msgspec.structs.replace(outcome, free_windows=outcome.free_windows[:-1])
        else:
            outcome = msgspec.structs.replace(outcome, reasons=outcome.reasons[:-1])
    return data


def booking_name(command: BookingCommand) -> str:
    """Return the name of the reservation that a command refers to, or "" for a purge."""
    return "" if isinstance(command, PurgeCommand) else command.name


def refused_outcome(command: BookingCommand, reason: str) -> BookingOutcome:
    """Return the outcome of a command that is refused for the given reason."""
    return BookingOutcome(BookingStatus.REFUSED, booking_name(command), (reason,))
