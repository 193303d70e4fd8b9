"""The fate of an attempt, and what it allows: one type, decided in one place.

Statuses 429, 503, 408 and 421 promise a client that its request has not run and never will. So the fate of
an attempt says whether that is proven, and everything else follows from the fate and from the request's kind.
"""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct

from reedspoke.decision.messages import Cause, Outcome, Repeat


class Fate(Enum):
    """What became of a request at a worker."""

    NEVER_RAN = auto()  # proven: it has not run there and never will
    MAY_HAVE_RUN = auto()  # nothing is proven
    ANSWERED = auto()  # a whole answer has come


class Ending(Enum):
    """How the connection's part in an attempt ended."""

    COMPLETE = auto()  # a whole answer to this attempt came
    CONNECT_FAILED = auto()  # refused, timed out or cut while connecting
    RESET = auto()
    CLOSED = auto()
    SILENCE = auto()  # nothing came in time
    MALFORMED = auto()  # bytes that are no answer, or that belong to another request
    ABANDONED = auto()  # given up by us


class Evidence(Struct, frozen=True):
    """What was seen of an attempt."""

    ending: Ending
    bytes_sent: bool  # whether any byte of the request may have left
    status: int = 0  # of the answer's head; 0: none came
    not_executed: bool = False  # Reedspoke-Not-Executed stands in the head
    version_requested: bool = False  # the request names the weights that it wants: a 421 may be about these

    @property
    def refused(self) -> bool:
        """Whether the worker said that it has not run the request. A success that says so proves nothing."""
        return self.status == STATUS_WRONG_INSTANCE or self.not_executed and self.status >= LEAST_REFUSAL


LEAST_REFUSAL = 400
STATUS_WRONG_INSTANCE = 421
STATUS_FULL = 503
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))  # statuses that say: it has not run and never will


class FinalStatus(Enum):
    """The kinds of final answers that a fate allows the system to make up itself."""

    PROMISE = auto()  # 429, 503, 408 or 421: has not run, or may be repeated anyway
    NO_PROMISE = auto()  # 502 or 504


class Another(Enum):
    """Whether the request may be sent to a further worker."""

    NO = auto()
    WHOLE = auto()  # from its start
    RESUMED = auto()  # from the last event on, with Last-Event-Id


def fate_of(evidence: Evidence) -> Fate:
    """The fate that the evidence proves; MAY_HAVE_RUN unless it proves more."""
    if not evidence.bytes_sent:
        return Fate.NEVER_RAN
    if evidence.refused:
        return Fate.NEVER_RAN
    if evidence.ending is Ending.COMPLETE and evidence.status:
        return Fate.ANSWERED
    return Fate.MAY_HAVE_RUN


def final_status(fate: Fate, repeat: Repeat) -> FinalStatus:
    """What a client may be told after its request's last attempt had this fate and nothing was passed on."""
    if fate is Fate.NEVER_RAN or repeat is not Repeat.NEVER:
        return FinalStatus.PROMISE
    return FinalStatus.NO_PROMISE


def another_attempt(fate: Fate, repeat: Repeat, events_passed: bool) -> Another:
    """Whether a further attempt is harmless. `events_passed`: whether the client has got a part of the answer
    already. How many attempts the route and the retry budget allow is not asked here."""
    if fate is Fate.ANSWERED:
        return Another.NO
    if events_passed:
        return Another.RESUMED if repeat is Repeat.RESUMABLE else Another.NO
    if fate is Fate.NEVER_RAN or repeat is not Repeat.NEVER:
        return Another.WHOLE
    return Another.NO


def outcome_of(evidence: Evidence) -> Outcome:
    """The outcome to tell the dispatcher."""
    if evidence.ending is Ending.ABANDONED:
        return Outcome.CANCELLED
    return OUTCOMES[fate_of(evidence)]


def cause_of(evidence: Evidence) -> Cause:
    """What the evidence says of the worker."""
    if is_wrong_instance(evidence):
        return Cause.WRONG_INSTANCE
    if evidence.refused:
        return Cause.FULL if evidence.status == STATUS_FULL else Cause.NONE
    if evidence.ending is Ending.COMPLETE:
        return Cause.BAD_ANSWER if evidence.status >= 500 else Cause.NONE
    return CAUSES[evidence.ending]


def is_wrong_instance(evidence: Evidence) -> bool:
    """Whether another worker answers at the address."""
    return evidence.status == STATUS_WRONG_INSTANCE and not evidence.version_requested


OUTCOMES = {
    Fate.NEVER_RAN: Outcome.NOT_EXECUTED,
    Fate.MAY_HAVE_RUN: Outcome.FAILED,
    Fate.ANSWERED: Outcome.OK,
}
CAUSES = {
    Ending.COMPLETE: Cause.NONE,
    Ending.CONNECT_FAILED: Cause.CONNECT_FAILED,
    Ending.RESET: Cause.RESET,
    Ending.CLOSED: Cause.RESET,
    Ending.SILENCE: Cause.TIMED_OUT,
    Ending.MALFORMED: Cause.BAD_ANSWER,
    Ending.ABANDONED: Cause.NONE,
}
