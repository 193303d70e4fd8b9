"""The state of one worker: capacity, backoff, health and delays."""

from __future__ import annotations

import pytest

from reedspoke.decision import worker_state
from reedspoke.decision.health_score import RECOVERY_HALF_LIFE_S
from reedspoke.decision.messages import Cause, Load, Outcome
from reedspoke.decision.worker_state import RunningAttempt, WorkerState
from tests.decision.builders import ENGINE, entry


def worker(capacity: int = 64) -> WorkerState:
    """A worker with an engine."""
    return WorkerState.of(entry("w", capacity=capacity), ENGINE)


def running(
    sent: float = 0.0, prefill: int = 100, memory: int = 150, late_after_s: float = 0.5
) -> RunningAttempt:
    """An attempt to start on the worker."""
    return RunningAttempt(
        sent_at=sent, prefill_tokens=prefill, memory_tokens=memory, expected_s=0.01, late_after_s=late_after_s
    )


def test_counts_follow_the_requests_of_the_worker() -> None:
    state = worker()
    state.start(1, running())
    state.start(2, running(prefill=40, memory=60))
    assert (state.own_requests, state.pending_prefill_tokens, state.memory_tokens) == (2, 140, 210)
    assert state.first_event(1, 0.02) is not None
    assert state.first_event(1, 0.03) is None
    assert (state.pending_prefill_tokens, state.memory_tokens) == (40, 210)
    state.end(1)
    state.end(2)
    assert state.end(2) is None
    assert (state.own_requests, state.pending_prefill_tokens, state.memory_tokens) == (0, 0, 0)


def test_free_positions_are_bounded_by_our_cap_and_by_the_load_of_others() -> None:
    state = worker(capacity=6)
    state.others = Load(4, 0)
    assert state.free_positions() == 2
    state.start(1, running())
    assert state.free_positions() == 1
    state.cap = 1.9
    assert state.free_positions() == 0


def test_a_full_answer_lowers_the_cap_once_for_requests_sent_before() -> None:
    state = worker()
    for job_id in range(20):
        state.start(job_id, running(sent=1.0))
    state.end(0)
    state.record_attempt_end(Outcome.NOT_EXECUTED, Cause.FULL, 1.0, 2.0)
    cut = state.cap
    assert cut == pytest.approx(20 * worker_state.CAP_DECREASE_FACTOR)
    state.record_attempt_end(Outcome.NOT_EXECUTED, Cause.FULL, 1.0, 2.1)
    assert state.cap == cut
    state.record_attempt_end(Outcome.NOT_EXECUTED, Cause.FULL, 2.05, 2.1)
    assert state.cap < cut
    assert not state.is_backoff_over(2.1)
    assert state.is_backoff_over(2.1 + worker_state.FULL_BACKOFF_S)
    assert state.health.value_at(2.1) == 1.0


def test_the_cap_never_falls_below_one() -> None:
    state = worker()
    for at in range(1, 30):
        state.record_attempt_end(Outcome.NOT_EXECUTED, Cause.FULL, float(at), float(at))
    assert state.cap == worker_state.MIN_CAP
    assert state.free_positions() == 1


def test_a_late_first_event_lowers_the_cap_and_a_timely_one_at_a_full_cap_raises_it() -> None:
    state = worker()
    for job_id in range(19):
        state.start(job_id, running(sent=0.0))
    state.first_event(1, 0.6)
    assert state.cap == pytest.approx(20 * worker_state.CAP_DECREASE_FACTOR)
    state.first_event(2, 0.6)
    assert state.cap == pytest.approx(20 * worker_state.CAP_DECREASE_FACTOR)
    state.start(20, running(sent=0.7))
    state.first_event(20, 0.8)
    assert state.cap == pytest.approx(20 * worker_state.CAP_DECREASE_FACTOR + worker_state.CAP_INCREASE)
    for job_id in range(10):
        state.end(job_id)
    state.start(21, running(sent=0.9))
    state.first_event(21, 1.0)
    assert state.cap == pytest.approx(20 * worker_state.CAP_DECREASE_FACTOR + worker_state.CAP_INCREASE)


def test_late_first_events_alone_do_not_lower_the_cap_below_the_floor() -> None:
    state = worker()
    for turn in range(1, 9):
        state.start(turn, running(sent=turn))
        state.first_event(turn, turn + 0.6)
        state.end(turn)
    assert state.cap == worker_state.MIN_LATE_CAP_SHARE * 64
    state.record_attempt_end(Outcome.NOT_EXECUTED, Cause.FULL, 20.0, 20.0)
    assert state.cap < worker_state.MIN_LATE_CAP_SHARE * 64
    low = state.cap
    state.start(20, running(sent=21.0))
    state.first_event(20, 21.6)
    assert state.cap == low


