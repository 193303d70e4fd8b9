"""Decision on a change, as a pure function of the change and of a register with nothing in flight.

A rejection is final: generations only rise, so a stale match stays stale and a low generation stays too low.
"""

from __future__ import annotations

from enum import Enum

from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
from reedspoke.control_plane.replication.entry import ChangeId
from reedspoke.control_plane.replication.messages import PutRequest


class ChangeDecision(Enum):
    """Decision of the head on a change."""

    ACKNOWLEDGE = "it has already been accepted"
    HISTORY_EXPIRED = "it may have been accepted and evicted from the history"
    STALE_MATCH = "the configuration that it builds on has been replaced"
    OLD_GENERATION = "its generation is not above the one that it builds on"
    WAIT = "the configuration that it builds on is not in force yet"
    ACCEPT = "it is the next change"


def decide_change(request: PutRequest, change: ChangeId, register: ConfigurationRegister) -> ChangeDecision:
    """Decide on a request; `change` is the id of the change in it."""
    if register.has_accepted(change):
        return ChangeDecision.ACKNOWLEDGE
    if register.may_have_evicted(change):
        return ChangeDecision.HISTORY_EXPIRED
    if request.match < register.generation:
        return ChangeDecision.STALE_MATCH
    if request.generation <= request.match:
        return ChangeDecision.OLD_GENERATION
    return ChangeDecision.WAIT if request.match > register.generation else ChangeDecision.ACCEPT
