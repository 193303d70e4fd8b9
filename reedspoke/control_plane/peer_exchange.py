"""Messages between a control plane node and its peers, other than those of its replica.

Session tables build the fleet membership and serve as heartbeats. The holder of the discovery lease sends the
list of workers to all peers, and any other node sends it to a peer that lacks it. Messages about leases and
quota loans are passed to their components.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from reedspoke.common.json_log import INFO, log
from reedspoke.common.messages import WorkerList, encode
from reedspoke.control_plane.delivery.edge_sessions import EdgeSessions
from reedspoke.control_plane.delivery.published_state import PublishedState
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
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.workers.discovery_lease import DiscoveryLease, OutgoingMessage
from reedspoke.control_plane.workers.worker_list import UNLEASED_TERM
from reedspoke.telemetry.invariants import Invariant, check

SESSION_TABLE_INTERVAL_S = 0.4
MEMBERSHIP_CHANGE_DELAY_S = 0.1  # Data plane nodes that join or leave within this time share one table.


class PeerExchange:
    """Owns the newest known view and the time at which the next session table is due.

    `on_lease_update` is called after each message or tick that may have changed the discovery lease.
    """

    def __init__(
        self,
        own_address: str,
        published: PublishedState,
        sessions: EdgeSessions,
        lease: DiscoveryLease,
        quota: QuotaService,
        transport: PeerTransport,
        replica: ReplicaDriver,
        on_lease_update: Callable[[], None],
    ) -> None:
        self._own_address = own_address
        self._published = published
        self._membership = published.membership
        self._workers = published.workers
        self._sessions = sessions
        self._lease = lease
        self._quota = quota
        self._transport = transport
        self._replica = replica
        self._on_lease_update = on_lease_update
        self._loop = asyncio.get_running_loop()
        self.view: View | None = None
        self._peers: tuple[str, ...] = ()  # the other members of the view
        self._next_table_at = 0.0

    def set_view(self, view: View) -> None:
        """Adopt a newer view and pass its members to the components that depend on them."""
        self.view = view
        chain = {link.member.address: link.member for link in view.chain}
        members = chain | {voter.address: voter for voter in view.voters}
        self._peers = tuple(address for address in members if address != self._own_address)
        self._membership.set_view(tuple(members.values()))
        voters = tuple(voter.address for voter in view.voters)
        self._lease.set_voters(voters)
        self._quota.set_voters(frozenset(voters))

    def is_in_chain(self) -> bool:
        """Return whether this node is a member of the chain in the newest view that it knows."""
        chain = () if self.view is None else self.view.chain
        return self._own_address in [link.member.address for link in chain]

    # ---- messages from peers ----

    def handle(self, sender: str, message: PeerMessage) -> None:
        """Handle a message from another control plane node. Every message also counts as its heartbeat."""
        now = self._loop.time()
        self._membership.peer_seen(sender, now)
        match message:
            case SessionTable():
                self._handle_table(sender, message, now)
            case DiscoveryLeaseRequest() | DiscoveryLeaseResponse() | DiscoveryLeaseRelease():
                self.send_all(self._lease.handle_message(sender, message, now))
                self._on_lease_update()
            case QuotaLoanRequest():
                self._quota.handle_loan_request(sender, message)
            case QuotaLoan():
                self._quota.handle_loan(message)
            case WorkerList():
                self._lease.observe_term(message.version[0])
                if self._workers.adopt(message, now):
                    self._sessions.notify_update()
            case _:
                self._replica.receive(sender, message)

    def _handle_table(self, sender: str, table: SessionTable, now: float) -> None:
        if not self._membership.update_table(sender, table, now):
            return
        self._workers.observe_version(table.workers_seen)
        self._lease.observe_term(self._workers.highest_seen[0])
        if self._workers.should_send_to(table.workers, self._lease.is_held(now), now):
            payload = self._published.encoded_workers(now)
            if payload is not None:
                self._transport.send_encoded(sender, payload)
        self._refresh_members(now)

    # ---- messages to peers ----

    def renew_lease(self, now: float) -> None:
        """Request or renew the discovery lease if that is due."""
        self.send_all(self._lease.tick(now))
        self._on_lease_update()

    def release_lease(self) -> None:
        """Release the discovery lease permanently because this process shuts down."""
        self.send_all(self._lease.shut_down())
        self._on_lease_update()

    def send_all(self, messages: list[OutgoingMessage]) -> None:
        """Send each message to its address."""
        for outgoing in messages:
            self._transport.send(outgoing.address, outgoing.message)

    def publish_workers(self, workers: WorkerList) -> None:
        """Send a list of workers that this node has discovered to all peers and sessions."""
        now = self._loop.time()
        term = workers.version[0]
        leased = self._lease.is_held(now) and self._lease.term == term
        check(Invariant.DUTY_HAS_LEASE, leased or term == UNLEASED_TERM, term=term, held=self._lease.term)
        payload = self._published.encoded_workers(now)
        log(INFO, "worker list published", version=workers.version, count=len(workers.workers))
        if payload is not None:
            self._broadcast(payload)
        self._sessions.notify_update()

    def send_table_soon(self) -> None:
        """Send the next session table early, because a data plane node has joined or left."""
        self._lease.observe_term(self._workers.highest_seen[0])
        self._next_table_at = min(self._next_table_at, self._loop.time() + MEMBERSHIP_CHANGE_DELAY_S)

    def send_table_when_due(self, now: float) -> None:
        """Send the session table to all peers every SESSION_TABLE_INTERVAL_S."""
        if now < self._next_table_at:
            return
        self._next_table_at = now + SESSION_TABLE_INTERVAL_S
        self._membership.update_load(now)
        self._refresh_members(now)
        table = self._membership.next_table(now, self._workers.version, self._workers.highest_seen)
        self._broadcast(encode(table))

    def peers(self) -> frozenset[str]:
        """Return the other members of the view, and other nodes that have recently sent a message."""
        return frozenset((*self._peers, *self._membership.live_peers(self._loop.time())))

    def _broadcast(self, payload: bytes) -> None:
        for address in self.peers():
            self._transport.send_encoded(address, payload)

    def _refresh_members(self, now: float) -> None:
        if self._membership.refresh(now):
            self._sessions.notify_update()
