"""Events that a lease participant handles, and effects that its owner carries out."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from reedspoke.fleet.messages.fields import NO_MEMBER
from reedspoke.fleet.messages.lease import LeaseProtocolMessage


class LeaseEndReason(StrEnum):
    """The reason why this member's lease ended. The values are metric labels and appear in the status."""

    EXPIRED = "ran out"
    RELEASED = "released"
    SUPERSEDED = "overtaken"  # a higher fencing token is known


# ---- events ----


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message about this lease has been received from another member."""

    sender: int
    message: LeaseProtocolMessage


@dataclass(slots=True, frozen=True)
class TimePassed:
    """A timer tick; due many times within the time to live, for example every fiftieth of it."""


@dataclass(slots=True, frozen=True)
class CandidacyChanged:
    """Sets whether this member is a candidate; if not, it releases the lease in favor of `successor`."""

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
    """This member holds the lease until `expires_at` by its clock; actions of the role carry `token`."""

    token: int
    expires_at: int


@dataclass(slots=True, frozen=True)
class LeaseRenewed:
    """The lease of this member was extended until `expires_at`."""

    expires_at: int


@dataclass(slots=True, frozen=True)
class LeaseEnded:
    """This member no longer holds the lease."""

    reason: LeaseEndReason


LeaseEffect = SendMessage | LeaseAcquired | LeaseRenewed | LeaseEnded
