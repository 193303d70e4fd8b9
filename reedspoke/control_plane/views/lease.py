"""Read lease of the tail: what a voter has granted, and what a tail has been granted."""

from __future__ import annotations

from reedspoke.control_plane.replication.events import Member, View
from reedspoke.control_plane.replication.settings import GRANT_PAUSE_S, LEASE_MARGIN_S, LEASE_S


def majority(count: int) -> int:
    """The least number of voters that is more than half."""
    return count // 2 + 1


def tail_of(view: View) -> Member:
    """The last member of the chain."""
    return view.chain[-1].member


class VoterLease:
    """What this voter has granted: until then it accepts no view with another tail or other voters.

    A restarted voter has forgotten its grants, so that it waits for the length of one.
    """

    def __init__(self, now: float) -> None:
        self._blocked_until = now + LEASE_S
        self._forgotten_until = now + LEASE_S
        self._last_sent = float("-inf")
        self._paused_until = float("-inf")

    def may_grant(self, now: float) -> bool:
        """False for a while after a view with another tail had to be deferred."""
        return now >= self._paused_until

    def grant(self, sent: float, now: float) -> None:
        """Promise to the tail that asked at `sent` of its clock."""
        self._blocked_until = max(self._blocked_until, now + LEASE_S)
        self._last_sent = max(self._last_sent, sent)

    def enter(self, before: View | None, view: View) -> None:
        """A new view: its tail may be granted leases; times of another tail's clock mean nothing any more."""
        self._paused_until = float("-inf")
        if before is None or tail_of(before) != tail_of(view):
            self._last_sent = float("-inf")

    def may_accept(self, present: View | None, proposed: View, resigned_at: float | None, now: float) -> bool:
        """Whether accepting breaks no grant. Where it would, grants are paused, so that they run out."""
        if present is None or keeps_lease(present, proposed) or now >= self._blocked_until:
            return True
        if resigned_at is not None and resigned_at >= self._last_sent and now >= self._forgotten_until:
            return True
        self._paused_until = now + GRANT_PAUSE_S
        return False


def keeps_lease(present: View, proposed: View) -> bool:
    """Whether a lease of the present tail stays harmless under the proposed view."""
    return tail_of(present) == tail_of(proposed) and present.voters == proposed.voters


class TailLease:
    """What the voters have granted to this replica as tail, counted from when it asked."""

    def __init__(self) -> None:
        self._grants: dict[str, float] = {}
        self._ignored_until = float("-inf")
        self._paused_until = float("-inf")

    def enter(self) -> None:
        """A new view: grants are asked for anew."""
        self._grants.clear()
        self._paused_until = float("-inf")

    def may_ask(self, now: float) -> bool:
        """False for a while after a resignation."""
        return now >= self._paused_until

    def granted(self, folder_id: str, sent: float) -> None:
        """A voter has granted what was asked at `sent`."""
        if sent > self._ignored_until:
            self._grants[folder_id] = max(sent, self._grants.get(folder_id, sent))

    def resign(self, now: float) -> None:
        """Give up everything asked for until now."""
        self._grants.clear()
        self._ignored_until = now
        self._paused_until = now + GRANT_PAUSE_S

    def holds(self, voters: tuple[Member, ...], now: float) -> bool:
        """Whether a majority's grants have not run out at `now`."""
        sent = sorted((self._grants.get(voter.folder_id, float("-inf")) for voter in voters), reverse=True)
        return now < sent[majority(len(voters)) - 1] + LEASE_S - LEASE_MARGIN_S
