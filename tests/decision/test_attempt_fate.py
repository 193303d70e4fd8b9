"""The fate of an attempt, the retries and the final answers that it allows, for all cases."""

from __future__ import annotations

from itertools import product

import pytest

from reedspoke.decision.attempt_fate import (
    Ending,
    Evidence,
    Fate,
    FinalStatus,
    NextAttempt,
    cause_of,
    fate_of,
    final_status,
    next_attempt,
    outcome_of,
)
from reedspoke.decision.messages import Cause, Outcome, Repeat

STATUSES = (0, 200, 421, 429, 500, 503, 504)
ALL = [
    Evidence(ending, bytes_sent=bytes_sent, status=status, not_executed=not_executed)
    for ending, bytes_sent, status, not_executed in product(Ending, (False, True), STATUSES, (False, True))
]


@pytest.mark.parametrize("evidence", ALL, ids=str)
def test_only_proof_makes_a_fate_better_than_may_have_run(evidence: Evidence) -> None:
    not_executed = (
        evidence.not_executed and evidence.status >= 400
    )  # On a success status the header contradicts it.
    proof = not evidence.bytes_sent or not_executed or evidence.status == 421
    whole = evidence.ending is Ending.COMPLETE and evidence.status > 0
    expected = Fate.NEVER_RAN if proof else Fate.ANSWERED if whole else Fate.MAY_HAVE_RUN
    assert fate_of(evidence) is expected


@pytest.mark.parametrize(
    ("evidence", "fate"),
    [
        (Evidence(Ending.CONNECT_FAILED, bytes_sent=False), Fate.NEVER_RAN),
        (Evidence(Ending.SILENCE, bytes_sent=False), Fate.NEVER_RAN),
        (Evidence(Ending.RESET, bytes_sent=True), Fate.MAY_HAVE_RUN),
        (Evidence(Ending.CLOSED, bytes_sent=True), Fate.MAY_HAVE_RUN),
        (Evidence(Ending.SILENCE, bytes_sent=True), Fate.MAY_HAVE_RUN),
        (Evidence(Ending.MALFORMED, bytes_sent=True, status=200), Fate.MAY_HAVE_RUN),
        (Evidence(Ending.COMPLETE, bytes_sent=True, status=503), Fate.ANSWERED),
        (Evidence(Ending.COMPLETE, bytes_sent=True, status=503, not_executed=True), Fate.NEVER_RAN),
        (Evidence(Ending.RESET, bytes_sent=True, status=503, not_executed=True), Fate.NEVER_RAN),
        (Evidence(Ending.COMPLETE, bytes_sent=True, status=421), Fate.NEVER_RAN),
        (Evidence(Ending.COMPLETE, bytes_sent=True, status=500), Fate.ANSWERED),
        (Evidence(Ending.COMPLETE, bytes_sent=True, status=200), Fate.ANSWERED),
    ],
)
def test_named_cases(evidence: Evidence, fate: Fate) -> None:
    assert fate_of(evidence) is fate


