"""Asks the dispatcher, has exchanges carry out what it decides, and tells it what they saw."""

from __future__ import annotations

import asyncio

from reedspoke.common.configuration import Configuration
from reedspoke.common.configuration import Upstream as ConfiguredUpstream
from reedspoke.common.messages import WorkerEntry as ListedWorker
from reedspoke.common.messages import WorkerList
from reedspoke.data_plane.authorization import Authorization
from reedspoke.data_plane.client_connection import ClientConnection, ClientRequest
from reedspoke.data_plane.exchange import Exchange
from reedspoke.data_plane.forwarder_invariants import check_forgotten, check_idle
from reedspoke.data_plane.job_builder import build_job
from reedspoke.data_plane.request_log import OnEnded
from reedspoke.data_plane.request_trace import RequestTrace
from reedspoke.data_plane.route_table import CompiledRoute
from reedspoke.data_plane.upstream_pool import MOST_IDLE, UpstreamPool
from reedspoke.decision.attempt_fate import Evidence, cause_of, outcome_of
from reedspoke.decision.attempt_timeout import timed_out_attempts
from reedspoke.decision.deadline_expiry import expired_requests
from reedspoke.decision.dispatcher import Dispatcher
from reedspoke.decision.messages import (
    AttemptEnd,
    Decision,
    Engine,
    Expire,
    Fail,
    Load,
    Outcome,
    Refuse,
    Send,
    Upstream,
    WorkerEntry,
)

MOST_AVOIDED_TOLD = 8  # workers, in the log line of a request
WATCH_INTERVAL_S = 0.1  # between two looks for silent workers and deadlines
DEFAULT_CAPACITY = 1
LEAVING_KEPT_S = 30.0  # for which a worker that is gone is remembered


