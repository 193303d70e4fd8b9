"""The process of a control scheduler: puts its parts together, and ends them in order."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from reedspoke.common.background import keep_running
from reedspoke.common.configuration import Configuration
from reedspoke.common.early_signals import handle_signals
from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.json_log import ERROR, INFO, WARNING, log
from reedspoke.common.log_rate_limit import LogRateLimiter
from reedspoke.common.messages import ControlMember, WorkerList, encode
from reedspoke.common.metrics_endpoint import serve_metrics
from reedspoke.common.node_settings import NodeSettings, load_settings, settings_path
from reedspoke.common.unhandled_errors import end_process
from reedspoke.control_plane.api.call_log import CompletedCall, OperatorCallLog
from reedspoke.control_plane.api.error_responses import malformed_request_body
from reedspoke.control_plane.api.http_server import HttpServer
from reedspoke.control_plane.api.operator_api import OperatorApi
from reedspoke.control_plane.api.schemas import StatusAnswer
from reedspoke.control_plane.delivery.configuration_cache import ConfigurationCache, PreparedConfiguration
from reedspoke.control_plane.delivery.edge_sessions import EdgeSessions
from reedspoke.control_plane.delivery.membership import Membership
from reedspoke.control_plane.delivery.published_state import PublishedState
from reedspoke.control_plane.file_stamp import stamp_of
from reedspoke.control_plane.metrics import add_state_metrics
from reedspoke.control_plane.peers.messages import (
    DiscoveryLeaseRelease,
    DiscoveryLeaseRequest,
    DiscoveryLeaseResponse,
    PeerMessage,
    QuotaLoan,
    QuotaLoanRequest,
    SessionTable,
)
from reedspoke.control_plane.peers.transport import PeerTransport
from reedspoke.control_plane.quota.service import QuotaService
from reedspoke.control_plane.replication.driver import ReplicaDriver
from reedspoke.control_plane.replication.effects import GetCompleted, PutCompleted, SendMessage
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.storage.job_thread import JobThread
from reedspoke.control_plane.workers.discovery import WorkerDiscovery
from reedspoke.control_plane.workers.discovery_lease import DiscoveryLease, OutgoingMessage
from reedspoke.control_plane.workers.worker_list import UNLEASED_TERM, WorkerListState
from reedspoke.telemetry.invariants import Invariant, check
from reedspoke.telemetry.metrics import Registry

TABLE_INTERVAL_S = 0.4  # between two tables of sessions for the other control schedulers
ARRIVALS_S = 0.1  # data plane schedulers that come or go within this time are told of together
SETTINGS_INTERVAL_S = 2.0
MAINTENANCE_INTERVAL_S = 5.0
EDGE_TTL_HEARTBEATS = 3.0
LEAVE_S = 1.0  # calls of the operator are answered that long after SIGTERM
LEAVE_MARGIN_S = 1.0  # the process ends that long before the settings' grace_s is over
LEAVE_LOOK_S = 0.05
LEAST_LEAVE_S = 0.3  # for the others to go on without this replica
DUTY_FAILED_EXIT = 1  # exit status
TOLD_S = 0.2  # so long after this replica has learned that it is out of the chain, the others know it too


class ControlProcess:
    """One control scheduler."""

    def __init__(self, settings: NodeSettings, path: Path) -> None:
        self._settings = settings
        self._path = path
        self._stamp = stamp_of(path)
        self._loop = asyncio.get_running_loop()
        self._address = f"{settings.ip_address}:{settings.internal_ports[0]}"
        self._view: View | None = None
        self._peers: tuple[str, ...] = ()
        self._ended = asyncio.Event()
        self._leaving = False
        self._table_at = 0.0
        self._settings_at = 0.0
        self._maintenance_at = 0.0
        self._newest_committed: CommittedConfiguration | None = None
        self._published_as_of: float | None = None  # as of then what is published was the newest
        self._build(settings)

    def _build(self, settings: NodeSettings) -> None:
        heartbeat_s = settings.heartbeat_ms / 1000
        now = self._loop.time()
        identity = int.from_bytes(os.urandom(4), "big") >> 1
        own = ControlMember(self._address, settings.zone)
        self._membership = Membership(own, heartbeat_s * EDGE_TTL_HEARTBEATS, identity)
        self._documents = JobThread("documents")
        self._configuration = ConfigurationCache()
        self._book = WorkerListState()
        self._state = PublishedState(self._configuration, self._book, self._membership, self._confirmed_as_of)
        self._lease = DiscoveryLease(self._address, now, fresh_fleet=settings.bootstrap, identity=identity)
        self._build_quota(settings)
        self._sessions = EdgeSessions(
            settings.node_name,
            self._state,
            settings.watch_timeout_s(),
            self._sessions_changed,
            self._quota.handle_request,
        )
        self._transport = PeerTransport(self._address, settings.zone, self._peer_message, self._sessions)
        self._duty = WorkerDiscovery(
            settings.cloud_api, self._lease, self._book, self._publish_workers, self._send_lease
        )
        self._driver = ReplicaDriver(settings, self._address, self)
        self._registry = Registry()
        add_state_metrics(self._registry, self)
        self._call_log = OperatorCallLog(self._registry, LogRateLimiter(self._loop.time))
        self._api = HttpServer(OperatorApi(self).handle, malformed_request_body)

    def _build_quota(self, settings: NodeSettings) -> None:
        self._quota = QuotaService(
            self._address,
            settings,
            lambda: self._driver.majority_as_of(),
            lambda: self._membership.live_peers(self._loop.time()),
            lambda address, message: self._transport.send(address, message),
        )

    async def run(self) -> None:
        """Serve until SIGTERM."""
        handle_signals(self._loop, on_end=self._ended.set, on_reload=self._reload_settings)
        await self._transport.listen()
        if self._settings.bind.control_plane:
            await self._api.listen(self._settings.bind.control_plane)
        self._driver.start()
        duty = self._loop.create_task(self._duty.run())
        duty.add_done_callback(self._duty_ended)
        first_list = self._loop.create_task(keep_running("the first list", self._duty.discover_without_lease))
        figures = await serve_metrics(self._settings, self._registry)
        log(INFO, "control plane up", node=self._settings.node_name, address=self._address)
        await self._ended.wait()
        await self._leave()
        duty.cancel()
        first_list.cancel()
        if figures is not None:
            figures.close()
        log(INFO, "control plane ends")

    # ---- what the driver asks ----

    def send(self, effect: SendMessage) -> None:
        """Send to another replica."""
        self._transport.send(effect.address, effect.message)

    def deliver(self, committed: CommittedConfiguration) -> None:
        """The data plane may have this configuration."""
        self._newest_committed = committed
        prepared = self._documents.call(lambda: self._configuration.prepare(committed))
        prepared.add_done_callback(self._prepared)

    def _prepared(self, future: asyncio.Future[PreparedConfiguration]) -> None:
        error = future.exception()
        if error is not None:
            log(ERROR, "committed configuration cannot be read", message=str(error))
            return
        prepared = future.result()
        if self._configuration.install(prepared):
            committed = prepared.committed
            log(INFO, "configuration in force", generation=committed.generation, sequence=committed.sequence)
            self._quota.configure(prepared.configuration.tenants or {})
            self._sessions.notify_update()

    def _confirmed_as_of(self) -> float | None:
        """The time as of which what is published here was certainly the newest configuration."""
        as_of = self._driver.confirmed_as_of()
        if as_of is None:
            return None
        if self._configuration.committed == self._newest_committed:
            self._published_as_of = as_of
        check(Invariant.STATE_HAS_GRANT, self._driver.holds_majority(), as_of=as_of)
        return self._published_as_of  # while what is committed is parsed: of the time before it came

    def view_changed(self, view: View) -> None:
        """A newer view is known."""
        self._view = view
        links = {link.member.address: link.member for link in view.chain}
        members = links | {voter.address: voter for voter in view.voters}
        self._peers = tuple(address for address in members if address != self._address)
        self._membership.set_view(tuple(members.values()))
        voters = tuple(voter.address for voter in view.voters)
        self._lease.set_voters(voters)
        self._quota.set_voters(frozenset(voters))

    def ticked(self) -> None:
        """A little time has passed."""
        now = self._loop.time()
        self._send_lease(self._lease.tick(now))
        self._duty.check_lease()
        self._sessions.check_majority()
        self._quota.tick()
        if now >= self._table_at:
            self._tell_sessions(now)
        if now >= self._settings_at:
            self._settings_at = now + SETTINGS_INTERVAL_S
            if self._stamp != stamp_of(self._path):
                self._reload_settings()
        if now >= self._maintenance_at:
            self._maintenance_at = now + MAINTENANCE_INTERVAL_S
            self._transport.close_idle()

    # ---- what the operator's API asks ----

    def put(self, match: int, generation: int, document: bytes) -> asyncio.Future[PutCompleted]:
        """Have the configuration replicated."""
        self._check_not_leaving()
        return self._driver.put(match, generation, document)

    def validate(self, document: bytes) -> asyncio.Future[Configuration]:
        """Parse and validate a configuration."""
        return self._documents.call(lambda: self._configuration.parse(document))

    def get(self) -> asyncio.Future[GetCompleted]:
        """The newest configuration."""
        self._check_not_leaving()
        return self._driver.get()

    def holds_majority(self) -> bool:
        """Whether a majority of voters stands behind this scheduler at this instant."""
        return self._driver.holds_majority()

    def status(self) -> StatusAnswer:
        """The state of this scheduler."""
        view = self._view
        committed = self._configuration.committed
        now = self._loop.time()
        return StatusAnswer(
            node_name=self._settings.node_name,
            address=self._address,
            view=0 if view is None else view.number,
            voters=() if view is None else tuple(voter.address for voter in view.voters),
            chain=() if view is None else tuple(link.member.address for link in view.chain),
            generation=None if committed is None else committed.generation,
            sequence=0 if committed is None else committed.sequence,
            edges=tuple(edge.node_name for edge in self._membership.members.edges),
            peers=self._membership.live_peers(now),
            workers=0 if self._book.current is None else len(self._book.current.workers),
            workers_version=self._book.version,
            holds_list_duty=self._lease.is_held(now),
            holds_majority=self.holds_majority(),
        )

    def call_completed(self, call: CompletedCall) -> None:
        """Count and log a call of an operator."""
        self._call_log.call_completed(call)

    # ---- what the figures are read from ----

    def open_sessions(self) -> int:
        """Connections of data plane schedulers."""
        return self._sessions.count

    def pending_calls(self) -> int:
        """Calls of operators without a response."""
        return self._driver.pending_calls

    def disk_works(self) -> bool:
        """Whether the data folder is open and its disk answers."""
        return self._driver.disk_works

    def _check_not_leaving(self) -> None:
        if self._leaving:
            raise FleetError(ErrorCode.SHUTTING_DOWN, "this scheduler is about to end")

    # ---- messages ----

    def _peer_message(self, sender: str, message: PeerMessage) -> None:
        now = self._loop.time()
        self._membership.peer_seen(sender, now)
        match message:
            case SessionTable():
                self._heard_table(sender, message, now)
            case DiscoveryLeaseRequest() | DiscoveryLeaseResponse() | DiscoveryLeaseRelease():
                self._send_lease(self._lease.handle_message(sender, message, now))
                self._duty.check_lease()
            case QuotaLoanRequest():
                self._quota.handle_loan_request(sender, message)
            case QuotaLoan():
                self._quota.handle_loan(message)
            case WorkerList():
                self._lease.observe_term(message.version[0])
                if self._book.adopt(message, now):
                    self._sessions.notify_update()
            case _:
                self._driver.received(sender, message)

    def _heard_table(self, sender: str, table: SessionTable, now: float) -> None:
        if not self._membership.update_table(sender, table, now):
            return
        self._book.observe_version(table.workers_seen)
        self._lease.observe_term(self._book.highest_seen[0])
        if self._book.should_send_to(table.workers, self._lease.is_held(now), now):
            payload = self._state.encoded_workers(now)
            if payload is not None:
                self._transport.send_encoded(sender, payload)
        self._refresh_members(now)

    def _send_lease(self, messages: list[OutgoingMessage]) -> None:
        for outgoing in messages:
            self._transport.send(outgoing.address, outgoing.message)

    def _publish_workers(self, workers: WorkerList) -> None:
        now = self._loop.time()
        term = workers.version[0]
        leased = self._lease.is_held(now) and self._lease.term == term
        check(Invariant.DUTY_HAS_LEASE, leased or term == UNLEASED_TERM, term=term, held=self._lease.term)
        payload = self._state.encoded_workers(now)
        log(INFO, "workers", version=workers.version, count=len(workers.workers))
        if payload is not None:
            self._tell_peers(payload)
        self._sessions.notify_update()

    def _sessions_changed(self) -> None:
        """A data plane scheduler has come or gone: all are told soon."""
        self._lease.observe_term(self._book.highest_seen[0])
        self._table_at = min(self._table_at, self._loop.time() + ARRIVALS_S)

    def _tell_sessions(self, now: float) -> None:
        self._table_at = now + TABLE_INTERVAL_S
        self._membership.update_load(now)
        self._refresh_members(now)
        table = self._membership.next_table(now, self._book.version, self._book.highest_seen)
        self._tell_peers(encode(table))

    def _tell_peers(self, payload: bytes) -> None:
        """Send to the members of the view, and to whoever else is there."""
        for address in {*self._peers, *self._membership.live_peers(self._loop.time())}:
            self._transport.send_encoded(address, payload)

    def _refresh_members(self, now: float) -> None:
        if self._membership.refresh(now):
            self._sessions.notify_update()

    # ---- settings and end ----

    def _reload_settings(self) -> None:
        self._stamp = stamp_of(self._path)
        try:
            settings = load_settings(self._path)
        except FleetError as error:
            log(WARNING, "settings kept", code=int(error.code), message=error.message)
            return
        if settings.seed_addresses() != self._settings.seed_addresses():
            log(INFO, "seeds changed", seeds=settings.seed_nodes)
            self._driver.seeds_changed(settings.seed_addresses())
        self._duty.update_settings(settings.cloud_api)
        self._settings = settings

    def _duty_ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            log(ERROR, "worker discovery failed", error=repr(task.exception()))
            end_process(DUTY_FAILED_EXIT)

    async def _leave(self) -> None:
        self._leaving = True
        self._api.closing = True
        began = self._loop.time()
        log(INFO, "leaving")
        self._send_lease(self._lease.shut_down())
        self._duty.check_lease()
        self._driver.start_shutdown()
        last_needed = began
        while not self._has_left(self._loop.time() - began, self._loop.time() - last_needed):
            await asyncio.sleep(LEAVE_LOOK_S)
            if self._in_chain():
                last_needed = self._loop.time()
        self._sessions.close()
        self._api.close()
        self._transport.close()

    def _has_left(self, waited: float, out_of_chain_for: float) -> bool:
        """Whether the others can do without this replica, or its time is up."""
        if waited < LEAST_LEAVE_S:
            return False
        out_of_chain = out_of_chain_for >= TOLD_S
        if waited < LEAVE_S:
            return out_of_chain and not self._driver.pending_calls
        time_is_up = waited >= self._settings.bounds.grace_s - LEAVE_MARGIN_S
        return time_is_up or out_of_chain or not self._driver.has_staying_peer

    def _in_chain(self) -> bool:
        chain = () if self._view is None else self._view.chain
        return self._address in [link.member.address for link in chain]


async def serve(settings: NodeSettings) -> None:
    """Run a control scheduler until it is told to end."""
    await ControlProcess(settings, settings_path()).run()
