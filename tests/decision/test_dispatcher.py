"""The dispatcher: jobs from their arrival to their final answer."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import pytest

from reedspoke.decision import service
from reedspoke.decision.dispatcher import Dispatcher
from reedspoke.decision.messages import (
    AttemptEnd,
    Decision,
    Expire,
    Fail,
    FailReason,
    Load,
    Outcome,
    Refuse,
    RefuseReason,
    Repeat,
    Send,
    Upstream,
    WorkerEntry,
)
from reedspoke.decision.service import MAX_FAILED_CONNECTIONS
from tests.decision.builders import CONNECT_FAILED, FULL, OK, RESET, dispatcher, entry, job, plain_job

CANCELLED = AttemptEnd(Outcome.CANCELLED)


def single_position_workers(count: int = 1) -> list[WorkerEntry]:
    """Workers with one position each."""
    return [entry(f"w{index}", capacity=1) for index in range(count)]


def only(decisions: Iterable[Decision]) -> Decision:
    """The single decision."""
    (decision,) = decisions
    return decision


def sent(decision: Decision) -> tuple[int, str]:
    """The job and the worker of a Send decision."""
    assert isinstance(decision, Send)
    return decision.job_id, decision.instance_id


def sends(decisions: Iterable[Decision]) -> list[int]:
    """The jobs of the Send decisions."""
    return [decision.job_id for decision in decisions if isinstance(decision, Send)]


def run_timers(scheduler: Dispatcher, now: float, until: float) -> list[tuple[float, Decision]]:
    """Fire the timer whenever it is due, and return the decisions with their times."""
    decided: list[tuple[float, Decision]] = []
    while (at := scheduler.next_timer_at(now)) is not None and at <= until:
        assert at > now
        now = at
        decided += [(now, decision) for decision in scheduler.timer_fired(now)]
    return decided


def test_a_request_is_sent_at_once_while_a_position_is_free() -> None:
    scheduler = dispatcher([entry("w0")])
    assert sent(only(scheduler.job_arrived(job(1), 0.0))) == (1, "w0")
    assert scheduler.next_timer_at(0.0) is None


def test_without_a_free_position_it_waits_and_is_sent_when_one_frees() -> None:
    scheduler = dispatcher(single_position_workers())
    scheduler.job_arrived(job(1), 0.0)
    assert scheduler.job_arrived(job(2), 0.0) == []
    assert sent(only(scheduler.attempt_ended(1, OK, 0.1))) == (2, "w0")


@pytest.mark.parametrize("latency_target_s", [0.1, 1.0, 4.0])
def test_a_queued_job_is_refused_within_a_quarter_of_its_latency_target(latency_target_s: float) -> None:
    scheduler = dispatcher(single_position_workers())
    scheduler.job_arrived(job(1), 0.0)
    scheduler.job_arrived(job(2, latency_target_s=latency_target_s), 0.0)
    ((at, refused),) = run_timers(scheduler, 0.0, 20.0)
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.OVERLOAD
    assert 0.15 * latency_target_s < at < 0.25 * latency_target_s
    assert 0 < refused.retry_after_s <= (10.0 - at) / 3
    assert scheduler.job_count == 1
    assert scheduler.attempt_ended(1, OK, 5.0) == []


def test_retry_after_grows_with_the_overload() -> None:
    scheduler = dispatcher(single_position_workers())
    scheduler.job_arrived(job(1), 0.0)
    for job_id in range(2, 60):
        scheduler.job_arrived(job(job_id), 0.0)
    waits = [d.retry_after_s for _, d in run_timers(scheduler, 0.0, 1.0) if isinstance(d, Refuse)]
    assert len(waits) == 58
    assert sum(waits[-5:]) > 1.2 * sum(waits[:5])
    assert len({round(wait, 3) for wait in waits}) > 50


def test_without_workers_it_is_refused_with_that_reason_unless_one_is_added() -> None:
    scheduler = dispatcher([])
    scheduler.job_arrived(job(1), 0.0)
    ((_, refused),) = run_timers(scheduler, 0.0, 5.0)
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.NO_WORKER
    scheduler.job_arrived(job(2, arrived=5.0), 5.0)
    assert sent(only(scheduler.workers_changed([entry("w0")], 5.1))) == (2, "w0")


def test_an_unknown_service_is_refused() -> None:
    refused = only(dispatcher([]).job_arrived(job(1, upstream="other"), 0.0))
    assert isinstance(refused, Refuse)


def test_a_request_that_arrives_after_its_deadline_expires() -> None:
    scheduler = dispatcher([entry("w0")])
    assert only(scheduler.job_arrived(job(1, deadline_s=0.0), 0.0)) == Expire(1, may_have_run=False)
    assert scheduler.job_count == 0


def test_a_queued_job_expires_at_its_deadline() -> None:
    scheduler = dispatcher(single_position_workers())
    scheduler.job_arrived(job(1), 0.0)
    scheduler.job_arrived(job(2, deadline_s=0.1), 0.0)
    assert run_timers(scheduler, 0.0, 1.0) == [(0.1, Expire(2, may_have_run=False))]


def test_a_draining_worker_gets_no_more_requests() -> None:
    scheduler = dispatcher(single_position_workers())
    scheduler.job_arrived(job(1), 0.0)
    scheduler.job_arrived(job(2), 0.0)
    scheduler.workers_changed([entry("w0", capacity=1, draining=True)], 0.05)
    assert scheduler.attempt_ended(1, OK, 0.1) == []
    assert sent(only(scheduler.workers_changed([entry("w1")], 0.15))) == (2, "w1")


def test_a_worker_in_backoff_is_tried_rather_than_refuse_while_the_load_is_low() -> None:
    scheduler = dispatcher([entry("w0")])
    for job_id in range(6):
        now = job_id * 5.0
        assert sends(scheduler.job_arrived(job(job_id, max_attempts=1, arrived=now), now)) == [job_id]
        scheduler.attempt_ended(job_id, CONNECT_FAILED, now)
    assert scheduler.job_arrived(job(9, arrived=25.1), 25.1) == []
    ((at, decision),) = run_timers(scheduler, 25.1, 40.0)
    assert sent(decision) == (9, "w0")
    assert at < 25.1 + 0.25


def test_a_worker_in_backoff_is_not_tried_while_the_load_is_high() -> None:
    scheduler = dispatcher([entry("w0")])
    for job_id in range(6):
        now = job_id * 5.0
        scheduler.job_arrived(job(job_id, max_attempts=1, arrived=now), now)
        scheduler.attempt_ended(job_id, CONNECT_FAILED, now)
    scheduler.set_others_load({"w0": Load(40, 0)}, 25.05)
    scheduler.job_arrived(job(9, arrived=25.1), 25.1)
    ((_, decision),) = run_timers(scheduler, 25.1, 40.0)
    assert isinstance(decision, Refuse)


# ---- after an attempt ----


def test_a_request_that_never_ran_goes_to_another_worker_before_all_others() -> None:
    scheduler = dispatcher(single_position_workers(2))
    first = only(scheduler.job_arrived(job(1), 0.0))
    second = only(scheduler.job_arrived(job(2), 0.0))
    assert isinstance(first, Send)
    assert isinstance(second, Send)
    for job_id in range(3, 6):
        scheduler.job_arrived(job(job_id), 0.0)
    assert sends(scheduler.attempt_ended(1, FULL, 0.01)) == []
    assert sent(scheduler.attempt_ended(2, OK, 0.1)[0]) == (1, second.instance_id)


def test_the_charge_for_a_request_that_never_ran_is_refunded() -> None:
    scheduler = dispatcher([entry("w0"), entry("w1")])
    scheduler.job_arrived(job(1, max_attempts=1), 0.0)
    (job_class,) = scheduler.job_classes("llm")
    start = job_class.start
    scheduler.attempt_ended(1, FULL, 0.01)
    (job_class,) = scheduler.job_classes("llm")
    assert job_class.out == 0
    assert job_class.start == pytest.approx(start - job_class.largest[""] / job_class.phi)


def test_attempts_are_bounded_by_the_route() -> None:
    scheduler = dispatcher([entry(f"w{index}") for index in range(5)])
    scheduler.job_arrived(job(1, max_attempts=3), 0.0)
    assert sends(scheduler.attempt_ended(1, FULL, 0.1)) == [1]
    assert sends(scheduler.attempt_ended(1, FULL, 0.2)) == [1]
    refused = only(scheduler.attempt_ended(1, FULL, 0.3))
    assert isinstance(refused, Refuse)
    assert refused.reason is RefuseReason.ATTEMPTS


def test_attempts_are_bounded_by_the_budget() -> None:
    scheduler = dispatcher([entry(f"w{index}") for index in range(5)], slack=2.5)
    answers = []
    for job_id in range(5):
        scheduler.job_arrived(job(job_id), 0.0)
        answers.append(only(scheduler.attempt_ended(job_id, FULL, 0.01)))
    refused = [answer for answer in answers if isinstance(answer, Refuse)]
    assert [isinstance(answer, Send) for answer in answers] == [True, True, False, False, False]
    assert {answer.reason for answer in refused} == {RefuseReason.BUDGET}


def test_a_retry_that_is_not_sent_releases_its_reservation() -> None:
    scheduler = dispatcher(single_position_workers(2), slack=1.3)
    for turn in range(3):
        now = 100.0 * turn
        scheduler.job_arrived(job(turn, arrived=now), now)
        scheduler.job_arrived(job(10 + turn, arrived=now), now)  # This job occupies the other worker.
        assert scheduler.attempt_ended(turn, FULL, now) == []  # It must not be sent to the same worker again.
        ((_, refused),) = run_timers(scheduler, now, now + 5)
        assert isinstance(refused, Refuse)
        scheduler.attempt_ended(10 + turn, OK, now + 5)
    assert scheduler.job_count == 0


@pytest.mark.parametrize(
    ("repeat", "started", "expected"),
    [
        (Repeat.IDEMPOTENT, False, Send),
        (Repeat.RESUMABLE, False, Send),
        (Repeat.RESUMABLE, True, Send),
        (Repeat.IDEMPOTENT, True, Fail),
        (Repeat.NEVER, False, Fail),
        (Repeat.NEVER, True, Fail),
    ],
)
def test_a_stream_that_may_have_run(repeat: Repeat, started: bool, expected: type) -> None:
    scheduler = dispatcher([entry("w0"), entry("w1")])
    first = only(scheduler.job_arrived(job(1, repeat=repeat), 0.0))
    if started:
        scheduler.first_event_received(1, 0.1)
    then = only(scheduler.attempt_ended(1, RESET, 0.2))
    assert type(then) is expected
    if isinstance(then, Send):
        assert isinstance(first, Send)
        assert then.instance_id != first.instance_id


@pytest.mark.parametrize(
    ("repeat", "started", "expected"),
    [
        (Repeat.IDEMPOTENT, False, Refuse),
        (Repeat.RESUMABLE, False, Refuse),
        (Repeat.RESUMABLE, True, Fail),
    ],
)
def test_the_end_of_a_stream_that_may_have_run_and_has_no_attempt_left(
    repeat: Repeat, started: bool, expected: type
) -> None:
    scheduler = dispatcher([entry("w0"), entry("w1")])
    scheduler.job_arrived(job(1, repeat=repeat, max_attempts=1), 0.0)
    if started:
        scheduler.first_event_received(1, 0.1)
    assert type(only(scheduler.attempt_ended(1, RESET, 0.2))) is expected


def test_a_partly_forwarded_stream_fails_instead_of_being_refused() -> None:
    scheduler = dispatcher([entry("w0"), entry("w1")])
    scheduler.job_arrived(job(1, repeat=Repeat.RESUMABLE), 0.0)
    scheduler.first_event_received(1, 0.1)
    assert sends(scheduler.attempt_ended(1, RESET, 0.2)) == [1]
    ended = only(scheduler.attempt_ended(1, FULL, 0.3))
    assert ended == Fail(1, FailReason.ATTEMPTS)


def test_a_plain_repeatable_request_may_be_repeated_after_the_first_byte() -> None:
    scheduler = dispatcher([entry("p0", upstream="svc", capacity=6), entry("p1", upstream="svc", capacity=6)])
    scheduler.job_arrived(plain_job(1), 0.0)
    scheduler.first_event_received(1, 0.01)
    assert sends(scheduler.attempt_ended(1, RESET, 0.02)) == [1]


def test_after_the_deadline_there_is_no_further_attempt() -> None:
    scheduler = dispatcher([entry("w0"), entry("w1")])
    scheduler.job_arrived(job(1, repeat=Repeat.IDEMPOTENT), 0.0)
    assert only(scheduler.attempt_ended(1, RESET, 10.0)) == Expire(1, may_have_run=True)


@pytest.mark.parametrize("end", [OK, RESET, FULL, CANCELLED])
def test_nothing_is_decided_for_a_client_that_has_left(end: AttemptEnd) -> None:
    scheduler = dispatcher(single_position_workers(2))
    scheduler.job_arrived(job(1, repeat=Repeat.IDEMPOTENT), 0.0)
    assert scheduler.client_left(1, 0.1) == []
    assert scheduler.attempt_ended(1, end, 0.2) == []
    assert scheduler.job_count == 0


def test_a_queued_job_whose_client_leaves_holds_no_resources() -> None:
    scheduler = dispatcher(single_position_workers())
    scheduler.job_arrived(job(1), 0.0)
    scheduler.job_arrived(job(2), 0.0)
    scheduler.client_left(2, 0.1)
    assert scheduler.attempt_ended(1, OK, 0.15) == []
    assert scheduler.job_count == 0
    assert scheduler.next_timer_at(0.2) is None


def test_events_of_unknown_jobs_are_ignored() -> None:
    scheduler = dispatcher([entry("w0")])
    decisions = [
        scheduler.client_left(5, 0.0),
        scheduler.first_event_received(5, 0.0),
        scheduler.attempt_ended(5, OK, 0.0),
    ]
    assert decisions == [[], [], []]


# ---- configuration, load and memory ----


def test_a_removed_service_keeps_its_jobs_until_they_end() -> None:
    scheduler = dispatcher([entry("w0")])
    scheduler.job_arrived(job(1, repeat=Repeat.IDEMPOTENT), 0.0)
    scheduler.configure([Upstream("svc")], 0.1)
    assert scheduler.attempt_ended(1, OK, 0.2) == []
    scheduler.configure([Upstream("svc")], 0.3)
    refused = only(scheduler.job_arrived(job(2, arrived=0.4), 0.4))
    assert isinstance(refused, Refuse)


def test_own_load_counts_attempts_in_flight() -> None:
    scheduler = dispatcher([entry("w0")])
    scheduler.job_arrived(job(1, shared=1000, own=200, output=50), 0.0)
    scheduler.job_arrived(job(2, shared=1000, own=300, output=50), 0.0)
    assert scheduler.own_load() == {"w0": Load(2, 1250 + 350)}
    scheduler.attempt_ended(1, OK, 0.1)
    assert scheduler.own_load() == {"w0": Load(1, 350)}


def test_a_large_prompt_is_not_starved_by_small_ones() -> None:
    scheduler = dispatcher([entry("w0")])
    sent_at: dict[int, float] = {}
    ends: list[tuple[float, int]] = []
    random, now = Random(1), 0.0
    large = 10_000
    for step in range(400):
        now = step * 0.01
        decisions = scheduler.timer_fired(now)
        for at, job_id in [pair for pair in ends if pair[0] <= now]:
            ends.remove((at, job_id))
            decisions += scheduler.attempt_ended(job_id, OK, now)
        small = job(
            step,
            route="small",
            subject=str(step),
            shared=10,
            own=20_000,
            output=10,
            latency_target_s=2.0,
            arrived=now,
        )
        decisions += scheduler.job_arrived(small, now)
        if step == 100:
            big = job(
                large,
                route="large",
                subject="x",
                shared=10,
                own=300_000,
                output=10,
                latency_target_s=4.0,
                arrived=now,
            )
            decisions += scheduler.job_arrived(big, now)
        for job_id in sends(decisions):
            sent_at[job_id] = now
            scheduler.first_event_received(job_id, now)
            ends.append((now + random.uniform(0.3, 0.5), job_id))
    assert large in sent_at


def test_the_queue_length_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(service, "MAX_QUEUED_JOBS", 10)
    scheduler = dispatcher(single_position_workers())
    answers = [scheduler.job_arrived(job(job_id), 0.0) for job_id in range(20)]
    assert sum(len(answer) for answer in answers[11:]) == 9
    assert scheduler.job_count == 11


def test_classes_of_routes_without_requests_are_dropped() -> None:
    scheduler = dispatcher([entry("w0")])
    for job_id in range(6000):
        now = job_id * 0.01
        route = f"route{job_id // 10}" if job_id < 5000 else "last"
        scheduler.job_arrived(job(job_id, route=route, arrived=now), now)
        scheduler.first_event_received(job_id, now + 0.003)
        scheduler.attempt_ended(job_id, OK, now + 0.005)
    assert len(scheduler.job_classes("llm")) < 300
    assert scheduler.job_count == 0


# ---- failed connections ----


def test_a_failed_connection_counts_neither_as_an_attempt_nor_as_a_retry() -> None:
    scheduler = dispatcher([entry("w0"), entry("w1"), entry("w2")], slack=0.0)
    request = job(1, repeat=Repeat.NEVER, max_attempts=1)
    sent_first = sends(scheduler.job_arrived(request, 0.0))
    again = sends(scheduler.attempt_ended(1, CONNECT_FAILED, 0.01))
    assert (sent_first, again) == ([1], [1])


def test_a_job_is_refused_after_three_failed_connections() -> None:
    scheduler = dispatcher([entry(f"w{number}") for number in range(6)])
    decisions = scheduler.job_arrived(job(1, max_attempts=9), 0.0)
    for _ in range(MAX_FAILED_CONNECTIONS):
        assert sends(decisions) == [1]
        decisions = scheduler.attempt_ended(1, CONNECT_FAILED, 0.01)
    assert isinstance(only(decisions), Refuse)


def test_a_request_is_refused_at_once_after_all_workers_were_tried() -> None:
    scheduler = dispatcher([entry("w0")])
    scheduler.job_arrived(job(1, max_attempts=3), 0.0)
    assert isinstance(only(scheduler.attempt_ended(1, CONNECT_FAILED, 0.01)), Refuse)
