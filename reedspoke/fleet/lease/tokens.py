"""Proposal numbers of leases, which also serve as fencing tokens.

    round (high bits)    member    incarnation
                         10        16 bits

The round is derived from the wall clock, so that numbers increase even if no member remembers the last one.
The incarnation makes two processes of one scheduler, one of which replaces the other, two proposers.
"""

from __future__ import annotations

MAX_MEMBERS = 1024
MEMBER_BITS = 10
INCARNATION_BITS = 16
PROPOSER_BITS = MEMBER_BITS + INCARNATION_BITS
NO_TOKEN = 0
ROUND_US = 10_000  # wall clock time per round; rounds seldom start faster, and the numbers fit 64 bits


def proposer_id(member: int, incarnation: int) -> int:
    """Returns the low bits of the proposal numbers of one process of a member."""
    return member << INCARNATION_BITS | incarnation & (1 << INCARNATION_BITS) - 1


def proposal_number(round_number: int, proposer: int) -> int:
    """Returns the number of a proposer's proposal in a round."""
    return round_number << PROPOSER_BITS | proposer


def round_of(proposal: int) -> int:
    """Returns the round of a proposal number."""
    return proposal >> PROPOSER_BITS


def member_of(proposal: int) -> int:
    """Returns the member that made the proposal."""
    return proposal >> INCARNATION_BITS & MAX_MEMBERS - 1


def proposer_of(proposal: int) -> int:
    """Returns the member that made the proposal and its incarnation, as one number."""
    return proposal & (1 << PROPOSER_BITS) - 1


class FencingGuard:
    """Rejects requests of earlier lease holders, at the target of a role's actions.

    `token` is the highest token admitted, `rejections` counts the requests with a lower one.
    """

    def __init__(self) -> None:
        """Starts without a known token."""
        self.token, self.rejections = NO_TOKEN, 0

    def admits(self, token: int) -> bool:
        """Returns whether no higher token is known; the token of an admitted request is stored."""
        if token < self.token:
            self.rejections += 1
            return False
        self.token = token
        return True
