"""Carries out operators' evacuation orders and marks the workers of evacuated zones as draining."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Collection

from msgspec import Struct, structs

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.json_log import INFO, log
from reedspoke.common.messages import WorkerEntry, ZoneOrder
from reedspoke.common.worker_lists import MarkedWorkers, mark_evacuated
from reedspoke.control_plane.evacuation.number_reservation import NumberReservation
from reedspoke.control_plane.evacuation.order_log import (
    RANDOM_TAG_BITS,
    ZONE_PREFIX,
    random_tag,
    zone_orders,
)
from reedspoke.control_plane.evacuation.order_numbering import LogOrder
from reedspoke.control_plane.tallies.messages import TallyAdd
from reedspoke.control_plane.tallies.service import TallyService

ORDER_NUMBER_TIMEOUT_S = 0.9  # callers try another node after one second


def _is_awaited() -> bool:
    return False


class CachedMarks(Struct, frozen=True):
    """The last result of `EvacuationService.mark_workers`, which is called at each tick."""

    entries: tuple[WorkerEntry, ...]
    orders: tuple[ZoneOrder, ...]
    marked: MarkedWorkers


class EvacuationService:
    """Reads and writes orders in the tallies; owns the last result of each query.

    `zones` are the zones of the deployment; if it is empty, any zone name is accepted.
    """

    def __init__(self, tallies: TallyService, zones: Collection[str]) -> None:
        self._loop = asyncio.get_running_loop()
        self._tallies = tallies
        self._zones = frozenset(zones)
        self._reservation = NumberReservation(tallies, zones)
        self._newest_orders: list[TallyAdd] = []
        self._orders: tuple[ZoneOrder, ...] = ()
        self._logged_zones: set[str] = set()
        self._marks: CachedMarks | None = None

    def tick(self) -> None:
        """Handle the periodic timer: reserve numbers ahead of the next orders."""
        self._reservation.tick()

    async def set_evacuated(
        self, zone: str, evacuated: bool, is_abandoned: Callable[[], bool] = _is_awaited
    ) -> None:
        """Evacuate a zone or withdraw its evacuation. The call may be repeated.

        `is_abandoned` returns whether the caller has given the call up; its order is not logged then.

        Raises FleetError: UNKNOWN_ZONE; NO_QUORUM if too few nodes are reachable; CALLER_GONE;
        TALLY_UNCLEAR if the order may or may not be in force.
        """
        if self._zones and zone not in self._zones:
            raise FleetError(ErrorCode.UNKNOWN_ZONE, f"unknown zone {zone}")
        order = await self._number_order(zone, evacuated, self._loop.time() + ORDER_NUMBER_TIMEOUT_S)
        if is_abandoned():
            # The caller may have sent a later order to another node since, as after a pause of this process.
            raise FleetError(ErrorCode.CALLER_GONE, "the caller has closed the connection")
        event = "evacuation order numbered" if order.is_new else "evacuation order taken up again"
        log(INFO, event, zone=zone, evacuated=evacuated, number=order.add.add_id)
        await self._tallies.add(order.add)

    async def _number_order(self, zone: str, evacuated: bool, deadline: float) -> LogOrder:
        """The order for a call, above all orders on the zone that any node had logged before this call.

        Raises FleetError; no order was logged then.
        """
        numbers = await self._tallies.synchronize()
        while True:
            if self._loop.time() > deadline:
                # The process was paused. Its caller may have sent a later order to another node since.
                raise FleetError(ErrorCode.NO_QUORUM, "too few of the other nodes answered in time")
            tag = random_tag(secrets.randbits(RANDOM_TAG_BITS))
            numbers = structs.replace(numbers, own=self._tallies.order_numbers())
            step = self._reservation.numbering.next_step(zone, evacuated, numbers, tag)
            if isinstance(step, LogOrder):
                return step
            await self._reservation.reserve(zone, step.add)

    def orders(self) -> tuple[ZoneOrder, ...] | None:
        """The newest orders; None while this node may lack orders acknowledged before it started."""
        if not self._tallies.has_all_acknowledged():
            return None
        newest_orders = self._tallies.newest_by_prefix(ZONE_PREFIX)
        if newest_orders != self._newest_orders:
            self._newest_orders = newest_orders
            self._orders = zone_orders(newest_orders)
            self._log_zones()
        return self._orders

    def _log_zones(self) -> None:
        zones = {order.zone for order in self._orders if order.evacuated}
        if zones != self._logged_zones:
            numbers = {order.zone: order.number for order in self._orders}
            log(INFO, "evacuated zones changed", zones=sorted(zones), order_numbers=numbers)
            self._logged_zones = zones

    def evacuated_zones(self) -> frozenset[str] | None:
        """The evacuated zones; None while they are unknown, as for `orders`."""
        orders = self.orders()
        return None if orders is None else frozenset(order.zone for order in orders if order.evacuated)

    def mark_workers(self, entries: tuple[WorkerEntry, ...]) -> MarkedWorkers | None:
        """The platform's list, with workers of evacuated zones marked as draining; None as for `orders`."""
        orders = self.orders()
        if orders is None:
            return None
        cached = self._marks
        if cached is None or cached.orders != orders or cached.entries is not entries:
            cached = self._marks = CachedMarks(entries, orders, mark_evacuated(entries, orders))
        return cached.marked