FINAL = {
    (Fate.NEVER_RAN, Repeat.IDEMPOTENT): FinalStatus.RETRYABLE,
    (Fate.NEVER_RAN, Repeat.RESUMABLE): FinalStatus.RETRYABLE,
    (Fate.NEVER_RAN, Repeat.NEVER): FinalStatus.RETRYABLE,
    (Fate.MAY_HAVE_RUN, Repeat.IDEMPOTENT): FinalStatus.RETRYABLE,
    (Fate.MAY_HAVE_RUN, Repeat.RESUMABLE): FinalStatus.RETRYABLE,
    (Fate.MAY_HAVE_RUN, Repeat.NEVER): FinalStatus.NOT_RETRYABLE,
    (Fate.ANSWERED, Repeat.IDEMPOTENT): FinalStatus.RETRYABLE,
    (Fate.ANSWERED, Repeat.RESUMABLE): FinalStatus.RETRYABLE,
    (Fate.ANSWERED, Repeat.NEVER): FinalStatus.NOT_RETRYABLE,
}
NEXT = {
    (Fate.NEVER_RAN, Repeat.IDEMPOTENT, False): NextAttempt.FROM_START,
    (Fate.NEVER_RAN, Repeat.IDEMPOTENT, True): NextAttempt.NONE,
    (Fate.NEVER_RAN, Repeat.RESUMABLE, False): NextAttempt.FROM_START,
    (Fate.NEVER_RAN, Repeat.RESUMABLE, True): NextAttempt.RESUMED,
    (Fate.NEVER_RAN, Repeat.NEVER, False): NextAttempt.FROM_START,
    (Fate.NEVER_RAN, Repeat.NEVER, True): NextAttempt.NONE,
    (Fate.MAY_HAVE_RUN, Repeat.IDEMPOTENT, False): NextAttempt.FROM_START,
    (Fate.MAY_HAVE_RUN, Repeat.IDEMPOTENT, True): NextAttempt.NONE,
    (Fate.MAY_HAVE_RUN, Repeat.RESUMABLE, False): NextAttempt.FROM_START,
    (Fate.MAY_HAVE_RUN, Repeat.RESUMABLE, True): NextAttempt.RESUMED,
    (Fate.MAY_HAVE_RUN, Repeat.NEVER, False): NextAttempt.NONE,
    (Fate.MAY_HAVE_RUN, Repeat.NEVER, True): NextAttempt.NONE,
} | {
    (Fate.ANSWERED, repeat, forwarded): NextAttempt.NONE
    for repeat, forwarded in product(Repeat, (False, True))
}


def test_the_tables_are_complete() -> None:
    assert set(FINAL) == set(product(Fate, Repeat))
    assert set(NEXT) == set(product(Fate, Repeat, (False, True)))


@pytest.mark.parametrize(("fate", "repeat"), FINAL, ids=str)
def test_the_final_status_follows_from_the_fate(fate: Fate, repeat: Repeat) -> None:
    assert final_status(fate, repeat) is FINAL[fate, repeat]


@pytest.mark.parametrize(("fate", "repeat", "forwarded"), NEXT, ids=str)
def test_the_next_attempt_follows_from_the_fate(fate: Fate, repeat: Repeat, forwarded: bool) -> None:
    assert next_attempt(fate, repeat, forwarded) is NEXT[fate, repeat, forwarded]


@pytest.mark.parametrize("evidence", ALL, ids=str)
def test_the_outcome_follows_the_fate(evidence: Evidence) -> None:
    outcome = outcome_of(evidence)
    if evidence.ending is Ending.ABANDONED:
        assert outcome is Outcome.CANCELLED
    else:
        assert (outcome is Outcome.NOT_EXECUTED) == (fate_of(evidence) is Fate.NEVER_RAN)
        assert (outcome is Outcome.OK) == (fate_of(evidence) is Fate.ANSWERED)


@pytest.mark.parametrize(
    ("evidence", "cause"),
    [
        (Evidence(Ending.COMPLETE, bytes_sent=True, status=200), Cause.NONE),
        (Evidence(Ending.COMPLETE, bytes_sent=True, status=500), Cause.BAD_ANSWER),
        (Evidence(Ending.COMPLETE, bytes_sent=True, status=503, not_executed=True), Cause.FULL),
        (Evidence(Ending.COMPLETE, bytes_sent=True, status=429, not_executed=True), Cause.NONE),
        (Evidence(Ending.COMPLETE, bytes_sent=True, status=421, not_executed=True), Cause.WRONG_INSTANCE),
        (Evidence(Ending.CONNECT_FAILED, bytes_sent=False), Cause.CONNECT_FAILED),
        (Evidence(Ending.SILENCE, bytes_sent=True), Cause.TIMED_OUT),
        (Evidence(Ending.RESET, bytes_sent=True), Cause.RESET),
        (Evidence(Ending.CLOSED, bytes_sent=True), Cause.RESET),
        (Evidence(Ending.MALFORMED, bytes_sent=True), Cause.BAD_ANSWER),
        (Evidence(Ending.ABANDONED, bytes_sent=True), Cause.NONE),
    ],
)
def test_the_cause_reported_for_the_worker(evidence: Evidence, cause: Cause) -> None:
    assert cause_of(evidence) is cause
