"""Bookings' orders and outcomes.

Each with all fields set and by its defaults; `data/messages.json` has the bytes.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.booking.words import Book, Cancel, Forget, Free, Told

BOOKING_ORDERS: dict[str, Struct] = {
    "0": Book(name="name1", version=2, tenant="name3", zone="name4", slots=5, begin=6, end=7, cap=8, most=9),
    "0 by default": Book(
        name="name1", version=2, tenant="name3", zone="name4", slots=5, begin=6, end=7, cap=8, most=9
    ),
    "1": Cancel(name="name1", version=2, at=3),
    "1 by default": Cancel(name="name1", version=2, at=3),
    "2": Forget(before=1),
    "2 by default": Forget(before=1),
    "Told": Told(
        what="text1",
        name="text2",
        why=(
            "text3",
            "text4",
        ),
        free=(
            Free(begin=5, end=6),
            Free(begin=7, end=8),
        ),
        tenant="text9",
        zone="text10",
        slots=11,
        begin=12,
        end=13,
        version=14,
    ),
    "Told by default": Told(what="text1", name="text2"),
    "Free": Free(begin=1, end=2),
    "Free by default": Free(begin=1, end=2),
}
