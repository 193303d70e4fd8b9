"""Lists of workers: marks of evacuated zones, and remaining warm-up times. Pure functions.

The platform says which workers drain. Workers of a zone that operators evacuate are marked as draining as
well. A list names the workers that drain only for that reason, so that whoever has the list can undo the
marks, or mark it by newer orders, without the platform.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct, structs

from reedspoke.common.messages import WorkerEntry, WorkerList, ZoneOrder


class MarkedWorkers(Struct, frozen=True):
    """Workers, marked by orders; the fields are those of `WorkerList`."""

    workers: tuple[WorkerEntry, ...]
    evacuated: tuple[str, ...] = ()
    orders: tuple[ZoneOrder, ...] = ()


def mark_evacuated(entries: tuple[WorkerEntry, ...], orders: Iterable[ZoneOrder]) -> MarkedWorkers:
    """Mark the workers of evacuated zones as draining. `entries` are as the platform has them."""
    applied = tuple(orders)
    zones = {order.zone for order in applied if order.evacuated}
    evacuated = {entry.instance_id for entry in entries if entry.zone in zones and not entry.draining}
    if not evacuated:
        return MarkedWorkers(entries, (), applied)
    workers = tuple(
        structs.replace(entry, draining=True) if entry.instance_id in evacuated else entry
        for entry in entries
    )
    return MarkedWorkers(workers, tuple(sorted(evacuated)), applied)


def platform_entries(workers: WorkerList) -> tuple[WorkerEntry, ...]:
    """The workers as the platform has them, without the marks of evacuated zones."""
    evacuated = set(workers.evacuated)
    if not evacuated:
        return workers.workers
    return tuple(
        structs.replace(entry, draining=False) if entry.instance_id in evacuated else entry
        for entry in workers.workers
    )


def subtract_elapsed(entries: tuple[WorkerEntry, ...], elapsed_ms: float) -> tuple[WorkerEntry, ...]:
    """Subtract the elapsed time from `cold_left_ms`."""
    return tuple(
        structs.replace(entry, cold_left_ms=max(0.0, entry.cold_left_ms - elapsed_ms))
        if entry.cold_left_ms
        else entry
        for entry in entries
    )
