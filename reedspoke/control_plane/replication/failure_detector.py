"""What a replica knows of the others from their heartbeats: who is in reach, both ways, in what condition."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from reedspoke.control_plane.replication.messages import Heartbeat
from reedspoke.control_plane.replication.settings import (
    DEAD_TIMEOUT_S,
    ESTABLISHED_AFTER_S,
    JOIN_AFTER_S,
    REACHABLE_TIMEOUT_S,
)
from reedspoke.control_plane.replication.view import Member


class PeerStatus(Struct):
    """The newest heartbeat of a replica, and since when it has been heard without a gap."""

    heartbeat: Heartbeat
    heard_at: float
    heard_since: float


class FailureDetector:
    """Owns the newest heartbeat of each replica.

    A replica is in reach while each hears the other's heartbeats: over a link that works one way only,
    neither may rely on the other.
    """

    def __init__(self, own: Member, now: float) -> None:
        self._own = own
        self._peers: dict[str, PeerStatus] = {}
        self._grace_from = now  # no timeout counts from before this

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """A heartbeat has come. A folder at the address of an older folder replaces it."""
        folder_id = heartbeat.member.folder_id
        self._forget_other_folders(heartbeat.member)
        known = self._peers.get(folder_id)
        since = known.heard_since if known and now - known.heard_at <= REACHABLE_TIMEOUT_S else now
        self._peers[folder_id] = PeerStatus(heartbeat, now, since)

    def process_resumed(self, now: float) -> None:
        """This process was stopped: what it has missed until now says nothing of the others."""
        self._grace_from = now

    def members(self, now: float) -> list[Member]:
        """All replicas heard lately, whether members of the view or not."""
        return [
            peer.heartbeat.member for peer in self._peers.values() if now - peer.heard_at <= DEAD_TIMEOUT_S
        ]

    def latest(self, folder_id: str) -> Heartbeat | None:
        """The newest heartbeat of this replica."""
        peer = self._peers.get(folder_id)
        return peer.heartbeat if peer else None

    def heard_for(self, address: str, now: float) -> float:
        """How long the replica at this address has been heard without a gap."""
        since = [
            peer.heard_since for peer in self._peers.values() if peer.heartbeat.member.address == address
        ]
        return max((now - each for each in since), default=0.0)

    def is_timed_out(self, folder_id: str, now: float, limit: float) -> bool:
        """Whether this replica has not been heard for `limit`, as far as that can be judged."""
        peer = self._peers.get(folder_id)
        heard_at = max(peer.heard_at if peer else self._grace_from, self._grace_from)
        return now - heard_at > limit

    def heard(self, members: Iterable[Member], now: float) -> tuple[str, ...]:
        """The replicas that this one hears; of `members` those are included that can't be judged yet."""
        judged = {folder for folder, peer in self._peers.items() if self._heard_lately(peer, now)}
        if now - self._grace_from <= REACHABLE_TIMEOUT_S:
            judged.update(member.folder_id for member in members if self._is_unjudged(member))
        judged.discard(self._own.folder_id)
        return tuple(sorted(judged))

    def mutually_reachable(self, folder_id: str, now: float) -> bool:
        """Whether this replica and I hear each other."""
        if folder_id == self._own.folder_id:
            return True
        peer = self._peers.get(folder_id)
        if peer is None or now - peer.heard_at > REACHABLE_TIMEOUT_S:
            return False
        return self._own.folder_id in peer.heartbeat.heard

    def are_connected(self, one: str, other: str) -> bool:
        """Whether two replicas hear each other, by their newest heartbeats.

        `mutually_reachable` judges this replica's own links.
        """
        return other in self._heard_by(one) and one in self._heard_by(other)

    def is_steady(self, folder_id: str, now: float) -> bool:
        """Whether this replica has been in reach for long enough to be appended."""
        return self._reachable_for(folder_id, now, JOIN_AFTER_S)

    def is_established(self, folder_id: str, now: float) -> bool:
        """Whether this replica has been in reach for so long that it will hardly be replaced soon."""
        return self._reachable_for(folder_id, now, ESTABLISHED_AFTER_S)

    def is_lost(self, folder_id: str, now: float) -> bool:
        """Whether neither this replica nor any that has run as long heard that one for `DEAD_TIMEOUT_S`."""
        if folder_id == self._own.folder_id or not self.is_timed_out(folder_id, now, DEAD_TIMEOUT_S):
            return False
        witnesses = [
            peer.heartbeat
            for peer in self._peers.values()
            if now - peer.heard_at <= REACHABLE_TIMEOUT_S and now - peer.heard_since > DEAD_TIMEOUT_S
        ]
        return not any(folder_id in heartbeat.heard for heartbeat in witnesses)

    def _reachable_for(self, folder_id: str, now: float, duration_s: float) -> bool:
        peer = self._peers.get(folder_id)
        if peer is None or not self.mutually_reachable(folder_id, now):
            return False
        return now - peer.heard_since >= duration_s

    def _heard_by(self, folder_id: str) -> tuple[str, ...]:
        peer = self._peers.get(folder_id)
        return peer.heartbeat.heard if peer else ()

    def _heard_lately(self, peer: PeerStatus, now: float) -> bool:
        return now - max(peer.heard_at, self._grace_from) <= REACHABLE_TIMEOUT_S

    def _is_unjudged(self, member: Member) -> bool:
        """Whether nothing has been heard from this member's address so far."""
        return all(peer.heartbeat.member.address != member.address for peer in self._peers.values())

    def _forget_other_folders(self, member: Member) -> None:
        replaced = [
            folder_id
            for folder_id, peer in self._peers.items()
            if peer.heartbeat.member.address == member.address and folder_id != member.folder_id
        ]
        for folder_id in replaced:
            del self._peers[folder_id]
