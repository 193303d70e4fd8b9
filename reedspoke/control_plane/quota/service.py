"""Tenant quotas at a control plane node: connects the allocator to sessions, peers and the clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Mapping

from reedspoke.common.messages import QuotaRequest
from reedspoke.common.node_settings import NodeSettings
from reedspoke.common.quota_rule import QuotaRule
from reedspoke.common.stall_tolerant_timer import StallTolerantTimer
from reedspoke.common.tenants import Tenant
from reedspoke.common.transport import Channel
from reedspoke.control_plane.peers.messages import QuotaLoan, QuotaLoanRequest
from reedspoke.control_plane.quota.allocator import QuotaAllocator, QuotaEffect, SendResponse, SendToPeer
from reedspoke.control_plane.quota.share import QuotaShare

SendLoanMessage = Callable[[str, QuotaLoanRequest | QuotaLoan], None]


class QuotaService:
    """Runs the allocator. Owns the timer for outstanding loans.

    `majority_as_of` and `reachable_peers` are passed to `QuotaAllocator`; `send` sends a message to a peer.
    """

    def __init__(
        self,
        address: str,
        settings: NodeSettings,
        majority_as_of: Callable[[], float | None],
        reachable_peers: Callable[[], Collection[str]],
        send: SendLoanMessage,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._send = send
        now = self._loop.time()
        self._share = QuotaShare(address, settings.fault_tolerance.machines, now)
        self._allocator = QuotaAllocator(
            quota_rule(settings), self._share, majority_as_of, reachable_peers, now
        )
        self._loan_timer: StallTolerantTimer | None = None

    def configure(self, tenants: Mapping[str, Tenant]) -> None:
        """Set the tenants of the newest committed configuration."""
        self._allocator.configure(tenants, self._loop.time())

    def set_voters(self, voters: frozenset[str]) -> None:
        """Set the voters of the newest view."""
        self._share.set_voters(voters, self._loop.time())

    def tick(self) -> None:
        """Run periodic work; called at each tick of the replica."""
        self._allocator.refresh(self._loop.time())

    def handle_request(self, channel: Channel, request: QuotaRequest) -> None:
        """Handle a data plane node's request. The response is sent on its channel now or after loans."""
        self._execute(self._allocator.handle_request(channel, request, self._loop.time()))

    def handle_loan_request(self, sender: str, request: QuotaLoanRequest) -> None:
        """Handle another control plane node's request for a loan."""
        self._execute(self._allocator.handle_loan_request(sender, request, self._loop.time()))

    def handle_loan(self, loan: QuotaLoan) -> None:
        """Handle another control plane node's answer to a loan request."""
        self._execute(self._allocator.handle_loan(loan, self._loop.time()))

    def _execute(self, effects: list[QuotaEffect]) -> None:
        for effect in effects:
            match effect:
                case SendResponse(requester=channel, response=response):
                    channel.send(response)
                case SendToPeer(address=address, message=message):
                    self._send(address, message)
        next_expiry = self._allocator.next_expiry()
        if next_expiry is not None and self._loan_timer is None:
            self._loan_timer = StallTolerantTimer(self._loop, next_expiry, self._expire_loans)

    def _expire_loans(self) -> None:
        self._loan_timer = None
        self._execute(self._allocator.expire_loans(self._loop.time()))


def quota_rule(settings: NodeSettings) -> QuotaRule:
    """Return the deployment's parameters for quotas, from its settings."""
    bounds = settings.bounds
    return QuotaRule(bounds.quota_window_s, bounds.quota_excess, bounds.quota_slack)
