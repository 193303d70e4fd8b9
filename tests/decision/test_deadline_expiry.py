"""Expiry of requests whose deadline passes while an attempt is in flight."""

from __future__ import annotations

import pytest

from reedspoke.decision.attempt_timeout import OpenAttempt, timed_out_attempts
from reedspoke.decision.deadline_expiry import expired_requests
from reedspoke.decision.messages import Expire, Repeat


def attempt(
    job_id: int, deadline: float, *, connected: bool = True, may_have_run: bool = True
) -> OpenAttempt:
    """An attempt in flight with this deadline."""
    return OpenAttempt(
        job_id=job_id,
        instance_id="i-1",
        repeat=Repeat.IDEMPOTENT,
        streaming=False,
        latency_target_s=0.1,
        event_gap_target_s=0.0,
        sent_at=0.0,
        last_received_at=0.0,
        deadline=deadline,
        connected=connected,
        may_have_run=may_have_run,
    )


def test_only_requests_past_their_deadline_end() -> None:
    attempts = [attempt(1, 5.0), attempt(2, 5.1), attempt(3, 4.9)]
    assert expired_requests(attempts, 5.0) == [Expire(1, may_have_run=True), Expire(3, may_have_run=True)]


@pytest.mark.parametrize("may_have_run", [False, True])
def test_the_decision_tells_whether_an_attempt_may_have_run(may_have_run: bool) -> None:
    (end,) = expired_requests([attempt(1, 5.0, may_have_run=may_have_run)], 6.0)
    assert end.may_have_run is may_have_run


def test_an_attempt_without_connection_does_not_time_out() -> None:
    attempts = [attempt(1, 99.0, connected=False), attempt(2, 99.0)]
    assert timed_out_attempts(attempts, {}, 5.0) == [2]
