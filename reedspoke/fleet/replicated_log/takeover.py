"""The takeover by a new leader, which reads a majority and fetches the most recent log before it serves."""

from __future__ import annotations

from reedspoke.fleet.replicated_log.follower import MAX_ENTRIES_IN_FLIGHT
from reedspoke.fleet.replicated_log.messages import (
    Append,
    FetchRequest,
    InstallSnapshot,
    LogStateReply,
    LogStateRequest,
    Outbox,
    Outgoing,
    RecoverEmpty,
)
from reedspoke.fleet.replicated_log.replica import Replica
from reedspoke.fleet.replicated_log.snapshot_transfer import TransferResult


class Takeover:
    """Collects the voters' answers. Once `complete`, this replica has the log and can serve."""

    def __init__(self, replica: Replica, term: int, now: int) -> None:
        self.replica, self.term = replica, term
        self.replies: dict[int, LogStateReply] = {}
        self.complete = False
        self.empty_incarnations: dict[int, int] = {}  # of voters that continue without state
        self._source: int | None = None  # the voter whose log is fetched
        self._next_index = 0
        self._requested_through = 0
        self._requested_at = now

    def start(self) -> Outbox:
        """Send requests to all voters; a takeover with a single voter completes at once."""
        return [*self._request_log_states(), *self.choose_log()]

    def tick(self, now: int) -> Outbox:
        """Repeat requests that were not answered in time."""
        if now - self._requested_at < self.replica.retransmit_interval_us:
            return []
        self._requested_at = now
        messages = self._request_log_states()
        if self._source is not None:
            return [*messages, self._fetch(self._source)]
        return [*messages, *self.choose_log()]

    def on_log_state_reply(self, sender: int, reply: LogStateReply) -> Outbox:
        """Record an answer; it has no effect on a log that was already chosen."""
        self.replies[sender] = reply
        return self.choose_log() if self._source is None else []

    def choose_log(self) -> Outbox:
        """Choose the most recent log once a majority with state has answered, and fetch it if necessary."""
        replica = self.replica
        own = replica.log_state_reply(self.term)
        replies = {**self.replies, replica.replica_id: own}
        with_state = {voter: reply for voter, reply in replies.items() if not reply.recovering}
        quorum = len(with_state) >= replica.majority
        if not quorum and len(replies) < len(replica.voters):
            return []
        messages = [] if quorum else self._recover_unclean(len(with_state))
        best = max(
            with_state,
            key=lambda voter: (
                with_state[voter].last_term,
                with_state[voter].last_index,
                voter == replica.replica_id,
            ),
            default=replica.replica_id,
        )
        if best == replica.replica_id or self._ends_like(with_state[best]):
            self.complete = True
            return messages
        self._source, self._next_index = best, replica.state.commit_index + 1
        return [*messages, self._fetch(best)]

    def _recover_unclean(self, with_state: int) -> Outbox:
        """Continue with the remaining state after all voters have answered and no majority has state."""
        replica = self.replica
        replica.unclean_recoveries += 1
        replica.log_lines.append(
            "replicated log: starting empty, no voter has state"
            if not with_state
            else f"replicated log: unclean recovery, committed entries may be lost: {with_state} of "
            f"{len(replica.voters)} voters have state"
        )
        self.empty_incarnations = {
            voter: reply.incarnation for voter, reply in self.replies.items() if reply.recovering
        }
        return [
            Outgoing(voter, RecoverEmpty(self.term, incarnation))
            for voter, incarnation in self.empty_incarnations.items()
        ]

    def on_append(self, sender: int, message: Append) -> Outbox:
        """Store an entry of the fetched log; a different entry in its place was never committed."""
        if sender != self._source or message.term != self.term:
            return []
        state = self.replica.state
        if message.entry_term and message.index > state.commit_index:
            if state.term_at(message.index - 1) != message.previous_term:
                return []  # out of order: requested again later
            if state.term_at(message.index) != message.entry_term:
                # Only entries that differ are removed: this replica may have acknowledged the others, and the
                # takeover may end before they are received again.
                state.truncate_after(message.index - 1)
                state.append(message.entry_term, message.data)
        end = self.replies[sender]
        if message.index >= end.last_index:
            state.truncate_after(end.last_index)
            self.complete = self._ends_like(end)
            return []
        self._next_index = max(self._next_index, message.index + 1)
        return [self._fetch(sender)] if self._next_index > self._requested_through else []

    def on_install_snapshot(self, message: InstallSnapshot) -> Outbox:
        """Collect a chunk of the snapshot that precedes the fetched entries."""
        if message.last_included_index <= self.replica.state.snapshot_index:
            return []
        match self.replica.receive_snapshot_chunk(message):
            case TransferResult.CORRUPT:
                return []
            case TransferResult.INSTALLED:
                self._next_index = self.replica.state.commit_index + 1
        return [self._fetch(self._source)] if self._source is not None else []

    def _ends_like(self, end: LogStateReply) -> bool:
        state = self.replica.state
        return (state.last_term, state.last_index) == (end.last_term, end.last_index)

    def _request_log_states(self) -> Outbox:
        return [
            Outgoing(voter, LogStateRequest(self.term))
            for voter in self.replica.other_voters
            if voter not in self.replies
        ]

    def _fetch(self, source: int) -> Outgoing:
        self._requested_through = self._next_index + MAX_ENTRIES_IN_FLIGHT - 1
        offset = self.replica.snapshot_receiver.offset
        return Outgoing(source, FetchRequest(self.term, self._next_index, offset))
