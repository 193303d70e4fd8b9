"""Decides under which number an order is logged. No I/O and no clock.

A node reserves numbers ahead: it stores a limit on as many disks as an order requires (f + 1, if the loss of
f machines is tolerated), and logs orders with numbers below it. So an order costs no reservation of its own.

What a number proves
    A call that is acknowledged has an order whose number is above that of every other order that any node
    gave to its log before the call was made. So an order that is in one log only, and was acknowledged to
    nobody, never prevails over a later call, whenever its log or its messages arrive.

    Take such an earlier order, of a data folder F. Before the number is chosen, a quorum was asked for its
    adds after the call was made (`tallies.order_syncs`).
    * If the node with F answered, it told of the order: its answer covers what its log has or may get. The
      number is above all orders that were told of.
    * If not, one node of the quorum told of F's limit, which was on f + 1 disks before the order was logged.
      The number is above the limits of all folders that did not answer, whether lost, cut off or paused.
    A folder whose disk was lost never answers again.

An order that is carried out already
    A call may be acknowledged by an order that stands already: the newest one, if it has the same effect and
    satisfies the same condition. So a call that is repeated, at this node or another one, completes the order
    of the call before, in place of a new one that both have to wait for. Such an order is logged here again
    only below this node's own limit, as every order.

    Orders of versions that reserve nothing say nothing about others of such versions, which may stand above
    them in one log. So they are not taken up; a new number is above these too.

The number of an order says nothing about orders that were carried out at the same time: of two calls that
overlap, either may prevail.

The idea is the one of ballot numbers in Paxos that are prepared ahead for many decisions (Lamport, "The
Part-Time Parliament", 1998; "Paxos Made Simple", 2001). It makes a write that was not completed take effect
before later writes or not at all (Aguilera and Frolund, "Strict Linearizability and the Power of Aborting",
2003).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from msgspec import Struct

from reedspoke.control_plane.evacuation.order_log import (
    EVACUATED,
    LIMIT_COUNTERS,
    TAG_BITS,
    WITHDRAWN,
    folder_owner,
    has_random_tag,
    limit_add,
    limit_tally,
    next_number,
    order_add,
    order_tally,
)
from reedspoke.control_plane.tallies.events import OrderNumbers
from reedspoke.control_plane.tallies.messages import TallyAdd

MIN_LIMIT_COUNTERS = LIMIT_COUNTERS // 2  # with fewer counters left a node reserves more


class LogOrder(Struct, frozen=True):
    """The order is to be logged by this add; if it is not new, it was logged before, here or elsewhere."""

    add: TallyAdd
    is_new: bool


class ReserveNumbers(Struct, frozen=True):
    """This limit is to be stored first."""

    add: TallyAdd


class ZoneNumbers(Struct, frozen=True):
    """The newest order on a zone, and the highest limit of each owner."""

    newest_order: TallyAdd | None
    limits: Mapping[int, int]

    def highest_possible(self, owners: Collection[int]) -> int:
        """The highest number that an order may have, if no orders of these owners are unknown."""
        number = 0 if self.newest_order is None else self.newest_order.add_id
        return max([number, *(limit for owner, limit in self.limits.items() if owner not in owners)])


def zone_numbers(zone: str, adds: Iterable[TallyAdd]) -> ZoneNumbers:
    """The numbers of a zone among the adds of all tallies that hold orders."""
    newest: TallyAdd | None = None
    limits: dict[int, int] = {}
    for add in adds:
        if add.tally == order_tally(zone):
            # Of two orders with one number the smaller amount counts, as in the tally.
            newest = add if newest is None else max(newest, add, key=lambda one: (one.add_id, -one.amount))
        elif add.tally == limit_tally(zone):
            limits[add.amount] = max(add.add_id, limits.get(add.amount, 0))
    return ZoneNumbers(newest, limits)


class OrderNumbering:
    """Owns the limit of this node for each zone, as far as it is known to be on enough disks."""

    def __init__(self, folder_id: str) -> None:
        self._owner = folder_owner(folder_id)
        self._limits: dict[str, int] = {}

    def limit_stored(self, zone: str, limit: TallyAdd) -> None:
        """Record that a limit of this node is on as many disks as an order requires."""
        self._limits[zone] = max(limit.add_id, self._limits.get(zone, 0))

    def next_step(
        self, zone: str, evacuated: bool, numbers: OrderNumbers, tag: int
    ) -> LogOrder | ReserveNumbers:
        """What to do next for a call. `numbers` is the result of a sync that began after the call."""
        known = zone_numbers(zone, (*numbers.own, *numbers.others))
        answered = {folder_owner(folder_id) for folder_id in numbers.folders}
        highest = known.highest_possible(answered)
        newest = known.newest_order
        if (
            newest is not None
            and newest.add_id == highest
            and _has_effect(newest, evacuated)
            and self._may_log_again(zone, newest, numbers.own)
        ):
            return LogOrder(newest, is_new=False)
        number = next_number(highest, tag)
        if number < self._limits.get(zone, 0):
            return LogOrder(order_add(zone, number, evacuated), is_new=True)
        return ReserveNumbers(limit_add(zone, highest, self._owner))

    def _may_log_again(self, zone: str, order: TallyAdd, own: Iterable[TallyAdd]) -> bool:
        if not has_random_tag(order.add_id):
            return False
        return order == zone_numbers(zone, own).newest_order or order.add_id < self._limits.get(zone, 0)

    def missing_limit(self, zone: str, adds: Iterable[TallyAdd], folders: Collection[str]) -> TallyAdd | None:
        """The limit that is to be stored ahead of the next order; None if there are enough numbers left.

        `adds` are those of this node, `folders` those in contact. The limits of others are exceeded once they
        are out of contact, as they do not answer then.
        """
        known = zone_numbers(zone, adds)
        highest = known.highest_possible({folder_owner(folder_id) for folder_id in folders})
        if _counters_left(self._limits.get(zone, 0), highest) >= MIN_LIMIT_COUNTERS:
            return None
        logged = known.limits.get(self._owner, 0)
        if _counters_left(logged, highest) >= MIN_LIMIT_COUNTERS:
            return TallyAdd(limit_tally(zone), logged, self._owner)  # of before this start, or not stored yet
        return limit_add(zone, highest, self._owner)


def _has_effect(order: TallyAdd, evacuated: bool) -> bool:
    return order.amount == (EVACUATED if evacuated else WITHDRAWN)


def _counters_left(limit: int, highest: int) -> int:
    return (limit >> TAG_BITS) - (highest >> TAG_BITS)
