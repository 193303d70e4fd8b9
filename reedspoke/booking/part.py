"""Bookings at the operators' door: the subsystem, its concern of the reducer, its calls and figures.

POST   /v1/bookings/NAME            201 booked, 409 refused or stale, 202 not known yet
POST   /v1/bookings/NAME/series     the same by a rule: each time by its own name, NAME.1 and so on
DELETE /v1/bookings/NAME            200 cancelled, 409 stale, 202 not known yet
GET    /v1/bookings/NAME            as it is known here: 200, 404; at a scheduler that is no granter 503
GET    /v1/bookings                 all of them, as they are known here

`docs/calendar.md` has the bodies.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from reedspoke.booking.agreed import Agreed
from reedspoke.booking.desk import SECOND, Terms
from reedspoke.booking.file import Bookings
from reedspoke.booking.rules import RuleError, times
from reedspoke.booking.words import Book, Cancel, Count, Order, Told, Version, Word, order_bytes
from reedspoke.errors import FORM as PROBLEM
from reedspoke.errors import ReedspokeError
from reedspoke.fleet.events import LogChangesStored, LogStoreFailed, StoreLogChanges
from reedspoke.fleet.node import FleetNode
from reedspoke.fleet.replicated_log.log_store import LogStore, LogStoreError
from reedspoke.fleet.replicated_log.replicated_log import ReplicatedLog
from reedspoke.net import effects as fx
from reedspoke.net.core import Concern, Core, Reactions
from reedspoke.net.runtime import Runtime
from reedspoke.net.subsystem import NAME, Call, Subsystem
from reedspoke.units import seconds

FORM = "application/json"
log = logging.getLogger("reedspoke")
STATUS = {"booked": 201, "cancelled": 200, "refused": 409, "stale": 409, "absent": 404, "unknown": 202}
MOST_LISTED = 1000  # bookings that one call lists


class NoBookingError(ReedspokeError):
    """What came is no booking, and no cancellation."""

    code = "no-booking"
    remedy = "see docs/calendar.md for the body, and the detail for what is wrong with it"


class ElsewhereError(ReedspokeError):
    """This scheduler does not keep the record."""

    code = "bookings-elsewhere"
    remedy = "ask the door of a scheduler that the detail names"


class Wanted(Struct, forbid_unknown_fields=True, frozen=True):
    """The body of a booking. Times are in RFC 3339, with their offset."""

    tenant: Word
    zone: Word
    slots: Count
    begin: Annotated[datetime, Meta(tz=True)] = msgspec.field(name="from")
    end: Annotated[datetime, Meta(tz=True)] = msgspec.field(name="to")
    version: Version = 0


class Again(Struct, forbid_unknown_fields=True, frozen=True):
    """The body of bookings that come again: times of the wall clock at `clock`, a place."""

    tenant: Word
    zone: Word
    slots: Count
    clock: str
    repeat: str
    begin: Annotated[datetime, Meta(tz=False)] = msgspec.field(name="from")
    end: Annotated[datetime, Meta(tz=False)] = msgspec.field(name="to")
    version: Version = 0


class Ended(Struct, forbid_unknown_fields=True, frozen=True):
    """The body of a cancellation."""

    version: Version


def terms_of(told: Bookings) -> Terms:
    return Terms(
        {zone.name: zone.cap for zone in told.zones},
        {team.tenant: team.most for team in told.teams},
        int(seconds(told.step)), int(seconds(told.horizon)), int(seconds(told.longest)),
    )  # fmt: skip


def checked(order: Order) -> None:
    """Raises ValueError for names that an order cannot have, or where it is too long for the record."""
    msgspec.msgpack.decode(order_bytes(order), type=type(order))


@dataclass(slots=True)
class Series:
    """Bookings of one call."""

    caller: int
    count: int
    told: list[Told] = field(default_factory=list)


def when(at: int) -> str:
    return datetime.fromtimestamp(at, UTC).isoformat().replace("+00:00", "Z")


def shown(told: Told) -> dict[str, Any]:
    found: dict[str, Any] = {"name": told.name, "state": told.what, "version": told.version}
    if told.tenant:
        found |= {
            "tenant": told.tenant, "zone": told.zone, "slots": told.slots, "from": when(told.begin),
            "to": when(told.end),
        }  # fmt: skip
    if told.why:
        found["because"] = list(told.why)
    if told.free:
        found["free"] = [{"from": when(one.begin), "to": when(one.end)} for one in told.free]
    return found


class Bookkeeping(Concern):
    """Calls wait here until the desk knows what became of them."""

    def __init__(self, core: Core, agreed: Agreed) -> None:
        super().__init__(core)
        self.agreed, self.desk = agreed, agreed.desk
        self._callers: dict[int, int] = {}  # by ticket
        self._series: dict[int, Series] = {}

    def on_series(self, event: fx.Called) -> fx.Reply | None:
        """Each time is a booking of its own: NAME.1, NAME.2 and so on. All are answered together."""
        try:
            told = msgspec.json.decode(event.body, type=Again)
            found = times(told.begin, told.end, told.repeat, told.clock)
            orders = [
                Book(
                    f"{event.names[0]}.{at}",
                    told.version,
                    told.tenant,
                    told.zone,
                    told.slots,
                    begin,
                    end,
                    1,
                    1,
                )
                for at, (begin, end) in enumerate(found, 1)
            ]
            for order in orders:
                checked(order)
        except RuleError as error:
            return self._problem(event.caller, 400, error)
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError, OverflowError) as error:
            return self._malformed(event.caller, str(error))
        series = Series(event.caller, len(orders))
        for order in orders:
            ticket, out = self.desk.take(order, self.core.now)
            self._series[ticket] = series
            self.agreed.party.enqueue(out)
        return None

    def on_book(self, event: fx.Called) -> fx.Reply | None:
        try:
            told = msgspec.json.decode(event.body, type=Wanted)
            begin, end = int(told.begin.timestamp()), int(told.end.timestamp())
            order = Book(event.names[0], told.version, told.tenant, told.zone, told.slots, begin, end, 1, 1)
            return self._order(event.caller, order)
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError, OverflowError) as error:
            return self._malformed(event.caller, str(error))

    def on_cancel(self, event: fx.Called) -> fx.Reply | None:
        try:
            told = msgspec.json.decode(event.body, type=Ended)
            return self._order(event.caller, Cancel(event.names[0], told.version, self.core.now // SECOND))
        except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
            return self._malformed(event.caller, str(error))

    def _malformed(self, caller: int, why: str) -> fx.Reply:
        return self._problem(caller, 400, NoBookingError(why))

    def _problem(self, caller: int, status: int, error: ReedspokeError) -> fx.Reply:
        return fx.Reply(caller, fx.Word.NO, text=error.problem(status), status=status, form=PROBLEM)

    def _order(self, caller: int, order: Order) -> fx.Reply | None:
        checked(order)
        ticket, out = self.desk.take(order, self.core.now)
        self._callers[ticket] = caller
        self.agreed.party.enqueue(out)
        return None

    def on_show(self, event: fx.Called) -> fx.Reply:
        calendar = self.agreed.calendar
        if calendar is None:
            return self._elsewhere(event.caller)
        told = calendar.ask(event.names[0])
        status = 404 if told.what == "absent" else 200
        return fx.Reply(
            event.caller, fx.Word.YES, text=json.dumps(shown(told)) + "\n", status=status, form=FORM
        )

    def on_list(self, event: fx.Called) -> fx.Reply:
        calendar = self.agreed.calendar
        if calendar is None:
            return self._elsewhere(event.caller)
        names = [name for name, one in calendar.kept.items() if not one.gone]
        found = [shown(calendar.ask(name)) for name in sorted(names)[:MOST_LISTED]]
        text = json.dumps({"bookings": found, "all": len(names)})
        return fx.Reply(event.caller, fx.Word.YES, text=text + "\n", form=FORM)

    def _elsewhere(self, caller: int) -> fx.Reply:
        granters = self.agreed.duties.configuration.voters
        return self._problem(caller, 503, ElsewhereError(f"known to the granters alone: {list(granters)}"))

    def _answer_series(self, series: Series) -> None:
        """Whole, or with the worst that became of any: those that are booked stay so, each by its own
        name."""
        found = sorted(series.told, key=lambda told: (told.begin, told.name))
        status = max(STATUS.get(told.what, 200) for told in found)
        text = json.dumps({"bookings": [shown(told) for told in found]}) + "\n"
        self.core.ask(fx.Reply(series.caller, fx.Word.YES, text=text, status=status, form=FORM))

    def reactions(self) -> Reactions:
        return {LogStoreFailed: self._on_unkept}

    def _on_unkept(self, _: LogStoreFailed) -> None:
        """Nothing that follows from it was told, and nothing will be."""
        self.agreed.party.pending_writes -= 1
        self.agreed.silence(self.core.now)
        why = ("what it would confirm cannot be kept",)
        self.desk.done = [(ticket, Told("unknown", told.name, why)) for ticket, told in self.desk.done]

    def after(self) -> None:
        if self.agreed.party.pending_writes:
            return  # a yes may follow from what is on its way to disk
        for ticket, told in self.desk.done:
            if (series := self._series.pop(ticket, None)) is not None:
                series.told.append(told)
                if len(series.told) == series.count:
                    self._answer_series(series)
            if (caller := self._callers.pop(ticket, None)) is not None:
                status = STATUS.get(told.what, 200)
                text = json.dumps(shown(told)) + "\n"
                self.core.ask(fx.Reply(caller, fx.Word.YES, text=text, status=status, form=FORM))
        self.desk.done.clear()
        record = self.agreed.record
        if record is not None:
            for line in record.replica.log_lines:
                self.core.ask(fx.Say(line))
            record.replica.log_lines.clear()


class Keeper:
    """A part with a folder: each change is on disk before what follows from it goes out."""

    def __init__(self, runtime: Runtime, shelf: LogStore, record: ReplicatedLog) -> None:
        self.runtime, self.shelf, self.record = runtime, shelf, record

    def effects(self) -> dict[type, Callable[[Any], None]]:
        return {StoreLogChanges: self._keep}

    def open(self) -> None:
        if line := self.shelf.load(self.record):
            log.info("%s", line)

    def reload(self) -> None:
        """Nothing: the folder is the one of the start."""

    def close(self) -> None:
        self.shelf.close()

    def _keep(self, effect: StoreLogChanges) -> None:
        try:
            self.shelf.save(list(effect.changes), self.record)
        except LogStoreError as error:
            log.error(
                "replicated log: storage failed, this voter acknowledges nothing until a restart: %s",
                error,
                extra=error.fields(),
            )
            self.runtime.emit(LogStoreFailed())
        else:
            self.runtime.emit(LogChangesStored(effect.then))


def figures(agreed: Agreed) -> str:
    text = ""
    for what, count in sorted(agreed.desk.counted.items()):
        text += f'scheduler_bookings_told_total{{what="{what}"}} {count}\n'
    text = "# TYPE scheduler_bookings_told_total counter\n" + text if text else ""
    if (record := agreed.record) is not None:
        for name, value in {
            "agreed": record.commit_index,
            "blank": +record.recovering,
            "serving": +record.serving,
        }.items():
            text += f"# TYPE scheduler_record_{name} gauge\nscheduler_record_{name} {value}\n"
        torn = record.replica.unclean_recoveries
        text += f"# TYPE scheduler_record_torn_total counter\nscheduler_record_torn_total {torn}\n"
    return text


def join(runtime: Runtime, party: FleetNode, told: Bookings) -> Subsystem:
    """Behind the fleet's own part. Raises ValueError for a duty of the same name, LogStoreError."""
    core, now = runtime.reducer.core, runtime.clock.now()
    life, term = now // 1000 & 0xFFFF_FFFF, int(seconds(told.term) * SECOND)
    agreed = Agreed(party, terms_of(told), term, life, lambda now: now // SECOND)
    concern = Bookkeeping(core, agreed)
    parts = []
    if told.folder and agreed.record is not None:
        agreed.folder = True
        parts.append(Keeper(runtime, LogStore(told.folder, "bookings"), agreed.record))
    one = (b"bookings", NAME)
    return Subsystem(
        "bookings", (concern,), tuple(parts),
        (
            Call(b"POST", (*one, b"series"), concern.on_series),
            Call(b"POST", one, concern.on_book), Call(b"DELETE", one, concern.on_cancel),
            Call(b"GET", one, concern.on_show), Call(b"GET", (b"bookings",), concern.on_list),
        ),
        lambda: figures(agreed),
    )  # fmt: skip
