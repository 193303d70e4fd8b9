"""What is done with a worker's whole answer. No I/O.

Statuses that promise that a request has not run never reach a client from a worker that did not prove it.
"""

from __future__ import annotations

from enum import Enum, auto

from reedspoke.decision.attempt_fate import NOT_EXECUTED_STATUSES, Evidence, Fate, fate_of
from reedspoke.decision.messages import Repeat

STATUS_BAD_REQUEST = 400
STATUS_WORKER_TIMEOUT = 504  # the worker's own, at the deadline: there is no time for another attempt
LEAST_SERVER_ERROR = 500


class AnswerAction(Enum):
    """What becomes of the answer."""

    FORWARD = auto()  # to the client, as it is
    REPLACE = auto()  # by an error of our own that promises nothing
    NOT_RUN = auto()  # it is a refusal: the request is as if it had never been sent
    RETRY = auto()  # it is an error, and another worker may do better


def action_for_answer(evidence: Evidence, repeat: Repeat, stream_begun: bool) -> AnswerAction:
    """`evidence` is of a whole answer; `stream_begun`: a part of an earlier answer has been passed on."""
    refused_everywhere = evidence.status == STATUS_BAD_REQUEST  # no worker would take it
    if fate_of(evidence) is Fate.NEVER_RAN and not refused_everywhere:
        return AnswerAction.NOT_RUN
    if stream_begun:
        return AnswerAction.RETRY if repeat is Repeat.RESUMABLE else AnswerAction.REPLACE
    worth = evidence.status >= LEAST_SERVER_ERROR and evidence.status != STATUS_WORKER_TIMEOUT
    if worth and repeat is not Repeat.NEVER:
        return AnswerAction.RETRY
    return AnswerAction.FORWARD if may_forward(evidence.status) else AnswerAction.REPLACE


def may_forward(status: int) -> bool:
    """Guards a promise that nobody made: a worker's own 503 without proof says that it may have run."""
    return status not in NOT_EXECUTED_STATUSES
