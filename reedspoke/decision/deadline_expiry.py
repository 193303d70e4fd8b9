"""Ends requests whose deadline passes while an attempt is in flight. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable

from reedspoke.decision.attempt_timeout import OpenAttempt
from reedspoke.decision.messages import Expire


def expired_requests(attempts: Iterable[OpenAttempt], now: float) -> list[Expire]:
    """The decisions for requests whose deadline has passed; their workers should have ended them by now.

    `may_have_run` is set where any attempt may have run or may still be running, so that the final answer
    does not claim that the request has not run.
    """
    return [
        Expire(attempt.job_id, may_have_run=attempt.may_have_run)
        for attempt in attempts
        if now >= attempt.deadline
    ]
