"""The data plane process: accepts clients, follows the control plane, and shuts down gracefully."""

from __future__ import annotations

import asyncio
import os
import socket
from contextlib import suppress
from random import Random

from msgspec import structs

from reedspoke.common.background import keep_running
from reedspoke.common.configuration import Configuration, RequestLimits
from reedspoke.common.early_signals import handle_signals
from reedspoke.common.errors import FleetError
from reedspoke.common.json_log import INFO, WARNING, log
from reedspoke.common.log_rate_limit import LogRateLimiter
from reedspoke.common.messages import CONFIGURATION, NO_VERSION, WORKERS, MemberList, Version, WorkerList
from reedspoke.common.metrics_endpoint import serve_metrics
from reedspoke.common.node_settings import NodeSettings, load_settings, split_address
from reedspoke.common.worker_lists import subtract_elapsed
from reedspoke.data_plane.client_connection import ClientConnection, ClientRequest, RequestHandler
from reedspoke.data_plane.confirmation import Confirmation
from reedspoke.data_plane.control_session import ControlSessions
from reedspoke.data_plane.forwarder import Forwarder
from reedspoke.data_plane.process_metrics import register_process_metrics
from reedspoke.data_plane.quota_client import QuotaClient
from reedspoke.data_plane.readiness import ReadinessConnection
from reedspoke.data_plane.request_admission import RequestAdmission
from reedspoke.data_plane.request_log import RequestLog
from reedspoke.data_plane.subscription import StateListener, Subscription
from reedspoke.data_plane.upstream_pool import UpstreamPool
from reedspoke.data_plane.watch_session import NodeState, SessionTimeouts
from reedspoke.decision.dispatcher import Dispatcher, RetryBudgetRule
from reedspoke.telemetry.invariants import Invariant, check
from reedspoke.telemetry.metrics import Registry

LISTEN_BACKLOG = 1024
# After SIGTERM, new connections keep arriving until the platform has probed the readiness twice.
ACCEPT_AFTER_SIGTERM_S = 2.3
KILL_MARGIN_S = 0.5  # open requests are ended this long before the platform kills the process
DRAIN_POLL_INTERVAL_S = 0.05
MAX_STARTUP_WAIT_S = 2.0  # then connections are accepted even without a configuration
SETTINGS_RELOAD_INTERVAL_S = 2.0
EMPTY_LIMITS = RequestLimits()


