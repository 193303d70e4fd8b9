"""How requests end whose deadline is over while an attempt is out. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable

from reedspoke.decision.attempt_timeout import OpenAttempt
from reedspoke.decision.messages import Expire


def expired_requests(attempts: Iterable[OpenAttempt], now: float) -> list[Expire]:
    """The ends of the requests whose time is over. Their worker should have ended them by now; where any
    attempt may have run, or may still run, the end promises nothing."""
    return [
        Expire(attempt.job_id, may_have_run=attempt.may_have_run)
        for attempt in attempts
        if now >= attempt.deadline
    ]
