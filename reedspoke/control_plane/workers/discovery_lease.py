"""The discovery lease, which determines the control plane node that polls the platform's list of workers.

It is a lease as described by Gray and Cheriton ("Leases", 1989), granted by a majority of the voters of the
current view, as in Chubby (Burrows, 2006). A view is the agreed membership of the control plane. Three rules
make two simultaneous holders unlikely, and the fencing token described below limits what an outdated holder
can do:

- A voter grants the lease to one holder at a time, for `LEASE_TTL_S`. After a restart it waits that long
  before it grants, because its earlier grants are not stored (`lease_voter`).
- A holder measures the lease from before it sent its request, and stops `LEASE_MARGIN_S` early.
- The sets of voters of consecutive views differ by one member, so their majorities intersect.

The term of a grant is the fencing token and is part of the version of each list of workers. Terms only rise,
also above those that other processes know. A list published under a higher term replaces one under a lower
term, and a holder that observes a higher term stops immediately, even if its lease has not expired.

Voters request the lease in the order in which the view lists them: the first one immediately, each further
one `RANK_DELAY_S` later. A voter withdraws its own request when a voter before it in the view sends one. This
prevents repeated split votes.

`DiscoveryLease` owns this process's lease, its pending request, and its grants as a voter. It does no I/O and
reads no clock: `now` is in seconds of a clock that advances while the process is suspended.
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

LEASE_MARGIN_S = 0.1  # The holder treats its lease as shorter by this.
RENEW_INTERVAL_S = 0.4
REQUEST_TIMEOUT_S = 0.35  # A request without grants of a majority fails after this time.
RANK_DELAY_S = 0.12  # additional delay of a voter's request for each voter before it in the view
REQUEST_BACKOFF_S = 0.3  # delay after a failed request
TERM_STRIDE = 2**31  # The terms of one process differ by multiples of this.
STEP_DOWN_BACKOFF_S = 2.0  # delay before the next request after this process has released the lease


class OutgoingMessage(Struct, frozen=True):
    """A message to another voter."""

    address: str
    message: DiscoveryLeaseMessage


class PendingRequest(Struct):
    """A pending request, and the addresses of the voters that have responded."""

    term: int
    sent_at: float
    granted_by: set[str] = field(default_factory=set)
    refused_by: set[str] = field(default_factory=set)


class DiscoveryLease:
    """One process as a voter and as a candidate for the lease.

    `identity` must be below `TERM_STRIDE` and differ between processes. Each term of this process has it as
    its remainder modulo `TERM_STRIDE`, so no two processes use the same term. This also holds after a loss of
    all processes, when terms start again while data plane nodes may still hold lists of earlier terms. If
    `identity` is None, terms rise by one.
    `fresh_fleet` means that no process can have granted the lease before.
    """

    def __init__(
        self, address: str, now: float, *, fresh_fleet: bool = False, identity: int | None = None
    ) -> None:
        self._address = address
        self._voter = DiscoveryLeaseVoter(now if fresh_fleet else now + LEASE_TTL_S)
        self._voters: tuple[str, ...] = ()
        self._pending: PendingRequest | None = None
        self._request_at: float | None = None  # None until the voters are known
        self._backoff_until = now
        self._min_term = 1
        self._identity = identity
        self._term = 0
        self._expires_at = 0.0
        self._is_shut_down = False

    # ---- state ----

    def is_held(self, now: float) -> bool:
        """Return whether the lease is held.

        It must be checked before each action of the holder, because the process may have been suspended.
        """
        return self._term > 0 and now < self._expires_at

    @property
    def term(self) -> int:
        """The term under which this process holds or last held the lease."""
        return self._term

    # ---- events ----

    def set_voters(self, voters: tuple[str, ...]) -> None:
        """Set the voters of the newest view, in the order in which they request the lease."""
        if voters != self._voters:
            self._voters = voters
            self._pending = None  # Grants from voters of two views must not be added up.

    def observe_term(self, term: int) -> None:
        """Record that another process knows a list of workers of this term.

        A holder with a lower term stops immediately, and can hold the lease again only under a higher term.
        """
        if term != self._term:  # A term of another process, or of an earlier one here, must not be reused.
            self._min_term = max(self._min_term, term + 1)
        if term > self._term and self._expires_at:
            self._expires_at = 0.0
            self._request_at = self._backoff_until

    def require_term_above(self, term: int, now: float) -> None:
        """Renew the lease immediately under a term above this one, as current lists are outdated."""
        self._min_term = max(self._min_term, term + 1)
        if self._min_term > self._term and self.is_held(now):
            self._request_at = now

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Request or renew the lease if that is due, or time out a pending request; called periodically."""
        if self._pending is not None and now - self._pending.sent_at > REQUEST_TIMEOUT_S:
            return self._request_failed(now, REQUEST_BACKOFF_S)
        if self._pending is None and not self._is_shut_down and self._address in self._voters:
            return self._request_when_due(now)
        return []

    def handle_message(
        self, sender: str, message: DiscoveryLeaseMessage, now: float
    ) -> list[OutgoingMessage]:
        """Handle a message of another voter, and return the messages to send."""
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
        """Release the lease, and do not request it again for `STEP_DOWN_BACKOFF_S`."""
        messages = self._release_all()
        self._backoff_until = now + STEP_DOWN_BACKOFF_S
        return messages

    def shut_down(self) -> list[OutgoingMessage]:
        """Release the lease and never request it again."""
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
            if now < free_at:  # Other voters would probably refuse too, as this voter has granted the lease.
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
            # Only the term was too low. Request again immediately: with a delay, two candidates could raise
            # each other's required term repeatedly.
            self._request_at = now
            return self._request_when_due(now)
        pending.refused_by.add(sender)
        if len(self._voters) - len(pending.refused_by) <= len(self._voters) // 2:
            return self._request_failed(now, response.retry_after_s)
        return []

    def _acquire(self, granted: PendingRequest) -> None:
        """Acquire the lease after a majority has granted it, measured from before the request was sent."""
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
        """Withdraw a pending request in favor of a voter with a higher rank, as otherwise both could fail."""
        pending = self._pending
        if pending is None or self.is_held(now) or not self._ranks_before(rival):
            return []
        self._pending = None
        self._request_at = now + self._rank_delay()
        return self._release_term(pending.term)

    def _ranks_before(self, rival: str) -> bool:
        """Return whether that voter comes before this one in the view."""
        if self._address not in self._voters:
            return False
        return rival in self._voters[: self._voters.index(self._address)]

    # ---- releases ----

    def _release_all(self) -> list[OutgoingMessage]:
        """Release the lease and the pending request."""
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
