"""The orders of operators on zones, as this process knows them, and what they mean for a list of workers."""

from __future__ import annotations

from collections.abc import Iterable

from reedspoke.common.messages import WorkerList, ZoneOrder
from reedspoke.common.worker_lists import mark_evacuated, platform_entries


class Evacuations:
    """Owns the newest order on each zone, from any control plane node and any list of workers.

    An order never gives way to an older one, whichever comes last.
    """

    def __init__(self) -> None:
        self._orders: dict[str, ZoneOrder] = {}

    def merge(self, orders: Iterable[ZoneOrder]) -> bool:
        """Take newer orders over. Returns whether a zone is evacuated now that was not, or the reverse."""
        changed = False
        for order in orders:
            known = self._orders.get(order.zone)
            if known is None or order.number > known.number:
                self._orders[order.zone] = order
                changed |= order.evacuated != (known is not None and known.evacuated)
        return changed

    def apply_to(self, workers: WorkerList) -> WorkerList:
        """The list, with the workers of evacuated zones draining, and others as the platform has them.

        A list of an earlier version does not tell which workers drain only because their zone was evacuated:
        these drain until the next list.
        """
        marked = mark_evacuated(platform_entries(workers), self._orders.values())
        return WorkerList(workers.version, marked.workers, marked.evacuated, workers.orders)
