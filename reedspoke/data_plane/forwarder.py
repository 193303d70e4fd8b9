"""Connects exchanges with the dispatcher: executes its decisions and reports to it what exchanges observe."""

from __future__ import annotations

import asyncio

from reedspoke.common.configuration import Configuration
from reedspoke.common.configuration import Upstream as ConfiguredUpstream
from reedspoke.common.messages import WorkerEntry as ListedWorker
from reedspoke.common.messages import WorkerList
from reedspoke.data_plane.authorization import Authorization
from reedspoke.data_plane.client_connection import ClientConnection, ClientRequest
from reedspoke.data_plane.exchange import Exchange
from reedspoke.data_plane.forwarder_invariants import check_idle, check_released
from reedspoke.data_plane.job_builder import build_job
from reedspoke.data_plane.request_log import OnEnded
from reedspoke.data_plane.request_trace import RequestTrace
from reedspoke.data_plane.route_table import CompiledRoute
from reedspoke.data_plane.upstream_pool import MAX_IDLE_PER_WORKER, UpstreamPool
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

MAX_LOGGED_AVOIDED = 8  # The log line of a request names at most this many avoided workers.
TIMEOUT_CHECK_INTERVAL_S = 0.1  # Time-outs and deadlines are checked this often.
DEFAULT_CAPACITY = 1  # Requests that an engine runs at once if the configuration does not state it.
UNAVAILABLE_RETENTION_S = 30.0  # A worker that left the list is remembered as unavailable for this long.


