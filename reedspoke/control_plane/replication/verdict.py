"""What becomes of a change, by a register in which everything is committed: a decision without any state.

A refusal is final: generations only rise, so that a stale match and a generation that is too low stay so.
"""

from __future__ import annotations

from enum import Enum

from reedspoke.control_plane.replication.chain_register import Register
from reedspoke.control_plane.replication.change_history import Acknowledged
from reedspoke.control_plane.replication.messages import PutRequest


class Verdict(Enum):
    """What a settled register says to a change."""

    ACKNOWLEDGE = "it has been accepted"
    FORGOTTEN = "it may have been accepted before the history begins"
    STALE_MATCH = "the configuration that it builds on has been replaced"
    OLD_GENERATION = "its generation is not above the one that it builds on"
    HOLD = "the configuration that it builds on is not there yet"
    TAKE = "it is next"


def verdict_on(request: PutRequest, change: Acknowledged, register: Register) -> Verdict:
    """The verdict on a request; `change` is its number and digest."""
    if register.knows(change):
        return Verdict.ACKNOWLEDGE
    if register.may_have_forgotten(change):
        return Verdict.FORGOTTEN
    if request.match < register.generation:
        return Verdict.STALE_MATCH
    if request.generation <= request.match:
        return Verdict.OLD_GENERATION
    return Verdict.HOLD if request.match > register.generation else Verdict.TAKE
