"""Evacuation orders as adds to tallies: names, numbers and meaning. Pure functions.

Each zone has two tallies. One holds its orders: the id of an add is the number of the order, the amount its
effect, and the order with the highest number decides. The other holds number limits: a node logs no order
whose number is not below a limit of its own that is stored on as many disks as an order requires. The amount
of a limit identifies the data folder of the node. `order_numbering` tells what a number proves.

A number is a counter, and below it a random tag, so that the numbers of concurrent orders differ. Versions
without reservations number an order by adding 1 to the newest one, which changes the tag only: a log of
theirs may hold many orders that were acknowledged to nobody, and the next order with a counter prevails over
all of them. Tags of this version end in zeros, so that its orders can be told from those.

A version before this one reserved the number of each order by itself, with the amount UNOWNED, above all
limits. Its reservations are limits of a node that is not known.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from reedspoke.common.messages import Version, ZoneOrder
from reedspoke.control_plane.tallies.messages import INTERNAL_TALLY_PREFIX, TallyAdd

ZONE_PREFIX = INTERNAL_TALLY_PREFIX + "evacuation/"
# Does not begin with ZONE_PREFIX: earlier versions take every tally with that prefix for a zone.
LIMIT_PREFIX = INTERNAL_TALLY_PREFIX + "evacuation-number/"
# Amounts of the adds. Of two orders with one number the smaller amount counts, so an evacuation prevails.
EVACUATED, WITHDRAWN = 0, 1
UNOWNED = 0
TAG_BITS = 24
RANDOM_TAG_BITS = 16  # the highest ones of a tag; the others are zero
LIMIT_COUNTERS = 1024  # counters that a node reserves ahead
OWNER_BYTES = 7  # fit into the 63 bits of an amount
ORDERS_TERM, VERSION_BYTES = 1, 7  # of the version of all orders, which is not NO_VERSION


def order_tally(zone: str) -> str:
    """The name of the tally that holds the orders on a zone."""
    return ZONE_PREFIX + zone


def limit_tally(zone: str) -> str:
    """The name of the tally that holds the number limits for orders on a zone."""
    return LIMIT_PREFIX + zone


def order_add(zone: str, number: int, evacuated: bool) -> TallyAdd:
    """The add for an order."""
    return TallyAdd(order_tally(zone), number, EVACUATED if evacuated else WITHDRAWN)


def folder_owner(folder_id: str) -> int:
    """The amount of the limits of a data folder: a positive hash of its id."""
    digest = blake2b(folder_id.encode(), digest_size=OWNER_BYTES).digest()
    return max(int.from_bytes(digest, "big"), UNOWNED + 1)


def limit_add(zone: str, highest: int, owner: int) -> TallyAdd:
    """The add for a limit of this owner above all numbers up to `highest`, with room for many orders."""
    counter = (highest >> TAG_BITS) + LIMIT_COUNTERS
    tag = owner % (1 << TAG_BITS)  # differs between owners: an id counts once in a tally
    return TallyAdd(limit_tally(zone), counter << TAG_BITS | tag, owner)


def random_tag(random_bits: int) -> int:
    """The tag of an order's number, from RANDOM_TAG_BITS random bits."""
    return random_bits << (TAG_BITS - RANDOM_TAG_BITS)


def has_random_tag(number: int) -> bool:
    """Whether a number has a tag, as opposed to one that was derived from another number."""
    return number % (1 << (TAG_BITS - RANDOM_TAG_BITS)) == 0


def next_number(highest: int, tag: int) -> int:
    """A number above all known ones, with this tag of TAG_BITS bits."""
    counter = (highest >> TAG_BITS) + 1
    return counter << TAG_BITS | tag


def is_evacuated(newest: TallyAdd | None) -> bool:
    """Whether the newest order on a zone is an evacuation."""
    return newest is not None and newest.amount == EVACUATED


def zone_orders(newest_orders: Iterable[TallyAdd]) -> tuple[ZoneOrder, ...]:
    """The newest orders as data plane nodes receive them, sorted by zone."""
    orders = [
        ZoneOrder(order.tally.removeprefix(ZONE_PREFIX), order.add_id, is_evacuated(order))
        for order in newest_orders
    ]
    return tuple(sorted(orders, key=lambda order: order.zone))


def orders_version(orders: tuple[ZoneOrder, ...]) -> Version:
    """The version of these orders, which is the same at every node that has the same ones."""
    content = repr([(order.zone, order.number, order.evacuated) for order in orders])
    digest = blake2b(content.encode(), digest_size=VERSION_BYTES).digest()
    return ORDERS_TERM, int.from_bytes(digest, "big")
