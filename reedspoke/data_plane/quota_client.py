"""Asks control schedulers for what requests cost of their tenants' quotas.

Each request is asked for before it goes to a worker, at one control scheduler first and at another one where
the first says no or says nothing for a moment. What was granted and not used in the end is kept for a short
time for the tenant's next request; the parts of control schedulers count on that time (`quota_rule`). While
nobody answers, `quota_outage` says what may go all the same.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from functools import partial

from msgspec import Struct, field

from reedspoke.common.messages import QuotaOutcome, QuotaRequest, QuotaResponse
from reedspoke.common.quota_rule import CREDIT_S
from reedspoke.common.stall_tolerant_timer import StallTolerantTimer
from reedspoke.data_plane.quota_outage import OutageAllowance

SECOND_ASK_S = 0.012  # without an answer from the first control scheduler
UNAVAILABLE_RETRY_S = 0.2
MOST_CREDITS = 256  # of one tenant
FORGET_EVERY = 256  # asks between looks for what is old


class QuotaDecision(Struct, frozen=True):
    """Whether the request may go to a worker."""

    granted: bool
    spent: bool = False  # refused as the quota is spent, and not for want of an answer
    retry_after_s: float = 0.0


GRANTED = QuotaDecision(True)
SendAsk = Callable[
    [QuotaRequest, Collection[str]], str | None
]  # to a session that was not tried; its address
OnDecision = Callable[[QuotaDecision], None]


class Credit(Struct, frozen=True):
    """Units that were granted and not used, until this time."""

    units: float
    until: float


class Pending(Struct, eq=False):
    """A request that waits for its grant."""

    ask: QuotaRequest
    deadline: float
    on_decision: OnDecision
    tried: list[str] = field(default_factory=list)
    unanswered: int = 0
    spent: bool = False
    retry_after_s: float = 0.0
    timer: StallTolerantTimer | None = None


class QuotaClient:
    """All asks of this data plane scheduler; times are those of the loop's steady clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop, send: SendAsk, window_s: float) -> None:
        self._loop = loop
        self._send = send
        self._pending: dict[int, Pending] = {}
        self._credits: dict[str, list[Credit]] = {}
        self.went_on = 0  # requests that were sent without an answer
        self._late: dict[int, QuotaRequest] = {}  # decided, and not all answers are in
        self._next_id = 0
        self._outage = OutageAllowance(window_s)

    @property
    def waiting(self) -> int:
        """Requests without a decision."""
        return len(self._pending)

    def ask(self, tenant: str, units: float, wait_s: float, on_decision: OnDecision) -> int | None:
        """Have a request decided on within that time. The id to `cancel` it by; None: it was decided on at
        once, and `on_decision` has been called."""
        if self._use_credit(tenant, units):
            on_decision(GRANTED)
            return None
        self._next_id += 1
        if self._next_id % FORGET_EVERY == 0:
            self._outage.forget_old(self._loop.time())
        ask = QuotaRequest(self._next_id, tenant, units)
        pending = Pending(ask, self._loop.time() + wait_s, on_decision)
        self._pending[ask.request_id] = pending
        self._ask_next(pending)
        return ask.request_id if ask.request_id in self._pending else None

    def cancel(self, request_id: int) -> None:
        """The request needs no decision any more; what is granted to it still is kept for the next one."""
        pending = self._pending.get(request_id)
        if pending is not None:
            self._close(pending)

    def give_back(self, tenant: str, units: float) -> None:
        """What was granted was not used: no worker has got the request."""
        credits = self._credits.setdefault(tenant, [])
        if len(credits) < MOST_CREDITS:
            credits.append(Credit(units, self._loop.time() + CREDIT_S))

    def answered(self, answer: QuotaResponse) -> None:
        """A control scheduler has answered."""
        pending = self._pending.get(answer.request_id)
        if pending is None:
            self._answered_late(answer)
            return
        pending.unanswered -= 1
        ask = pending.ask
        if answer.outcome is QuotaOutcome.GRANTED:
            self._outage.record_grant(ask.tenant, ask.units, self._loop.time())
            self._decide(pending, GRANTED)
            return
        if answer.outcome is QuotaOutcome.SPENT:
            self._outage.record_spent(ask.tenant, self._loop.time())
            pending.retry_after_s = max(pending.retry_after_s, answer.retry_after_s)
            pending.spent = True
        self._ask_next(pending)

    def _answered_late(self, answer: QuotaResponse) -> None:
        ask = self._late.pop(answer.request_id, None)
        if ask is not None and answer.outcome is QuotaOutcome.GRANTED:
            self.give_back(ask.tenant, ask.units)

    def _ask_next(self, pending: Pending) -> None:
        """Ask a further control scheduler, or decide without one."""
        now = self._loop.time()
        address = self._send(pending.ask, pending.tried) if now < pending.deadline else None
        if address is not None:
            pending.tried.append(address)
            pending.unanswered += 1
        elif not pending.unanswered or now >= pending.deadline:
            self._refuse(pending)
            return
        self._look_later(pending, min(pending.deadline, now + SECOND_ASK_S) if address else pending.deadline)

    def _look_later(self, pending: Pending, at: float) -> None:
        if pending.timer is not None:
            pending.timer.cancel()
        pending.timer = StallTolerantTimer(self._loop, at, partial(self._ask_next, pending))

    def _refuse(self, pending: Pending) -> None:
        ask = pending.ask
        if not pending.spent and self._outage.admit(ask.tenant, ask.units, self._loop.time()):
            self.went_on += 1
            self._decide(pending, GRANTED)
            return
        retry_after_s = pending.retry_after_s if pending.spent else UNAVAILABLE_RETRY_S
        self._decide(pending, QuotaDecision(False, pending.spent, retry_after_s))

    def _decide(self, pending: Pending, decision: QuotaDecision) -> None:
        self._close(pending)
        pending.on_decision(decision)

    def _close(self, pending: Pending) -> None:
        del self._pending[pending.ask.request_id]
        if pending.timer is not None:
            pending.timer.cancel()
        if pending.unanswered:
            self._late[pending.ask.request_id] = pending.ask
            self._loop.call_later(CREDIT_S, self._late.pop, pending.ask.request_id, None)

    def _use_credit(self, tenant: str, units: float) -> bool:
        """Take the units out of what is kept of this tenant, whole or not at all."""
        credits = self._credits.pop(tenant, None)
        if credits is None:
            return False
        now = self._loop.time()
        kept = [credit for credit in credits if credit.until > now]
        enough = sum(credit.units for credit in kept) >= units
        if enough:
            kept = spend(kept, units)
        if kept:
            self._credits[tenant] = kept
        return enough


def spend(credits: list[Credit], units: float) -> list[Credit]:
    """What is left of credits that hold these units at least, the oldest used first."""
    left = []
    for credit in credits:
        used = min(units, credit.units)
        units -= used
        if credit.units > used:
            left.append(Credit(credit.units - used, credit.until))
    return left
