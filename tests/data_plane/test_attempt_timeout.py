"""Which attempts time out because their worker sends no data."""

from __future__ import annotations

import pytest

from reedspoke.decision.attempt_timeout import OpenAttempt, attempt_timeout_s, timed_out_attempts
from reedspoke.decision.messages import Repeat

SENT = 100.0
LONG_S = 60.0


def attempt(
    job_id: int = 1,
    *,
    repeat: Repeat = Repeat.RESUMABLE,
    streaming: bool = True,
    latency_target_s: float = 2.0,
    event_gap_target_s: float = 0.0,
    received_after: float = 0.0,
    deadline_after_s: float = LONG_S,
) -> OpenAttempt:
    return OpenAttempt(
        job_id=job_id,
        instance_id="i-1",
        repeat=repeat,
        streaming=streaming,
        latency_target_s=latency_target_s,
        event_gap_target_s=event_gap_target_s,
        sent_at=SENT,
        last_received_at=SENT + received_after,
        deadline=SENT + deadline_after_s,
    )


def is_timed_out(open_attempt: OpenAttempt, after: float, worker_received_after: float | None = None) -> bool:
    last_received_from = {} if worker_received_after is None else {"i-1": SENT + worker_received_after}
    return timed_out_attempts([open_attempt], last_received_from, SENT + after) == [open_attempt.job_id]


@pytest.mark.parametrize(
    ("latency_target_s", "event_gap_target_s", "expected"),
    [(2.0, 0.1, 4.0), (0.1, 0.1, 1.0), (0.1, 0.6, 2.4), (1.0, 0.0, 2.0)],
)
def test_a_stream_times_out_at_half_of_its_clients_timeout(
    latency_target_s: float, event_gap_target_s: float, expected: float
) -> None:
    open_attempt = attempt(latency_target_s=latency_target_s, event_gap_target_s=event_gap_target_s)
    assert attempt_timeout_s(open_attempt) == pytest.approx(expected)
    assert not is_timed_out(open_attempt, expected - 0.01)
    assert is_timed_out(open_attempt, expected + 0.01)


def test_a_streams_timeout_starts_at_its_last_event() -> None:
    started = attempt(latency_target_s=0.5, received_after=0.5)
    assert not is_timed_out(started, 1.4)
    assert is_timed_out(started, 1.5)


def test_a_plain_request_times_out_at_twice_its_latency_target() -> None:
    plain = attempt(repeat=Repeat.IDEMPOTENT, streaming=False, latency_target_s=2.0)
    assert not is_timed_out(plain, 3.9)
    assert is_timed_out(plain, 4.0)


def test_data_from_the_worker_on_another_connection_restarts_the_timeout() -> None:
    assert not is_timed_out(attempt(), 6.5, worker_received_after=2.6)
    assert is_timed_out(attempt(), 6.7, worker_received_after=2.6)


def test_data_received_before_the_attempt_does_not_count() -> None:
    assert is_timed_out(attempt(), 4.0, worker_received_after=-50.0)


@pytest.mark.parametrize("after", [3.0, 10.0, LONG_S - 0.1])
def test_a_request_that_must_not_be_repeated_never_times_out(after: float) -> None:
    assert not is_timed_out(attempt(repeat=Repeat.NEVER), after)


def test_only_attempts_without_data_time_out() -> None:
    attempts = [attempt(1), attempt(2, received_after=2.9), attempt(3, repeat=Repeat.NEVER), attempt(4)]
    assert timed_out_attempts(attempts, {}, SENT + 4.5) == [1, 4]
