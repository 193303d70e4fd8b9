"""Evacuation orders as adds to tallies: names, numbers and meaning. Pure functions.

Each zone has two tallies. One holds its orders: the id of an add is the number of the order, the amount its
effect, and the order with the highest number decides. The other holds reservations: an add with the same id
for each number that may be used.

What a number proves
    A number is reserved on as many disks as an order requires before an order with it is written to any log.
    So an order that is in one log only, and was acknowledged to nobody, has a number that is reserved on
    f + 1 disks (f: the machines whose loss is tolerated). A later order gets its number after a quorum was
    asked for orders and reservations, one node of which has this reservation. Its number is therefore higher,
    and the earlier order never prevails over it, whenever its log or its messages arrive. That holds for any
    number of orders that are in one log only, as each of them has a reservation of its own.

    It holds for orders with the same effect as well, so each order gets a number of its own, also if it
    repeats the one in force or withdraws nothing: the number of the order in force proves nothing about
    higher ones elsewhere.

    The number of an order says nothing about orders that were still being carried out at that time: of two
    calls that overlap, either may get the higher number.

The order of numbers
    A number is a counter, and below it a random tag. The tag makes the numbers of concurrent orders differ,
    so that a number never stands for two orders. Versions without reservations number an order by adding 1 to
    the newest one, which changes the tag only: a log of theirs may hold many orders that were acknowledged to
    nobody, and the next order with a counter prevails over all of them.

The idea is the one of ballot numbers in Paxos (Lamport, "The Part-Time Parliament", 1998), and makes a write
that was not completed take effect before later writes or not at all (Aguilera and Frolund, "Strict
Linearizability and the Power of Aborting", 2003).
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import structs

from reedspoke.common.messages import WorkerEntry
from reedspoke.control_plane.tallies.messages import INTERNAL_TALLY_PREFIX, TallyAdd

ZONE_PREFIX = INTERNAL_TALLY_PREFIX + "evacuation/"
# Does not begin with ZONE_PREFIX: earlier versions take every tally with that prefix for a zone.
RESERVATION_PREFIX = INTERNAL_TALLY_PREFIX + "evacuation-number/"
# Amounts of the adds. Of two orders with one number the smaller amount counts, so an evacuation prevails.
EVACUATED, WITHDRAWN = 0, 1
RESERVED = 0
TAG_BITS = 24


def order_tally(zone: str) -> str:
    """The name of the tally that holds the orders on a zone."""
    return ZONE_PREFIX + zone


def reservation_tally(zone: str) -> str:
    """The name of the tally that holds the reserved numbers of orders on a zone."""
    return RESERVATION_PREFIX + zone


def order_add(zone: str, number: int, evacuated: bool) -> TallyAdd:
    """The add for an order."""
    return TallyAdd(order_tally(zone), number, EVACUATED if evacuated else WITHDRAWN)


def reservation_add(zone: str, number: int) -> TallyAdd:
    """The add that reserves a number."""
    return TallyAdd(reservation_tally(zone), number, RESERVED)


def highest_number(newest: Iterable[TallyAdd | None]) -> int:
    """The highest number among the newest order and the newest reservation on a zone; 0 without any."""
    return max((add.add_id for add in newest if add is not None), default=0)


def next_number(highest: int, tag: int) -> int:
    """A number above all known ones. `tag` is a random number of TAG_BITS bits."""
    counter = (highest >> TAG_BITS) + 1
    return counter << TAG_BITS | tag


def is_evacuated(newest: TallyAdd | None) -> bool:
    """Whether the newest order on a zone is an evacuation."""
    return newest is not None and newest.amount == EVACUATED


def evacuated_zones(newest_orders: Iterable[TallyAdd]) -> frozenset[str]:
    """The zones whose newest order is an evacuation."""
    return frozenset(order.tally.removeprefix(ZONE_PREFIX) for order in newest_orders if is_evacuated(order))


def drain_zones(entries: tuple[WorkerEntry, ...], zones: frozenset[str]) -> tuple[WorkerEntry, ...]:
    """The list of workers, with the workers of these zones marked as draining."""
    if not zones:
        return entries
    return tuple(structs.replace(entry, draining=True) if entry.zone in zones else entry for entry in entries)
