"""Which attempts are given up because their worker is silent."""

from __future__ import annotations

import pytest

from reedspoke.decision.attempt_timeout import OpenAttempt, attempt_timeout_s, timed_out_attempts
from reedspoke.decision.messages import Repeat

SENT = 100.0
LONG = 60.0


def attempt(
    job_id: int = 1,
    *,
    repeat: Repeat = Repeat.RESUMABLE,
    streaming: bool = True,
    latency_target_s: float = 2.0,
    event_gap_target_s: float = 0.0,
    heard_after: float = 0.0,
    time_s: float = LONG,
) -> OpenAttempt:
    return OpenAttempt(
        job_id=job_id,
        instance_id="i-1",
        repeat=repeat,
        streaming=streaming,
        latency_target_s=latency_target_s,
        event_gap_target_s=event_gap_target_s,
        sent_at=SENT,
        last_received_at=SENT + heard_after,
        deadline=SENT + time_s,
    )


def given_up(made: OpenAttempt, after: float, worker_heard_after: float | None = None) -> bool:
    heard_from = {} if worker_heard_after is None else {"i-1": SENT + worker_heard_after}
    return timed_out_attempts([made], heard_from, SENT + after) == [made.job_id]


@pytest.mark.parametrize(
    ("latency_target_s", "event_gap_target_s", "expected"),
    [(2.0, 0.1, 4.0), (0.1, 0.1, 1.0), (0.1, 0.6, 2.4), (1.0, 0.0, 2.0)],
)
def test_a_stream_is_given_half_of_the_silence_that_its_client_bears(
    latency_target_s: float, event_gap_target_s: float, expected: float
) -> None:
    made = attempt(latency_target_s=latency_target_s, event_gap_target_s=event_gap_target_s)
    assert attempt_timeout_s(made) == pytest.approx(expected)
    assert not given_up(made, expected - 0.01)
    assert given_up(made, expected + 0.01)


def test_silence_counts_from_the_last_event_of_a_stream() -> None:
    started = attempt(latency_target_s=0.5, heard_after=0.5)
    assert not given_up(started, 1.4)
    assert given_up(started, 1.5)


def test_a_plain_request_is_given_twice_its_aim() -> None:
    plain = attempt(repeat=Repeat.IDEMPOTENT, streaming=False, latency_target_s=2.0)
    assert not given_up(plain, 3.9)
    assert given_up(plain, 4.0)


def test_a_worker_that_answers_others_is_not_silent() -> None:
    assert not given_up(attempt(), 6.5, worker_heard_after=2.6)
    assert given_up(attempt(), 6.7, worker_heard_after=2.6)


def test_what_was_heard_before_the_attempt_proves_nothing() -> None:
    assert given_up(attempt(), 4.0, worker_heard_after=-50.0)


@pytest.mark.parametrize("after", [3.0, 10.0, LONG - 0.1])
def test_a_request_that_may_run_once_is_never_given_up_for_silence(after: float) -> None:
    assert not given_up(attempt(repeat=Repeat.NEVER), after)


def test_only_the_silent_ones_are_given_up() -> None:
    attempts = [attempt(1), attempt(2, heard_after=2.9), attempt(3, repeat=Repeat.NEVER), attempt(4)]
    assert timed_out_attempts(attempts, {}, SENT + 4.5) == [1, 4]
