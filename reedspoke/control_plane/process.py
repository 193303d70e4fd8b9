"""The process of a control plane node: builds its components, runs them, and shuts them down in order.

`ControlProcess` is the environment of the replica's driver. It passes committed configurations, new views and
outgoing messages to the components. It owns the components, and they own all other state.
"""

from __future__ import annotations

import asyncio
import os
from functools import partial
from pathlib import Path

from reedspoke.common.background import keep_running
from reedspoke.common.configuration import Configuration
from reedspoke.common.early_signals import handle_signals
from reedspoke.common.json_log import ERROR, INFO, log
from reedspoke.common.log_rate_limit import LogRateLimiter
from reedspoke.common.messages import ControlMember
from reedspoke.common.metrics_endpoint import serve_metrics
from reedspoke.common.node_settings import NodeSettings, settings_path
from reedspoke.common.unhandled_errors import end_process
from reedspoke.control_plane.api.call_log import OperatorCallLog
from reedspoke.control_plane.api.error_responses import malformed_request_body
from reedspoke.control_plane.api.http_server import HttpServer
from reedspoke.control_plane.api.operator_api import OperatorApi
from reedspoke.control_plane.delivery.configuration_cache import ConfigurationCache
from reedspoke.control_plane.delivery.configuration_publisher import ConfigurationPublisher
from reedspoke.control_plane.delivery.edge_sessions import EdgeSessions
from reedspoke.control_plane.delivery.membership import Membership
from reedspoke.control_plane.delivery.published_state import PublishedState
from reedspoke.control_plane.evacuation.order_log import orders_version
from reedspoke.control_plane.evacuation.service import EvacuationService
from reedspoke.control_plane.graceful_shutdown import GracefulShutdown
from reedspoke.control_plane.metrics import add_state_metrics
from reedspoke.control_plane.node_backend import NodeBackend
from reedspoke.control_plane.peer_exchange import PeerExchange
from reedspoke.control_plane.peers.transport import PeerTransport
from reedspoke.control_plane.quota.service import QuotaService
from reedspoke.control_plane.replication.driver import ReplicaDriver
from reedspoke.control_plane.replication.effects import SendMessage
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.settings_watcher import SettingsWatcher
from reedspoke.control_plane.storage.job_thread import JobThread
from reedspoke.control_plane.tallies.service import TallyService
from reedspoke.control_plane.tallies.storage import TallyStorage
from reedspoke.control_plane.workers.discovery import WorkerDiscovery
from reedspoke.control_plane.workers.discovery_lease import DiscoveryLease
from reedspoke.control_plane.workers.worker_list import WorkerListState
from reedspoke.telemetry.metrics import Registry

MAINTENANCE_INTERVAL_S = 5.0
EDGE_TTL_HEARTBEATS = 3.0  # A data plane node without a message for this many heartbeats expires.
TALLY_OPEN_TIMEOUT_S = 0.5  # the longest delay of the control log's opening by the tally storage
TALLY_DRAIN_TIMEOUT_S = 1.0  # On shutdown, the longest wait until other nodes have this node's tallies.
DISCOVERY_FAILED_EXIT_STATUS = 1


