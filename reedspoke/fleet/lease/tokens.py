"""Proposal numbers of leases, which double as fencing tokens.

    round (high bits)    member    incarnation
                         10        16 bits

The round comes from the wall clock, so that numbers rise also where every member has forgotten the last one.
The incarnation makes two processes of one scheduler, one of which replaces the other, two proposers.
"""

from __future__ import annotations

MAX_MEMBERS = 1024
MEMBER_BITS = 10
INCARNATION_BITS = 16
PROPOSER_BITS = MEMBER_BITS + INCARNATION_BITS
NO_TOKEN = 0
ROUND_US = 10_000  # of the wall clock in one round; rounds are seldom begun faster, and 64 bits hold them


def proposer_id(member: int, incarnation: int) -> int:
    """The low bits of the proposal numbers of one process of a member."""
    return member << INCARNATION_BITS | incarnation & (1 << INCARNATION_BITS) - 1


def proposal_number(round_number: int, proposer: int) -> int:
    """The number of that proposer's proposal in that round."""
    return round_number << PROPOSER_BITS | proposer


def round_of(proposal: int) -> int:
    """The round that a proposal number was made in."""
    return proposal >> PROPOSER_BITS


def member_of(proposal: int) -> int:
    """The member whose proposal it is."""
    return proposal >> INCARNATION_BITS & MAX_MEMBERS - 1


def proposer_of(proposal: int) -> int:
    """The member and its incarnation, as one number."""
    return proposal & (1 << PROPOSER_BITS) - 1


class FencingGuard:
    """Rejects what an earlier lease holder asks for, in whoever carries out the acts of a role.

    `token` is the highest one admitted, `rejections` counts what came with a lower one.
    """

    def __init__(self) -> None:
        """No token is known."""
        self.token, self.rejections = NO_TOKEN, 0

    def admits(self, token: int) -> bool:
        """Whether no higher token is known; remembers it then."""
        if token < self.token:
            self.rejections += 1
            return False
        self.token = token
        return True
