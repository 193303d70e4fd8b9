"""Random events for the dispatcher, with the invariants that must always hold."""

from __future__ import annotations

from random import Random

import pytest

from reedspoke.decision.messages import (
    AttemptEnd,
    Cause,
    Decision,
    Job,
    Outcome,
    Repeat,
    Send,
)
from reedspoke.decision.service import MAX_FAILED_CONNECTIONS
from tests.decision.builders import CONNECT_FAILED, FULL, OK, RESET, dispatcher, entry, job

CANCELLED = AttemptEnd(Outcome.CANCELLED)


@pytest.mark.parametrize("seed", range(6))
def test_every_request_gets_one_answer_and_positions_are_never_exceeded(seed: int) -> None:
    """Each job ends exactly once, and a worker never has more of our requests than its capacity."""
    random, now = Random(seed), 0.0
    names = [f"w{index}" for index in range(4)]
    entries = [entry(name, capacity=random.randint(1, 4)) for name in names]
    capacity = {each.instance_id: each.capacity for each in entries}
    scheduler = dispatcher(entries, slack=random.choice((0.0, 20.0)))
    in_flight: dict[int, str] = {}
    open_jobs: dict[int, Job] = {}
    tried: dict[int, list[str]] = {}
    delivered: dict[int, int] = {}

    def apply(decisions: list[Decision]) -> None:
        """Check the decisions and apply them to the model."""
        for decision in decisions:
            assert decision.job_id in open_jobs, decision
            if isinstance(decision, Send):
                assert decision.job_id not in in_flight
                assert decision.instance_id not in tried[decision.job_id]
                assert now < open_jobs[decision.job_id].deadline
                tried[decision.job_id].append(decision.instance_id)
                in_flight[decision.job_id] = decision.instance_id
                assert delivered[decision.job_id] < open_jobs[decision.job_id].max_attempts
                assert len(tried[decision.job_id]) - delivered[decision.job_id] <= MAX_FAILED_CONNECTIONS
                assert list(in_flight.values()).count(decision.instance_id) <= capacity[decision.instance_id]
            else:
                del open_jobs[decision.job_id]

    for job_id in range(1500):
        now += random.expovariate(60)
        repeat = random.choice(list(Repeat))
        request = job(job_id, repeat=repeat, arrived=now, max_attempts=random.randint(1, 3))
        open_jobs[job_id], tried[job_id], delivered[job_id] = request, [], 0
        apply(scheduler.job_arrived(request, now))
        for other in list(in_flight):
            draw = random.random()
            if draw < 0.1:
                apply(scheduler.first_event_received(other, now))
            elif draw < 0.3:
                del in_flight[other]
                timed_out = AttemptEnd(Outcome.FAILED, Cause.TIMED_OUT)
                end = random.choice((OK, OK, OK, FULL, CONNECT_FAILED, RESET, timed_out))
                delivered[other] += end is not CONNECT_FAILED
                if end is OK:
                    del open_jobs[other]
                apply(scheduler.attempt_ended(other, end, now))
            elif draw < 0.31 and other in open_jobs:
                del in_flight[other]
                del open_jobs[other]
                apply(scheduler.client_left(other, now))
                apply(scheduler.attempt_ended(other, CANCELLED, now))
        if (at := scheduler.next_timer_at(now)) is not None and at <= now + 0.01:
            apply(scheduler.timer_fired(now))
    for job_id in list(in_flight):
        del in_flight[job_id]
        del open_jobs[job_id]
        apply(scheduler.attempt_ended(job_id, OK, now))
    for _ in range(200):
        now += 0.02
        apply(scheduler.timer_fired(now))
        for job_id in list(in_flight):
            del in_flight[job_id]
            del open_jobs[job_id]
            apply(scheduler.attempt_ended(job_id, OK, now))
    assert not open_jobs
    assert scheduler.job_count == 0
    assert scheduler.own_load() == {}
