"""The dispatcher of a scheduler: it takes events and returns decisions, with one `Service` for each upstream.

It does no I/O and reads no clock: each event carries the time in seconds of one monotonic clock. After each
event, call `next_timer_at` to learn when to call `timer_fired`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from reedspoke.decision.job_class import JobClass
from reedspoke.decision.messages import (
    AttemptEnd,
    Decision,
    Job,
    Load,
    Refuse,
    RefuseReason,
    Send,
    Upstream,
    WorkerEntry,
)
from reedspoke.decision.retry_budget import RetryBudget
from reedspoke.decision.service import NOTHING_HELD, HeldResources, Service

UNKNOWN_SERVICE_RETRY_AFTER_S = 0.5  # Retry-After while the service of a route is unknown.


class RetryBudgetRule(Struct, frozen=True, kw_only=True):
    """The parameters of the fleet's retry budget, which applies to each service separately."""

    window_s: float
    ratio: float
    slack: float


class Dispatcher:
    """Queues the jobs of one scheduler and assigns them to workers."""

    def __init__(self, *, zone: str, budget: RetryBudgetRule, started: float) -> None:
        self._zone = zone
        self._budget_rule = budget
        self._started = started
        self._services: dict[str, Service] = {}
        self._service_of: dict[int, Service] = {}  # The service of each job, by job id.
        self._budgets: dict[str, RetryBudget] = {}  # By service name, including services that were removed.
        self._entries: tuple[WorkerEntry, ...] = ()
        self._schedulers = 0

    def configure(self, upstreams: Iterable[Upstream], now: float) -> list[Decision]:
        """Apply the configured upstreams. A removed service keeps its jobs until they end."""
        wanted = {upstream.name: upstream for upstream in upstreams}
        for name, upstream in wanted.items():
            known = self._services.get(name)
            if known is None:
                self._add_service(upstream, now)
            elif known.upstream != upstream:
                known.set_upstream(upstream, now)
        gone = [name for name, service in self._services.items() if name not in wanted and service.idle]
        for name in gone:
            del self._services[name]
        return self._take_decisions()

    def workers_changed(self, entries: Iterable[WorkerEntry], now: float) -> list[Decision]:
        """Replace the list of workers of all services."""
        self._entries = tuple(entries)
        for service in self._services.values():
            service.set_workers(self._entries_of(service.upstream.name), now)
        return self._take_decisions()

    def set_others_load(self, loads: Mapping[str, Load], now: float) -> list[Decision]:
        """Set the load of all other schedulers by instance id; a worker that is not named has none."""
        for service in self._services.values():
            service.set_others(loads, now)
        return self._take_decisions()

    def set_others_suspicions(self, suspects: Mapping[str, int], now: float) -> None:
        """Set how many other schedulers suspect each worker, by instance id; 0 if it is not named."""
        for service in self._services.values():
            service.pool.set_others_suspicions(suspects, now)

    def set_fleet_size(self, schedulers: int, now: float) -> None:
        """Set the number of schedulers including this one; 0 if unknown."""
        self._schedulers = schedulers
        for budget in self._budgets.values():
            budget.set_fleet_size(schedulers, now)

    def job_arrived(self, job: Job, now: float) -> list[Decision]:
        """A request was received completely and has a route."""
        service = self._services.get(job.upstream)
        if service is None:
            return [Refuse(job.job_id, UNKNOWN_SERVICE_RETRY_AFTER_S, RefuseReason.NO_WORKER)]
        self._service_of[job.job_id] = service
        service.job_arrived(job, now)
        return self._take_decisions()

    def client_left(self, job_id: int, now: float) -> list[Decision]:
        """The client disconnected. The caller must end an attempt in flight as CANCELLED."""
        if (service := self._service_of.get(job_id)) is not None:
            service.client_left(job_id, now)
            self._forget(job_id)
        return self._take_decisions()

    def first_event_received(self, job_id: int, now: float) -> list[Decision]:
        """The first event of a stream, or the first byte of another answer, arrived from the worker."""
        if (service := self._service_of.get(job_id)) is not None:
            service.first_event_received(job_id, now)
        return self._take_decisions()

    def attempt_ended(self, job_id: int, end: AttemptEnd, now: float) -> list[Decision]:
        """The job's attempt has ended.

        Unless the job was answered or its client disconnected, a decision on it follows now or later: Send,
        Refuse, Fail or Expire.
        """
        if (service := self._service_of.get(job_id)) is not None:
            service.attempt_ended(job_id, end, now)
            self._forget(job_id)
        return self._take_decisions()

    def can_move(self, job_id: int, now: float) -> bool:
        """Whether a job with an attempt in flight could be sent to another worker immediately."""
        service = self._service_of.get(job_id)
        return service is not None and service.can_move(job_id, now)

    def timer_fired(self, now: float) -> list[Decision]:
        """Serve and expire what has become due."""
        for service in self._services.values():
            service.timer_fired(now)
        return self._take_decisions()

    def next_timer_at(self, now: float) -> float | None:
        """The latest time to call `timer_fired`; None if nothing is due before the next event."""
        times = [at for service in self._services.values() if (at := service.next_timer_at(now)) is not None]
        return min(times, default=None)

    def has_job(self, job_id: int) -> bool:
        """Whether the job is queued or has an attempt in flight."""
        return job_id in self._service_of or any(
            service.has_job(job_id) for service in self._services.values()
        )

    def unreleased(self) -> dict[str, HeldResources]:
        """Resources still held by services without jobs, by service name; empty unless there is a leak."""
        idle = {name: service.held_resources() for name, service in self._services.items() if service.idle}
        return {name: held for name, held in idle.items() if held != NOTHING_HELD}

    @property
    def job_count(self) -> int:
        """The number of jobs that are queued or have an attempt in flight."""
        return len(self._service_of)

    def job_classes(self, upstream: str) -> list[JobClass]:
        """The job classes of a service's fair queue, for inspection."""
        service = self._services.get(upstream)
        return service.job_classes() if service is not None else []

    def own_load(self) -> dict[str, Load]:
        """The load of this scheduler's requests on workers, to send to the other schedulers."""
        loads: dict[str, Load] = {}
        for service in self._services.values():
            loads.update(service.pool.own_load())
        return loads

    def suspected_workers(self, now: float) -> tuple[str, ...]:
        """The workers that this scheduler suspects, to send to the other schedulers."""
        return tuple(
            name for service in self._services.values() for name in service.pool.suspected_workers(now)
        )

    def avoided_workers(self, now: float) -> int:
        """The number of workers that requests avoid because several schedulers suspect them."""
        return sum(len(service.pool.avoided_workers(now)) for service in self._services.values())

    def workers_avoided_by(self, job_id: int, now: float) -> tuple[str, ...]:
        """The workers that this job avoids because several schedulers suspect them."""
        service = self._service_of.get(job_id)
        return () if service is None else tuple(service.pool.avoided_workers(now))

    def _add_service(self, upstream: Upstream, now: float) -> None:
        budget = self._budgets.setdefault(upstream.name, self._new_budget(now))
        service = Service(upstream, self._zone, budget)
        self._services[upstream.name] = service
        service.set_workers(self._entries_of(upstream.name), now)

    def _new_budget(self, now: float) -> RetryBudget:
        rule = self._budget_rule
        budget = RetryBudget(
            window_s=rule.window_s, ratio=rule.ratio, slack=rule.slack, started=self._started
        )
        budget.set_fleet_size(self._schedulers, now)
        return budget

    def _entries_of(self, upstream: str) -> list[WorkerEntry]:
        return [entry for entry in self._entries if entry.upstream == upstream]

    def _take_decisions(self) -> list[Decision]:
        decisions: list[Decision] = []
        for service in self._services.values():
            decisions += service.decisions
            service.decisions.clear()
        for decision in decisions:
            if not isinstance(decision, Send):
                self._service_of.pop(decision.job_id, None)
        return decisions

    def _forget(self, job_id: int) -> None:
        service = self._service_of.get(job_id)
        if service is not None and not service.has_job(job_id):
            del self._service_of[job_id]
