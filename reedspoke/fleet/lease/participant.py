"""One member's part in the lease of one singleton role: it votes, and proposes if it is a candidate.

The protocol is PaxosLease (Trencseni, Gazso, Reinhardt, 2012); `fleet.messages.lease` describes its messages.
It needs neither a disk nor a common clock. These rules make it safe:

- The holder's lease starts before it sends its accept requests and ends `holder_ttl_us` later, which is
  before the grant of any voter expires: with clock rates within `clock_drift` of true time,
  holder_ttl = ttl (1 - drift) / (1 + drift), by the holder's own clock.
- A voter that restarts has lost its grants, so it does not answer until all of them have expired.
- Any two majorities of the voters have a member in common: two holders would need one voter that grants
  twice within a time to live. The voters are set by the configuration and never derived from the live
  members, because a partition that counted only its own members would always have a majority. Members that
  are not voters may propose.
- A proposal number contains its proposer's incarnation, so two processes of one scheduler, one of which
  replaces the other, are two proposers.

A proposal number is also the fencing token: a later holder has a higher one, as long as at least one of its
voters has not restarted. If all have, rounds still follow the wall clock, which is read once at the start and
advanced by the monotonic clock, so tokens increase as far as the wall clocks agree. The target of a role's
actions rejects older tokens (`FencingGuard`).

If no majority can be reached, no member acquires the lease, and the current holder's lease expires.

`LeaseParticipant` is the sole owner of this state. It performs no I/O and reads no clock: `now` is in
microseconds of a clock that continues while the process is stopped.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from reedspoke.fleet.lease.events import (
    CandidacyChanged,
    LeaseAcquired,
    LeaseEffect,
    LeaseEnded,
    LeaseEndReason,
    LeaseEvent,
    LeaseRenewed,
    MessageReceived,
    SendMessage,
    TimePassed,
)
from reedspoke.fleet.lease.tokens import (
    MAX_MEMBERS,
    NO_TOKEN,
    ROUND_US,
    member_of,
    proposal_number,
    proposer_id,
    proposer_of,
    round_of,
)
from reedspoke.fleet.lease.voter import LeaseVoter
from reedspoke.fleet.messages.fields import NO_MEMBER
from reedspoke.fleet.messages.lease import (
    AcceptRequest,
    AcceptResponse,
    LeaseProtocolMessage,
    LeaseReleased,
    PrepareRequest,
    PrepareResponse,
    ProposalRejected,
    ProposerMessage,
    VoterMessage,
)

# The durations are shares of the time to live, unless the comment says otherwise.
RENEW_AFTER = 0.5  # share of the holder's time to live
RENEW_JITTER = (0.8, 0.4)  # factor of RENEW_AFTER: its minimum, and the width of the random part
PROPOSAL_TIMEOUT = 0.125
MIN_BACKOFF, MAX_BACKOFF = 0.0625, 0.25  # between proposals; doubled after each contested proposal
MAX_BACKOFF_DOUBLINGS = 3  # backoff keeps many candidates from rejecting each other's proposals indefinitely
NOT_PREFERRED_DELAY = 0.25  # extra delay of proposals for a vacant lease outside of the preferred zone


@dataclass(slots=True)
class Proposal:
    """A proposal in progress. `accept_sent_at` is None in phase 1."""

    number: int
    started_at: int
    gives_up_at: int
    accept_sent_at: int | None = None
    answers: set[int] = field(default_factory=set)
    contested: bool = False  # conflicts with another proposer or holder


class LeaseParticipant:
    """One member's part in one lease: `handle` takes an event and returns the effects.

    `token` is the fencing token while this member holds the lease, else NO_TOKEN. `expires_at` is the end of
    the lease by this member's clock.
    """

    def __init__(
        self, member: int, members: int, ttl_us: int, clock_drift: float, now: int, wall_clock_us: int,
        incarnation: int, random: Random, voters: tuple[int, ...] = (), preferred_here: bool = True,
    ) -> None:  # fmt: skip
        """`wall_clock_us` is the wall clock at `now`; empty `voters` stands for all members.

        Raises ValueError for an invalid member, voters or clock drift.
        """
        if not 0 <= member < members <= MAX_MEMBERS:
            raise ValueError(f"member {member} is not valid in a fleet of {members} (at most {MAX_MEMBERS})")
        self.voters = voters or tuple(range(members))
        if len(set(self.voters)) != len(self.voters) or not set(self.voters) <= set(range(members)):
            raise ValueError(f"voters {self.voters} are not distinct members of a fleet of {members}")
        if not 0 <= clock_drift < 1:
            raise ValueError(f"clock drift {clock_drift} is not between 0 and 1")
        self.member, self.members, self.ttl_us, self.random = member, members, ttl_us, random
        self.proposer = proposer_id(member, incarnation)
        self.holder_ttl_us = int(ttl_us * (1 - clock_drift) / (1 + clock_drift))
        self.voter = LeaseVoter(now, ttl_us)
        self.candidate = False
        self.token = NO_TOKEN
        self.granted_proposal = NO_TOKEN  # changes with each renewal, while `token` stays the same
        self.expires_at = 0
        self.renew_at = 0
        self._proposal: Proposal | None = None
        self._vacancy_delay_us = 0 if preferred_here else int(ttl_us * NOT_PREFERRED_DELAY)
        self._retry_at = now + int(ttl_us * MAX_BACKOFF * random.random()) + self._vacancy_delay_us
        self._backoff_doublings = 0
        self._started_at, self._first_round = now, wall_clock_us // ROUND_US
        self._highest_round = self._first_round
        self._effects: list[LeaseEffect] = []

    def handle(self, event: LeaseEvent, now: int) -> list[LeaseEffect]:
        """Handles an event. Returns the effects for the owner to carry out, in order."""
        self._effects = []
        self._check_timeouts(now)
        match event:
            case MessageReceived(sender, message):
                self._receive(sender, message, now)
            case CandidacyChanged(candidate, successor):
                self.candidate = candidate
                if not candidate:
                    self._release(successor, now)
            case TimePassed():
                pass
        self._propose_if_due(now)
        return self._effects

    def holds(self, now: int) -> bool:
        """Returns whether this member holds the lease.

        To be checked before each action: the lease may have expired while the process was stopped.
        """
        return self.token != NO_TOKEN and now < self.expires_at

    def mark_superseded(self, token: int) -> None:
        """Gives up the lease because a higher fencing token is known, even if it has not expired yet."""
        self.token, self._proposal = NO_TOKEN, None
        self._highest_round = max(self._highest_round, round_of(token))

    def defer_proposals(self, expires_at: int) -> None:
        """Defers proposals, because another member holds the lease until `expires_at` at the latest.

        Without this, hundreds of candidates would keep sending requests to the voters.
        """
        if not self.token and self._proposal is None:
            backoff = MIN_BACKOFF + (MAX_BACKOFF - MIN_BACKOFF) * self.random.random()
            self._retry_at = expires_at + int(self.ttl_us * backoff) + self._vacancy_delay_us
            self._backoff_doublings = 0

    # ---- holder ----

    def _check_timeouts(self, now: int) -> None:
        if self.token and now >= self.expires_at:
            self._end_lease(LeaseEndReason.EXPIRED)
        if self._proposal is not None and now >= self._proposal.gives_up_at:
            self._abandon_proposal(now, contested=self._proposal.contested)

    def _end_lease(self, reason: LeaseEndReason) -> None:
        self.token = NO_TOKEN
        self._effects.append(LeaseEnded(reason))

    def _release(self, successor: int, now: int) -> None:
        """Ends the lease here first, then notifies the voters and the successor."""
        self._proposal = None
        if self.token:
            self._end_lease(LeaseEndReason.RELEASED)
            released = LeaseReleased(self.granted_proposal, successor)
            recipients = {*self.voters}
            if 0 <= successor < self.members:
                recipients.add(successor)
            for recipient in recipients:
                self._send(recipient, released, now)

    # ---- proposer ----

    def _propose_if_due(self, now: int) -> None:
        if not self.candidate or self._proposal is not None or now < self._retry_at:
            return
        if self.token and now < self.renew_at:
            return
        # The clock is a lower bound for the round, in case no voter remembers the last proposal.
        clock_round = self._first_round + (now - self._started_at) // ROUND_US
        self._highest_round = max(self._highest_round + 1, clock_round)
        number = proposal_number(self._highest_round, self.proposer)
        self._proposal = Proposal(number, now, now + int(self.ttl_us * PROPOSAL_TIMEOUT))
        for voter in self.voters:
            self._send(voter, PrepareRequest(number), now)

    def _abandon_proposal(self, now: int, *, contested: bool) -> None:
        """Ends the proposal without success and schedules the next one.

        The backoff increases after contested proposals only. When it also increased after unanswered ones, a
        lease stayed vacant for two times to live after the end of a partition.
        """
        self._proposal = None
        if not contested:
            self._backoff_doublings = 0
        spread = (MAX_BACKOFF - MIN_BACKOFF) * self.random.random()
        backoff = (MIN_BACKOFF + spread) * 2**self._backoff_doublings
        is_holder = self.token != NO_TOKEN
        self._backoff_doublings = 0 if is_holder else min(MAX_BACKOFF_DOUBLINGS, self._backoff_doublings + 1)
        self._retry_at = now + int(self.ttl_us * backoff) + (0 if is_holder else self._vacancy_delay_us)

    def _send(self, recipient: int, message: LeaseProtocolMessage, now: int) -> None:
        """Sends a message. The voter of this member is called directly, else it is like the others."""
        if recipient != self.member:
            self._effects.append(SendMessage(recipient, message))
        elif isinstance(message, ProposerMessage):
            if (answer := self.voter.receive(message, now)) is not None:
                self._receive_answer(self.member, answer, now)
        else:
            self._receive_answer(self.member, message, now)

    def _receive_answer(self, voter: int, message: VoterMessage, now: int) -> None:
        proposal = self._proposal
        if proposal is None or message.proposal != proposal.number:
            return
        match message:
            case ProposalRejected(_, prepared):
                self._highest_round = max(self._highest_round, round_of(prepared))
                self._abandon_proposal(now, contested=True)
            case PrepareResponse(_, granted) if proposal.accept_sent_at is None:
                if granted and proposer_of(granted) != self.proposer:
                    proposal.contested = True  # another proposer holds the lease, so this is no vote
                    return
                proposal.answers.add(voter)
                if self._has_majority(proposal):
                    self._send_accept_requests(proposal, now)
            case AcceptResponse(_) if proposal.accept_sent_at is not None:
                proposal.answers.add(voter)
                if self._has_majority(proposal):
                    self._lease_granted(proposal, proposal.accept_sent_at, now)

    def _send_accept_requests(self, proposal: Proposal, now: int) -> None:
        proposal.answers.clear()
        proposal.accept_sent_at = now  # start of the lease, which is before any voter's grant
        for voter in self.voters:
            # The answer of this member's own voter may complete the majority or end the proposal at once.
            if self._proposal is proposal:
                self._send(voter, AcceptRequest(proposal.number), now)

    def _has_majority(self, proposal: Proposal) -> bool:
        return len(proposal.answers) > len(self.voters) // 2

    def _lease_granted(self, proposal: Proposal, accept_sent_at: int, now: int) -> None:
        self._proposal, self._backoff_doublings = None, 0
        expires_at = accept_sent_at + self.holder_ttl_us
        if now >= expires_at:
            return
        self.granted_proposal, self.expires_at = proposal.number, expires_at
        least, width = RENEW_JITTER
        renew_after = self.holder_ttl_us * RENEW_AFTER * (least + width * self.random.random())
        self.renew_at = accept_sent_at + int(renew_after)
        if self.token:
            self._effects.append(LeaseRenewed(expires_at))
        else:
            self.token = proposal.number
            self._effects.append(LeaseAcquired(self.token, expires_at))

    # ---- messages of other members ----

    def _receive(self, sender: int, message: LeaseProtocolMessage, now: int) -> None:
        if not 0 <= sender < self.members or sender == self.member:
            return
        self._highest_round = max(self._highest_round, round_of(message.proposal))
        if isinstance(message, ProposerMessage):
            self._receive_as_voter(sender, message, now)
        elif sender in self.voters:
            self._receive_answer(sender, message, now)

    def _receive_as_voter(self, sender: int, message: ProposerMessage, now: int) -> None:
        if member_of(message.proposal) != sender:
            return  # the sender is not the proposer
        if isinstance(message, LeaseReleased) and message.successor != NO_MEMBER:
            self._defer_to_successor(message.successor, now)
        if self.member in self.voters and (answer := self.voter.receive(message, now)) is not None:
            self._effects.append(SendMessage(sender, answer))

    def _defer_to_successor(self, successor: int, now: int) -> None:
        """Proposes at once if this member is the successor; else defers proposals by MAX_BACKOFF."""
        if successor == self.member:
            self._proposal, self._backoff_doublings, self._retry_at = None, 0, now
        else:
            self._retry_at = max(self._retry_at, now + int(self.ttl_us * MAX_BACKOFF))
