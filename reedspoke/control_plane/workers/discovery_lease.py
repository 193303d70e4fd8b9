"""The discovery lease: which control plane node polls the platform's list of workers.

A lease as of Gray and Cheriton ("Leases", 1989), granted by a majority of the voters of the present view, as
in Chubby (Burrows, 2006). What makes two holders at one time unlikely enough:

- A voter grants to one holder at a time, for `LEASE_TTL_S`; one that starts anew waits that long before it
  grants, as it has forgotten what it granted (`lease_voter`).
- A holder counts from before it sent its request, and stops `LEASE_MARGIN_S` early.
- Sets of voters differ by one member from view to view, so their majorities meet.

The term of a grant is the fencing token: it goes with each list of workers. Terms only rise, also past those
that other processes know of; a list published under a higher term replaces one under a lower term, and a
holder that learns of a higher term ends at once, whatever its lease says.

Voters want the lease in the order in which they stand in the view: the first requests it at once, each
further one `RANK_DELAY_S` later, and withdraws a request of its own for one of a voter before it. So rivals
do not split the votes again and again.

`DiscoveryLease` owns this process's lease, its request that is out, and what it has granted as a voter. No
I/O and no clock here: `now` is seconds of a clock that goes on while the process is stopped.
"""

from __future__ import annotations

from msgspec import Struct, field

from reedspoke.control_plane.peers.messages import (
    DiscoveryLeaseMessage,
    DiscoveryLeaseRelease,
    DiscoveryLeaseRequest,
    DiscoveryLeaseResponse,
)
from reedspoke.control_plane.workers.lease_voter import LEASE_TTL_S, DiscoveryLeaseVoter

LEASE_MARGIN_S = 0.1  # the holder counts its lease as shorter by this
RENEW_INTERVAL_S = 0.4
REQUEST_TIMEOUT_S = 0.35  # a request that a majority has not granted by then has failed
RANK_DELAY_S = 0.12  # a voter waits that much longer for each voter before it in the view
REQUEST_BACKOFF_S = 0.3  # after a request that failed
TERM_STRIDE = 2**31  # terms of one process differ by multiples of this
STEP_DOWN_BACKOFF_S = 2.0  # no request for so long after the lease was given to others


class OutgoingMessage(Struct, frozen=True):
    """A message to another voter."""

    address: str
    message: DiscoveryLeaseMessage


class PendingRequest(Struct):
    """A request that is out, and the addresses of the voters that have responded."""

    term: int
    sent_at: float
    granted_by: set[str] = field(default_factory=set)
    refused_by: set[str] = field(default_factory=set)


