"""The dispatcher inside a scheduler: takes events, returns decisions, one `Service` for each upstream.

It does no I/O and reads no clock: each event comes with the time, in seconds of one steady clock that never
goes back. After each event ask `next_timer_at` when `timer` is to be called.
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
from reedspoke.decision.service import NOTHING_LEFT, Residue, Service

UNKNOWN_SERVICE_RETRY_S = 0.5  # Retry-After where a route's service is not known yet


class RetryBudgetRule(Struct, frozen=True, kw_only=True):
    """The fleet's retry budget for each service."""

    window_s: float
    ratio: float
    slack: float


class Dispatcher:
    """Decides for one scheduler."""

    def __init__(self, *, zone: str, budget: RetryBudgetRule, started: float) -> None:
        self._zone = zone
        self._rule = budget
        self._started = started
        self._services: dict[str, Service] = {}
        self._service_of: dict[int, Service] = {}  # by job
        self._budgets: dict[str, RetryBudget] = {}  # by service, also of those that are gone
        self._entries: tuple[WorkerEntry, ...] = ()
        self._schedulers = 0

    def configure(self, upstreams: Iterable[Upstream], now: float) -> list[Decision]:
        """The services of the configuration in force. One that is gone keeps its jobs until they end."""
        wanted = {upstream.name: upstream for upstream in upstreams}
        for name, upstream in wanted.items():
            known = self._services.get(name)
            if known is None:
                self._add(upstream, now)
            elif known.upstream != upstream:
                known.set_upstream(upstream, now)
        gone = [name for name, service in self._services.items() if name not in wanted and service.idle]
        for name in gone:
            del self._services[name]
        return self._decided()

    def workers_changed(self, entries: Iterable[WorkerEntry], now: float) -> list[Decision]:
        """The whole list of workers, of all services."""
        self._entries = tuple(entries)
        for service in self._services.values():
            service.set_workers(self._entries_of(service.upstream.name), now)
        return self._decided()

    def set_others_load(self, loads: Mapping[str, Load], now: float) -> list[Decision]:
        """What all others together hold, by instance id; a worker that is not named has nothing of theirs."""
        for service in self._services.values():
            service.set_others(loads, now)
        return self._decided()

    def set_others_suspicions(self, suspects: Mapping[str, int], now: float) -> None:
        """How many other schedulers suspect each worker, by instance id; none where it is not named."""
        for service in self._services.values():
            service.pool.set_others_suspects(suspects, now)

    def set_fleet_size(self, schedulers: int, now: float) -> None:
        """The number of schedulers known, this one included; 0: unknown."""
        self._schedulers = schedulers
        for budget in self._budgets.values():
            budget.set_fleet_size(schedulers, now)

    def job_arrived(self, job: Job, now: float) -> list[Decision]:
        """A request was read whole and has a route."""
        service = self._services.get(job.upstream)
        if service is None:
            return [Refuse(job.job_id, UNKNOWN_SERVICE_RETRY_S, RefuseReason.NO_WORKER)]
        self._service_of[job.job_id] = service
        service.arrive(job, now)
        return self._decided()

    def client_left(self, job_id: int, now: float) -> list[Decision]:
        """The client has left. An attempt that is out is to be ended as CANCELLED by the caller."""
        if (service := self._service_of.get(job_id)) is not None:
            service.leave(job_id, now)
            self._forget(job_id)
        return self._decided()

    def first_event_received(self, job_id: int, now: float) -> list[Decision]:
        """The first event of a stream, or the first byte of another answer, has come from the worker."""
        if (service := self._service_of.get(job_id)) is not None:
            service.first_event_received(job_id, now)
        return self._decided()

    def attempt_ended(self, job_id: int, end: AttemptEnd, now: float) -> list[Decision]:
        """The job's attempt has ended. Unless it was answered or its client has left, a decision on the job
        follows, now or later: Send, Refuse, Fail or Expire."""
        if (service := self._service_of.get(job_id)) is not None:
            service.attempt_ended(job_id, end, now)
            self._forget(job_id)
        return self._decided()

    def can_move(self, job_id: int, now: float) -> bool:
        """Whether a job whose attempt is out could go to another worker at once instead."""
        service = self._service_of.get(job_id)
        return service is not None and service.can_move(job_id, now)

    def timer_fired(self, now: float) -> list[Decision]:
        """Time has passed."""
        for service in self._services.values():
            service.tick(now)
        return self._decided()

    def next_timer_at(self, now: float) -> float | None:
        """When `timer` is to be called at the latest; None: after the next event."""
        times = [at for service in self._services.values() if (at := service.next_timer_at(now)) is not None]
        return min(times, default=None)

    def has_job(self, job_id: int) -> bool:
        """Whether the job waits or has an attempt out."""
        return job_id in self._service_of or any(service.knows(job_id) for service in self._services.values())

    def unreleased(self) -> dict[str, Residue]:
        """What is held by each service for whom no job is known, where that is anything."""
        idle = {name: service.unreleased() for name, service in self._services.items() if service.idle}
        return {name: residue for name, residue in idle.items() if residue != NOTHING_LEFT}

    @property
    def job_count(self) -> int:
        """Jobs that wait or have an attempt out."""
        return len(self._service_of)

    def accounts(self, upstream: str) -> list[JobClass]:
        """The clients of a service's fair queue, as operators and tests want to see them."""
        service = self._services.get(upstream)
        return service.accounts() if service is not None else []

    def own_load(self) -> dict[str, Load]:
        """What this scheduler's requests hold at workers, to be told to the others."""
        loads: dict[str, Load] = {}
        for service in self._services.values():
            loads.update(service.pool.own_load())
        return loads

    def suspected_workers(self, now: float) -> tuple[str, ...]:
        """The workers that this scheduler suspects, to be told to the others."""
        return tuple(
            name for service in self._services.values() for name in service.pool.suspected_workers(now)
        )

    def avoided_workers(self, now: float) -> int:
        """Workers that requests avoid, as several schedulers suspect them."""
        return sum(len(service.pool.avoided(now)) for service in self._services.values())

    def workers_avoided_by(self, job_id: int, now: float) -> tuple[str, ...]:
        """The workers that this job avoids, as several schedulers suspect them."""
        service = self._service_of.get(job_id)
        return () if service is None else tuple(service.pool.avoided(now))

    def _add(self, upstream: Upstream, now: float) -> None:
        budget = self._budgets.setdefault(upstream.name, self._budget(now))
        service = Service(upstream, self._zone, budget)
        self._services[upstream.name] = service
        service.set_workers(self._entries_of(upstream.name), now)

    def _budget(self, now: float) -> RetryBudget:
        rule = self._rule
        budget = RetryBudget(
            window_s=rule.window_s, ratio=rule.ratio, slack=rule.slack, started=self._started
        )
        budget.set_fleet_size(self._schedulers, now)
        return budget

    def _entries_of(self, upstream: str) -> list[WorkerEntry]:
        return [entry for entry in self._entries if entry.upstream == upstream]

    def _decided(self) -> list[Decision]:
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
        if service is not None and not service.knows(job_id):
            del self._service_of[job_id]
