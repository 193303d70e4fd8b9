"""The data plane scheduler: listens for clients, follows the control plane, and ends in good order."""

from __future__ import annotations

import asyncio
import os
import socket
from contextlib import suppress
from random import Random

from reedspoke.common.background import keep_running
from reedspoke.common.configuration import Configuration, RequestLimits
from reedspoke.common.early_signals import handle_signals
from reedspoke.common.errors import FleetError
from reedspoke.common.json_log import INFO, WARNING, log
from reedspoke.common.log_rate_limit import LogRateLimiter
from reedspoke.common.messages import CONFIGURATION, NO_VERSION, WORKERS, MemberList, Version, WorkerList
from reedspoke.common.metrics_endpoint import serve_metrics
from reedspoke.common.node_settings import NodeSettings, load_settings, split_address
from reedspoke.data_plane.client_connection import ClientConnection, ClientRequest, Exchange
from reedspoke.data_plane.confirmation import Confirmation
from reedspoke.data_plane.control_session import ControlSessions
from reedspoke.data_plane.forwarder import Forwarder
from reedspoke.data_plane.process_metrics import add_process_figures
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

BACKLOG = 1024
LINGER_S = 2.3  # after SIGTERM new connections come until the platform has asked for readiness twice
END_MARGIN_S = 0.5  # before the platform ends the process by force
LOOK_S = 0.05
MOST_START_S = 2.0  # connections are accepted after that, even if there is no configuration yet
SETTINGS_INTERVAL_S = 2.0
EMPTY_LIMITS = RequestLimits()


