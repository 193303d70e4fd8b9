"""The choice of the worker for a job."""

from __future__ import annotations

from collections import Counter

import pytest

from reedspoke.decision import placement
from reedspoke.decision.dispatcher import Dispatcher
from reedspoke.decision.messages import AttemptEnd, Cause, Decision, Job, Load, Outcome, Send
from tests.decision.builders import OK, dispatcher, entry, job, plain_job

NINE = [entry(f"w{index}", zone=("north", "south", "west")[index % 3]) for index in range(9)]


def sent_to(scheduler: Dispatcher, request: Job, now: float = 0.0) -> str | None:
    """The worker that a job is sent to at once, if any."""
    sends = [decision for decision in scheduler.job_arrived(request, now) if isinstance(decision, Send)]
    return sends[0].instance_id if sends else None


def sends_of(decisions: list[Decision]) -> list[int]:
    """The jobs of the Send decisions."""
    return [decision.job_id for decision in decisions if isinstance(decision, Send)]


def serve(scheduler: Dispatcher, request: Job, now: float = 0.0) -> str | None:
    """Run a job to its end and return its worker."""
    found = sent_to(scheduler, request, now)
    scheduler.first_event_received(request.job_id, now + 0.01)
    scheduler.attempt_ended(request.job_id, OK, now + 0.02)
    return found


def test_schedulers_agree_on_the_worker_of_a_prefix_without_communication() -> None:
    one, two = dispatcher(NINE, zone="north"), dispatcher(NINE[::-1], zone="west")
    for index in range(60):
        subject = f"subject{index}"
        assert serve(one, job(index, subject=subject)) == serve(two, job(1000 + index, subject=subject))


def test_a_prefix_keeps_its_worker_and_different_ones_spread() -> None:
    scheduler = dispatcher(NINE)
    preferred = Counter[str | None]()
    for subject in range(90):
        workers = {serve(scheduler, job(subject * 10 + turn, subject=f"s{subject}")) for turn in range(4)}
        assert len(workers) == 1
        preferred.update(workers)
    assert len(preferred) == 9
    assert max(preferred.values()) < 25


def test_a_session_goes_where_its_last_part_was() -> None:
    scheduler = dispatcher(NINE)
    first = sent_to(scheduler, job(1))
    others = {name.instance_id: Load(30, 0) for name in NINE if name.instance_id == first}
    scheduler.set_others_load(others, 0.1)
    second_job = job(2, shared=100, own=9000)
    second = serve(scheduler, second_job, 0.2)
    again = Job(**{name: getattr(second_job, name) for name in second_job.__struct_fields__} | {"job_id": 3})
    scheduler.set_others_load({}, 0.3)
    assert serve(scheduler, again, 0.4) == second


def test_a_hot_prefix_spreads_over_a_few_workers() -> None:
    scheduler = dispatcher(NINE)
    workers = Counter(
        sent_to(scheduler, job(index, subject="hot", shared=5000, own=1000)) for index in range(40)
    )
    assert 2 <= len(workers) <= 6
    assert workers.most_common(1)[0][1] < 30


def test_a_long_prefix_waits_briefly_for_preferred_workers_and_a_short_one_does_not() -> None:
    scheduler = dispatcher(NINE)
    preferred: set[str] = set()
    for turn in range(3):
        preferred_worker = serve(scheduler, job(turn, shared=9000), turn)
        assert preferred_worker is not None
        preferred.add(preferred_worker)
        scheduler.set_others_load({name: Load(64, 0) for name in preferred}, turn + 0.5)
        serve(scheduler, job(10 + turn, subject=f"other{turn}"), turn + 0.6)
    assert len(preferred) == 3
    assert sent_to(scheduler, job(20, shared=9000, arrived=5.0), 5.0) is None
    assert sent_to(scheduler, job(21, shared=90, subject="short", arrived=5.0), 5.0) is not None
    assert sends_of(scheduler.timer_fired(5.0 + placement.PREFERRED_WAIT_SHARE - 0.02)) == []
    assert sends_of(scheduler.timer_fired(5.0 + placement.PREFERRED_WAIT_SHARE + 0.001)) == [20]


def test_a_worker_in_backoff_gets_nothing_until_its_end() -> None:
    scheduler = dispatcher([entry("w0", models=("m",)), entry("w1", models=("n",))])
    scheduler.job_arrived(job(1, model="m", max_attempts=1), 0.0)
    scheduler.attempt_ended(1, AttemptEnd(Outcome.NOT_EXECUTED, Cause.CONNECT_FAILED), 0.0)
    assert sent_to(scheduler, job(2, model="m"), 0.01) is None
    assert sends_of(scheduler.timer_fired(0.09)) == []
    assert sends_of(scheduler.timer_fired(0.11)) == [2]


