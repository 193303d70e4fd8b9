"""Suspicions of workers by this and other schedulers, and their effect on placement."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from reedspoke.decision import placement, worker_pool
from reedspoke.decision.dispatcher import Dispatcher
from reedspoke.decision.messages import AttemptEnd, Cause, Job, Load, Outcome, Repeat
from reedspoke.decision.suspicion import SUSPICION_TIMEOUT_S, Suspicion
from reedspoke.telemetry.invariants import Invariant, monitor
from tests.decision.builders import OK, dispatcher, entry, job, plain_job
from tests.decision.test_placement import sent_to

FOUR = [entry(f"w{index}") for index in range(4)]
RESET = AttemptEnd(Outcome.FAILED, Cause.RESET)


def suspicion(*, own: bool, others: int) -> Suspicion:
    """A suspicion by this scheduler and by a number of others."""
    made = Suspicion()
    made.set_others(others, 0.0)
    if own:
        made.record_attempt_end(Outcome.FAILED, Cause.RESET, 0.0)
    return made


@pytest.mark.parametrize(
    ("own", "others", "shared"),
    [(False, 0, False), (True, 0, False), (False, 1, False), (True, 1, True), (False, 2, True)],
)
def test_two_schedulers_make_a_suspicion_count(own: bool, others: int, shared: bool) -> None:
    assert suspicion(own=own, others=others).is_confirmed(0.5) is shared


@pytest.mark.parametrize(
    ("cause", "suspected"),
    [(Cause.RESET, True), (Cause.TIMED_OUT, True), (Cause.CONNECT_FAILED, True), (Cause.WRONG_INSTANCE, True)]
    + [(Cause.FULL, False), (Cause.BAD_ANSWER, False), (Cause.DEADLINE, False), (Cause.NONE, False)],
)
def test_which_causes_raise_a_suspicion(cause: Cause, suspected: bool) -> None:
    made = Suspicion()
    made.record_attempt_end(Outcome.FAILED, cause, 1.0)
    assert made.is_own(1.1) is suspected


def test_a_suspicion_ends_with_time_and_with_a_whole_answer() -> None:
    made = suspicion(own=True, others=0)
    assert made.is_own(SUSPICION_TIMEOUT_S - 0.01)
    assert not made.is_own(SUSPICION_TIMEOUT_S)
    made.record_attempt_end(Outcome.FAILED, Cause.RESET, 10.0)
    made.record_attempt_end(Outcome.OK, Cause.NONE, 10.1)
    assert not made.is_own(10.2)


def test_suspicions_of_others_expire_without_an_update() -> None:
    """A scheduler that is partitioned or frozen must not keep avoiding a worker."""
    made = suspicion(own=False, others=5)
    assert made.is_confirmed(SUSPICION_TIMEOUT_S - 0.01)
    assert not made.is_confirmed(SUSPICION_TIMEOUT_S)
    made.set_others(5, 10.0)
    made.set_others(0, 10.1)
    assert not made.is_confirmed(10.2)


def failed_at(scheduler: Dispatcher, count: int) -> list[str]:
    """Let this many workers fail one request each, and return their names."""
    failed: list[str] = []
    for number in range(1000):
        where = sent_to(scheduler, job(number, subject=f"s{number}", repeat=Repeat.NEVER), 0.0)
        assert where is not None
        if where not in failed and len(failed) < count:
            failed.append(where)
            scheduler.attempt_ended(number, RESET, 0.01)
        else:
            scheduler.first_event_received(number, 0.01)
            scheduler.attempt_ended(number, AttemptEnd(Outcome.CANCELLED), 0.01)
        if len(failed) == count:
            break
    return failed


def test_own_suspicions_are_reported_while_they_are_few() -> None:
    scheduler = dispatcher(FOUR)
    assert scheduler.suspected_workers(0.0) == ()
    failed = failed_at(scheduler, 2)
    assert sorted(scheduler.suspected_workers(0.1)) == sorted(failed)
    assert scheduler.suspected_workers(SUSPICION_TIMEOUT_S + 0.1) == ()


def test_a_scheduler_that_suspects_most_workers_reports_none() -> None:
    scheduler = dispatcher(FOUR)
    failed_at(scheduler, 3)
    assert scheduler.suspected_workers(0.1) == ()


@pytest.mark.parametrize(("make", "upstream"), [(job, "llm"), (plain_job, "svc")])
def test_a_suspected_worker_is_avoided_while_others_have_free_positions(
    make: Callable[[int], Job], upstream: str
) -> None:
    scheduler = dispatcher([entry(f"w{index}", upstream=upstream) for index in range(4)])
    home = sent_to(scheduler, make(1), 0.0)
    scheduler.first_event_received(1, 0.01)
    scheduler.attempt_ended(1, OK, 0.02)
    assert home is not None
    scheduler.set_others_suspicions({home: 2}, 0.05)
    assert scheduler.avoided_workers(0.1) == 1
    assert all(sent_to(scheduler, make(number), 0.1) != home for number in range(2, 20))


def test_a_suspected_worker_is_used_where_the_others_are_full() -> None:
    scheduler = dispatcher(FOUR)
    scheduler.set_others_suspicions({"w0": 9}, 0.0)
    full = {worker.instance_id: Load(worker.capacity, 0) for worker in FOUR[1:]}
    scheduler.set_others_load(full, 0.0)
    assert sent_to(scheduler, job(1), 0.1) == "w0"


def test_if_all_are_suspected_none_is_avoided() -> None:
    suspected, plain_one = dispatcher(FOUR), dispatcher(FOUR)
    suspected.set_others_suspicions({worker.instance_id: 5 for worker in FOUR}, 0.0)
    for number in range(30):
        request = job(number, subject=f"s{number % 7}")
        assert sent_to(suspected, request) == sent_to(plain_one, request)


def test_the_suspicion_of_one_scheduler_has_no_effect(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(placement, "SUSPECTED_COST", 1000.0)
    suspected, plain_one = dispatcher(FOUR), dispatcher(FOUR)
    suspected.set_others_suspicions({"w0": 1, "w1": 1}, 0.0)
    for number in range(30):
        assert sent_to(suspected, job(number)) == sent_to(plain_one, job(number))


def test_where_most_would_be_avoided_none_is() -> None:
    scheduler = dispatcher(FOUR)
    scheduler.set_others_suspicions({"w0": 9, "w1": 9}, 0.0)
    assert scheduler.avoided_workers(0.1) == 2
    scheduler.set_others_suspicions({"w0": 9, "w1": 9, "w2": 2}, 0.2)
    assert scheduler.avoided_workers(0.3) == 0


def test_the_workers_that_a_job_avoids() -> None:
    scheduler = dispatcher(FOUR)
    scheduler.set_others_suspicions({"w2": 2}, 0.0)
    assert sent_to(scheduler, job(1), 0.1) is not None
    assert scheduler.workers_avoided_by(1, 0.1) == ("w2",)
    assert scheduler.workers_avoided_by(99, 0.1) == ()


def test_too_many_avoided_workers_violate_the_invariant(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(worker_pool, "MAX_AVOIDED_SHARE", 0.0)
    scheduler = dispatcher(FOUR)
    scheduler.set_others_suspicions({"w0": 2}, 0.0)
    assert scheduler.avoided_workers(0.1) == 0
    monkeypatch.setattr(worker_pool.WorkerPool, "_avoids_too_many", lambda self, now: True)
    scheduler.set_others_suspicions({"w0": 2}, 0.0)
    assert {item.invariant for item in monitor.reset_violations()} == {Invariant.MOST_WORKERS_ARE_USED}
