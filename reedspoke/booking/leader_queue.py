"""The leader's queue of commands, which go into the replicated log one after another.

`LeaderQueue` owns the commands that wait, the one that is in the log but not committed, and the outcomes
of the last ones, for requests that come again. No I/O.
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
    """A request: the scheduler that took it, and its number there."""

    member: int
    number: int


class Reply(NamedTuple):
    """The encoded outcome of a request."""

    key: RequestKey
    outcome: bytes


@dataclass(slots=True, frozen=True)
class EntryInFlight:
    """The command that is in the log and not committed yet."""

    key: RequestKey
    index: int
    term: int


class LeaderQueue:
    """One for each voter; it accepts commands only while the voter's log serves."""

    def __init__(
        self,
        replicated_log: ReplicatedLog,
        table: ReservationTable,
        limits: BookingLimits,
        unix_time: Callable[[int], int],
        send_log_messages: Callable[[Outbox], None],
    ) -> None:
        """`unix_time`: s of Unix time from our us."""
        self.replicated_log, self.table, self.limits = replicated_log, table, limits
        self._unix_time, self._send_log_messages = unix_time, send_log_messages
        self._queue: OrderedDict[RequestKey, BookingCommand] = OrderedDict()
        self._in_flight: EntryInFlight | None = None
        self._recent_outcomes: OrderedDict[RequestKey, bytes] = OrderedDict()

    def submit(self, key: RequestKey, command: BookingCommand, now: int) -> list[Reply]:
        """Queue a command, once however often it comes. Replies to this one and to those now committed."""
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
        """Drop all commands once the leadership is lost: who took them sends them to the next leader."""
        if not self.replicated_log.serving:
            self._queue.clear()
            self._in_flight = None

    def advance(self, now: int) -> list[Reply]:
        """One command at a time: its outcome is known before the next is put into the log."""
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
        # Guards a reply against a leadership that was lost and won again meanwhile: the entry there may be
        # another leader's.
        if (applied.index, self.replicated_log.leader_term) != (entry.index, entry.term):
            return []
        outcome = encode_outcome(applied.outcome)
        self._store_outcome(entry.key, outcome)
        return [Reply(entry.key, outcome)]

    def _store_outcome(self, key: RequestKey, outcome: bytes) -> None:
        self._recent_outcomes[key] = outcome
        while len(self._recent_outcomes) > MAX_RECENT_OUTCOMES:
            self._recent_outcomes.popitem(last=False)
