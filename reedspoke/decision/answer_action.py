"""Decides what to do with the complete answer of a worker. No I/O.

A status that tells the client that its request has not run is forwarded only if the worker proved it.
"""

from __future__ import annotations

from enum import Enum, auto

from reedspoke.decision.attempt_fate import NOT_EXECUTED_STATUSES, Evidence, Fate, fate_of
from reedspoke.decision.messages import Repeat

STATUS_BAD_REQUEST = 400
STATUS_WORKER_TIMEOUT = 504  # A worker answers 504 at the deadline, so no time is left for another attempt.
MIN_SERVER_ERROR = 500


class AnswerAction(Enum):
    """What to do with the answer."""

    FORWARD = auto()  # Forward the answer to the client unchanged.
    REPLACE = auto()  # Answer with an own error, which does not claim that the request has not run.
    NOT_RUN = auto()  # The worker refused the request: handle it as if it had never been sent.
    RETRY = auto()  # The answer is an error, and another worker may succeed.


def action_for_answer(evidence: Evidence, repeat: Repeat, stream_started: bool) -> AnswerAction:
    """Choose the action for a complete answer.

    `evidence` describes the attempt that got the answer. `stream_started` tells whether a part of an earlier
    answer has already been forwarded.
    """
    refused_everywhere = evidence.status == STATUS_BAD_REQUEST  # No worker would accept it.
    if fate_of(evidence) is Fate.NEVER_RAN and not refused_everywhere:
        return AnswerAction.NOT_RUN
    if stream_started:
        return AnswerAction.RETRY if repeat is Repeat.RESUMABLE else AnswerAction.REPLACE
    worth_retrying = evidence.status >= MIN_SERVER_ERROR and evidence.status != STATUS_WORKER_TIMEOUT
    if worth_retrying and repeat is not Repeat.NEVER:
        return AnswerAction.RETRY
    return AnswerAction.FORWARD if may_forward(evidence.status) else AnswerAction.REPLACE


def may_forward(status: int) -> bool:
    """Whether an unproven status may be forwarded to the client.

    Without proof the request may have run, so a worker's own 503, for example, would mislead the client.
    """
    return status not in NOT_EXECUTED_STATUSES
