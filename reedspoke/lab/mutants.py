"""Lease cores that each lack one of the reasons by which a lease has one holder: play must catch each one."""

from __future__ import annotations

from reedspoke.fleet.lease.participant import LeaseParticipant, Proposal
from reedspoke.fleet.lease.tokens import proposer_id
from reedspoke.fleet.lease.voter import LeaseVoter
from reedspoke.fleet.messages.lease import PrepareResponse, ProposerMessage, VoterMessage
from reedspoke.lab.leaseplay import EVEN, RATES, TERM, Fleet, TokenError, TwoHoldersError


class Forgetful(LeaseParticipant):
    """Its voter answers at once after a start."""

    def __init__(self, *rest: object) -> None:
        super().__init__(*rest)  # type: ignore[arg-type]
        self.voter.answers_from = 0


class Trusting(LeaseParticipant):
    """A holder that believes in the full time to live by its own clock."""

    def __init__(self, *rest: object) -> None:
        super().__init__(*rest)  # type: ignore[arg-type]
        self.holder_ttl_us = self.ttl_us


class Late(LeaseParticipant):
    """A holder that counts from when the grant came."""

    def _lease_granted(self, proposal: Proposal, accept_sent_at: int, now: int) -> None:
        super()._lease_granted(proposal, now, now)


class Minority(LeaseParticipant):
    def _has_majority(self, proposal: Proposal) -> bool:
        return len(proposal.answers) >= len(self.voters) // 2


class Blind(LeaseParticipant):
    """It ignores the lease that a voter knows to be running."""

    def _receive_answer(self, voter: int, message: VoterMessage, now: int) -> None:
        if isinstance(message, PrepareResponse):
            message = PrepareResponse(message.proposal, 0)
        super()._receive_answer(voter, message, now)


class Yielding(LeaseParticipant):
    """Its voter answers old proposals."""

    def __init__(self, *rest: object) -> None:
        super().__init__(*rest)  # type: ignore[arg-type]
        self.voter = Careless(self.voter.answers_from - self.ttl_us, self.ttl_us)


class Careless(LeaseVoter):
    """Old proposals count as much as new ones."""

    def receive(self, message: ProposerMessage, now: int) -> VoterMessage | None:
        self.prepared = 0
        return super().receive(message, now)


class Reborn(LeaseParticipant):
    """Its incarnations look alike: the process that replaces a holder is taken for it."""

    def __init__(self, *rest: object) -> None:
        super().__init__(*rest)  # type: ignore[arg-type]
        self.proposer = proposer_id(self.member, 0)


MUTANTS = (Forgetful, Trusting, Late, Minority, Blind, Yielding, Reborn)
RUNS = 4000  # at the most, for each


def caught(make: type[LeaseParticipant], runs: int = RUNS) -> int:
    """After how many runs of random play it was; 0: not in all of them."""
    size = 4 if make is Minority else 3
    for seed in range(runs):
        fleet = Replaced(size, seed, make) if make is Reborn else Fleet(size, seed, make)
        fleet.rates = EVEN if make is Reborn else RATES
        try:
            fleet.pass_time(2 * TERM)
            fleet.wild(300)
        except (TwoHoldersError, TokenError):
            return seed + 1
    return 0


class Replaced(Fleet):
    """A member that starts anew has its former process beside it until that one's lease has run out."""

    def restart(self, number: int) -> None:
        self.former = [*getattr(self, "former", []), self.members[number]]
        super().restart(number)

    def holders(self) -> list[int]:
        beside = [
            one.member for one in getattr(self, "former", []) if one.holds(self.clock(one.member))
        ]  # fmt: skip
        return super().holders() + beside