class Forwarder:
    """All exchanges of this process."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pool: UpstreamPool,
        dispatcher: Dispatcher,
        on_ended: OnEnded = lambda trace: None,
    ) -> None:
        self._loop = loop
        self._on_ended = on_ended
        self._leaving_since: dict[str, float] = {}  # workers that drain or are gone, by instance id
        self._pool = pool
        self._dispatcher = dispatcher
        self._exchanges: dict[int, Exchange] = {}
        self._workers: dict[str, WorkerEntry] = {}
        self._heard_from: dict[str, float] = {}
        self._next_job_id = 0
        self._schedulers = 1
        self._most_connections: dict[str, int] = {}  # that workers of a service accept, from all schedulers
        self._wake: asyncio.TimerHandle | None = None
        self._watch: asyncio.TimerHandle | None = None

    # ---- what the control plane tells ----

    def configure(self, configuration: Configuration) -> None:
        """The configuration in force has changed."""
        self._most_connections = {
            name: most
            for name, item in configuration.upstreams.items()
            if (most := item.get("max_connections"))
        }
        self._share_connections()
        upstreams = [_upstream(item) for item in configuration.upstreams.values()]
        self._apply(self._dispatcher.configure(upstreams, self._loop.time()))

    def set_workers(self, workers: WorkerList) -> None:
        """The list of workers has changed."""
        now = self._loop.time()
        entries = [_entry(worker, now) for worker in workers.workers]
        self._note_leaving(entries, now)
        self._workers = {entry.instance_id: entry for entry in entries}
        self._pool.retain(frozenset(self._workers))
        self._share_connections()
        known = self._heard_from
        self._heard_from = {name: known[name] for name in self._workers if name in known}
        self._apply(self._dispatcher.workers_changed(entries, now))

    def _note_leaving(self, entries: list[WorkerEntry], now: float) -> None:
        draining = {entry.instance_id for entry in entries if entry.draining}
        gone = self._workers.keys() - {entry.instance_id for entry in entries}
        kept = {name: since for name, since in self._leaving_since.items() if now - since < LEAVING_KEPT_S}
        listed = {entry.instance_id for entry in entries} - draining
        leaving = (draining | gone | kept.keys()) - listed
        self._leaving_since = {name: kept.get(name, now) for name in leaving}

    def known_to_leave_since(self, instance_id: str) -> float | None:
        """Since when the list has shown here that this worker drains or is gone; None: it does neither."""
        return self._leaving_since.get(instance_id)

    def set_others_load(self, running: dict[str, tuple[int, int]]) -> None:
        """What all other schedulers hold at workers."""
        loads = {name: Load(requests, tokens) for name, (requests, tokens) in running.items()}
        self._apply(self._dispatcher.set_others_load(loads, self._loop.time()))

    def set_others_suspects(self, suspects: dict[str, int]) -> None:
        """How many other schedulers suspect each worker."""
        self._dispatcher.set_others_suspicions(suspects, self._loop.time())

    def own_suspects(self) -> tuple[str, ...]:
        """The workers that this scheduler suspects, for the others."""
        return self._dispatcher.suspected_workers(self._loop.time())

    def avoided_workers(self) -> int:
        """Workers that requests avoid, as several schedulers suspect them."""
        return self._dispatcher.avoided_workers(self._loop.time())

    def set_fleet_size(self, schedulers: int) -> None:
        """How many schedulers there are, this one included."""
        self._schedulers = max(1, schedulers)
        self._share_connections()
        self._dispatcher.set_fleet_size(schedulers, self._loop.time())

    def _share_connections(self) -> None:
        self._pool.most_idle = {
            name: min(MOST_IDLE, max(1, most // self._schedulers))
            for name, worker in self._workers.items()
            if (most := self._most_connections.get(worker.upstream))
        }

    def own_load(self) -> dict[str, tuple[int, int]]:
        """What this scheduler holds at workers, for the others."""
        loads = self._dispatcher.own_load()
        return {name: (load.requests, load.tokens) for name, load in loads.items()}

    # ---- requests ----

    def open_exchanges(self) -> int:
        """Requests without a whole answer."""
        return len(self._exchanges)

    def begin(
        self,
        request: ClientRequest,
        client: ClientConnection,
        route: CompiledRoute,
        upstream: str,
        trace: RequestTrace | None = None,
        authorization: Authorization | None = None,
    ) -> Exchange:
        """Take a request that has a route. `trace` has what is known of it by now."""
        authorization = Authorization(request.began) if authorization is None else authorization
        self._next_job_id += 1
        job = build_job(self._next_job_id, request.head, route, upstream, authorization)
        exchange = Exchange(self, self._loop, self._pool, request, client, route, job, trace, authorization)
        exchange.trace.taken(job)
        self._exchanges[job.job_id] = exchange
        self._watch_later()
        self._apply(self._dispatcher.job_arrived(job, self._loop.time()))
        return exchange

    def break_off_all(self) -> None:
        """End what is left, for the end of the process: streams are seen to be incomplete."""
        for exchange in list(self._exchanges.values()):
            exchange.shut_down()
            self._forget(exchange.job.job_id)

    # ---- what exchanges tell ----

    def progress(self, exchange: Exchange) -> None:
        """Something of an answer has come from the worker."""
        worker = exchange.worker()
        if worker is not None:
            self._heard_from[worker.instance_id] = self._loop.time()

    def first_event(self, exchange: Exchange) -> None:
        """The first event of an attempt has come."""
        self._apply(self._dispatcher.first_event_received(exchange.job.job_id, self._loop.time()))

    def attempt_ended(self, exchange: Exchange, evidence: Evidence) -> None:
        """An attempt has ended, other than by being called off."""
        end = AttemptEnd(outcome_of(evidence), cause_of(evidence))
        self._apply(self._dispatcher.attempt_ended(exchange.job.job_id, end, self._loop.time()))

    def called_off(self, exchange: Exchange) -> None:
        """The answer will not be whole, as the client has gone or the stream can't be resumed. An attempt
        that was out has been called off."""
        job_id = exchange.job.job_id
        if self._exchanges.pop(job_id, None) is None:
            return
        self._forget(job_id)
        check_forgotten(exchange.trace, job_id, self._dispatcher)
        self._on_ended(exchange.trace)

    def finished(self, exchange: Exchange) -> None:
        """The answer has ended."""
        if self._exchanges.pop(exchange.job.job_id, None) is not None:
            self._on_ended(exchange.trace)

    # ---- decisions ----

    def _apply(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            exchange = self._exchanges.get(decision.job_id)
            if exchange is not None:
                self._carry_out(exchange, decision)
        self._wake_later()

    def _carry_out(self, exchange: Exchange, decision: Decision) -> None:
        match decision:
            case Send(instance_id=instance_id, urgency=urgency):
                avoided = self._dispatcher.workers_avoided_by(decision.job_id, self._loop.time())
                exchange.send(self._workers[instance_id], urgency, avoided[:MOST_AVOIDED_TOLD])
            case Refuse():
                exchange.refuse(decision)
            case Fail():
                exchange.fail(decision)
            case Expire():
                exchange.expire(decision)

    def _wake_later(self) -> None:
        if self._wake is not None:
            self._wake.cancel()
            self._wake = None
        at = self._dispatcher.next_timer_at(self._loop.time())
        if at is not None:
            self._wake = self._loop.call_at(at, self._timer)

    def _timer(self) -> None:
        self._wake = None
        self._apply(self._dispatcher.timer_fired(self._loop.time()))

    # ---- silence ----

    def _watch_later(self) -> None:
        if self._watch is None and self._exchanges:
            self._watch = self._loop.call_later(WATCH_INTERVAL_S, self._look_after)

    def _look_after(self) -> None:
        self._watch = None
        try:
            self._end_what_is_late(self._loop.time())
        finally:
            self._watch_later()

    def _end_what_is_late(self, now: float) -> None:
        attempts = [attempt for item in self._exchanges.values() if (attempt := item.open_attempt())]
        for expired in expired_requests(attempts, now):
            self._end_overdue(expired)
        for job_id in timed_out_attempts(attempts, self._heard_from, now):
            exchange = self._exchanges.get(job_id)
            if exchange is not None and self._gains_by_another(exchange, now):
                exchange.give_up_attempt()
        if not self._exchanges:
            check_idle(self._dispatcher)

    def _gains_by_another(self, exchange: Exchange, now: float) -> bool:
        """Silence alone is no reason to break a stream off: it goes to another worker or goes on waiting."""
        return not exchange.stream_begun or self._dispatcher.can_move(exchange.job.job_id, now)

    def _end_overdue(self, expired: Expire) -> None:
        exchange = self._exchanges.get(expired.job_id)
        if exchange is not None:
            exchange.expire(expired)
            self._forget(expired.job_id)

    def _forget(self, job_id: int) -> None:
        """A job has ended otherwise than was decided; an attempt that was out has been called off."""
        now = self._loop.time()
        self._apply(self._dispatcher.client_left(job_id, now))
        self._apply(self._dispatcher.attempt_ended(job_id, AttemptEnd(Outcome.CANCELLED), now))


def _upstream(configured: ConfiguredUpstream) -> Upstream:
    engine = configured.get("engine")
    if engine is None:
        return Upstream(configured["name"])
    facts = Engine(engine.get("capacity", DEFAULT_CAPACITY), engine.get("kv_tokens", 0))
    return Upstream(configured["name"], facts)


def _entry(worker: ListedWorker, now: float) -> WorkerEntry:
    return WorkerEntry(
        instance_id=worker.instance_id,
        upstream=worker.upstream,
        address=worker.address,
        zone=worker.zone,
        capacity=worker.capacity,
        draining=worker.draining,
        models=worker.models,
        cold_until=now + worker.cold_left_ms / 1000,
    )
