"""Reserves numbers for this node's orders: ahead in the background, and for a call that lacks them."""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from reedspoke.common.errors import FleetError
from reedspoke.common.json_log import INFO, log
from reedspoke.control_plane.evacuation.order_log import LIMIT_PREFIX, ZONE_PREFIX
from reedspoke.control_plane.evacuation.order_numbering import OrderNumbering
from reedspoke.control_plane.tallies.messages import TallyAdd
from reedspoke.control_plane.tallies.service import TallyService

CHECK_INTERVAL_S = 0.25
RESERVE_TIMEOUT_S = 3.0


class NumberReservation:
    """Owns the numbering, and the reservations in progress in the background, one for each zone.

    `zones` are those for which numbers are reserved before their first order.
    """

    def __init__(self, tallies: TallyService, zones: Collection[str]) -> None:
        self._loop = asyncio.get_running_loop()
        self._tallies = tallies
        self._zones = frozenset(zones)
        self._numbering: OrderNumbering | None = None
        self._in_progress: dict[str, asyncio.Task[None]] = {}
        self._next_check_at = 0.0

    @property
    def numbering(self) -> OrderNumbering:
        """The numbering of this node's data folder, which must be open."""
        if self._numbering is None:
            folder_id = self._tallies.folder_id
            assert folder_id is not None
            self._numbering = OrderNumbering(folder_id)
        return self._numbering

    async def reserve(self, zone: str, limit: TallyAdd) -> None:
        """Store a limit on as many disks as an order requires. Raises FleetError."""
        await self._tallies.add(limit)
        self.numbering.limit_stored(zone, limit)
        log(INFO, "evacuation numbers reserved", zone=zone, limit=limit.add_id)

    def tick(self) -> None:
        """Reserve numbers for each zone that lacks them, if that is possible now."""
        now = self._loop.time()
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        folders = self._tallies.folders_in_contact()
        if folders is None:
            return
        adds = self._tallies.order_numbers()
        for zone in self._zones | {_zone_of(add) for add in adds}:
            limit = self.numbering.missing_limit(zone, adds, folders)
            if limit is not None and zone not in self._in_progress:
                self._in_progress[zone] = self._loop.create_task(self._reserve_ahead(zone, limit))

    async def _reserve_ahead(self, zone: str, limit: TallyAdd) -> None:
        try:
            async with asyncio.timeout(RESERVE_TIMEOUT_S):
                await self.reserve(zone, limit)
        except (FleetError, TimeoutError):
            pass  # the next check tries again
        finally:
            del self._in_progress[zone]


def _zone_of(add: TallyAdd) -> str:
    prefix = ZONE_PREFIX if add.tally.startswith(ZONE_PREFIX) else LIMIT_PREFIX
    return add.tally.removeprefix(prefix)
