"""A serving leader: it appends commands, replicates them and advances the commit index."""

from __future__ import annotations

from dataclasses import dataclass

from reedspoke.fleet.replicated_log.follower import MAX_ENTRIES_IN_FLIGHT
from reedspoke.fleet.replicated_log.messages import (
    AppendAccepted,
    AppendRejected,
    LogStateReply,
    Outbox,
    Outgoing,
    RecoverEmpty,
)
from reedspoke.fleet.replicated_log.replica import Replica
from reedspoke.fleet.replicated_log.snapshot_transfer import snapshot_message
from reedspoke.fleet.replicated_log.takeover import Takeover


@dataclass(slots=True)
class FollowerProgress:
    """The leader's view of a follower. Only `match_index` counts for a quorum; the rest is an estimate."""

    match_index: int = 0  # last index up to which the follower has confirmed that the logs are equal
    probe_index: int | None = None  # last index up to which the logs may be equal; None: confirmed
    sent_index: int = 0
    sent_at: int = 0  # microseconds
    incarnation: int | None = None
    snapshot_offset: int = 0  # start of the next snapshot chunk, in bytes

    def rewind(self) -> None:
        """Start sending again after the last acknowledged entry."""
        self.sent_index = max(self.match_index, self.probe_index or 0)


class Leader:
    """The role of a serving leader; owns the progress of the followers."""

    def __init__(self, replica: Replica, takeover: Takeover) -> None:
        self.replica, self.term = replica, takeover.term
        self.followers: dict[int, FollowerProgress] = {}
        self._empty_incarnations = takeover.empty_incarnations
        for voter in replica.other_voters:
            self.followers[voter] = self._first_progress(takeover.replies.get(voter))

    def _first_progress(self, reply: LogStateReply | None) -> FollowerProgress:
        """Take the end of the follower's log as the first estimate; if it is wrong, the follower rejects."""
        last_index = self.replica.state.last_index
        if reply is None:
            return FollowerProgress(probe_index=last_index)
        probe_index = 0 if reply.recovering else min(reply.last_index, last_index)
        return FollowerProgress(probe_index=probe_index, incarnation=reply.incarnation)

    def start(self, now: int) -> Outbox:
        """Append an empty entry of this term: all preceding entries are committed with it."""
        self.replica.state.finish_recovery()
        self.replica.state.append(self.term, b"")
        return self.advance_commit_index(now)

    def propose(self, data: bytes, now: int) -> Outbox:
        """Append a command and send it to the followers."""
        self.replica.state.append(self.term, data)
        return self.advance_commit_index(now)

    def advance_commit_index(self, now: int) -> Outbox:
        """Commit the entries that a majority has, if the last of them is of this term; then replicate.

        An entry of a former term may still be replaced although a majority has it (Raft, figure 8).
        """
        state = self.replica.state
        match_indexes = [state.last_index, *(progress.match_index for progress in self.followers.values())]
        index = sorted(match_indexes, reverse=True)[self.replica.majority - 1]
        if index > state.commit_index and state.term_at(index) == self.term:
            state.commit_through(index)
        messages: Outbox = []
        for voter, progress in self.followers.items():
            messages += self._replicate(voter, progress, now)
        return messages

    def tick(self, now: int) -> Outbox:
        """Retransmit entries that were not acknowledged in time, or send the commit index if none is missing.

        A recovering voter answers this message, too, and its answer has its new incarnation.
        """
        state = self.replica.state
        messages: Outbox = []
        for voter, progress in self.followers.items():
            if now - progress.sent_at < self.replica.retransmit_interval_us:
                continue
            progress.rewind()
            progress.sent_at = now
            behind = progress.match_index < state.last_index
            entries = self._replicate(voter, progress, now) if behind else []
            messages += entries or [Outgoing(voter, state.commit_message(self.term))]
        return messages

    def on_recovery_request(self, sender: int, incarnation: int) -> None:
        """Discard the acknowledgements of a former incarnation, whose entries the new one has lost."""
        if self.followers[sender].incarnation != incarnation:
            self._reset(sender, incarnation)

    def on_accepted(self, sender: int, message: AppendAccepted, now: int) -> Outbox:
        """Record that the follower has all entries up to the index of the message."""
        progress = self._progress_of(sender, message.incarnation)
        progress.match_index = max(progress.match_index, message.match_index)
        progress.probe_index, progress.snapshot_offset = None, 0
        progress.sent_index = max(progress.sent_index, progress.match_index)
        return self.advance_commit_index(now)

    def on_rejected(self, sender: int, message: AppendRejected, now: int) -> Outbox:
        """Continue where the follower's log may be equal, or with the next chunk of its snapshot."""
        progress = self._progress_of(sender, message.incarnation)
        messages: Outbox = []
        if message.recovering and self._empty_incarnations.get(sender) == message.incarnation:
            messages.append(Outgoing(sender, RecoverEmpty(self.term, message.incarnation)))
        if message.snapshot_offset:
            return messages + self._continue_snapshot(sender, progress, message.snapshot_offset, now)
        # Sent only for a new limit: several entries in flight cause as many rejections, and answering each of
        # them would multiply the entries.
        if message.match_limit != progress.probe_index:
            progress.probe_index = progress.sent_index = message.match_limit
            progress.snapshot_offset = 0
            messages += self._replicate(sender, progress, now)
        return messages

    def _continue_snapshot(self, voter: int, progress: FollowerProgress, offset: int, now: int) -> Outbox:
        advanced = offset > progress.snapshot_offset
        progress.snapshot_offset = offset
        if advanced and offset < len(self.replica.state.snapshot):
            return [self._send_snapshot_chunk(voter, progress, now)]
        return []

    def _replicate(self, voter: int, progress: FollowerProgress, now: int) -> Outbox:
        """Send the next entries: several at once, or a single one while the matching index is unknown."""
        state = self.replica.state
        if progress.probe_index is None:
            limit = progress.match_index + MAX_ENTRIES_IN_FLIGHT
        else:
            limit = progress.probe_index + 1
        messages: Outbox = []
        while progress.sent_index < min(state.last_index, limit):
            if progress.sent_index < state.snapshot_index:
                messages.append(self._send_snapshot_chunk(voter, progress, now))
                break
            progress.sent_index += 1
            progress.sent_at = now
            messages.append(Outgoing(voter, state.append_message(self.term, progress.sent_index)))
        return messages

    def _send_snapshot_chunk(self, voter: int, progress: FollowerProgress, now: int) -> Outgoing:
        progress.sent_at = now
        return Outgoing(voter, snapshot_message(self.replica.state, self.term, progress.snapshot_offset))

    def _progress_of(self, voter: int, incarnation: int) -> FollowerProgress:
        """Return the follower's progress, which is reset for a new incarnation that has lost its entries."""
        progress = self.followers[voter]
        if progress.incarnation not in (None, incarnation):
            return self._reset(voter, incarnation)
        progress.incarnation = incarnation
        return progress

    def _reset(self, voter: int, incarnation: int) -> FollowerProgress:
        progress = FollowerProgress(sent_index=self.replica.state.last_index, incarnation=incarnation)
        self.followers[voter] = progress
        return progress
