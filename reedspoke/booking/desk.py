"""Orders for bookings, taken at any scheduler and brought to the one that holds the record. Pure.

Whoever takes an order sends it to the holder, again and again until its time is up; the holder puts each into
the record, one after another, and what became of it is read off the calendar once a majority has it. So a yes
and a no are both of what all have agreed on. Names and versions make it harmless to ask twice. What is not
known in time is told as that: it may have been booked, and the same name asks again.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from reedspoke.booking.book import Calendar
from reedspoke.booking.words import DECODE, Book, Cancel, Order, Told, order_bytes
from reedspoke.fleet.replicated_log.messages import CommandReply, CommandRequest, Outbox
from reedspoke.fleet.replicated_log.replicated_log import ReplicatedLog

SECOND = 1_000_000
AGAIN = 250_000  # us between two tries of one order
TIME = 1_800_000  # us until `unknown`: the answer is due within 2 s
MOST_WAITING = 512  # orders at the holder
MOST_TOLD = 140  # bytes of an answer to another scheduler
KNOWN = 1024  # answers that the holder remembers, for those that ask again

Out = list[tuple[int, CommandRequest | CommandReply]]
ENCODE = msgspec.msgpack.Encoder().encode
TOLD = msgspec.msgpack.Decoder(Told).decode


@dataclass(slots=True, frozen=True)
class Terms:
    """What may be booked. `caps`: by zone, slots; `most`: by tenant, slots in one zone, "" for all others.
    Times in s. Raises nothing: `refusal` says why an order cannot be."""

    caps: dict[str, int]
    most: dict[str, int]
    step: int = 300
    horizon: int = 60 * 86_400
    longest: int = 86_400

    def refusal(self, order: Order, now: int) -> str:
        if not isinstance(order, Book):
            return ""
        if order.zone not in self.caps:
            return f"no such zone: {order.zone}"
        if order.begin % self.step or order.end % self.step:
            return f"not on the grid of {self.step} s"
        if not order.begin < order.end:
            return "it ends before it begins"
        if order.end - order.begin > self.longest:
            return f"longer than {self.longest} s"
        if order.end <= now:
            return "it is over already"
        if order.end > now + self.horizon:
            return f"beyond the horizon of {self.horizon} s"
        return ""

    def bound(self, order: Order) -> Order:
        """With the limits of whoever puts it into the record."""
        if not isinstance(order, Book):
            return order
        cap = max(1, self.caps.get(order.zone, 1))
        most = self.most.get(order.tenant, self.most.get("", cap))
        return msgspec.structs.replace(order, cap=cap, most=max(1, min(most, cap)))


@dataclass(slots=True)
class Ticket:
    """An order that was taken here."""

    order: Order
    until: int
    sent_at: int


@dataclass(slots=True)
class Flight:
    """The order that the record has in hand."""

    key: tuple[int, int]
    number: int
    token: int
    order: Order


class Desk:
    """`holder`: who holds the record, as far as is known here, -1: nobody. `wall`: s of Unix time from our
    us."""

    def __init__(
        self, me: int, record: ReplicatedLog | None, calendar: Calendar | None, terms: Terms,
        holder: Callable[[int], int], wall: Callable[[int], int],
        gather: Callable[[Outbox], None],
        first: int = 0,
    ) -> None:  # fmt: skip
        """`record` and `calendar`: None where this scheduler is no granter. `first`: by lot, or a later
        life's tickets would be taken for a former one's."""
        self.me, self.record, self.calendar, self.terms = me, record, calendar, terms
        self.holder, self.wall, self._gather = holder, wall, gather
        self.done: list[tuple[int, Told]] = []  # tickets and what became of them
        self.tickets: dict[int, Ticket] = {}
        self.counted: dict[str, int] = {}
        self._number = first
        self._waiting: OrderedDict[tuple[int, int], Order] = OrderedDict()  # by who asked, and its number
        self._flight: Flight | None = None
        self._known: OrderedDict[tuple[int, int], bytes] = OrderedDict()

    # ---- where it is taken ----

    def take(self, order: Order, now: int) -> tuple[int, Out]:
        """Its ticket; what became of it comes by `done`."""
        self._number = self._number + 1 & 0xFFFF_FFFF
        ticket = self._number
        if why := self.terms.refusal(order, self.wall(now)):
            self._finish(ticket, Told("refused", getattr(order, "name", ""), (why,)))
            return ticket, []
        self.tickets[ticket] = Ticket(order, now + TIME, now)
        return ticket, self._bring(ticket, now)

    def _bring(self, ticket: int, now: int) -> Out:
        one, holder = self.tickets[ticket], self.holder(now)
        one.sent_at = now
        if holder < 0:
            return []
        if holder == self.me:
            return self._enter((self.me, ticket), one.order, now)
        return [(holder, CommandRequest(ticket, order_bytes(one.order)))]

    def _finish(self, ticket: int, told: Told) -> None:
        self.tickets.pop(ticket, None)
        self.counted[told.what] = self.counted.get(told.what, 0) + 1
        self.done.append((ticket, told))

    # ---- at the holder ----

    def _enter(self, key: tuple[int, int], order: Order, now: int) -> Out:
        if self.record is None or not self.record.serving:
            return []
        if key in self._known:
            return self._answer(key, self._known[key])
        if key not in self._waiting and len(self._waiting) < MOST_WAITING:
            if why := self.terms.refusal(order, self.wall(now)):
                return self._answer(key, encoded(Told("refused", getattr(order, "name", ""), (why,))))
            self._waiting[key] = order
        return self._next(now)

    def _next(self, now: int) -> Out:
        """One order at a time: what becomes of it is known before the next is put in."""
        out: Out = []
        while self.record is not None and self.record.serving and (self._flight or self._waiting):
            flight = self._flight
            if flight is None:
                key, order = next(iter(self._waiting.items()))
                term = self.record.leader_term
                order = self.terms.bound(order)
                number, words = self.record.propose(order_bytes(order), now)
                self._flight = Flight(key, number, term, order)
                self._gather(words)
                continue
            if self.record.commit_index < flight.number:
                break
            assert self.calendar is not None
            number, told = self.calendar.last
            self._flight = None
            self._waiting.pop(flight.key, None)
            # Guards a yes against a holder that was one no longer meanwhile: another's entry may stand there.
            term = self.record.leader_term
            if (number, term) == (flight.number, flight.token):
                data = encoded(told)
                self._known[flight.key] = data
                while len(self._known) > KNOWN:
                    self._known.popitem(last=False)
                out += self._answer(flight.key, data)
        return out

    def _answer(self, key: tuple[int, int], data: bytes) -> Out:
        member, number = key
        if member != self.me:
            return [(member, CommandReply(number, data))]
        if number in self.tickets:
            self._finish(number, TOLD(data))
        return []

    # ---- events ----

    def hear(self, sender: int, matter: CommandRequest | CommandReply, now: int) -> Out:
        if isinstance(matter, CommandReply):
            if matter.number in self.tickets:
                self._finish(matter.number, TOLD(matter.outcome))
            return []
        try:
            order = DECODE(matter.command)
        except (msgspec.DecodeError, ValueError):
            return []
        return self._enter((sender, matter.number), order, now)

    def tick(self, now: int) -> Out:
        out: Out = []
        if self.record is not None and not self.record.serving:
            self._waiting.clear()
            self._flight = None
        for ticket, one in list(self.tickets.items()):
            if now >= one.until:
                name = one.order.name if isinstance(one.order, Book | Cancel) else ""
                self._finish(
                    ticket, Told("unknown", name, ("nobody could say in time: ask again under this name",))
                )
            elif now - one.sent_at >= AGAIN:
                out += self._bring(ticket, now)
        return out + self._next(now)


def encoded(told: Told) -> bytes:
    """As long as a frame allows: names in the way and windows are left out, the last first."""
    while len(data := ENCODE(told)) > MOST_TOLD:
        if told.free and len(told.free) >= len(told.why):
            told = msgspec.structs.replace(told, free=told.free[:-1])
        else:
            told = msgspec.structs.replace(told, why=told.why[:-1])
    return data