class DataPlane:
    """One data plane node."""

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._workers_version = NO_VERSION
        self._workers_received_at = 0.0
        self._connections: set[ClientConnection] = set()
        self._closing = False
        self._stop_requested = asyncio.Event()
        self._may_accept = asyncio.Event()
        self._incarnation = os.urandom(6).hex()
        self._random = Random()
        self._dispatcher = self._make_dispatcher()
        self._pool = UpstreamPool(self._loop)
        self._registry = Registry()
        self._request_log = RequestLog(self._registry, LogRateLimiter(self._loop.time))
        register_process_metrics(self._registry, self)
        self._forwarder = Forwarder(self._loop, self._pool, self._dispatcher, self._request_log.record)
        listener = StateListener(
            on_configuration=self._on_configuration,
            on_workers=self._on_workers,
            on_members=self._on_members,
            on_peer_load=self._forwarder.set_others_load,
            on_peer_suspects=self._forwarder.set_others_suspicions,
            on_evacuations=self._on_evacuations,
        )
        self._confirmation = Confirmation(settings.bounds.apply_ms / 1000, started=self._loop.time())
        self._subscription = Subscription(listener, self._confirmation)
        self._quota_client = QuotaClient(
            self._loop,
            lambda request, tried: self._sessions.request_quota(request, tried),
            settings.bounds.quota_window_s,
        )
        self._admission = RequestAdmission(
            self._loop,
            self._forwarder,
            self._request_log,
            self._confirmation,
            self._quota_client,
            settings.bounds,
        )
        self._sessions = ControlSessions(
            self._subscription,
            self._node_state,
            self._seeds,
            self._random,
            SessionTimeouts(settings.watch_timeout_s()),
            self._quota_client.handle_response,
        )

    def _make_dispatcher(self) -> Dispatcher:
        bounds = self._settings.bounds
        rule = RetryBudgetRule(
            window_s=bounds.retry_window_s, ratio=bounds.retry_ratio, slack=bounds.retry_slack
        )
        return Dispatcher(zone=self._settings.zone, budget=rule, started=self._loop.time())

    # ---- start and shutdown ----

    async def run(self) -> None:
        """Serve until SIGTERM, then drain the open requests."""
        handle_signals(self._loop, on_end=self._request_stop, on_reload=self._reload_settings)
        frontend_socket = listen(self._settings.bind.frontend)
        readiness = await self._loop.create_server(
            lambda: ReadinessConnection(self.is_ready),
            sock=listen(self._settings.bind.readiness),
            backlog=LISTEN_BACKLOG,
        )
        sessions_task = self._loop.create_task(self._sessions.run())
        settings_task = self._loop.create_task(keep_running("settings", self._poll_settings))
        metrics_server = await serve_metrics(self._settings, self._registry)
        log(INFO, "data plane started", node=self._settings.node_name)
        await self._wait_for_first_state()
        frontend = (
            await self._loop.create_server(  # the default backlog of 100 would replace that of the socket
                lambda: ClientConnection(self, self._loop), sock=frontend_socket, backlog=LISTEN_BACKLOG
            )
        )
        await self._stop_requested.wait()
        await self._drain(frontend)
        sessions_task.cancel()
        settings_task.cancel()
        readiness.close()
        if metrics_server is not None:
            metrics_server.close()

    async def _wait_for_first_state(self) -> None:
        """Wait for a configuration and workers before accepting connections, for a limited time."""
        with suppress(TimeoutError):
            await asyncio.wait_for(self._may_accept.wait(), MAX_STARTUP_WAIT_S)

    def _request_stop(self) -> None:
        self._stop_requested.set()
        self._may_accept.set()

    async def _drain(self, frontend: asyncio.Server) -> None:
        """Close idle connections, let open requests finish, and abort those that exceed the grace period.

        New connections are accepted for a while, as the platform still sends some here.
        """
        self._closing = True
        log(INFO, "shutting down", open_requests=self._admission.open_requests())
        began = self._loop.time()
        deadline = began + self._settings.bounds.grace_s - KILL_MARGIN_S
        self._close_idle()
        while self._loop.time() < deadline:
            accept_period_over = self._loop.time() - began >= ACCEPT_AFTER_SIGTERM_S
            if accept_period_over:
                frontend.close()
                self._close_idle()
            if accept_period_over and not self._connections:
                break
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        self._admission.abort_all()
        log(INFO, "data plane stopped", after_s=round(self._loop.time() - began, 2))

    def _close_idle(self) -> None:
        for connection in list(self._connections):
            connection.close_if_idle()

    # ---- settings ----

    async def _poll_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_RELOAD_INTERVAL_S)
            if not self._sessions.confirmed_sessions():
                self._reload_settings()

    def _reload_settings(self) -> None:
        try:
            self._settings = load_settings()
        except FleetError as error:
            log(WARNING, "settings rejected", code=int(error.code), message=error.message)

    def _seeds(self) -> tuple[str, ...]:
        return self._settings.seed_addresses()

    def _node_state(self) -> NodeState:
        return NodeState(
            self._settings.node_name,
            self._incarnation,
            self._settings.zone,
            self._closing,
            self._forwarder.own_load(),
            self._forwarder.suspected_workers(),
        )

    # ---- updates from the control plane ----

    def _on_configuration(self, configuration: Configuration, version: Version) -> None:
        current = self._admission.routes.version
        check(Invariant.DELIVERY_RISES, version > current, source=CONFIGURATION, held=current, got=version)
        self._admission.configure(configuration, version)
        self._update_accepting()
        log(INFO, "configuration in force", generation=configuration.generation)

    def _on_workers(self, workers: WorkerList) -> None:
        current, self._workers_version = self._workers_version, workers.version
        check(
            Invariant.DELIVERY_RISES,
            workers.version > current,
            source=WORKERS,
            held=current,
            got=workers.version,
        )
        self._workers_received_at = self._loop.time()
        self._forwarder.set_workers(workers)
        self._update_accepting()

    def _on_evacuations(self, workers: WorkerList) -> None:
        """Apply the list in force again after the orders on zones have changed."""
        age_ms = (self._loop.time() - self._workers_received_at) * 1000
        entries = subtract_elapsed(workers.workers, age_ms)
        zones = sorted({worker.zone for worker in workers.workers if worker.instance_id in workers.evacuated})
        log(INFO, "evacuations in force", zones=zones)
        self._forwarder.set_workers(structs.replace(workers, workers=entries))

    def _on_members(self, members: MemberList) -> None:
        self._forwarder.set_fleet_size(len(members.edges))

    # ---- readiness ----

    def _update_accepting(self) -> None:
        if self.is_ready():
            self._may_accept.set()

    def is_ready(self) -> bool:
        """Whether requests can be served: there are a configuration and workers, and no shutdown."""
        state = self._subscription.state
        workers = state.workers
        return not self._closing and state.configuration is not None and bool(workers and workers.workers)

    # ---- interface for client connections ----

    def limits(self) -> RequestLimits:
        """The request limits of the configuration in force."""
        configuration = self._admission.routes.configuration
        return EMPTY_LIMITS if configuration is None else configuration.limits

    def is_shutting_down(self) -> bool:
        """Whether the process is shutting down."""
        return self._closing

    def connection_opened(self, connection: ClientConnection) -> None:
        """A client connection was accepted."""
        self._connections.add(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        """A client connection has ended."""
        self._connections.discard(connection)

    def request_unreadable(self, status: int, message: str, peer: str) -> None:
        """Log a request that could not be parsed, and was refused with `status`."""
        self._request_log.record_unreadable(status, message, peer)

    def handle_request(self, request: ClientRequest, connection: ClientConnection) -> RequestHandler:
        """Begin the exchange of a request that was read completely."""
        return self._admission.begin(request, connection)

    # ---- state for metrics ----

    def in_doubt(self) -> bool:
        """Whether the configuration in force may be out of date."""
        return self._admission.in_doubt()

    def generation(self) -> int | None:
        """The generation of the configuration in force; None before the first."""
        configuration = self._admission.routes.configuration
        return None if configuration is None else configuration.generation

    def open_connections(self) -> int:
        """The number of client connections."""
        return len(self._connections)

    def open_requests(self) -> int:
        """The number of requests without a complete response."""
        return self._admission.open_requests()

    def confirmed_sessions(self) -> int:
        """The number of sessions with control plane nodes that have a majority."""
        return self._sessions.confirmed_sessions()

    def known_workers(self) -> int | None:
        """The number of workers on the list; None before the first list."""
        workers = self._subscription.state.workers
        return None if workers is None else len(workers.workers)

    def avoided_workers(self) -> int:
        """The number of workers that several data plane nodes suspect."""
        return self._forwarder.avoided_workers()


def listen(address: str) -> socket.socket:
    """A listening socket at `ip:port`; the kernel completes connections before they are accepted."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind(split_address(address))
    listener.listen(LISTEN_BACKLOG)
    return listener


async def serve(settings: NodeSettings) -> None:
    """Run a data plane node until SIGTERM."""
    await DataPlane(settings).run()
