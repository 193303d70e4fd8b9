"""Requests for reservations, taken at any scheduler and brought to the leader of the replicated log.

A request is sent to the leader again and again until it is answered or its time is up. Both a yes and a
no are the outcome of a committed command, and names with versions make it harmless to ask twice. What is
not known in time is reported as unknown: it may have been booked.

`BookingService` owns the requests that were taken here. No I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from reedspoke.booking.leader_queue import LeaderQueue, Reply, RequestKey
from reedspoke.booking.limits import BookingLimits
from reedspoke.booking.messages import (
    BookingCommand,
    BookingOutcome,
    BookingStatus,
    booking_name,
    decode_command,
    decode_outcome,
    encode_command,
    refused_outcome,
)
from reedspoke.fleet.messages.frame import OutgoingMessage
from reedspoke.fleet.replicated_log.messages import CommandReply, CommandRequest

RETRY_INTERVAL_US = 250_000
REQUEST_TIMEOUT_US = 1_800_000  # the HTTP API answers within 2 s
MAX_REQUEST_NUMBER = 0xFFFF_FFFF


class CompletedRequest(NamedTuple):
    """The number of a request that was taken here, and what became of it."""

    number: int
    outcome: BookingOutcome


@dataclass(slots=True)
class PendingRequest:
    """A request that was taken here and is not answered. Times in us."""

    command: BookingCommand
    deadline: int
    sent_at: int


class BookingService:
    """`completed` and `outcome_counts` are read by the HTTP API; `completed` is emptied by it."""

    def __init__(
        self,
        member: int,
        leader_queue: LeaderQueue | None,
        limits: BookingLimits,
        leader_at: Callable[[int], int | None],
        unix_time: Callable[[int], int],
        first_number: int = 0,
    ) -> None:
        """Serve one scheduler; `leader_queue` is None where it is no voter.

        `leader_at`: the scheduler that leads the log at a time of ours, None where nobody is known to.
        `unix_time`: s of Unix time from our us. `first_number` differs with each start: the leader would
        take a later incarnation's requests for those of a former one.
        """
        self.member, self.limits = member, limits
        self.completed: list[CompletedRequest] = []
        self.outcome_counts: Counter[str] = Counter()
        self._leader_queue = leader_queue
        self._leader_at, self._unix_time = leader_at, unix_time
        self._pending: dict[int, PendingRequest] = {}
        self._last_number = first_number

    # ---- requests taken here ----

    def submit(self, command: BookingCommand, now: int) -> tuple[int, list[OutgoingMessage]]:
        """Take a request; returns its number and what to send. The outcome comes by `completed`."""
        number = self._last_number = (self._last_number + 1) & MAX_REQUEST_NUMBER
        if reason := self.limits.refusal_reason(command, self._unix_time(now)):
            self._complete(number, refused_outcome(command, reason))
            return number, []
        self._pending[number] = PendingRequest(command, now + REQUEST_TIMEOUT_US, now)
        return number, self._send(number, now)

    def _send(self, number: int, now: int) -> list[OutgoingMessage]:
        request, leader = self._pending[number], self._leader_at(now)
        request.sent_at = now
        if leader is None:
            return []
        if leader == self.member:
            return self._submit_to_queue(RequestKey(self.member, number), request.command, now)
        return [OutgoingMessage(leader, CommandRequest(number, encode_command(request.command)))]

    def _complete(self, number: int, outcome: BookingOutcome) -> None:
        self._pending.pop(number, None)
        self.outcome_counts[outcome.status] += 1
        self.completed.append(CompletedRequest(number, outcome))

    # ---- at the leader ----

    def _submit_to_queue(self, key: RequestKey, command: BookingCommand, now: int) -> list[OutgoingMessage]:
        if self._leader_queue is None:
            return []
        return self._route(self._leader_queue.submit(key, command, now))

    def _route(self, replies: list[Reply]) -> list[OutgoingMessage]:
        """Complete what was requested here; the rest goes to the schedulers that took it."""
        messages: list[OutgoingMessage] = []
        for key, outcome in replies:
            if key.member != self.member:
                messages.append(OutgoingMessage(key.member, CommandReply(key.number, outcome)))
            elif key.number in self._pending:
                self._complete(key.number, decode_outcome(outcome))
        return messages

    # ---- messages and time ----

    def on_reply(self, reply: CommandReply) -> None:
        """Complete a request by the leader's answer; duplicates are dropped."""
        if reply.number in self._pending:
            self._complete(reply.number, decode_outcome(reply.outcome))

    def on_request(self, sender: int, request: CommandRequest, now: int) -> list[OutgoingMessage]:
        """Queue the command of a scheduler that takes us for the leader; what is no command is dropped."""
        try:
            command = decode_command(request.command)
        except (msgspec.DecodeError, ValueError):
            return []
        return self._submit_to_queue(RequestKey(sender, request.number), command, now)

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Give up what is too late, send again what is not answered, and go on with the leader's queue."""
        if self._leader_queue is not None:
            self._leader_queue.clear_unless_serving()
        messages: list[OutgoingMessage] = []
        for number, request in list(self._pending.items()):
            if now >= request.deadline:
                self._complete(number, _timed_out_outcome(request.command))
            elif now - request.sent_at >= RETRY_INTERVAL_US:
                messages += self._send(number, now)
        if self._leader_queue is not None:
            messages += self._route(self._leader_queue.advance(now))
        return messages


def _timed_out_outcome(command: BookingCommand) -> BookingOutcome:
    reason = "nobody could say in time: ask again under this name"
    return BookingOutcome(BookingStatus.UNKNOWN, booking_name(command), (reason,))
