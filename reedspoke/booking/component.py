"""The reservations' component of the reducer: HTTP calls wait here until their outcome is known."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from reedspoke.booking.booking_node import BookingNode
from reedspoke.booking.booking_service import CompletedRequest
from reedspoke.booking.http_api import (
    JSON_CONTENT_TYPE,
    InvalidBookingError,
    NotAVoterError,
    http_status,
    outcome_as_json,
    parse_booking,
    parse_cancellation,
    parse_series,
)
from reedspoke.booking.messages import BookingCommand, BookingOutcome, BookingStatus
from reedspoke.booking.recurrence import RecurrenceError
from reedspoke.errors import FORM as PROBLEM_CONTENT_TYPE
from reedspoke.errors import ReedspokeError
from reedspoke.fleet.events import LogStoreFailed
from reedspoke.net import effects as fx
from reedspoke.net.core import Concern, Core, Reactions

MAX_LISTED_BOOKINGS = 1000  # bookings in one answer
US_PER_SECOND = 1_000_000
BAD_REQUEST, NOT_FOUND, SERVICE_UNAVAILABLE = 400, 404, 503


@dataclass(slots=True)
class PendingSeries:
    """The bookings of one call, which are answered together."""

    caller: int
    count: int
    outcomes: list[BookingOutcome] = field(default_factory=list)


class BookingComponent(Concern):
    """Owns the calls that wait, by the number of their request."""

    def __init__(self, core: Core, node: BookingNode) -> None:
        super().__init__(core)
        self.node, self.service = node, node.service
        self._callers: dict[int, int] = {}
        self._series: dict[int, PendingSeries] = {}

    # ---- HTTP calls ----

    def on_reserve(self, event: fx.Called) -> fx.Reply | None:
        """POST bookings/NAME."""
        try:
            command = parse_booking(event.names[0], event.body)
        except InvalidBookingError as error:
            return self._problem(event.caller, BAD_REQUEST, error)
        self._submit_for(event.caller, command)
        return None

    def on_reserve_series(self, event: fx.Called) -> fx.Reply | None:
        """POST bookings/NAME/series."""
        try:
            commands = parse_series(event.names[0], event.body)
        except (InvalidBookingError, RecurrenceError) as error:
            return self._problem(event.caller, BAD_REQUEST, error)
        series = PendingSeries(event.caller, len(commands))
        for command in commands:
            self._series[self._submit(command)] = series
        return None

    def on_cancel(self, event: fx.Called) -> fx.Reply | None:
        """DELETE bookings/NAME."""
        try:
            command = parse_cancellation(event.names[0], event.body, self.core.now // US_PER_SECOND)
        except InvalidBookingError as error:
            return self._problem(event.caller, BAD_REQUEST, error)
        self._submit_for(event.caller, command)
        return None

    def on_get(self, event: fx.Called) -> fx.Reply:
        """GET bookings/NAME."""
        if self.node.table is None:
            return self._not_a_voter(event.caller)
        outcome = self.node.table.lookup(event.names[0])
        status = NOT_FOUND if outcome.status == BookingStatus.ABSENT else 200
        return _json_reply(event.caller, outcome_as_json(outcome), status)

    def on_list(self, event: fx.Called) -> fx.Reply:
        """GET bookings."""
        table = self.node.table
        if table is None:
            return self._not_a_voter(event.caller)
        names = table.active_names()
        bookings = [outcome_as_json(table.lookup(name)) for name in names[:MAX_LISTED_BOOKINGS]]
        return _json_reply(event.caller, {"bookings": bookings, "all": len(names)})

    def _submit_for(self, caller: int, command: BookingCommand) -> None:
        self._callers[self._submit(command)] = caller

    def _submit(self, command: BookingCommand) -> int:
        number, messages = self.service.submit(command, self.core.now)
        self.node.fleet_node.enqueue(messages)
        return number

    def _not_a_voter(self, caller: int) -> fx.Reply:
        error = NotAVoterError(f"known to the granters alone: {list(self.node.voters)}")
        return self._problem(caller, SERVICE_UNAVAILABLE, error)

    def _problem(self, caller: int, status: int, error: ReedspokeError) -> fx.Reply:
        text = error.problem(status)
        return fx.Reply(caller, fx.Word.NO, text=text, status=status, form=PROBLEM_CONTENT_TYPE)

    # ---- events ----

    def reactions(self) -> Reactions:
        """Return the handlers of the storage's events."""
        return {LogStoreFailed: self._on_storage_failed}

    def _on_storage_failed(self, _: LogStoreFailed) -> None:
        """Nothing that follows from the changes was sent, and nothing will be: the outcomes are unknown."""
        self.node.fleet_node.pending_writes -= 1
        self.node.fail_storage(self.core.now)
        reasons = ("what it would confirm cannot be kept",)
        self.service.completed = [
            CompletedRequest(number, BookingOutcome(BookingStatus.UNKNOWN, outcome.name, reasons))
            for number, outcome in self.service.completed
        ]

    def after(self) -> None:
        """Answer the calls whose outcome is known, unless it may follow from a change not on disk yet."""
        if self.node.fleet_node.pending_writes:
            return
        for number, outcome in self.service.completed:
            self._answer(number, outcome)
        self.service.completed.clear()
        self._write_log_lines()

    def _answer(self, number: int, outcome: BookingOutcome) -> None:
        if (series := self._series.pop(number, None)) is not None:
            series.outcomes.append(outcome)
            if len(series.outcomes) == series.count:
                self._answer_series(series)
        if (caller := self._callers.pop(number, None)) is not None:
            self.core.ask(_json_reply(caller, outcome_as_json(outcome), http_status(outcome)))

    def _answer_series(self, series: PendingSeries) -> None:
        """All together, with the worst status of any: those that are booked stay so, each by its own name."""
        outcomes = sorted(series.outcomes, key=lambda outcome: (outcome.begin, outcome.name))
        status = max(http_status(outcome) for outcome in outcomes)
        body = {"bookings": [outcome_as_json(outcome) for outcome in outcomes]}
        self.core.ask(_json_reply(series.caller, body, status))

    def _write_log_lines(self) -> None:
        replicated_log = self.node.replicated_log
        for text in replicated_log.take_log_lines() if replicated_log is not None else ():
            self.core.ask(fx.Say(text))


def _json_reply(caller: int, body: object, status: int = 0) -> fx.Reply:
    """`status`: 0 for the usual one."""
    return fx.Reply(caller, fx.Word.YES, text=json.dumps(body) + "\n", status=status, form=JSON_CONTENT_TYPE)
