"""Read lease of the chain's tail, with which it answers reads without asking anybody.

The tail asks the voters of its view for the lease with each heartbeat. A voter that grants it promises to
accept no view with another tail, or with other voters, for `READ_LEASE_TTL_S`. While a majority's grants run,
no such view can be decided, so no newer entry can have been acknowledged elsewhere. This is the master lease
of "Paxos made live" (Chandra, Griesemer, Redstone, 2007, section 5.2), granted by the acceptors one by one.

No clock is shared. The holder counts from before it asked and ends `READ_LEASE_MARGIN_S` early, the voter
counts from when it granted; so the holder ends first as long as steady clocks run at nearly the same rate.

A change of the tail does not have to wait for the expiry: the proposer asks the tail to release its lease. A
release names the time, on the holder's clock, before which all requests are void; a voter honours it only if
no request that it granted is newer. A voter that has restarted does not know what it granted, and waits for
the length of a lease. One that had to defer a view grants no lease for a while, so that the view gets
through.

All times are seconds of a steady clock: `requested_at` and `released_at` of the holder's, the rest of one's
own.
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
    """The last member of the chain."""
    return view.chain[-1].member


def preserves_read_lease(present: View, proposed: View) -> bool:
    """Whether a lease of the present tail stays harmless under the proposed view."""
    return tail_member(present) == tail_member(proposed) and present.voters == proposed.voters


class ReadLeaseVoter:
    """What this voter has granted: until then it accepts no view with another tail or other voters."""

    def __init__(self, now: float) -> None:
        self._granted_until = now + READ_LEASE_TTL_S
        self._unknown_grants_until = now + READ_LEASE_TTL_S  # what a process before this one may have granted
        self._newest_request_at = NEVER
        self._grants_paused_until = NEVER

    def may_grant(self, now: float) -> bool:
        """False for a while after a view with another tail had to be deferred."""
        return now >= self._grants_paused_until

    def grant(self, requested_at: float, now: float) -> None:
        """Grant the lease that the tail requested at this time of its clock."""
        self._granted_until = max(self._granted_until, now + READ_LEASE_TTL_S)
        self._newest_request_at = max(self._newest_request_at, requested_at)

    def enter_view(self, previous: View | None, view: View) -> None:
        """A newer view is in force: its tail may be granted leases.

        Times of another tail's clock mean nothing any more; those of the same tail still do, as its grants
        run on.
        """
        self._grants_paused_until = NEVER
        if previous is None or tail_member(previous) != tail_member(view):
            self._newest_request_at = NEVER

    def may_accept(self, present: View | None, proposed: View, released_at: float | None, now: float) -> bool:
        """Whether accepting `proposed` breaks no grant; `released_at`: the tail has released its lease then.

        Where it would break one, no further lease is granted for `GRANT_BACKOFF_S`: else the tail would renew
        its lease for ever, and the view would never be accepted.
        """
        if present is None or preserves_read_lease(present, proposed) or now >= self._granted_until:
            return True
        if self._is_released(released_at, now):
            return True
        self._grants_paused_until = now + GRANT_BACKOFF_S
        return False

    def _is_released(self, released_at: float | None, now: float) -> bool:
        """Whether the release covers every grant, those that a former process of this voter gave included."""
        if released_at is None:
            return False
        return released_at >= self._newest_request_at and now >= self._unknown_grants_until


class ReadLeaseHolder:
    """What the voters have granted to this replica as tail."""

    def __init__(self) -> None:
        self._requested_at: dict[str, float] = {}  # of the newest grant, by the voter's folder id
        self._released_at = NEVER
        self._requests_paused_until = NEVER

    def enter_view(self) -> None:
        """A newer view is in force: grants hold for one view, and are requested anew."""
        self._requested_at.clear()
        self._requests_paused_until = NEVER

    def may_request(self, now: float) -> bool:
        """False for a while after a release, so that the next view gets through."""
        return now >= self._requests_paused_until

    def record_grant(self, folder_id: str, requested_at: float) -> None:
        """A voter has granted what was requested then; a request before the newest release is void."""
        if requested_at > self._released_at:
            self._requested_at[folder_id] = max(requested_at, self._requested_at.get(folder_id, requested_at))

    def release(self, now: float) -> None:
        """Give up every lease requested until now."""
        self._requested_at.clear()
        self._released_at = now
        self._requests_paused_until = now + GRANT_BACKOFF_S

    def is_held(self, voters: tuple[Member, ...], now: float) -> bool:
        """Whether the grants of a majority of these voters have not expired."""
        return now < majority_time(self._requested_at, voters) + READ_LEASE_TTL_S - READ_LEASE_MARGIN_S
