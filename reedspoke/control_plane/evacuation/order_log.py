"""Evacuation orders as adds to tallies: names, numbers and meaning. Pure functions."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import structs

from reedspoke.common.messages import WorkerEntry
from reedspoke.control_plane.tallies.messages import INTERNAL_TALLY_PREFIX, TallyAdd

ZONE_PREFIX = INTERNAL_TALLY_PREFIX + "evacuation/"
FIRST_NUMBER = 1
# Amounts of the adds. Of two orders with one number the smaller amount counts, so an evacuation prevails.
EVACUATED, WITHDRAWN = 0, 1


def tally_of(zone: str) -> str:
    """The name of the tally that holds the orders on a zone."""
    return ZONE_PREFIX + zone


def is_evacuated(newest: TallyAdd | None) -> bool:
    """Whether the newest order on a zone is an evacuation."""
    return newest is not None and newest.amount == EVACUATED


def next_order(zone: str, newest: TallyAdd | None, evacuated: bool) -> TallyAdd | None:
    """The add for an order: a new one, or the newest one if it already has the same effect.

    None if there is no evacuation to withdraw.
    """
    if newest is None:
        return TallyAdd(tally_of(zone), FIRST_NUMBER, EVACUATED) if evacuated else None
    if is_evacuated(newest) == evacuated:
        return newest
    return TallyAdd(tally_of(zone), newest.add_id + 1, EVACUATED if evacuated else WITHDRAWN)


def evacuated_zones(newest_orders: Iterable[TallyAdd]) -> frozenset[str]:
    """The zones whose newest order is an evacuation."""
    return frozenset(order.tally.removeprefix(ZONE_PREFIX) for order in newest_orders if is_evacuated(order))


def drain_zones(entries: tuple[WorkerEntry, ...], zones: frozenset[str]) -> tuple[WorkerEntry, ...]:
    """The list of workers, with the workers of these zones marked as draining."""
    if not zones:
        return entries
    return tuple(structs.replace(entry, draining=True) if entry.zone in zones else entry for entry in entries)