class Forwarder:
    """Owns all exchanges of this process."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pool: UpstreamPool,
        dispatcher: Dispatcher,
        on_ended: OnEnded = lambda trace: None,
    ) -> None:
        self._loop = loop
        self._on_ended = on_ended
        self._unavailable_since: dict[str, float] = {}  # Workers that drain or are gone, by instance id.
        self._pool = pool
        self._dispatcher = dispatcher
        self._exchanges: dict[int, Exchange] = {}
        self._workers: dict[str, WorkerEntry] = {}
        self._last_received_from: dict[str, float] = {}
        self._next_job_id = 0
        self._scheduler_count = 1
        self._max_connections: dict[str, int] = {}  # Per worker, by upstream, for all schedulers together.
        self._dispatcher_timer: asyncio.TimerHandle | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None

    # ---- updates from the control plane ----

    def configure(self, configuration: Configuration) -> None:
        """Applies a new configuration."""
        self._max_connections = {
            name: limit
            for name, item in configuration.upstreams.items()
            if (limit := item.get("max_connections"))
        }
        self._update_idle_limits()
        upstreams = [_upstream(item) for item in configuration.upstreams.values()]
        self._apply(self._dispatcher.configure(upstreams, self._loop.time()))

    def set_workers(self, workers: WorkerList) -> None:
        """Applies a new list of workers."""
        now = self._loop.time()
        entries = [_worker_entry(worker, now) for worker in workers.workers]
        self._update_unavailable(entries, now)
        self._workers = {entry.instance_id: entry for entry in entries}
        self._pool.retain_workers(frozenset(self._workers))
        self._update_idle_limits()
        received = self._last_received_from
        self._last_received_from = {name: received[name] for name in self._workers if name in received}
        self._apply(self._dispatcher.workers_changed(entries, now))

    def _update_unavailable(self, entries: list[WorkerEntry], now: float) -> None:
        draining = {entry.instance_id for entry in entries if entry.draining}
        gone = self._workers.keys() - {entry.instance_id for entry in entries}
        remembered = {
            name: since
            for name, since in self._unavailable_since.items()
            if now - since < UNAVAILABLE_RETENTION_S
        }
        listed = {entry.instance_id for entry in entries} - draining
        unavailable = (draining | gone | remembered.keys()) - listed
        self._unavailable_since = {name: remembered.get(name, now) for name in unavailable}

    def unavailable_since(self, instance_id: str) -> float | None:
        """When this scheduler first saw that the worker drains or is gone; None if it is available."""
        return self._unavailable_since.get(instance_id)

    def set_others_load(self, running: dict[str, tuple[int, int]]) -> None:
        """Sets the load that all other schedulers place on each worker, as requests and tokens."""
        loads = {name: Load(requests, tokens) for name, (requests, tokens) in running.items()}
        self._apply(self._dispatcher.set_others_load(loads, self._loop.time()))

    def set_others_suspicions(self, suspects: dict[str, int]) -> None:
        """Sets how many other schedulers suspect each worker."""
        self._dispatcher.set_others_suspicions(suspects, self._loop.time())

    def suspected_workers(self) -> tuple[str, ...]:
        """The workers that this scheduler suspects."""
        return self._dispatcher.suspected_workers(self._loop.time())

    def avoided_workers(self) -> int:
        """The number of workers that requests avoid because several schedulers suspect them."""
        return self._dispatcher.avoided_workers(self._loop.time())

    def set_fleet_size(self, schedulers: int) -> None:
        """Sets the number of data plane schedulers, including this one."""
        self._scheduler_count = max(1, schedulers)
        self._update_idle_limits()
        self._dispatcher.set_fleet_size(schedulers, self._loop.time())

    def _update_idle_limits(self) -> None:
        """Limits idle connections to this scheduler's equal part of those that a worker accepts."""
        self._pool.max_idle = {
            name: min(MAX_IDLE_PER_WORKER, max(1, limit // self._scheduler_count))
            for name, worker in self._workers.items()
            if (limit := self._max_connections.get(worker.upstream))
        }

    def own_load(self) -> dict[str, tuple[int, int]]:
        """The load that this scheduler places on each worker, as requests and tokens."""
        loads = self._dispatcher.own_load()
        return {name: (load.requests, load.tokens) for name, load in loads.items()}

    # ---- requests ----

    def open_exchange_count(self) -> int:
        """The number of requests without a complete answer."""
        return len(self._exchanges)

    def forward(
        self,
        request: ClientRequest,
        client: ClientConnection,
        route: CompiledRoute,
        upstream: str,
        trace: RequestTrace | None = None,
        authorization: Authorization | None = None,
    ) -> Exchange:
        """Starts forwarding a request that has a route. `trace` is its trace so far."""
        authorization = Authorization(request.first_byte_at) if authorization is None else authorization
        self._next_job_id += 1
        job = build_job(self._next_job_id, request.head, route, upstream, authorization)
        exchange = Exchange(self, self._loop, self._pool, request, client, route, job, trace, authorization)
        exchange.trace.routed(job)
        self._exchanges[job.job_id] = exchange
        self._schedule_timeout_check()
        self._apply(self._dispatcher.job_arrived(job, self._loop.time()))
        return exchange

    def abort_all(self) -> None:
        """Ends all open requests at process shutdown; clients see that their streams are incomplete."""
        for exchange in list(self._exchanges.values()):
            exchange.shut_down()
            self._release_job(exchange.job.job_id)

    # ---- events of exchanges ----

    def data_received(self, exchange: Exchange) -> None:
        """Records that data arrived from the worker of the exchange."""
        worker = exchange.worker()
        if worker is not None:
            self._last_received_from[worker.instance_id] = self._loop.time()

    def answer_started(self, exchange: Exchange) -> None:
        """Notifies the dispatcher that the answer of an attempt has started."""
        self._apply(self._dispatcher.first_event_received(exchange.job.job_id, self._loop.time()))

    def attempt_ended(self, exchange: Exchange, evidence: Evidence) -> None:
        """Reports the end of an attempt that was not cancelled to the dispatcher."""
        end = AttemptEnd(outcome_of(evidence), cause_of(evidence))
        self._apply(self._dispatcher.attempt_ended(exchange.job.job_id, end, self._loop.time()))

    def exchange_aborted(self, exchange: Exchange) -> None:
        """Releases and logs a request that its exchange ended without a decision of the dispatcher.

        Its client has disconnected, its stream cannot be resumed, its key is unconfirmed, or an unexpected
        error occurred. An attempt in flight has been cancelled.
        """
        job_id = exchange.job.job_id
        if self._exchanges.pop(job_id, None) is None:
            return
        self._release_job(job_id)
        check_released(exchange.trace, job_id, self._dispatcher)
        self._on_ended(exchange.trace)

    def exchange_finished(self, exchange: Exchange) -> None:
        """Removes and logs a request whose final answer has been written."""
        if self._exchanges.pop(exchange.job.job_id, None) is not None:
            self._on_ended(exchange.trace)

    # ---- decisions ----

    def _apply(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            exchange = self._exchanges.get(decision.job_id)
            if exchange is not None:
                self._execute(exchange, decision)
        self._schedule_dispatcher_timer()

    def _execute(self, exchange: Exchange, decision: Decision) -> None:
        match decision:
            case Send(instance_id=instance_id, urgency=urgency):
                avoided = self._dispatcher.workers_avoided_by(decision.job_id, self._loop.time())
                exchange.send(self._workers[instance_id], urgency, avoided[:MAX_LOGGED_AVOIDED])
            case Refuse():
                exchange.refuse(decision)
            case Fail():
                exchange.fail(decision)
            case Expire():
                exchange.expire(decision)

    def _schedule_dispatcher_timer(self) -> None:
        if self._dispatcher_timer is not None:
            self._dispatcher_timer.cancel()
            self._dispatcher_timer = None
        at = self._dispatcher.next_timer_at(self._loop.time())
        if at is not None:
            self._dispatcher_timer = self._loop.call_at(at, self._dispatcher_timer_fired)

    def _dispatcher_timer_fired(self) -> None:
        self._dispatcher_timer = None
        self._apply(self._dispatcher.timer_fired(self._loop.time()))

    # ---- time-outs and deadlines ----

    def _schedule_timeout_check(self) -> None:
        if self._timeout_timer is None and self._exchanges:
            self._timeout_timer = self._loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    def _check_timeouts(self) -> None:
        self._timeout_timer = None
        try:
            self._end_overdue(self._loop.time())
        finally:
            self._schedule_timeout_check()

    def _end_overdue(self, now: float) -> None:
        attempts = [attempt for item in self._exchanges.values() if (attempt := item.open_attempt())]
        for expired in expired_requests(attempts, now):
            self._expire_request(expired)
        for job_id in timed_out_attempts(attempts, self._last_received_from, now):
            exchange = self._exchanges.get(job_id)
            if exchange is not None and self._should_time_out(exchange, now):
                exchange.time_out_attempt()
        if not self._exchanges:
            check_idle(self._dispatcher)

    def _should_time_out(self, exchange: Exchange, now: float) -> bool:
        """Whether to end an attempt that timed out.

        A stream that has started is not aborted for a time-out alone: it continues at another worker, or
        waits for its worker if there is no other to continue at.
        """
        return not exchange.stream_started or self._dispatcher.can_move(exchange.job.job_id, now)

    def _expire_request(self, expired: Expire) -> None:
        exchange = self._exchanges.get(expired.job_id)
        if exchange is not None:
            exchange.expire(expired)
            self._release_job(expired.job_id)

    def _release_job(self, job_id: int) -> None:
        """Releases a job that ended without a decision of the dispatcher; its attempt has been cancelled."""
        now = self._loop.time()
        self._apply(self._dispatcher.client_left(job_id, now))
        self._apply(self._dispatcher.attempt_ended(job_id, AttemptEnd(Outcome.CANCELLED), now))


def _upstream(configured: ConfiguredUpstream) -> Upstream:
    engine = configured.get("engine")
    if engine is None:
        return Upstream(configured["name"])
    engine_limits = Engine(engine.get("capacity", DEFAULT_CAPACITY), engine.get("kv_tokens", 0))
    return Upstream(configured["name"], engine_limits)


def _worker_entry(worker: ListedWorker, now: float) -> WorkerEntry:
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
