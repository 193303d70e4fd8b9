"""Ends of requests whose deadline is over while an attempt is out."""

from __future__ import annotations

import pytest

from reedspoke.decision.messages import Expire, Repeat
from reedspoke.decision.overdue import overdue_ends
from reedspoke.decision.silence import OpenAttempt, attempts_to_give_up


def attempt(
    job_id: int, deadline: float, *, connected: bool = True, may_have_run: bool = True
) -> OpenAttempt:
    return OpenAttempt(
        job_id=job_id,
        instance_id="i-1",
        repeat=Repeat.IDEMPOTENT,
        streaming=False,
        aim_s=0.1,
        pause_s=0.0,
        sent_at=0.0,
        heard_at=0.0,
        deadline=deadline,
        connected=connected,
        may_have_run=may_have_run,
    )


def test_only_what_is_over_ends() -> None:
    attempts = [attempt(1, 5.0), attempt(2, 5.1), attempt(3, 4.9)]
    assert overdue_ends(attempts, 5.0) == [Expire(1, ran=True), Expire(3, ran=True)]


@pytest.mark.parametrize("may_have_run", [False, True])
def test_the_end_promises_only_what_is_certain(may_have_run: bool) -> None:
    (end,) = overdue_ends([attempt(1, 5.0, may_have_run=may_have_run)], 6.0)
    assert end.ran is may_have_run


def test_a_connection_that_comes_up_is_not_a_silent_worker() -> None:
    attempts = [attempt(1, 99.0, connected=False), attempt(2, 99.0)]
    assert attempts_to_give_up(attempts, {}, 5.0) == [2]
