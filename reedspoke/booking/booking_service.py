"""Accepts reservation requests at any scheduler and forwards them to the leader of the replicated log.

A request is resent to the leader until it is answered or times out. Apart from requests that break the
operator's limits, every result is the outcome of a committed command. Commands are idempotent by name and
version, so retries are safe. A request that times out is reported as unknown: it may have been committed.

`BookingService` owns the requests accepted by this scheduler. It performs no I/O.
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
REQUEST_TIMEOUT_US = 1_800_000  # Must leave time for the HTTP API to answer within 2 s.
MAX_REQUEST_NUMBER = 0xFFFF_FFFF


class CompletedRequest(NamedTuple):
    """The number of a request accepted by this scheduler, and its outcome."""

    number: int
    outcome: BookingOutcome


@dataclass(slots=True)
class PendingRequest:
    """An unanswered request accepted by this scheduler. Times are in microseconds."""

    command: BookingCommand
    deadline: int
    sent_at: int


class BookingService:
    """Tracks the requests of one scheduler until their outcome is known or they time out.

    The caller consumes and clears `completed`; `outcome_counts` counts the outcomes by status for metrics.
    """

    def __init__(
        self,
        member: int,
        leader_queue: LeaderQueue | None,
        limits: BookingLimits,
        leader_at: Callable[[int], int | None],
        unix_time: Callable[[int], int],
        first_number: int = 0,
    ) -> None:
        """Create the service of one scheduler; `leader_queue` is None if it is not a voter.

        `leader_at` returns the member that leads the log at the given time, or None if no leader is known.
        `unix_time` converts this process's time in microseconds to Unix time in seconds. `first_number` must
        differ at each start of the process, or the leader would mistake new requests for duplicates of
        those sent before the restart.
        """
        self.member, self.limits = member, limits
        self.completed: list[CompletedRequest] = []
        self.outcome_counts: Counter[str] = Counter()
        self._leader_queue = leader_queue
        self._leader_at, self._unix_time = leader_at, unix_time
        self._pending: dict[int, PendingRequest] = {}
        self._last_number = first_number

    # ---- requests accepted by this scheduler ----

    def submit(self, command: BookingCommand, now: int) -> tuple[int, list[OutgoingMessage]]:
        """Accept a request; return its number and the messages to send.

        The outcome is appended to `completed` when it is known.
        """
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
        """Complete the requests of this scheduler; return messages with the replies to other schedulers."""
        messages: list[OutgoingMessage] = []
        for key, outcome in replies:
            if key.member != self.member:
                messages.append(OutgoingMessage(key.member, CommandReply(key.number, outcome)))
            elif key.number in self._pending:
                self._complete(key.number, decode_outcome(outcome))
        return messages

    # ---- messages and time ----

    def on_reply(self, reply: CommandReply) -> None:
        """Complete a request with the leader's reply. Duplicate replies are ignored."""
        if reply.number in self._pending:
            self._complete(reply.number, decode_outcome(reply.outcome))

    def on_request(self, sender: int, request: CommandRequest, now: int) -> list[OutgoingMessage]:
        """Queue a command that another scheduler sent to the leader. Malformed commands are ignored."""
        try:
            command = decode_command(request.command)
        except (msgspec.DecodeError, ValueError):
            return []
        return self._submit_to_queue(RequestKey(sender, request.number), command, now)

    def tick(self, now: int) -> list[OutgoingMessage]:
        """Time out expired requests, resend unanswered ones, and advance the leader's queue."""
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
    reason = "the request timed out, its outcome is unknown: retry with the same name and version"
    return BookingOutcome(BookingStatus.UNKNOWN, booking_name(command), (reason,))
