"""The voters' side of the discovery lease: what one control plane node has granted. Pure; no clock."""

from __future__ import annotations

from reedspoke.control_plane.peers.messages import DiscoveryLeaseResponse

LEASE_TTL_S = 1.2  # how long a grant lasts


class DiscoveryLeaseVoter:
    """Grants the lease to one holder at a time, under terms that only rise.

    `no_grants_before` is the time, in seconds of the steady clock, until which another process on this
    machine may have granted the lease to somebody that this one knows nothing of.
    """

    def __init__(self, no_grants_before: float) -> None:
        self.highest_term = 0
        self._no_grants_before = no_grants_before
        self._holder = ""
        self._term = 0
        self._expires_at = 0.0

    def request(self, holder: str, term: int, now: float) -> DiscoveryLeaseResponse:
        """Grant or refuse. The present holder may renew, also under a higher term."""
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
        """End a grant before it expires. False where this is not the grant that is out."""
        if (holder, term) != (self._holder, self._term):
            return False
        self._expires_at = 0.0
        return True

    def refuses_until(self, requester: str) -> float:
        """Until when this voter would refuse `requester` whatever its term."""
        granted_until = 0.0 if self._holder == requester else self._expires_at
        return max(self._no_grants_before, granted_until)
