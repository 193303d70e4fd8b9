"""All bookings, as the record's machine: the same at every granter, by the orders that were agreed on. Pure.

Each zone has its level of booked slots as steps over time, so that an order looks at its own window alone:
the most within it has to leave room below the cap. Ends are open: one that ends as another begins is not in
its way.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from sortedcontainers import SortedDict

from reedspoke.booking.words import DECODE, Book, Cancel, Forget, Free, Order, Told

IN_THE_WAY = 5  # names that a refusal tells
WINDOWS = 3  # free windows that it tells
DAY = 86_400
GONE_AFTER = 30 * DAY  # a cancelled name that was never booked is remembered for so long


class Levels:
    """Slots that are booked, as steps: `steps[t]` from t on up to the next one."""

    def __init__(self) -> None:
        self.steps: SortedDict[int, int] = SortedDict({0: 0})

    def _cut(self, at: int) -> None:
        """A step begins there, at the level that holds."""
        if at not in self.steps:
            self.steps[at] = self.steps.values()[self.steps.bisect_right(at) - 1]

    def add(self, begin: int, end: int, slots: int) -> None:
        self._cut(begin)
        self._cut(end)
        for at in list(self.steps.irange(begin, end, inclusive=(True, False))):
            self.steps[at] += slots
        for at in (end, begin):  # a step that is none any more
            place = self.steps.bisect_left(at)
            if place and self.steps.values()[place - 1] == self.steps[at]:
                del self.steps[at]

    def most(self, begin: int, end: int) -> int:
        place = self.steps.bisect_right(begin) - 1
        inside = self.steps.irange(begin, end, inclusive=(False, False))
        return max([self.steps.values()[place], *(self.steps[at] for at in inside)])

    def free(self, begin: int, span: int, room: int) -> Iterator[Free]:
        """Windows of that length from then on in which the level is at most `room`, each as early as it can
        be."""
        start, place = begin, self.steps.bisect_right(begin) - 1
        keys, levels = self.steps.keys(), self.steps.values()
        while place < len(keys):
            end = keys[place + 1] if place + 1 < len(keys) else None
            if levels[place] > room:
                if end is None:
                    return
                start = end
            elif end is None or end - start >= span:
                yield Free(start, start + span)
                start += span
                if end is None or start < end:
                    continue
            place += 1


class Kept(msgspec.Struct, array_like=True):
    """Of one name: `gone`: cancelled, its last version all the same."""

    version: int
    tenant: str
    zone: str
    slots: int
    begin: int
    end: int
    gone: bool = False


class Calendar:
    """A `StateMachine`."""

    def __init__(self) -> None:
        self.kept: dict[str, Kept] = {}
        self.levels: dict[str, Levels] = {}
        self.tenants: dict[tuple[str, str], Levels] = {}  # by zone and tenant
        self.last: tuple[int, Told] = (0, Told("absent", ""))  # the entry applied last, and what became of it

    # ---- the record ----

    def apply(self, number: int, data: bytes) -> None:
        self.last = number, self.carry_out(DECODE(data))

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.kept)

    def restore(self, data: bytes) -> None:
        kept = msgspec.msgpack.decode(data, type=dict[str, Kept])
        self.__init__()  # type: ignore[misc]
        for name, one in kept.items():
            self.kept[name] = one
            if not one.gone:
                self._level(one, one.slots)

    # ---- orders ----

    def carry_out(self, order: Order) -> Told:
        match order:
            case Book():
                return self._book(order)
            case Cancel():
                return self._cancel(order)
            case Forget(before):
                for name in [name for name, one in self.kept.items() if one.end < before]:
                    one = self.kept.pop(name)
                    if not one.gone:
                        self._level(one, -one.slots)
                return Told("forgotten", "")

    def _level(self, one: Kept, slots: int) -> None:
        self.levels.setdefault(one.zone, Levels()).add(one.begin, one.end, slots)
        self.tenants.setdefault((one.zone, one.tenant), Levels()).add(one.begin, one.end, slots)

    def _book(self, order: Book) -> Told:
        before = self.kept.get(order.name)
        if before is not None and order.version <= before.version:
            same = (order.tenant, order.zone, order.slots, order.begin, order.end)
            alike = same == (before.tenant, before.zone, before.slots, before.begin, before.end)
            if order.version == before.version and alike and not before.gone:
                return self.told("booked", order.name)  # the same name again is the same booking
            return self.told("stale", order.name)
        if order.begin >= order.end:
            return Told("refused", order.name, ("it ends before it begins",))
        if before is not None and not before.gone:
            self._level(before, -before.slots)  # its own slots are not in its way
        refusal = self._refusal(order)
        if refusal is None:
            kept = Kept(order.version, order.tenant, order.zone, order.slots, order.begin, order.end)
            self.kept[order.name] = kept
            self._level(kept, kept.slots)
            return self.told("booked", order.name)
        if before is not None and not before.gone:
            self._level(before, before.slots)
        return refusal

    def _refusal(self, order: Book) -> Told | None:
        zone = self.levels.get(order.zone, Levels())
        own = self.tenants.get((order.zone, order.tenant), Levels())
        if zone.most(order.begin, order.end) + order.slots <= order.cap:
            if own.most(order.begin, order.end) + order.slots <= order.most:
                return None
            return Told("refused", order.name, (f"over the {order.most} slots of {order.tenant}",))
        names = self.in_the_way(order)
        free: list[Free] = []
        if order.slots <= order.cap:
            for window in zone.free(order.begin, order.end - order.begin, order.cap - order.slots):
                free.append(window)
                if len(free) == WINDOWS:
                    break
        return Told("refused", order.name, names, tuple(free))

    def in_the_way(self, order: Book) -> tuple[str, ...]:
        """The largest first, some of them."""
        found = [
            (-one.slots, name)
            for name, one in self.kept.items()
            if not one.gone and one.zone == order.zone and one.begin < order.end and order.begin < one.end
            and name != order.name
        ]  # fmt: skip
        return tuple(name for _, name in sorted(found)[:IN_THE_WAY])

    def _cancel(self, order: Cancel) -> Told:
        before = self.kept.get(order.name)
        if before is not None and order.version < before.version:
            return self.told("stale", order.name)
        if before is None:
            # It has overtaken its booking: whatever comes of an older version changes nothing.
            self.kept[order.name] = Kept(order.version, "", "", 0, 0, order.at + GONE_AFTER, True)
            return Told("cancelled", order.name, version=order.version)
        if not before.gone:
            self._level(before, -before.slots)
        before.version, before.gone = order.version, True
        return self.told("cancelled", order.name)

    # ---- what is known ----

    def told(self, what: str, name: str) -> Told:
        one = self.kept.get(name)
        if one is None:
            return Told("absent", name)
        return Told(what, name, (), (), one.tenant, one.zone, one.slots, one.begin, one.end, one.version)

    def ask(self, name: str) -> Told:
        one = self.kept.get(name)
        return self.told("absent" if one is None else "cancelled" if one.gone else "booked", name)

    def booked(self, zone: str, at: int, tenant: str = "") -> int:
        """Slots of that zone that are booked then, by that tenant alone where it is named."""
        levels = self.tenants.get((zone, tenant)) if tenant else self.levels.get(zone)
        return levels.most(at, at + 1) if levels is not None else 0