class DataPlane:
    """One data plane scheduler."""

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._workers_version = NO_VERSION
        self._connections: set[ClientConnection] = set()
        self._closing = False
        self._ended = asyncio.Event()
        self._may_accept = asyncio.Event()
        self._incarnation = os.urandom(6).hex()
        self._random = Random()
        self._dispatcher = self._make_dispatcher()
        self._pool = UpstreamPool(self._loop)
        self._registry = Registry()
        self._request_log = RequestLog(self._registry, LogRateLimiter(self._loop.time))
        add_process_figures(self._registry, self)
        self._forwarder = Forwarder(self._loop, self._pool, self._dispatcher, self._request_log.ended)
        listener = StateListener(
            on_configuration=self._on_configuration,
            on_workers=self._on_workers,
            on_members=self._on_members,
            on_running=self._forwarder.set_others_load,
            on_suspects=self._forwarder.set_others_suspects,
        )
        self._confirmation = Confirmation(settings.bounds.apply_ms / 1000, started=self._loop.time())
        self._subscription = Subscription(listener, self._confirmation)
        self._quota = QuotaClient(
            self._loop,
            lambda ask, tried: self._sessions.ask_quota(ask, tried),
            settings.bounds.quota_window_s,
        )
        self._admission = RequestAdmission(
            self._loop,
            self._forwarder,
            self._request_log,
            self._confirmation,
            self._quota,
            settings.bounds,
        )
        self._sessions = ControlSessions(
            self._subscription,
            self._node_state,
            self._seeds,
            self._random,
            SessionTimeouts(settings.watch_timeout_s()),
            self._quota.answered,
        )

    def _make_dispatcher(self) -> Dispatcher:
        bounds = self._settings.bounds
        rule = RetryBudgetRule(
            window_s=bounds.retry_window_s, ratio=bounds.retry_ratio, slack=bounds.retry_slack
        )
        return Dispatcher(zone=self._settings.zone, budget=rule, started=self._loop.time())

    # ---- life ----

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what was taken."""
        handle_signals(self._loop, on_end=self._end, on_reload=self._reload_settings)
        front = listen(self._settings.bind.frontend)
        readiness = await self._loop.create_server(
            lambda: ReadinessConnection(self.is_ready),
            sock=listen(self._settings.bind.readiness),
            backlog=BACKLOG,
        )
        following = self._loop.create_task(self._sessions.run())
        reloading = self._loop.create_task(keep_running("settings", self._poll_settings))
        figures = await serve_metrics(self._settings, self._registry)
        log(INFO, "data plane up", node=self._settings.node_name)
        await self._first_state()
        frontend = await self._loop.create_server(  # without its own backlog it would set one of 100
            lambda: ClientConnection(self, self._loop), sock=front, backlog=BACKLOG
        )
        await self._ended.wait()
        await self._drain(frontend)
        following.cancel()
        reloading.cancel()
        readiness.close()
        if figures is not None:
            figures.close()

    async def _first_state(self) -> None:
        """Requests that come before there is anything to serve them by wait unread, for a short time."""
        with suppress(TimeoutError):
            await asyncio.wait_for(self._may_accept.wait(), MOST_START_S)

    def _end(self) -> None:
        self._ended.set()
        self._may_accept.set()

    async def _drain(self, frontend: asyncio.Server) -> None:
        """Take nothing new that can go elsewhere, finish what was read, break off what is late."""
        self._closing = True
        log(INFO, "shutting down", open_requests=self._admission.open_requests())
        began = self._loop.time()
        last = began + self._settings.bounds.grace_s - END_MARGIN_S
        self._close_idle()
        while self._loop.time() < last:
            lingered = self._loop.time() - began >= LINGER_S
            if lingered:
                frontend.close()
                self._close_idle()
            if lingered and not self._connections:
                break
            await asyncio.sleep(LOOK_S)
        self._admission.break_off_all()
        log(INFO, "data plane ends", after_s=round(self._loop.time() - began, 2))

    def _close_idle(self) -> None:
        for connection in list(self._connections):
            connection.close_if_idle()

    # ---- settings ----

    async def _poll_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_INTERVAL_S)
            if not self._sessions.sessions():
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
            self._forwarder.own_suspects(),
        )

    # ---- what the control plane tells ----

    def _on_configuration(self, configuration: Configuration, version: Version) -> None:
        held = self._admission.routes.version
        check(Invariant.DELIVERY_RISES, version > held, source=CONFIGURATION, held=held, got=version)
        self._admission.configure(configuration, version)
        self._look_whether_ready()
        log(INFO, "configuration in force", generation=configuration.generation)

    def _on_workers(self, workers: WorkerList) -> None:
        held, self._workers_version = self._workers_version, workers.version
        check(
            Invariant.DELIVERY_RISES, workers.version > held, source=WORKERS, held=held, got=workers.version
        )
        self._forwarder.set_workers(workers)
        self._look_whether_ready()

    def _on_members(self, members: MemberList) -> None:
        self._forwarder.set_fleet_size(len(members.edges))

    # ---- readiness ----

    def _look_whether_ready(self) -> None:
        if self.is_ready():
            self._may_accept.set()

    def is_ready(self) -> bool:
        """Whether requests can be served: a configuration and workers are known, and no end is near."""
        state = self._subscription.state
        workers = state.workers
        return not self._closing and state.configuration is not None and bool(workers and workers.workers)

    # ---- what client connections ask ----

    def limits(self) -> RequestLimits:
        configuration = self._admission.routes.configuration
        return EMPTY_LIMITS if configuration is None else configuration.limits

    def closing(self) -> bool:
        return self._closing

    def opened(self, connection: ClientConnection) -> None:
        self._connections.add(connection)

    def closed(self, connection: ClientConnection) -> None:
        self._connections.discard(connection)

    def unreadable(self, status: int, message: str, peer: str) -> None:
        self._request_log.unreadable(status, message, peer)

    def begin(self, request: ClientRequest, connection: ClientConnection) -> Exchange:
        return self._admission.begin(request, connection)

    # ---- what the figures are read from ----

    def in_doubt(self) -> bool:
        """Whether the configuration that is held may be an old one."""
        return self._admission.in_doubt()

    def generation(self) -> int:
        """Of the configuration in force; 0 before the first."""
        configuration = self._admission.routes.configuration
        return 0 if configuration is None else configuration.generation

    def open_connections(self) -> int:
        """Connections of clients."""
        return len(self._connections)

    def open_requests(self) -> int:
        """Requests without a whole answer."""
        return self._admission.open_requests()

    def sound_sessions(self) -> int:
        """Sessions with control schedulers behind which a majority stands."""
        return self._sessions.sessions()

    def known_workers(self) -> int:
        """Workers on the list."""
        workers = self._subscription.state.workers
        return 0 if workers is None else len(workers.workers)

    def avoided_workers(self) -> int:
        """Workers that several schedulers suspect."""
        return self._forwarder.avoided_workers()


def listen(address: str) -> socket.socket:
    """A listening socket at `ip:port`; connections come up before anybody accepts them."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind(split_address(address))
    listener.listen(BACKLOG)
    return listener


async def serve(settings: NodeSettings) -> None:
    """Run a data plane scheduler until it is told to end."""
    await DataPlane(settings).run()
