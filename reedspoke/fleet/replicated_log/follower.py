"""A replica as a follower: it answers the messages of the leader, and those of a new one that takes over."""

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

MAX_ENTRIES_IN_FLIGHT = 4  # to one replica


class Follower:
    """Has no state of its own; `ReplicatedLog` has checked the term of each message before."""

    def __init__(self, replica: Replica, recovery: Recovery) -> None:
        self.replica, self.recovery = replica, recovery

    def on_log_state_request(self, sender: int, message: LogStateRequest) -> Outbox:
        """Tell a new leader where our log ends: it reads a majority before it serves."""
        return [Outgoing(sender, self.replica.log_state_reply(message.term))]

    def on_recover_empty(self, message: RecoverEmpty) -> Outbox:
        """Go on without state, if it was this incarnation that the leader found without."""
        if message.incarnation == self.replica.incarnation:
            self.replica.state.finish_recovery()
        return []

    def on_append(self, sender: int, message: Append) -> Outbox:
        """Add the entry if the one before it is the leader's, and commit what the leader has committed."""
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
        # Only on a conflict: a late duplicate must not remove entries that are acknowledged already.
        if message.index <= state.last_index and state.term_at(message.index) != message.entry_term:
            state.truncate_after(message.index - 1)
        if message.index == state.last_index + 1:
            state.append(message.entry_term, message.data)

    def on_install_snapshot(self, sender: int, message: InstallSnapshot) -> Outbox:
        """Collect the chunks of a snapshot, and acknowledge all that it includes once it is installed."""
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
        """Send a new leader that takes over our log the next entries, or a chunk of the snapshot."""
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
        # Committed entries are in the log of each leader that serves, so all of them match.
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