class DiscoveryLease:
    """One process as a voter and as a candidate for the lease.

    `identity`, below `TERM_STRIDE`, is to differ from process to process: it is the remainder of each of its
    terms. So none is used twice, also after a loss of all processes, when terms begin anew while lists of
    earlier ones may still be held elsewhere. `fresh_fleet`: no process can have granted anything before.
    """

    def __init__(
        self, address: str, now: float, *, fresh_fleet: bool = False, identity: int | None = None
    ) -> None:
        self._address = address
        self._voter = DiscoveryLeaseVoter(now if fresh_fleet else now + LEASE_TTL_S)
        self._voters: tuple[str, ...] = ()
        self._pending: PendingRequest | None = None
        self._request_at: float | None = None  # None: no voters are known yet
        self._backoff_until = now
        self._min_term = 1
        self._identity = identity
        self._term = 0
        self._expires_at = 0.0
        self._is_shut_down = False

    # ---- state ----

    def is_held(self, now: float) -> bool:
        """Whether the lease is held; check before each act, as the process may have been stopped."""
        return self._term > 0 and now < self._expires_at

    @property
    def term(self) -> int:
        """The term under which this process holds or last held the lease."""
        return self._term

    # ---- events ----

    def set_voters(self, voters: tuple[str, ...]) -> None:
        """The voters of the newest view, in the order of preference."""
        if voters != self._voters:
            self._voters = voters
            self._pending = None  # grants of the voters of two views are not added up

    def observe_term(self, term: int) -> None:
        """Somebody knows of a list of workers under this term.

        A holder under a lower one ends at once, and may hold the lease again under a higher one only.
        """
        if term != self._term:  # another process's, or that of an earlier incarnation: never used again
            self._min_term = max(self._min_term, term + 1)
        if term > self._term and self._expires_at:
            self._expires_at = 0.0
            self._request_at = self._backoff_until

    def require_term_above(self, term: int, now: float) -> None:
        """Lists under the present term are not the newest: renew at once, under a term above this one."""
        self._min_term = max(self._min_term, term + 1)
        if self._min_term > self._term and self.is_held(now):
            self._request_at = now

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Time has passed: request, renew, or give up a request."""
        if self._pending is not None and now - self._pending.sent_at > REQUEST_TIMEOUT_S:
            return self._request_failed(now, REQUEST_BACKOFF_S)
        if self._pending is None and not self._is_shut_down and self._address in self._voters:
            return self._request_when_due(now)
        return []

    def handle_message(
        self, sender: str, message: DiscoveryLeaseMessage, now: float
    ) -> list[OutgoingMessage]:
        """A message of another voter; what is to be sent for it."""
        match message:
            case DiscoveryLeaseRequest(term):
                withdrawn = self._withdraw_for(sender, now)
                return [*withdrawn, OutgoingMessage(sender, self._voter.request(sender, term, now))]
            case DiscoveryLeaseRelease(term):
                if self._voter.release(sender, term):
                    self._request_at = now + self._rank_delay()
                return []
            case DiscoveryLeaseResponse():
                return self._handle_response(sender, message, now)

    def step_down(self, now: float) -> list[OutgoingMessage]:
        """Release the lease, and leave it to others for a while."""
        messages = self._release_all()
        self._backoff_until = now + STEP_DOWN_BACKOFF_S
        return messages

    def shut_down(self) -> list[OutgoingMessage]:
        """Release the lease for good."""
        self._is_shut_down = True
        return self._release_all()

    # ---- requests ----

    def _request_when_due(self, now: float) -> list[OutgoingMessage]:
        if self._request_at is None:
            self._request_at = now + self._rank_delay()
        if now < max(self._request_at, self._backoff_until):
            return []
        is_renewal = self.is_held(now)
        if not is_renewal:
            free_at = self._voter.refuses_until(self._address)
            if now < free_at:  # others would refuse too: whoever holds the lease has our own vote
                self._request_at = free_at + self._rank_delay()
                return []
        return self._send_request(self._next_term(is_renewal), now)

    def _next_term(self, is_renewal: bool) -> int:
        if is_renewal and self._term >= self._min_term:
            return self._term
        lowest = max(self._term + 1, self._min_term, self._voter.highest_term + 1)
        return lowest if self._identity is None else lowest + (self._identity - lowest) % TERM_STRIDE

    def _rank_delay(self) -> float:
        if self._address not in self._voters:
            return 0.0
        return RANK_DELAY_S * self._voters.index(self._address)

    def _send_request(self, term: int, now: float) -> list[OutgoingMessage]:
        self._pending = PendingRequest(term, now)
        request = DiscoveryLeaseRequest(term)
        messages = [OutgoingMessage(voter, request) for voter in self._other_voters()]
        own_response = self._voter.request(self._address, term, now)
        return messages + self._handle_response(self._address, own_response, now)

    def _handle_response(
        self, sender: str, response: DiscoveryLeaseResponse, now: float
    ) -> list[OutgoingMessage]:
        usable_term = response.highest_term if response.granted else response.highest_term + 1
        self._min_term = max(self._min_term, usable_term)
        pending = self._pending
        if pending is None or response.term != pending.term or sender not in self._voters:
            return []
        if not response.granted:
            return self._handle_refusal(pending, sender, response, now)
        pending.granted_by.add(sender)
        if len(pending.granted_by) > len(self._voters) // 2:
            self._acquire(pending)
        return []

    def _handle_refusal(
        self, pending: PendingRequest, sender: str, response: DiscoveryLeaseResponse, now: float
    ) -> list[OutgoingMessage]:
        if response.retry_after_s <= 0:
            # Only the term was too low. Request again at once: rivals that wait here overtake each other.
            self._request_at = now
            return self._request_when_due(now)
        pending.refused_by.add(sender)
        if len(self._voters) - len(pending.refused_by) <= len(self._voters) // 2:
            return self._request_failed(now, response.retry_after_s)
        return []

    def _acquire(self, granted: PendingRequest) -> None:
        """A majority has granted: count from before the request was sent."""
        self._pending = None
        self._term = granted.term
        self._expires_at = granted.sent_at + LEASE_TTL_S - LEASE_MARGIN_S
        self._request_at = granted.sent_at + RENEW_INTERVAL_S

    def _request_failed(self, now: float, retry_after_s: float) -> list[OutgoingMessage]:
        failed = self._pending
        self._pending = None
        if self.is_held(now):
            self._request_at = now
            return []
        self._request_at = now + min(retry_after_s, REQUEST_BACKOFF_S) + self._rank_delay()
        return [] if failed is None else self._release_term(failed.term)

    def _withdraw_for(self, rival: str, now: float) -> list[OutgoingMessage]:
        """Give up a request that is out for one of a voter that ranks before this one, or both might fail."""
        pending = self._pending
        if pending is None or self.is_held(now) or not self._ranks_before(rival):
            return []
        self._pending = None
        self._request_at = now + self._rank_delay()
        return self._release_term(pending.term)

    def _ranks_before(self, rival: str) -> bool:
        """Whether that voter stands before this one in the view."""
        if self._address not in self._voters:
            return False
        return rival in self._voters[: self._voters.index(self._address)]

    # ---- releases ----

    def _release_all(self) -> list[OutgoingMessage]:
        """Release the lease and the request that is out."""
        terms = {self._term}
        if self._pending is not None:
            terms.add(self._pending.term)
        self._pending = None
        self._expires_at = 0.0
        return [message for term in sorted(terms) if term for message in self._release_term(term)]

    def _release_term(self, term: int) -> list[OutgoingMessage]:
        self._voter.release(self._address, term)
        release = DiscoveryLeaseRelease(term)
        return [OutgoingMessage(voter, release) for voter in self._other_voters()]

    def _other_voters(self) -> list[str]:
        return [voter for voter in self._voters if voter != self._address]
