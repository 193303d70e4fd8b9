"""Converts request bodies of the reservation HTTP API to commands, and outcomes to JSON. Performs no I/O.

`docs/calendar.md` describes the API for its users.
"""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from reedspoke.booking.messages import (
    BookingCommand,
    BookingOutcome,
    BookingStatus,
    CancelCommand,
    Identifier,
    ReserveCommand,
    SlotCount,
    Version,
    encode_command,
)
from reedspoke.booking.recurrence import occurrences
from reedspoke.errors import ReedspokeError

JSON_CONTENT_TYPE = "application/json"
HTTP_STATUS: dict[str, int] = {
    BookingStatus.BOOKED: 201,
    BookingStatus.CANCELLED: 200,
    BookingStatus.REFUSED: 409,
    BookingStatus.STALE: 409,
    BookingStatus.ABSENT: 404,
    BookingStatus.UNKNOWN: 202,
}
LIMIT_PLACEHOLDER = 1  # Value of the limit fields in a command until the leader fills them in.


class InvalidBookingError(ReedspokeError):
    """The request body is not a valid booking, series or cancellation."""

    code = "no-booking"
    remedy = "see docs/calendar.md for the format of the body; the detail says what is wrong with it"


class NotAVoterError(ReedspokeError):
    """The scheduler is not a voter, so it does not store the reservations."""

    code = "bookings-elsewhere"
    remedy = "send the request to one of the schedulers that the detail lists"


class SlotsBody(Struct, forbid_unknown_fields=True, frozen=True):
    """The slots to reserve and their tenant: fields that a single booking and a series have in common."""

    tenant: Identifier
    zone: Identifier
    slots: SlotCount


class BookingBody(SlotsBody, frozen=True):
    """The body of a booking. Times are in RFC 3339 format with a UTC offset."""

    begin: Annotated[datetime, Meta(tz=True)] = msgspec.field(name="from")
    end: Annotated[datetime, Meta(tz=True)] = msgspec.field(name="to")
    version: Version = 0


class SeriesBody(SlotsBody, frozen=True):
    """The body of a series of bookings.

    `begin` and `end` are the local times of the first occurrence, without a UTC offset, in the time zone
    `clock`, a name of the IANA time zone database. `repeat` is an RFC 5545 recurrence rule.
    """

    clock: str
    repeat: str
    begin: Annotated[datetime, Meta(tz=False)] = msgspec.field(name="from")
    end: Annotated[datetime, Meta(tz=False)] = msgspec.field(name="to")
    version: Version = 0


class CancellationBody(Struct, forbid_unknown_fields=True, frozen=True):
    """The body of a cancellation."""

    version: Version


def parse_booking(name: str, body: bytes) -> ReserveCommand:
    """Return the command for one booking. Raises InvalidBookingError if the body is invalid."""
    try:
        booking = msgspec.json.decode(body, type=BookingBody)
        begin, end = int(booking.begin.timestamp()), int(booking.end.timestamp())
        return _reserve_command(name, booking, booking.version, begin, end)
    except (msgspec.DecodeError, ValueError, OverflowError) as error:
        raise InvalidBookingError(str(error)) from error


def parse_series(name: str, body: bytes) -> list[ReserveCommand]:
    """Return the commands for the occurrences of a series, named NAME.1, NAME.2 and so on.

    Raises InvalidBookingError if the body is invalid, RecurrenceError if its rule or time zone is unusable.
    """
    try:
        series = msgspec.json.decode(body, type=SeriesBody)
        windows = occurrences(series.begin, series.end, series.repeat, series.clock)
        return [
            _reserve_command(f"{name}.{position}", series, series.version, window.begin, window.end)
            for position, window in enumerate(windows, 1)
        ]
    except (msgspec.DecodeError, ValueError, OverflowError) as error:
        raise InvalidBookingError(str(error)) from error


def parse_cancellation(name: str, body: bytes, now_s: int) -> CancelCommand:
    """Return the command for a cancellation. Raises InvalidBookingError if the body is invalid."""
    try:
        cancellation = msgspec.json.decode(body, type=CancellationBody)
        command = CancelCommand(name, cancellation.version, now_s)
        _validate(command)
    except (msgspec.DecodeError, ValueError) as error:
        raise InvalidBookingError(str(error)) from error
    return command


def _reserve_command(name: str, slots: SlotsBody, version: int, begin: int, end: int) -> ReserveCommand:
    command = ReserveCommand(
        name, version, slots.tenant, slots.zone, slots.slots, begin, end, LIMIT_PLACEHOLDER, LIMIT_PLACEHOLDER
    )
    _validate(command)
    return command


def _validate(command: BookingCommand) -> None:
    """Check the constraints of the fields, which msgspec enforces only when decoding.

    Raises msgspec.ValidationError, or ValueError if the encoded command is too long.
    """
    msgspec.msgpack.decode(encode_command(command), type=type(command))


def rfc3339(at_s: int) -> str:
    """Format a Unix time in seconds as an RFC 3339 time in UTC."""
    return datetime.fromtimestamp(at_s, UTC).isoformat().replace("+00:00", "Z")


def outcome_as_json(outcome: BookingOutcome) -> dict[str, Any]:
    """Return the JSON body of the response to a request; empty fields are omitted."""
    body: dict[str, Any] = {"name": outcome.name, "state": outcome.status, "version": outcome.version}
    if outcome.tenant:
        body |= {
            "tenant": outcome.tenant,
            "zone": outcome.zone,
            "slots": outcome.slots,
            "from": rfc3339(outcome.begin),
            "to": rfc3339(outcome.end),
        }
    if outcome.reasons:
        body["because"] = list(outcome.reasons)
    if outcome.free_windows:
        body["free"] = [
            {"from": rfc3339(window.begin), "to": rfc3339(window.end)} for window in outcome.free_windows
        ]
    return body


def http_status(outcome: BookingOutcome) -> int:
    """Return the HTTP status code for an outcome."""
    return HTTP_STATUS.get(outcome.status, 200)
