"""Tenants in the queue: a tenant with many requests does not delay the others."""

from __future__ import annotations

import pytest
from msgspec import structs

from reedspoke.decision.job_class import (
    SHARE_RATIO_PER_RANK,
    JobClass,
    JobState,
    Shares,
    fairness_key,
    priority_rank,
)
from reedspoke.decision.messages import Job, PromptPart, Repeat
from reedspoke.decision.size_bands import Band
from reedspoke.decision.subject_queue import SubjectQueue

JOB = Job(
    job_id=1,
    route="r",
    upstream="u",
    priority=1,
    repeat=Repeat.NEVER,
    parts=(PromptPart("shared", 10), PromptPart("own", 5)),
    latency_target_s=1.0,
    deadline=5.0,
    arrived=0.0,
)


def job(**changes: object) -> Job:
    """The default job with changed fields."""
    return structs.replace(JOB, **changes)


def test_the_fairness_key_is_the_tenant_or_else_the_subject() -> None:
    assert fairness_key(job()) == "shared"
    assert fairness_key(job(tenant="a")) == fairness_key(job(tenant="a", parts=()))
    assert fairness_key(job(tenant="a")) != fairness_key(job(tenant="b"))


@pytest.mark.parametrize(
    ("route", "tenant", "rank"),
    [
        (0, None, 0),
        (1, None, 1),
        (9, None, 3),
        (-1, None, 0),
        (0, 0, 0),
        (3, 0, 0.75),
        (0, 1, 1),
        (9, 9, 3.75),
    ],
)
def test_a_tenant_s_urgency_goes_before_that_of_the_route(
    route: int, tenant: int | None, rank: float
) -> None:
    assert priority_rank(job(priority=route, tenant="a", tenant_priority=tenant)) == rank


def test_a_less_urgent_tenant_s_class_has_the_smaller_share() -> None:
    shares = Shares()
    urgent, other = JobClass("r1", Band.REST), JobClass("r2", Band.REST)
    shares.record_arrival(urgent, 1.0, priority_rank(job(tenant="a", tenant_priority=0)), 0.0)
    shares.record_arrival(other, 1.0, priority_rank(job(tenant="b", tenant_priority=1)), 0.0)
    shares.record_arrival(urgent, 1.0, priority_rank(job(tenant="a", tenant_priority=0)), 0.0)
    shares.record_arrival(other, 1.0, priority_rank(job(tenant="b", tenant_priority=1)), 0.0)
    assert urgent.offered_work / other.offered_work == pytest.approx(SHARE_RATIO_PER_RANK)


def test_a_tenant_with_one_job_waits_for_one_job_of_the_tenant_with_many() -> None:
    queue: SubjectQueue[JobState] = SubjectQueue()
    states = []
    for number in range(20):
        waiting = job(job_id=number, tenant="many" if number < 19 else "one")
        state = JobState(waiting, JobClass("r", Band.REST), 1.0, 1.0)
        states.append(state)
        queue.push(fairness_key(waiting), state)
    served = []
    while queue:
        head = queue.head()
        queue.take(fairness_key(head.job), head, 1.0)
        served.append(head.job.tenant)
    assert served.index("one") <= 1
