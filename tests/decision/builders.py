"""Builders of workers, jobs and dispatchers for tests."""

from __future__ import annotations

from collections.abc import Sequence

from reedspoke.decision.dispatcher import Dispatcher, RetryBudgetRule
from reedspoke.decision.messages import (
    AttemptEnd,
    Cause,
    Engine,
    Job,
    Outcome,
    PromptPart,
    Repeat,
    Upstream,
    WorkerEntry,
)

ENGINE = Engine(capacity=64, kv_tokens=400_000)
OK = AttemptEnd(Outcome.OK)
FULL = AttemptEnd(Outcome.NOT_EXECUTED, Cause.FULL)
CONNECT_FAILED = AttemptEnd(Outcome.NOT_EXECUTED, Cause.CONNECT_FAILED)
RESET = AttemptEnd(Outcome.FAILED, Cause.RESET)
STARTED = -1000.0  # The start of a scheduler, long before the tests.


def entry(
    name: str,
    *,
    upstream: str = "llm",
    zone: str = "north",
    capacity: int = 64,
    draining: bool = False,
    models: tuple[str, ...] = (),
    cold_until: float = 0.0,
) -> WorkerEntry:
    """An entry in the list of workers."""
    return WorkerEntry(
        instance_id=name,
        upstream=upstream,
        address=f"{name}:80",
        zone=zone,
        capacity=capacity,
        draining=draining,
        models=models,
        cold_until=cold_until,
    )


def job(
    job_id: int,
    *,
    subject: str = "s",
    shared: int = 1000,
    own: int = 200,
    output: int = 50,
    upstream: str = "llm",
    route: str = "chat",
    priority: int = 0,
    repeat: Repeat = Repeat.NEVER,
    model: str = "",
    latency_target_s: float = 1.0,
    deadline_s: float = 10.0,
    arrived: float = 0.0,
    max_attempts: int = 2,
    streaming: bool = True,
) -> Job:
    """A request whose prompt has a shared part and one of its own."""
    return Job(
        job_id=job_id,
        route=route,
        upstream=upstream,
        priority=priority,
        repeat=repeat,
        streaming=streaming,
        model=model,
        parts=(PromptPart(subject, shared), PromptPart(f"own{job_id}", own)),
        prompt_tokens=shared + own,
        output_tokens=output,
        latency_target_s=latency_target_s,
        deadline=arrived + deadline_s,
        max_attempts=max_attempts,
        arrived=arrived,
    )


def plain_job(
    job_id: int, *, arrived: float = 0.0, latency_target_s: float = 0.4, max_attempts: int = 2
) -> Job:
    """A request to a service without an engine."""
    return Job(
        job_id=job_id,
        route="check",
        upstream="svc",
        priority=0,
        repeat=Repeat.IDEMPOTENT,
        latency_target_s=latency_target_s,
        deadline=arrived + 3.0,
        max_attempts=max_attempts,
        arrived=arrived,
    )


def dispatcher(entries: Sequence[WorkerEntry], *, zone: str = "north", slack: float = 50.0) -> Dispatcher:
    """A scheduler that started long ago, with an engine service `llm` and a plain service `svc`."""
    made = Dispatcher(zone=zone, budget=RetryBudgetRule(window_s=10, ratio=0.2, slack=slack), started=STARTED)
    made.set_fleet_size(1, STARTED)
    made.configure([Upstream("llm", ENGINE), Upstream("svc")], 0.0)
    made.workers_changed(entries, 0.0)
    return made
