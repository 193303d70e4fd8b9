"""Reducer component for reservations: holds HTTP calls until the outcome of their commands is known."""

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
from reedspoke.errors import PROBLEM_CONTENT_TYPE, ReedspokeError
from reedspoke.fleet.events import LogStoreFailed
from reedspoke.net import effects as fx
from reedspoke.net.core import Component, Core, EventHandlers

MAX_LISTED_BOOKINGS = 1000  # Maximum number of bookings in one response.
US_PER_SECOND = 1_000_000
BAD_REQUEST, NOT_FOUND, SERVICE_UNAVAILABLE = 400, 404, 503


@dataclass(slots=True)
class PendingSeries:
    """The bookings requested by one call, which gets a single response for all of them."""

    caller: int
    count: int
    outcomes: list[BookingOutcome] = field(default_factory=list)


class BookingComponent(Component):
    """Owns the pending HTTP calls, indexed by the number of their request."""

    def __init__(self, core: Core, node: BookingNode) -> None:
        super().__init__(core)
        self.node, self.service = node, node.service
        self._callers: dict[int, int] = {}
        self._series: dict[int, PendingSeries] = {}

    # ---- HTTP calls ----

    def on_reserve(self, event: fx.OperatorCall) -> fx.ReplyToOperator | None:
        """Handle POST bookings/NAME: create or change a booking."""
        try:
            command = parse_booking(event.names[0], event.body)
        except InvalidBookingError as error:
            return self._problem(event.caller, BAD_REQUEST, error)
        self._submit_for(event.caller, command)
        return None

    def on_reserve_series(self, event: fx.OperatorCall) -> fx.ReplyToOperator | None:
        """Handle POST bookings/NAME/series: create the bookings of a recurrence rule."""
        try:
            commands = parse_series(event.names[0], event.body)
        except (InvalidBookingError, RecurrenceError) as error:
            return self._problem(event.caller, BAD_REQUEST, error)
        series = PendingSeries(event.caller, len(commands))
        for command in commands:
            self._series[self._submit(command)] = series
        return None

    def on_cancel(self, event: fx.OperatorCall) -> fx.ReplyToOperator | None:
        """Handle DELETE bookings/NAME: cancel a booking."""
        try:
            command = parse_cancellation(event.names[0], event.body, self.core.now // US_PER_SECOND)
        except InvalidBookingError as error:
            return self._problem(event.caller, BAD_REQUEST, error)
        self._submit_for(event.caller, command)
        return None

    def on_get(self, event: fx.OperatorCall) -> fx.ReplyToOperator:
        """Handle GET bookings/NAME: return a booking as this voter has it."""
        if self.node.table is None:
            return self._not_a_voter(event.caller)
        outcome = self.node.table.lookup(event.names[0])
        status = NOT_FOUND if outcome.status == BookingStatus.ABSENT else 200
        return _json_reply(event.caller, outcome_as_json(outcome), status)

    def on_list(self, event: fx.OperatorCall) -> fx.ReplyToOperator:
        """Handle GET bookings: return the bookings that this voter has, up to MAX_LISTED_BOOKINGS."""
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

    def _not_a_voter(self, caller: int) -> fx.ReplyToOperator:
        error = NotAVoterError(
            f"this scheduler is not a voter; the reservations are stored by members {list(self.node.voters)}"
        )
        return self._problem(caller, SERVICE_UNAVAILABLE, error)

    def _problem(self, caller: int, status: int, error: ReedspokeError) -> fx.ReplyToOperator:
        text = error.problem(status)
        return fx.ReplyToOperator(
            caller, fx.CallResult.NO, text=text, status=status, content_type=PROBLEM_CONTENT_TYPE
        )

    # ---- events ----

    def event_handlers(self) -> EventHandlers:
        """Return the handlers of storage events."""
        return {LogStoreFailed: self._on_storage_failed}

    def _on_storage_failed(self, _: LogStoreFailed) -> None:
        """Report the completed requests as unknown.

        Messages that depend on the failed write have not been sent and never will be.
        """
        self.node.fleet_node.pending_writes -= 1
        self.node.fail_storage(self.core.now)
        reasons = ("the replicated log could not be written to disk, so the outcome is unknown",)
        self.service.completed = [
            CompletedRequest(number, BookingOutcome(BookingStatus.UNKNOWN, outcome.name, reasons))
            for number, outcome in self.service.completed
        ]

    def after_event(self) -> None:
        """Answer the calls whose outcome is known, unless changes of the log are still being written to disk.

        An outcome may depend on such a change.
        """
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
            self.core.request_effect(_json_reply(caller, outcome_as_json(outcome), http_status(outcome)))

    def _answer_series(self, series: PendingSeries) -> None:
        """Answer with all outcomes and the highest HTTP status among them.

        A series is not atomic: occurrences that were booked stay booked under their own names.
        """
        outcomes = sorted(series.outcomes, key=lambda outcome: (outcome.begin, outcome.name))
        status = max(http_status(outcome) for outcome in outcomes)
        body = {"bookings": [outcome_as_json(outcome) for outcome in outcomes]}
        self.core.request_effect(_json_reply(series.caller, body, status))

    def _write_log_lines(self) -> None:
        replicated_log = self.node.replicated_log
        for text in replicated_log.take_log_lines() if replicated_log is not None else ():
            self.core.request_effect(fx.WriteLog(text))


def _json_reply(caller: int, body: object, status: int = 0) -> fx.ReplyToOperator:
    """Return a JSON reply; a `status` of 0 stands for the default of a successful call."""
    return fx.ReplyToOperator(
        caller, fx.CallResult.YES, text=json.dumps(body) + "\n", status=status, content_type=JSON_CONTENT_TYPE
    )
