"""What happens to a lease participant (events) and what it asks its owner to do (effects)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from reedspoke.fleet.messages.fields import NO_MEMBER
from reedspoke.fleet.messages.lease import LeaseProtocolMessage


class LeaseEndReason(StrEnum):
    """Why this member's lease ended. The values are labels of a metric and stand in the status."""

    EXPIRED = "ran out"
    RELEASED = "released"
    SUPERSEDED = "overtaken"  # a higher fencing token is known


# ---- events ----


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message about this lease has come from another member."""

    sender: int
    message: LeaseProtocolMessage


@dataclass(slots=True, frozen=True)
class TimePassed:
    """Due often in comparison with the time to live (every fiftieth of it, say)."""


@dataclass(slots=True, frozen=True)
class CandidacyChanged:
    """Whether this member wants the lease; if not, it is released, to `successor` if that member wants it."""

    candidate: bool
    successor: int = NO_MEMBER


LeaseEvent = MessageReceived | TimePassed | CandidacyChanged


# ---- effects ----


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message about this lease to another member."""

    recipient: int
    message: LeaseProtocolMessage


@dataclass(slots=True, frozen=True)
class LeaseAcquired:
    """The lease is ours until `expires_at` by our clock; `token` goes with each act of the role."""

    token: int
    expires_at: int


@dataclass(slots=True, frozen=True)
class LeaseRenewed:
    """Our lease lasts until `expires_at` now."""

    expires_at: int


@dataclass(slots=True, frozen=True)
class LeaseEnded:
    """The lease is ours no longer."""

    reason: LeaseEndReason


LeaseEffect = SendMessage | LeaseAcquired | LeaseRenewed | LeaseEnded