class ControlProcess:
    """One control plane node. Simulations override the `_make` methods."""

    def __init__(self, settings: NodeSettings, path: Path) -> None:
        self._loop = asyncio.get_running_loop()
        self._settings = SettingsWatcher(path, settings, self._settings_reloaded)
        self._address = self._make_address(settings)
        self._sigterm_received = asyncio.Event()
        self._next_maintenance_at = 0.0
        incarnation = self._make_incarnation()
        self._driver = self._make_driver(settings)
        self._build_state(settings, incarnation)
        self._build_exchange(settings, incarnation)
        self._build_endpoints(settings)

    # ---- assembly ----

    def _build_state(self, settings: NodeSettings, incarnation: int) -> None:
        heartbeat_s = settings.heartbeat_ms / 1000
        own = ControlMember(self._address, settings.zone)
        self._membership = Membership(own, heartbeat_s * EDGE_TTL_HEARTBEATS, incarnation)
        self._workers = WorkerListState()
        self._lease = DiscoveryLease(
            self._address, self._loop.time(), fresh_fleet=settings.bootstrap, identity=incarnation
        )
        self._configuration = ConfigurationCache()
        self._publisher = ConfigurationPublisher(
            self._configuration, self._make_document_thread(), self._driver, self._configuration_published
        )
        self._published = PublishedState(
            self._configuration, self._workers, self._membership, self._publisher.confirmed_as_of
        )

    def _build_exchange(self, settings: NodeSettings, incarnation: int) -> None:
        self._quota = QuotaService(
            self._address,
            settings,
            self._driver.majority_as_of,
            lambda: self._membership.live_peers(self._loop.time()),
            lambda address, message: self._transport.send(address, message),
        )
        self._sessions = EdgeSessions(
            settings.node_name,
            self._published,
            settings.watch_timeout_s(),
            lambda: self._exchange.send_table_soon(),
            self._quota.handle_request,
        )
        self._tallies = self._make_tallies(settings, incarnation)
        self._transport = self._make_transport(settings)
        self._exchange = PeerExchange(
            own_address=self._address,
            published=self._published,
            sessions=self._sessions,
            lease=self._lease,
            quota=self._quota,
            transport=self._transport,
            replica=self._driver,
            on_lease_update=lambda: self._discovery.check_lease(),
        )
        self._evacuations = EvacuationService(self._tallies, settings.zones)
        self._discovery = self._make_discovery(settings)

    def _build_endpoints(self, settings: NodeSettings) -> None:
        self._registry = Registry()
        call_log = OperatorCallLog(self._registry, LogRateLimiter(self._loop.time))
        self._backend = NodeBackend(
            node_name=settings.node_name,
            address=self._address,
            driver=self._driver,
            exchange=self._exchange,
            lease=self._lease,
            published=self._published,
            publisher=self._publisher,
            sessions=self._sessions,
            tallies=self._tallies,
            evacuations=self._evacuations,
            call_log=call_log,
        )
        add_state_metrics(self._registry, self._backend)
        self._api = HttpServer(OperatorApi(self._backend).handle, malformed_request_body, call_log)

    def _make_address(self, settings: NodeSettings) -> str:
        return f"{settings.ip_address}:{settings.internal_ports[0]}"

    def _make_incarnation(self) -> int:
        """Return a random number of 31 bits that identifies this process."""
        return int.from_bytes(os.urandom(4), "big") >> 1

    def _make_driver(self, settings: NodeSettings) -> ReplicaDriver:
        return ReplicaDriver(settings, self._address, self)

    def _make_document_thread(self) -> JobThread:
        return JobThread("documents")

    def _make_tallies(self, settings: NodeSettings, incarnation: int) -> TallyService:
        return TallyService(
            partial(TallyStorage, settings, incarnation),
            lambda: self._exchange.peers(),
            lambda address, message: self._transport.send_tally(address, message),
            lambda address, message: self._transport.send_order_message(address, message),
        )

    def _make_transport(self, settings: NodeSettings) -> PeerTransport:
        return PeerTransport(
            self._address,
            settings.zone,
            lambda sender, message: self._exchange.handle(sender, message),
            self._tallies.message_received,
            self._sessions,
        )

    def _make_discovery(self, settings: NodeSettings) -> WorkerDiscovery:
        return WorkerDiscovery(
            settings.cloud_api,
            self._lease,
            self._workers,
            self._exchange.publish_workers,
            self._exchange.send_all,
            self._evacuations.mark_workers,
        )

    # ---- run ----

    async def run(self) -> None:
        """Serve until SIGTERM. Raises OSError if a port is already in use."""
        settings = self._settings.settings
        handle_signals(self._loop, on_end=self._sigterm_received.set, on_reload=self._settings.reload)
        await self._transport.listen()
        if settings.bind.control_plane:
            await self._api.listen(settings.bind.control_plane)
        self._tallies.start()
        # The control log is created after the tally log: a control log alone was written by an earlier
        # version.
        await self._tallies.wait_until_open(TALLY_OPEN_TIMEOUT_S)
        self._driver.start()
        discovery = self._loop.create_task(self._discovery.run())
        discovery.add_done_callback(self._discovery_ended)
        first_list = self._loop.create_task(
            keep_running("worker discovery without the lease", self._discovery.discover_without_lease)
        )
        metrics_server = await serve_metrics(settings, self._registry)
        log(INFO, "control plane started", node=settings.node_name, address=self._address)
        await self._sigterm_received.wait()
        await self._shut_down()
        discovery.cancel()
        first_list.cancel()
        if metrics_server is not None:
            metrics_server.close()
        log(INFO, "control plane stopped")

    async def _shut_down(self) -> None:
        self._backend.shutting_down = True
        self._api.closing = True
        log(INFO, "shutting down")
        self._exchange.release_lease()
        self._driver.start_shutdown()
        await self._tallies.drain(TALLY_DRAIN_TIMEOUT_S)
        await GracefulShutdown(self._driver, self._exchange.is_in_chain, self._grace_s).wait()
        self._sessions.close()
        self._api.close()
        self._transport.close()

    def _grace_s(self) -> float:
        return self._settings.settings.bounds.grace_s

    def _discovery_ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            log(ERROR, "worker discovery failed", error=repr(task.exception()))
            end_process(DISCOVERY_FAILED_EXIT_STATUS)

    def _settings_reloaded(self, previous: NodeSettings, settings: NodeSettings) -> None:
        if settings.seed_addresses() != previous.seed_addresses():
            log(INFO, "seeds changed", seeds=settings.seed_nodes)
            self._driver.seeds_changed(settings.seed_addresses())
        self._backend.node_name = settings.node_name
        self._discovery.update_settings(settings.cloud_api)

    def _configuration_published(self, configuration: Configuration) -> None:
        self._quota.configure(configuration.tenants or {})
        self._sessions.notify_update()

    # ---- environment of the replica's driver ----

    def send(self, effect: SendMessage) -> None:
        """Send a message to another replica."""
        self._transport.send(effect.address, effect.message)

    def deliver(self, committed: CommittedConfiguration) -> None:
        """Publish a committed configuration to data plane nodes."""
        self._publisher.publish(committed)

    def view_changed(self, view: View) -> None:
        """Adopt a newer view."""
        self._exchange.set_view(view)

    def ticked(self) -> None:
        """Run the periodic work of all components; called at each tick of the replica."""
        now = self._loop.time()
        self._exchange.renew_lease(now)
        self._sessions.check_majority()
        self._quota.tick()
        self._tallies.tick()
        self._evacuations.tick()
        self._deliver_evacuations()
        self._exchange.send_table_when_due(now)
        self._settings.check(now)
        if now >= self._next_maintenance_at:
            self._next_maintenance_at = now + MAINTENANCE_INTERVAL_S
            self._transport.close_idle()

    def _deliver_evacuations(self) -> None:
        """Notify data plane nodes of changed orders on zones; they obey them by any list of workers."""
        orders = self._evacuations.orders()
        if orders is not None and self._published.set_evacuations(orders, orders_version(orders)):
            self._sessions.notify_update()


async def serve(settings: NodeSettings) -> None:
    """Run a control plane node until SIGTERM."""
    await ControlProcess(settings, settings_path()).run()
