"""Examples of booking commands and outcomes, with all fields set and with the default values.

`data/messages.json` holds their expected encodings.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.booking.messages import (
    BookingOutcome,
    CancelCommand,
    FreeWindow,
    PurgeCommand,
    ReserveCommand,
)

BOOKING_ORDERS: dict[str, Struct] = {
    "0": ReserveCommand(
        name="name1",
        version=2,
        tenant="name3",
        zone="name4",
        slots=5,
        begin=6,
        end=7,
        zone_limit=8,
        tenant_limit=9,
    ),
    "0 by default": ReserveCommand(
        name="name1",
        version=2,
        tenant="name3",
        zone="name4",
        slots=5,
        begin=6,
        end=7,
        zone_limit=8,
        tenant_limit=9,
    ),
    "1": CancelCommand(name="name1", version=2, requested_at=3),
    "1 by default": CancelCommand(name="name1", version=2, requested_at=3),
    "2": PurgeCommand(ended_before=1),
    "2 by default": PurgeCommand(ended_before=1),
    "Told": BookingOutcome(
        status="text1",
        name="text2",
        reasons=(
            "text3",
            "text4",
        ),
        free_windows=(
            FreeWindow(begin=5, end=6),
            FreeWindow(begin=7, end=8),
        ),
        tenant="text9",
        zone="text10",
        slots=11,
        begin=12,
        end=13,
        version=14,
    ),
    "Told by default": BookingOutcome(status="text1", name="text2"),
    "Free": FreeWindow(begin=1, end=2),
    "Free by default": FreeWindow(begin=1, end=2),
}
