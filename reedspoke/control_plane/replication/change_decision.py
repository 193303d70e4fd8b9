"""What becomes of a change, by a register in which everything is committed: a decision without any state.

A refusal is final: generations only rise, so that a stale match and a generation that is too low stay so.
"""

from __future__ import annotations

from enum import Enum

from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
from reedspoke.control_plane.replication.entry import ChangeId
from reedspoke.control_plane.replication.messages import PutRequest


class ChangeDecision(Enum):
    """What a settled register says to a change."""

    ACKNOWLEDGE = "it has been accepted"
    HISTORY_EXPIRED = "it may have been accepted before the history begins"
    STALE_MATCH = "the configuration that it builds on has been replaced"
    OLD_GENERATION = "its generation is not above the one that it builds on"
    WAIT = "the configuration that it builds on is not there yet"
    ACCEPT = "it is next"


def decide_change(request: PutRequest, change: ChangeId, register: ConfigurationRegister) -> ChangeDecision:
    """The verdict on a request; `change` is its number and digest."""
    if register.has_accepted(change):
        return ChangeDecision.ACKNOWLEDGE
    if register.may_have_evicted(change):
        return ChangeDecision.HISTORY_EXPIRED
    if request.match < register.generation:
        return ChangeDecision.STALE_MATCH
    if request.generation <= request.match:
        return ChangeDecision.OLD_GENERATION
    return ChangeDecision.WAIT if request.match > register.generation else ChangeDecision.ACCEPT
