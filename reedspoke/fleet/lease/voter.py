"""The voter of PaxosLease: the proposals that one member has prepared for and granted, for one role.

Its state is lost in a restart. So it does not answer until every lease that an earlier process of this member
may have granted has expired.
"""

from __future__ import annotations

from reedspoke.fleet.lease.tokens import proposer_of
from reedspoke.fleet.messages.lease import (
    AcceptRequest,
    AcceptResponse,
    LeaseReleased,
    PrepareRequest,
    PrepareResponse,
    ProposalRejected,
    ProposerMessage,
    VoterMessage,
)

NO_PROPOSAL = 0


class LeaseVoter:
    """One member's voter for one lease. Times are microseconds of this member's monotonic clock."""

    def __init__(self, started_at: int, ttl_us: int) -> None:
        """`started_at` is the time at which this process started."""
        self.ttl_us = ttl_us
        self.answers_from = started_at + ttl_us
        self.prepared = self.granted = NO_PROPOSAL
        self.granted_until = 0

    def receive(self, message: ProposerMessage, now: int) -> VoterMessage | None:
        """Handles a proposer's message. Returns the answer, or None if there is none."""
        if now < self.answers_from:
            return None  # a lease granted by an earlier process of this member may still be valid
        if isinstance(message, LeaseReleased):
            if message.proposal == self.granted:
                self.granted = NO_PROPOSAL
            return None
        if message.proposal < self.prepared:
            return ProposalRejected(message.proposal, self.prepared)
        running = self.granted if now < self.granted_until else NO_PROPOSAL
        match message:
            case PrepareRequest(proposal):
                return self._prepare(proposal, running)
            case AcceptRequest(proposal):
                self.prepared = self.granted = proposal
                self.granted_until = now + self.ttl_us
                return AcceptResponse(proposal)

    def _prepare(self, proposal: int, running: int) -> PrepareResponse:
        is_held_by_another = running != NO_PROPOSAL and proposer_of(running) != proposer_of(proposal)
        if not is_held_by_another:
            # A proposal during another proposer's lease is not prepared for, so it cannot block the renewal.
            self.prepared = proposal
        return PrepareResponse(proposal, running)
