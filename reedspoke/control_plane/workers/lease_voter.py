"""The voter's side of the discovery lease: the grants of one control plane node. No I/O and no clock."""

from __future__ import annotations

from reedspoke.control_plane.peers.messages import DiscoveryLeaseResponse

LEASE_TTL_S = 1.2  # duration of a grant


class DiscoveryLeaseVoter:
    """Grants the lease to one holder at a time, under rising terms.

    `no_grants_before` is the time, in seconds of the steady clock, until which a grant of an earlier process
    on this machine, unknown to this one, may still be valid.
    """

    def __init__(self, no_grants_before: float) -> None:
        self.highest_term = 0
        self._no_grants_before = no_grants_before
        self._holder = ""
        self._term = 0
        self._expires_at = 0.0

    def request(self, holder: str, term: int, now: float) -> DiscoveryLeaseResponse:
        """Grant or refuse the lease. The current holder may renew it, also under a higher term."""
        if now < self._no_grants_before:
            return DiscoveryLeaseResponse(term, False, self.highest_term, self._no_grants_before - now)
        if self._holder not in ("", holder) and now < self._expires_at:
            return DiscoveryLeaseResponse(term, False, self.highest_term, self._expires_at - now)
        if term < self.highest_term or (term == self.highest_term and holder != self._holder):
            return DiscoveryLeaseResponse(term, False, self.highest_term)
        self.highest_term = term
        self._holder, self._term, self._expires_at = holder, term, now + LEASE_TTL_S
        return DiscoveryLeaseResponse(term, True, term)

    def release(self, holder: str, term: int) -> bool:
        """End a grant before it expires. Returns False if it is not the current grant."""
        if (holder, term) != (self._holder, self._term):
            return False
        self._expires_at = 0.0
        return True

    def refuses_until(self, requester: str) -> float:
        """Return the time until which this voter refuses `requester` regardless of its term."""
        granted_until = 0.0 if self._holder == requester else self._expires_at
        return max(self._no_grants_before, granted_until)
