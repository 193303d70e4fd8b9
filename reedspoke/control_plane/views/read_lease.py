"""Read lease of the chain's tail, with which it answers reads without a round trip to other replicas.

The tail asks the voters of its view for the lease with each heartbeat. A voter that grants it promises to
accept no view with another tail, or with other voters, for `READ_LEASE_TTL_S`. Until a majority's grants have
expired, no such view can be decided, so no newer entry can have been acknowledged elsewhere. This is the
master lease of "Paxos made live" (Chandra, Griesemer, Redstone, 2007, section 5.2), granted by each acceptor
on its own.

No clock is shared. The holder measures the lease from before its request and lets it expire
`READ_LEASE_MARGIN_S` early; the voter measures it from the grant. So the lease expires at the holder first,
as long as the steady clocks run at nearly the same rate.

A change of the tail need not wait for the expiry: the proposer asks the tail to release its lease. A release
carries the time, on the holder's clock, up to which all requests are void; a voter applies it only if it has
granted no newer request. A voter that has restarted does not know what it granted, and waits for the length
of a lease. A voter that had to defer a view grants no lease for a while, so that the view can be accepted.

All times are seconds of a steady clock: `requested_at` and `released_at` of the holder's clock, all others of
the clock of this process.
"""

from __future__ import annotations

from reedspoke.control_plane.replication.settings import (
    GRANT_BACKOFF_S,
    READ_LEASE_MARGIN_S,
    READ_LEASE_TTL_S,
)
from reedspoke.control_plane.replication.view import Member, View
from reedspoke.control_plane.views.quorum import NEVER, majority_time


def tail_member(view: View) -> Member:
    """The last member of the chain of this view."""
    return view.chain[-1].member


def preserves_read_lease(present: View, proposed: View) -> bool:
    """Whether a lease of the present tail does not conflict with the proposed view."""
    return tail_member(present) == tail_member(proposed) and present.voters == proposed.voters


class ReadLeaseVoter:
    """The read leases that this voter has granted; it accepts no conflicting view until they expire."""

    def __init__(self, now: float) -> None:
        self._granted_until = now + READ_LEASE_TTL_S
        self._unknown_grants_until = now + READ_LEASE_TTL_S  # leases of an earlier process end by then
        self._newest_request_at = NEVER
        self._grants_paused_until = NEVER

    def may_grant(self, now: float) -> bool:
        """Whether leases may be granted; False for a while after a conflicting view was deferred."""
        return now >= self._grants_paused_until

    def grant(self, requested_at: float, now: float) -> None:
        """Grant the lease that the tail requested at this time of its clock."""
        self._granted_until = max(self._granted_until, now + READ_LEASE_TTL_S)
        self._newest_request_at = max(self._newest_request_at, requested_at)

    def enter_view(self, previous: View | None, view: View) -> None:
        """Allow leases for the tail of a newer view.

        Request times are measured by the tail's clock, so they are dropped if the tail changes. If it stays,
        they remain valid, as its leases do.
        """
        self._grants_paused_until = NEVER
        if previous is None or tail_member(previous) != tail_member(view):
            self._newest_request_at = NEVER

    def may_accept(self, present: View | None, proposed: View, released_at: float | None, now: float) -> bool:
        """Whether accepting `proposed` violates no lease; `released_at` is when the tail released its lease.

        If it would violate one, no further lease is granted for `GRANT_BACKOFF_S`. Otherwise the tail could
        renew its lease indefinitely, and the view would never be accepted.
        """
        if present is None or preserves_read_lease(present, proposed) or now >= self._granted_until:
            return True
        if self._is_released(released_at, now):
            return True
        self._grants_paused_until = now + GRANT_BACKOFF_S
        return False

    def _is_released(self, released_at: float | None, now: float) -> bool:
        """Whether the release covers every grant, including those of an earlier process of this voter."""
        if released_at is None:
            return False
        return released_at >= self._newest_request_at and now >= self._unknown_grants_until


class ReadLeaseHolder:
    """The read leases that voters have granted to this replica as tail."""

    def __init__(self) -> None:
        self._requested_at: dict[str, float] = {}  # request time of the newest grant, by voter
        self._released_at = NEVER
        self._requests_paused_until = NEVER

    def enter_view(self) -> None:
        """Drop all grants, as each is valid for one view only."""
        self._requested_at.clear()
        self._requests_paused_until = NEVER

    def may_request(self, now: float) -> bool:
        """Whether a lease may be requested; False for `GRANT_BACKOFF_S` after a release."""
        return now >= self._requests_paused_until

    def record_grant(self, folder_id: str, requested_at: float) -> None:
        """Record a grant by its request time; a request up to the newest release is void."""
        if requested_at > self._released_at:
            self._requested_at[folder_id] = max(requested_at, self._requested_at.get(folder_id, requested_at))

    def release(self, now: float) -> None:
        """Release every lease requested until now."""
        self._requested_at.clear()
        self._released_at = now
        self._requests_paused_until = now + GRANT_BACKOFF_S

    def is_held(self, voters: tuple[Member, ...], now: float) -> bool:
        """Whether the grants of a majority of these voters have not expired."""
        return now < majority_time(self._requested_at, voters) + READ_LEASE_TTL_S - READ_LEASE_MARGIN_S
