"""A replica as a follower: it handles the messages of the leader and of a new leader that takes over."""

from __future__ import annotations

from reedspoke.fleet.replicated_log.messages import (
    Append,
    AppendAccepted,
    AppendRejected,
    FetchRequest,
    InstallSnapshot,
    LogStateRequest,
    Outbox,
    Outgoing,
    RecoverEmpty,
)
from reedspoke.fleet.replicated_log.recovery import Recovery
from reedspoke.fleet.replicated_log.replica import Replica
from reedspoke.fleet.replicated_log.snapshot_transfer import TransferResult, snapshot_message

MAX_ENTRIES_IN_FLIGHT = 4  # per replica


class Follower:
    """The stateless handlers of a follower; `ReplicatedLog` has already checked the term of each message."""

    def __init__(self, replica: Replica, recovery: Recovery) -> None:
        self.replica, self.recovery = replica, recovery

    def on_log_state_request(self, sender: int, message: LogStateRequest) -> Outbox:
        """Report the end of this log to a new leader, which reads a majority before it serves."""
        return [Outgoing(sender, self.replica.log_state_reply(message.term))]

    def on_recover_empty(self, message: RecoverEmpty) -> Outbox:
        """Finish recovery without state, if the leader's message is for this incarnation."""
        if message.incarnation == self.replica.incarnation:
            self.replica.state.finish_recovery()
        return []

    def on_append(self, sender: int, message: Append) -> Outbox:
        """Add the entry if the preceding entries match, and commit up to the leader's commit index."""
        state = self.replica.state
        previous_index = message.index - 1
        if previous_index > state.snapshot_index and state.term_at(previous_index) != message.previous_term:
            match_limit = max(state.snapshot_index, min(state.last_index, previous_index - 1))
            return self._reject(sender, message.term, match_limit)
        if previous_index == state.snapshot_index and state.snapshot_term != message.previous_term:
            return self._reject(sender, message.term, 0)
        if message.index > state.snapshot_index and message.entry_term:
            self._store_entry(message)
        match_index = message.index if message.entry_term else previous_index
        state.commit_through(min(message.commit_index, match_index))
        return self._acknowledge(sender, message.term, max(match_index, state.snapshot_index))

    def _store_entry(self, message: Append) -> None:
        state = self.replica.state
        # Entries are removed only on a conflict: a late duplicate must not remove acknowledged entries.
        if message.index <= state.last_index and state.term_at(message.index) != message.entry_term:
            state.truncate_after(message.index - 1)
        if message.index == state.last_index + 1:
            state.append(message.entry_term, message.data)

    def on_install_snapshot(self, sender: int, message: InstallSnapshot) -> Outbox:
        """Collect the chunks of a snapshot; once it is installed, acknowledge the entries that it covers."""
        replica = self.replica
        if message.last_included_index <= replica.state.snapshot_index:
            return self._acknowledge(sender, message.term, replica.state.snapshot_index)
        match replica.receive_snapshot_chunk(message):
            case TransferResult.INCOMPLETE:
                return self._reject(sender, message.term, 0, replica.snapshot_receiver.offset)
            case TransferResult.INSTALLED:
                return self._acknowledge(sender, message.term, message.last_included_index)
            case TransferResult.CORRUPT:
                return []

    def on_fetch_request(self, sender: int, message: FetchRequest) -> Outbox:
        """Send the next entries, or a chunk of the snapshot, to a new leader that fetches this log."""
        state = self.replica.state
        if state.recovering or message.term != state.current_term:
            return []
        if message.index <= state.snapshot_index:
            return [Outgoing(sender, snapshot_message(state, message.term, message.snapshot_offset))]
        if message.index > state.last_index:
            return [Outgoing(sender, state.commit_message(message.term))]
        last = min(state.last_index, message.index + MAX_ENTRIES_IN_FLIGHT - 1)
        return [
            Outgoing(sender, state.append_message(message.term, index))
            for index in range(message.index, last + 1)
        ]

    def _acknowledge(self, sender: int, term: int, index: int) -> Outbox:
        # Every serving leader has all committed entries, so they match.
        match_index = max(index, self.replica.state.commit_index)
        if not self.recovery.finish_if_caught_up(term, match_index):
            return self._reject(sender, term, match_index)
        return [Outgoing(sender, AppendAccepted(term, match_index, self.replica.incarnation))]

    def _reject(self, sender: int, term: int, match_limit: int, snapshot_offset: int = 0) -> Outbox:
        replica = self.replica
        rejection = AppendRejected(
            term, max(0, match_limit), replica.incarnation, replica.state.recovering, snapshot_offset
        )
        return [Outgoing(sender, rejection)]
