"""Recovery of a replica that has lost its state, until it may vote again.

The protocol is that of Viewstamped Replication Revisited, section 4.3. The entries that the former
incarnation acknowledged are lost here, so this one must not count for a quorum before it has all of them
again. It receives the entries like any follower; this module determines the term and the index that it has
to reach.
"""

from __future__ import annotations

from typing import NamedTuple

from reedspoke.fleet.replicated_log.messages import Outbox, Outgoing, RecoveryReply, RecoveryRequest
from reedspoke.fleet.replicated_log.replica import Replica


class RecoveryTarget(NamedTuple):
    """The replica has recovered once it follows the leader of `term` up to `last_index`."""

    term: int
    last_index: int


class Recovery:
    """The replies of the other voters to this incarnation, and the recovery target derived from them."""

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.target: RecoveryTarget | None = None
        self._replies: dict[int, RecoveryReply] = {}
        self._requested_at = -replica.retransmit_interval_us

    def tick(self, now: int) -> Outbox:
        """Send requests to all other voters periodically until the replica has recovered."""
        replica = self.replica
        if not replica.state.recovering or now - self._requested_at < replica.retransmit_interval_us:
            return []
        self._requested_at = now
        return [Outgoing(voter, RecoveryRequest(replica.incarnation)) for voter in replica.other_voters]

    def reply_to(self, request: RecoveryRequest, leader_term: int) -> RecoveryReply | None:
        """Return the answer to a recovering voter, or None if this replica has no state either."""
        state = self.replica.state
        if state.recovering:
            return None
        return RecoveryReply(request.incarnation, state.current_term, leader_term, state.last_index)

    def receive_reply(self, sender: int, reply: RecoveryReply) -> None:
        """Set the target once a majority has answered, including the leader of the highest term.

        The former incarnation may have been needed for the majority that committed an entry. The other
        voters that answered may not have that entry, but the leader has it. So the leader's own answer is
        needed, not only its term as reported by others.
        """
        state = self.replica.state
        if not state.recovering or reply.incarnation != self.replica.incarnation:
            return
        self._replies[sender] = reply
        if len(self._replies) < self.replica.majority:
            return
        highest_term = max(reply.current_term for reply in self._replies.values())
        of_leader = [reply for reply in self._replies.values() if reply.leader_term == highest_term > 0]
        if of_leader:
            state.adopt_term(highest_term)
            self.target = RecoveryTarget(highest_term, max(reply.last_index for reply in of_leader))

    def finish_if_caught_up(self, term: int, match_index: int) -> bool:
        """Return whether the replica may acknowledge the leader's entries, which it has up to the index."""
        if not self.replica.state.recovering:
            return True
        if self.target is None or self.target.term != term or match_index < self.target.last_index:
            return False
        self.target = None
        self.replica.state.finish_recovery()
        self.replica.log_lines.append("replicated log: recovered: this voter has all committed entries again")
        return True
