"""Quotas of tenants at a control scheduler: joins the grants to sessions, to its peers and to the clock."""

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
from reedspoke.control_plane.quota.grants import AnswerTo, QuotaEffect, QuotaGrants
from reedspoke.control_plane.quota.share import QuotaShare

SendLoan = Callable[[str, QuotaLoanRequest | QuotaLoan], None]


class QuotaService:
    """All quotas here. `majority_as_of` and `reached` are as in `QuotaGrants`."""

    def __init__(
        self,
        address: str,
        settings: NodeSettings,
        majority_as_of: Callable[[], float | None],
        reached: Callable[[], Collection[str]],
        send: SendLoan,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._send = send
        now = self._loop.time()
        self._share = QuotaShare(address, settings.fault_tolerance.machines, now)
        self._grants = QuotaGrants(quota_rule(settings), self._share, majority_as_of, reached, now)
        self._timer: StallTolerantTimer | None = None

    def configure(self, tenants: Mapping[str, Tenant]) -> None:
        """The newest committed configuration has these tenants."""
        self._grants.configure(tenants, self._loop.time())

    def voters_known(self, voters: frozenset[str]) -> None:
        """The voters of the newest view."""
        self._share.voters_known(voters, self._loop.time())

    def ticked(self) -> None:
        """A little time has passed."""
        self._grants.refresh(self._loop.time())

    def asked(self, channel: Channel, ask: QuotaRequest) -> None:
        """A data plane scheduler asks."""
        self._carry_out(self._grants.asked(channel, ask, self._loop.time()))

    def loan_requested(self, sender: str, request: QuotaLoanRequest) -> None:
        """Another control scheduler lacks units."""
        self._carry_out(self._grants.loan_requested(sender, request, self._loop.time()))

    def loan_came(self, loan: QuotaLoan) -> None:
        """Another control scheduler lends units, or has none."""
        self._carry_out(self._grants.loan_came(loan, self._loop.time()))

    def _carry_out(self, effects: list[QuotaEffect]) -> None:
        for effect in effects:
            if isinstance(effect, AnswerTo):
                effect.asker.send(effect.answer)
            else:
                self._send(effect.address, effect.message)
        wake_at = self._grants.wake_at()
        if wake_at is not None and self._timer is None:
            self._timer = StallTolerantTimer(self._loop, wake_at, self._round_ends)

    def _round_ends(self) -> None:
        self._timer = None
        self._carry_out(self._grants.end_rounds(self._loop.time()))


def quota_rule(settings: NodeSettings) -> QuotaRule:
    """The deployment's bound on quotas."""
    bounds = settings.bounds
    return QuotaRule(bounds.quota_window_s, bounds.quota_excess, bounds.quota_slack)