def test_a_prompt_that_was_not_run_does_not_count_as_cached() -> None:
    scheduler = dispatcher([entry("w0")])
    scheduler.job_arrived(job(1, shared=1000, max_attempts=1), 0.0)
    scheduler.attempt_ended(1, AttemptEnd(Outcome.NOT_EXECUTED, Cause.NONE), 0.01)
    assert sent_to(scheduler, job(2, shared=1000, own=200, output=50), 0.1) == "w0"
    assert scheduler.own_load() == {"w0": Load(1, 1250)}


def test_what_does_not_fit_a_worker_s_memory_goes_elsewhere_or_waits() -> None:
    scheduler = dispatcher([entry("w0")])
    assert sent_to(scheduler, job(1, subject="a", shared=10, own=300_000)) == "w0"
    assert sent_to(scheduler, job(2, subject="b", shared=10, own=110_000)) is None
    scheduler.workers_changed([entry("w0"), entry("w1")], 0.01)
    assert scheduler.own_load().keys() == {"w0", "w1"}


@pytest.mark.parametrize("load", [Load(60, 0), Load(10, 390_000)])
def test_the_load_of_others_moves_a_job_to_another_worker(load: Load) -> None:
    scheduler = dispatcher(NINE)
    preferred_worker = serve(scheduler, job(1))
    assert preferred_worker is not None
    scheduler.set_others_load({preferred_worker: load}, 1.0)
    assert serve(scheduler, job(2), 1.0) != preferred_worker
    scheduler.set_others_load({}, 2.0)
    assert serve(scheduler, job(3), 2.0) == preferred_worker


@pytest.mark.parametrize(
    "changed",
    [
        entry("w0", draining=True),
        entry("w0", models=("other",)),
        entry("w0", capacity=0),
    ],
)
def test_a_worker_that_must_not_or_cannot_run_the_job_is_excluded(changed: object) -> None:
    scheduler = dispatcher([changed, entry("w1")])  # type: ignore[list-item]
    workers = {serve(scheduler, job(index, subject=str(index), model="m")) for index in range(30)}
    assert workers == {"w1"}


def test_a_worker_with_the_model_can_run_the_job() -> None:
    scheduler = dispatcher([entry("w0", models=("m", "n"))])
    assert serve(scheduler, job(1, model="n")) == "w0"


@pytest.mark.parametrize("cause", [Cause.CONNECT_FAILED, Cause.FULL, Cause.WRONG_INSTANCE])
def test_a_worker_that_just_failed_is_excluded(cause: Cause) -> None:
    scheduler = dispatcher([entry("w0"), entry("w1")])
    first = sent_to(scheduler, job(1))
    end = AttemptEnd(Outcome.NOT_EXECUTED, cause)
    (again,) = scheduler.attempt_ended(1, end, 0.01)
    assert isinstance(again, Send)
    assert again.instance_id != first
    assert sent_to(scheduler, job(2), 0.02) != first


def test_a_cold_worker_is_avoided_where_it_costs_more_than_the_prefix() -> None:
    warm = [entry("w0"), entry("w1")]
    preferred_worker = serve(dispatcher(warm), job(1, shared=200, own=4000))
    cold = [
        entry(name.instance_id, cold_until=50.0 if name.instance_id == preferred_worker else 0.0)
        for name in warm
    ]
    scheduler = dispatcher(cold)
    assert serve(scheduler, job(1, shared=200, own=4000)) != preferred_worker
    assert serve(scheduler, job(2, subject="t", shared=200, own=4000, arrived=60.0), 60.0) is not None


def test_a_plain_service_goes_by_load_and_prefers_its_zone_slightly() -> None:
    three = [entry(f"p{zone}", upstream="svc", zone=zone, capacity=6) for zone in ("north", "south", "west")]
    scheduler = dispatcher(three)
    assert {serve(scheduler, plain_job(index, arrived=index), index) for index in range(20)} == {"pnorth"}
    scheduler.set_others_load({"pnorth": Load(5, 0)}, 20.0)
    assert serve(scheduler, plain_job(30, arrived=20.0), 20.0) != "pnorth"


def test_a_plain_service_uses_all_its_positions() -> None:
    three = [entry(f"p{index}", upstream="svc", capacity=6) for index in range(3)]
    scheduler = dispatcher(three)
    workers = Counter(sent_to(scheduler, plain_job(index)) for index in range(18))
    assert workers == {"p0": 6, "p1": 6, "p2": 6}
    assert sent_to(scheduler, plain_job(99)) is None


def test_a_slow_worker_of_a_plain_service_gets_less() -> None:
    scheduler = dispatcher(
        [entry("fast", upstream="svc", capacity=6), entry("slow", upstream="svc", capacity=6)]
    )
    workers = Counter[str | None]()
    for index in range(200):
        now = index * 1.0
        found = sent_to(scheduler, plain_job(index, arrived=now), now)
        workers[found] += 1
        took = 0.05 if found == "fast" else 0.19
        scheduler.first_event_received(index, now + took)
        scheduler.attempt_ended(index, OK, now + took)
    assert workers["fast"] > 4 * workers["slow"]