def test_the_cap_does_not_rise_above_the_capacity() -> None:
    state = worker(capacity=1)
    for turn in range(5):
        state.start(turn, running(sent=turn))
        state.first_event(turn, turn + 0.1)
        state.end(turn)
    assert state.cap == 1.0


def test_backoff_grows_with_failed_connections_until_data_arrives() -> None:
    state = worker()
    backoffs = []
    for _ in range(8):
        state.record_attempt_end(Outcome.NOT_EXECUTED, Cause.CONNECT_FAILED, 0.0, 100.0)
        backoffs.append(state.backoff_until - 100.0)
        state.backoff_until = 0.0
    assert backoffs[:3] == pytest.approx([0.1, 0.2, 0.4])
    assert backoffs[-1] == worker_state.MAX_BACKOFF_S
    state.start(1, running())
    state.first_event(1, 1.0)
    state.record_attempt_end(Outcome.NOT_EXECUTED, Cause.CONNECT_FAILED, 0.0, 100.0)
    assert state.backoff_until == pytest.approx(100.1)


def test_a_worker_that_fails_repeatedly_loses_trust_and_regains_it() -> None:
    state = worker()
    state.record_attempt_end(Outcome.FAILED, Cause.RESET, 0.0, 1.0)
    assert state.trusted(repeatable=False, now=1.0)
    for _ in range(4):
        state.record_attempt_end(Outcome.FAILED, Cause.BAD_ANSWER, 0.0, 1.0)
    assert not state.trusted(repeatable=False, now=1.0)
    assert state.trusted(repeatable=True, now=1.0)
    state.start(1, running())
    assert not state.trusted(repeatable=True, now=1.0)
    assert not state.is_backoff_over(1.0)
    for _ in range(10):
        state.record_attempt_end(Outcome.OK, Cause.NONE, 0.0, 2.0)
    assert state.trusted(repeatable=False, now=2.0)


def test_trust_recovers_with_time_where_no_request_can_raise_it() -> None:
    """Otherwise a service whose requests must not be repeated would lose the worker permanently."""
    state = worker()
    for _ in range(5):
        state.record_attempt_end(Outcome.FAILED, Cause.RESET, 0.0, 1.0)
    assert not state.trusted(repeatable=False, now=3.0)
    assert state.trusted(repeatable=False, now=1.0 + 2 * RECOVERY_HALF_LIFE_S)
    state.record_attempt_end(Outcome.FAILED, Cause.RESET, 0.0, 1.0 + 2 * RECOVERY_HALF_LIFE_S)
    assert not state.trusted(repeatable=False, now=1.0 + 2 * RECOVERY_HALF_LIFE_S)


def test_a_complete_server_error_lowers_trust() -> None:
    state = worker()
    for _ in range(5):
        state.record_attempt_end(Outcome.OK, Cause.BAD_ANSWER, 0.0, 1.0)
    assert not state.trusted(repeatable=False, now=1.0)


def test_a_worker_whose_address_has_another_instance_is_not_usable() -> None:
    state = worker()
    state.record_attempt_end(Outcome.NOT_EXECUTED, Cause.WRONG_INSTANCE, 0.0, 1.0)
    assert not state.usable


def test_a_draining_worker_is_not_usable() -> None:
    assert not WorkerState.of(entry("w", draining=True), ENGINE).usable


def test_the_excess_delay_is_averaged_and_decays() -> None:
    state = worker()
    state.start(1, running(sent=0.0))
    state.first_event(1, 0.41)
    assert state.excess(0.41) == pytest.approx(0.4 * worker_state.EWMA_WEIGHT)
    assert state.excess(0.41 + worker_state.EXCESS_HALF_LIFE_S) == pytest.approx(
        0.2 * worker_state.EWMA_WEIGHT
    )


def test_memory_is_bounded_but_an_idle_worker_takes_any() -> None:
    state = worker()
    assert state.memory_fits(10**9)
    state.start(1, running(memory=300_000))
    assert state.memory_fits(100_000)
    assert not state.memory_fits(100_001)
    state.others = Load(1, 60_000)
    assert not state.memory_fits(50_000)
