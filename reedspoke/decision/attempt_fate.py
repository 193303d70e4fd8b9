"""The fate of an attempt: whether the request ran at the worker, and which retries and answers that allows.

Statuses 429, 503, 408 and 421 tell a client that its request has not run and never will. So the fate of an
attempt says whether that is proven. Retries and final answers follow from the fate and from whether the
request may be repeated.
"""

from __future__ import annotations

from enum import Enum, auto

from msgspec import Struct

from reedspoke.decision.messages import Cause, Outcome, Repeat


class Fate(Enum):
    """Whether a request ran at a worker."""

    NEVER_RAN = auto()  # It is proven that the request has not run there and never will.
    MAY_HAVE_RUN = auto()  # Nothing is proven.
    ANSWERED = auto()  # A complete answer was received.


class Ending(Enum):
    """How the exchange on the connection to the worker ended."""

    COMPLETE = auto()  # A complete answer to this attempt was received.
    CONNECT_FAILED = auto()  # The connection was refused, reset or timed out while it was being opened.
    RESET = auto()  # The connection was reset.
    CLOSED = auto()  # The connection was closed before the answer was complete.
    SILENCE = auto()  # The attempt timed out without data from the worker.
    MALFORMED = auto()  # The bytes are no valid answer, or belong to another request.
    ABANDONED = auto()  # This scheduler cancelled the attempt.


class Evidence(Struct, frozen=True):
    """What was observed of an attempt."""

    ending: Ending
    bytes_sent: bool  # Whether any byte of the request may have been sent.
    status: int = 0  # The status in the answer's head; 0 if no head was received.
    not_executed: bool = False  # Whether the head contains Reedspoke-Not-Executed.
    # Whether the request names the version of the model weights that it wants. A 421 may then be
    # about the version.
    version_requested: bool = False

    @property
    def refused(self) -> bool:
        """Whether the worker reported that it did not run the request. A success status proves nothing."""
        return self.status == STATUS_WRONG_INSTANCE or self.not_executed and self.status >= MIN_REFUSAL_STATUS


MIN_REFUSAL_STATUS = 400
STATUS_WRONG_INSTANCE = 421
STATUS_UNAVAILABLE = 503
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))  # They tell the client that its request never ran.


class FinalStatus(Enum):
    """The kind of error status that the scheduler may generate as the final answer."""

    RETRYABLE = auto()  # 429, 503, 408 or 421: the request has not run, or may be repeated anyway.
    NOT_RETRYABLE = auto()  # 502 or 504: the request may have run and must not be repeated.


class NextAttempt(Enum):
    """Whether and how the request may be sent to another worker."""

    NONE = auto()  # No further attempt is allowed.
    FROM_START = auto()  # The request is repeated from its start.
    RESUMED = auto()  # The stream continues after the last event, with Last-Event-Id.


def fate_of(evidence: Evidence) -> Fate:
    """The fate that the evidence proves; MAY_HAVE_RUN if it proves nothing."""
    if not evidence.bytes_sent:
        return Fate.NEVER_RAN
    if evidence.refused:
        return Fate.NEVER_RAN
    if evidence.ending is Ending.COMPLETE and evidence.status:
        return Fate.ANSWERED
    return Fate.MAY_HAVE_RUN


def final_status(fate: Fate, repeat: Repeat) -> FinalStatus:
    """The kind of final answer after a last attempt of this fate, if nothing was forwarded yet."""
    if fate is Fate.NEVER_RAN or repeat is not Repeat.NEVER:
        return FinalStatus.RETRYABLE
    return FinalStatus.NOT_RETRYABLE


def next_attempt(fate: Fate, repeat: Repeat, events_forwarded: bool) -> NextAttempt:
    """Which further attempt is safe.

    `events_forwarded` tells whether the client already has a part of the answer. The limits of the route and
    of the retry budget are checked elsewhere.
    """
    if fate is Fate.ANSWERED:
        return NextAttempt.NONE
    if events_forwarded:
        return NextAttempt.RESUMED if repeat is Repeat.RESUMABLE else NextAttempt.NONE
    if fate is Fate.NEVER_RAN or repeat is not Repeat.NEVER:
        return NextAttempt.FROM_START
    return NextAttempt.NONE


def outcome_of(evidence: Evidence) -> Outcome:
    """The outcome of the attempt, for the dispatcher."""
    if evidence.ending is Ending.ABANDONED:
        return Outcome.CANCELLED
    return OUTCOME_BY_FATE[fate_of(evidence)]


def cause_of(evidence: Evidence) -> Cause:
    """What the evidence says about the worker, for the dispatcher."""
    if is_wrong_instance(evidence):
        return Cause.WRONG_INSTANCE
    if evidence.refused:
        return Cause.FULL if evidence.status == STATUS_UNAVAILABLE else Cause.NONE
    if evidence.ending is Ending.COMPLETE:
        return Cause.BAD_ANSWER if evidence.status >= 500 else Cause.NONE
    return CAUSE_BY_ENDING[evidence.ending]


def is_wrong_instance(evidence: Evidence) -> bool:
    """Whether another worker instance answers at the address."""
    return evidence.status == STATUS_WRONG_INSTANCE and not evidence.version_requested


OUTCOME_BY_FATE = {
    Fate.NEVER_RAN: Outcome.NOT_EXECUTED,
    Fate.MAY_HAVE_RUN: Outcome.FAILED,
    Fate.ANSWERED: Outcome.OK,
}
CAUSE_BY_ENDING = {
    Ending.COMPLETE: Cause.NONE,
    Ending.CONNECT_FAILED: Cause.CONNECT_FAILED,
    Ending.RESET: Cause.RESET,
    Ending.CLOSED: Cause.RESET,
    Ending.SILENCE: Cause.TIMED_OUT,
    Ending.MALFORMED: Cause.BAD_ANSWER,
    Ending.ABANDONED: Cause.NONE,
}
