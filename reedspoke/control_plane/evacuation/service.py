"""Carries out operators' orders on zones, and adjusts the list of workers to them."""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from msgspec import Struct

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.json_log import INFO, log
from reedspoke.common.messages import WorkerEntry
from reedspoke.control_plane.evacuation.order_log import (
    ZONE_PREFIX,
    drain_zones,
    evacuated_zones,
    next_order,
    tally_of,
)
from reedspoke.control_plane.tallies.service import TallyService

NUMBER_WITHIN_S = 0.9  # callers go elsewhere after a second


class AdjustedWorkers(Struct, frozen=True):
    """The last list that was adjusted, as it is asked for again at each tick."""

    entries: tuple[WorkerEntry, ...]
    zones: frozenset[str]
    adjusted: tuple[WorkerEntry, ...]


class EvacuationService:
    """Joins the orders to the tallies. `zones` are those of the deployment; none: any name is taken.

    It owns the last list that was adjusted.
    """

    def __init__(self, tallies: TallyService, zones: Collection[str]) -> None:
        self._loop = asyncio.get_running_loop()
        self._tallies = tallies
        self._zones = frozenset(zones)
        self._logged: frozenset[str] = frozenset()
        self._adjusted: AdjustedWorkers | None = None

    async def set_evacuated(self, zone: str, evacuated: bool) -> None:
        """Evacuate a zone, or withdraw that; done again, it changes nothing.

        Raises FleetError: UNKNOWN_ZONE; NO_QUORUM where too few nodes are in reach; TALLY_UNCLEAR where the
        order may be in force.
        """
        if self._zones and zone not in self._zones:
            raise FleetError(ErrorCode.UNKNOWN_ZONE, f"there is no zone {zone}")
        deadline = self._loop.time() + NUMBER_WITHIN_S
        await self._tallies.synchronize()
        if self._loop.time() > deadline:
            # A process that was stopped meanwhile: its caller may have gone on with a later order elsewhere.
            raise FleetError(ErrorCode.NO_QUORUM, "the other nodes did not answer in time")
        order = next_order(zone, self._tallies.newest(tally_of(zone)), evacuated)
        if order is not None:
            await self._tallies.add(order)

    def evacuated_zones(self) -> frozenset[str]:
        """The zones that are evacuated, as far as this node knows."""
        zones = evacuated_zones(self._tallies.newest_of_all(ZONE_PREFIX))
        if zones != self._logged:
            log(INFO, "evacuated zones", zones=sorted(zones))
            self._logged = zones
        return zones

    def adjust_workers(self, entries: tuple[WorkerEntry, ...]) -> tuple[WorkerEntry, ...] | None:
        """The list with the workers of evacuated zones as draining; None while the orders are not known."""
        if not self._tallies.knows_what_it_acknowledged():
            return None
        zones = self.evacuated_zones()
        if self._adjusted is None or self._adjusted.zones != zones or self._adjusted.entries is not entries:
            self._adjusted = AdjustedWorkers(entries, zones, drain_zones(entries, zones))
        return self._adjusted.adjusted
