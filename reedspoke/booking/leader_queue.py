"""The leader's queue of commands, which are appended to the replicated log one at a time.

`LeaderQueue` owns the queued commands, including the one in flight (appended but not yet committed), and the
outcomes of recent commands, with which it answers retried requests. It performs no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from reedspoke.booking.limits import BookingLimits
from reedspoke.booking.messages import BookingCommand, encode_command, encode_outcome, refused_outcome
from reedspoke.booking.reservation_table import ReservationTable
from reedspoke.fleet.replicated_log.messages import Outbox
from reedspoke.fleet.replicated_log.replicated_log import ReplicatedLog

MAX_QUEUED_COMMANDS = 512
MAX_RECENT_OUTCOMES = 1024


class RequestKey(NamedTuple):
    """Identifies a request by the scheduler that accepted it and its number there."""

    member: int
    number: int


class Reply(NamedTuple):
    """A request and its encoded outcome."""

    key: RequestKey
    outcome: bytes


@dataclass(slots=True, frozen=True)
class EntryInFlight:
    """The log entry of the command that is appended but not yet committed."""

    key: RequestKey
    index: int
    term: int


class LeaderQueue:
    """The command queue of one voter; it accepts commands only while that voter leads the log."""

    def __init__(
        self,
        replicated_log: ReplicatedLog,
        table: ReservationTable,
        limits: BookingLimits,
        unix_time: Callable[[int], int],
        send_log_messages: Callable[[Outbox], None],
    ) -> None:
        """`unix_time` converts this process's time in microseconds to Unix time in seconds."""
        self.replicated_log, self.table, self.limits = replicated_log, table, limits
        self._unix_time, self._send_log_messages = unix_time, send_log_messages
        self._queue: OrderedDict[RequestKey, BookingCommand] = OrderedDict()
        self._in_flight: EntryInFlight | None = None
        self._recent_outcomes: OrderedDict[RequestKey, bytes] = OrderedDict()

    def submit(self, key: RequestKey, command: BookingCommand, now: int) -> list[Reply]:
        """Queue a command unless it is a duplicate; return the replies that are now due.

        A command is dropped without a reply if this voter does not lead or the queue is full; the scheduler
        that accepted the request sends it again.
        """
        if not self.replicated_log.serving:
            return []
        if key in self._recent_outcomes:
            return [Reply(key, self._recent_outcomes[key])]
        if key not in self._queue and len(self._queue) < MAX_QUEUED_COMMANDS:
            if reason := self.limits.refusal_reason(command, self._unix_time(now)):
                return [Reply(key, encode_outcome(refused_outcome(command, reason)))]
            self._queue[key] = command
        return self.advance(now)

    def clear_unless_serving(self) -> None:
        """Drop all commands if this voter no longer leads the log.

        The schedulers that accepted the requests send them to the next leader.
        """
        if not self.replicated_log.serving:
            self._queue.clear()
            self._in_flight = None

    def advance(self, now: int) -> list[Reply]:
        """Append queued commands one at a time and return the replies that are now due.

        A command is appended only after the outcome of the previous one is known.
        """
        replies: list[Reply] = []
        while self.replicated_log.serving:
            if self._in_flight is None:
                if not self._queue:
                    break
                self._in_flight = self._propose_next(now)
            elif self.replicated_log.commit_index >= self._in_flight.index:
                replies += self._finish(self._in_flight)
            else:
                break
        return replies

    def _propose_next(self, now: int) -> EntryInFlight:
        key, command = next(iter(self._queue.items()))
        data = encode_command(self.limits.fill_in(command))
        index, messages = self.replicated_log.propose(data, now)
        self._send_log_messages(messages)
        return EntryInFlight(key, index, self.replicated_log.leader_term)

    def _finish(self, entry: EntryInFlight) -> list[Reply]:
        self._in_flight = None
        self._queue.pop(entry.key, None)
        applied = self.table.last_applied
        # If this voter lost the leadership and regained it in the meantime, the entry at this index may be
        # another leader's command, so its outcome must not be sent as the reply.
        if (applied.index, self.replicated_log.leader_term) != (entry.index, entry.term):
            return []
        outcome = encode_outcome(applied.outcome)
        self._store_outcome(entry.key, outcome)
        return [Reply(entry.key, outcome)]

    def _store_outcome(self, key: RequestKey, outcome: bytes) -> None:
        self._recent_outcomes[key] = outcome
        while len(self._recent_outcomes) > MAX_RECENT_OUTCOMES:
            self._recent_outcomes.popitem(last=False)
