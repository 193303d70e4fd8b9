"""The action for a complete answer, checked for all cases."""

from __future__ import annotations

from itertools import product

import pytest

from reedspoke.decision.answer_action import AnswerAction, action_for_answer
from reedspoke.decision.attempt_fate import NOT_EXECUTED_STATUSES, Ending, Evidence
from reedspoke.decision.messages import Repeat

STATUSES = (200, 204, 302, 400, 404, 408, 421, 429, 500, 502, 503, 504)
CASES = list(product(STATUSES, (False, True), Repeat, (False, True)))


@pytest.mark.parametrize(("status", "not_executed", "repeat", "stream_started"), CASES)
def test_without_proof_no_not_executed_status_is_forwarded_and_no_unsafe_request_is_retried(
    status: int, not_executed: bool, repeat: Repeat, stream_started: bool
) -> None:
    action = action_for_answer(Evidence(Ending.COMPLETE, True, status, not_executed), repeat, stream_started)
    proven = status == 421 or (not_executed and status >= 400)
    if action is AnswerAction.NOT_RUN:
        assert proven
    if action is AnswerAction.FORWARD:
        assert status not in NOT_EXECUTED_STATUSES
        assert not stream_started
    if action is AnswerAction.RETRY:
        assert repeat is not Repeat.NEVER
        assert not stream_started or repeat is Repeat.RESUMABLE


@pytest.mark.parametrize(
    ("status", "not_executed", "repeat", "stream_started", "action"),
    [
        (200, False, Repeat.NEVER, False, AnswerAction.FORWARD),
        (200, True, Repeat.NEVER, False, AnswerAction.FORWARD),
        (400, True, Repeat.NEVER, False, AnswerAction.FORWARD),
        (400, True, Repeat.RESUMABLE, True, AnswerAction.RETRY),
        (404, False, Repeat.NEVER, True, AnswerAction.REPLACE),
        (421, False, Repeat.NEVER, False, AnswerAction.NOT_RUN),
        (429, False, Repeat.IDEMPOTENT, False, AnswerAction.REPLACE),
        (500, False, Repeat.IDEMPOTENT, False, AnswerAction.RETRY),
        (500, False, Repeat.NEVER, False, AnswerAction.FORWARD),
        (503, False, Repeat.NEVER, False, AnswerAction.REPLACE),
        (503, True, Repeat.NEVER, False, AnswerAction.NOT_RUN),
        (503, True, Repeat.NEVER, True, AnswerAction.NOT_RUN),
        (504, False, Repeat.IDEMPOTENT, False, AnswerAction.FORWARD),
    ],
)
def test_named_cases(
    status: int, not_executed: bool, repeat: Repeat, stream_started: bool, action: AnswerAction
) -> None:
    assert (
        action_for_answer(Evidence(Ending.COMPLETE, True, status, not_executed), repeat, stream_started)
        is action
    )
