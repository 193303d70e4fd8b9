"""What is done with a whole answer: every case against the rules."""

from __future__ import annotations

from itertools import product

import pytest

from reedspoke.decision.answer_use import AnswerUse, use_of_answer
from reedspoke.decision.attempt_fate import PROMISES, Ending, Evidence
from reedspoke.decision.messages import Repeat

STATUSES = (200, 204, 302, 400, 404, 408, 421, 429, 500, 502, 503, 504)
CASES = list(product(STATUSES, (False, True), Repeat, (False, True)))


@pytest.mark.parametrize(("status", "told", "repeat", "begun"), CASES)
def test_no_promise_is_passed_on_and_no_unsafe_request_goes_elsewhere_without_proof(
    status: int, told: bool, repeat: Repeat, begun: bool
) -> None:
    use = use_of_answer(Evidence(Ending.COMPLETE, True, status, told), repeat, begun)
    proven = status == 421 or (told and status >= 400)
    if use is AnswerUse.NOT_RUN:
        assert proven
    if use is AnswerUse.PASS_ON:
        assert status not in PROMISES
        assert not begun
    if use is AnswerUse.TRY_ELSEWHERE:
        assert repeat is not Repeat.NEVER
        assert not begun or repeat is Repeat.RESUMABLE


@pytest.mark.parametrize(
    ("status", "told", "repeat", "begun", "use"),
    [
        (200, False, Repeat.NEVER, False, AnswerUse.PASS_ON),
        (200, True, Repeat.NEVER, False, AnswerUse.PASS_ON),
        (400, True, Repeat.NEVER, False, AnswerUse.PASS_ON),
        (400, True, Repeat.RESUMABLE, True, AnswerUse.TRY_ELSEWHERE),
        (404, False, Repeat.NEVER, True, AnswerUse.REPLACE),
        (421, False, Repeat.NEVER, False, AnswerUse.NOT_RUN),
        (429, False, Repeat.IDEMPOTENT, False, AnswerUse.REPLACE),
        (500, False, Repeat.IDEMPOTENT, False, AnswerUse.TRY_ELSEWHERE),
        (500, False, Repeat.NEVER, False, AnswerUse.PASS_ON),
        (503, False, Repeat.NEVER, False, AnswerUse.REPLACE),
        (503, True, Repeat.NEVER, False, AnswerUse.NOT_RUN),
        (503, True, Repeat.NEVER, True, AnswerUse.NOT_RUN),
        (504, False, Repeat.IDEMPOTENT, False, AnswerUse.PASS_ON),
    ],
)
def test_named_cases(status: int, told: bool, repeat: Repeat, begun: bool, use: AnswerUse) -> None:
    assert use_of_answer(Evidence(Ending.COMPLETE, True, status, told), repeat, begun) is use
