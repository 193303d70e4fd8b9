"""Assembles the reservations into a subsystem of the program: component, storage, HTTP calls and metrics.

    POST   /v1/bookings/NAME            201 booked, 409 refused or stale, 202 outcome unknown
    POST   /v1/bookings/NAME/series     the same for each occurrence of a rule, named NAME.1 and so on
    DELETE /v1/bookings/NAME            200 cancelled, 409 stale, 202 outcome unknown
    GET    /v1/bookings/NAME            200 current state at this voter, 404 absent, 503 not a voter
    GET    /v1/bookings                 200 all bookings at this voter, 503 not a voter

`docs/calendar.md` describes the request and response bodies.
"""

from __future__ import annotations

from reedspoke.booking.booking_node import BookingNode
from reedspoke.booking.component import US_PER_SECOND, BookingComponent
from reedspoke.booking.limits import limits_from_settings
from reedspoke.booking.log_writer import LogWriter
from reedspoke.booking.metrics import metrics_text
from reedspoke.booking.settings import Bookings
from reedspoke.fleet.node import FleetNode
from reedspoke.fleet.replicated_log.log_store import LogStore
from reedspoke.net.runtime import Runtime
from reedspoke.net.subsystem import NAME, Call, Subsystem
from reedspoke.units import parse_seconds

LOG_NAME = "bookings"  # Base name of the log's files in the configured folder.
INCARNATION_MASK = 0xFFFF_FFFF
US_PER_MS = 1000


def build_bookings(runtime: Runtime, fleet_node: FleetNode, settings: Bookings) -> Subsystem:
    """Build the subsystem on top of the fleet subsystem's node.

    Raises ValueError if a role of the same name exists, LogStoreError if the log's files are unusable.
    """
    now = runtime.clock.now()
    incarnation = now // US_PER_MS & INCARNATION_MASK
    lease_ttl_us = int(parse_seconds(settings.term) * US_PER_SECOND)
    node = BookingNode(
        fleet_node,
        limits_from_settings(settings),
        lease_ttl_us,
        incarnation,
        lambda now: now // US_PER_SECOND,
    )
    component = BookingComponent(runtime.reducer.core, node)
    extensions = []
    if settings.folder and node.replicated_log is not None:
        node.stores_changes = True
        extensions.append(LogWriter(runtime, LogStore(settings.folder, LOG_NAME), node.replicated_log))
    return Subsystem(
        "bookings", (component,), tuple(extensions), _calls(component), lambda: metrics_text(node)
    )


def _calls(component: BookingComponent) -> tuple[Call, ...]:
    booking_path = (b"bookings", NAME)
    return (
        Call(b"POST", (*booking_path, b"series"), component.on_reserve_series),
        Call(b"POST", booking_path, component.on_reserve),
        Call(b"DELETE", booking_path, component.on_cancel),
        Call(b"GET", booking_path, component.on_get),
        Call(b"GET", (b"bookings",), component.on_list),
    )
