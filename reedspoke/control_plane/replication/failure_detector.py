"""What a replica knows of the others from their heartbeats: who is in reach, both ways, in what condition."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from reedspoke.control_plane.replication.messages import Heartbeat
from reedspoke.control_plane.replication.settings import (
    DEAD_TIMEOUT_S,
    ESTABLISHED_MIN_REACHABLE_S,
    JOIN_MIN_REACHABLE_S,
    REACHABLE_TIMEOUT_S,
)
from reedspoke.control_plane.replication.view import Member


class PeerStatus(Struct):
    """The newest heartbeat of a replica, and since when it has been heard without a gap."""

    heartbeat: Heartbeat
    last_received_at: float
    received_since: float


class FailureDetector:
    """Owns the newest heartbeat of each replica.

    A replica is in reach while each hears the other's heartbeats: over a link that works one way only,
    neither may rely on the other.
    """

    def __init__(self, own: Member, now: float) -> None:
        self._own = own
        self._peers: dict[str, PeerStatus] = {}
        self._timeouts_count_from = now  # no timeout counts from before this

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """A heartbeat has come. A folder at the address of an older folder replaces it."""
        folder_id = heartbeat.member.folder_id
        self._forget_other_folders(heartbeat.member)
        known = self._peers.get(folder_id)
        since = known.received_since if known and now - known.last_received_at <= REACHABLE_TIMEOUT_S else now
        self._peers[folder_id] = PeerStatus(heartbeat, now, since)

    def process_resumed(self, now: float) -> None:
        """This process was stopped: what it has missed until now says nothing of the others."""
        self._timeouts_count_from = now

    def members(self, now: float) -> list[Member]:
        """All replicas heard lately, whether members of the view or not."""
        return [
            peer.heartbeat.member
            for peer in self._peers.values()
            if now - peer.last_received_at <= DEAD_TIMEOUT_S
        ]

    def latest_heartbeat(self, folder_id: str) -> Heartbeat | None:
        """The newest heartbeat of this replica."""
        peer = self._peers.get(folder_id)
        return peer.heartbeat if peer else None

    def received_for_s(self, address: str, now: float) -> float:
        """How long the replica at this address has been heard without a gap."""
        since = [
            peer.received_since for peer in self._peers.values() if peer.heartbeat.member.address == address
        ]
        return max((now - each for each in since), default=0.0)

    def is_timed_out(self, folder_id: str, now: float, limit: float) -> bool:
        """Whether this replica has not been heard for `limit`, as far as that can be judged."""
        peer = self._peers.get(folder_id)
        last_received_at = max(
            peer.last_received_at if peer else self._timeouts_count_from, self._timeouts_count_from
        )
        return now - last_received_at > limit

    def receives_from(self, members: Iterable[Member], now: float) -> tuple[str, ...]:
        """The replicas that this one hears; of `members` those are included that can't be judged yet."""
        judged = {folder for folder, peer in self._peers.items() if self._is_received_recently(peer, now)}
        if now - self._timeouts_count_from <= REACHABLE_TIMEOUT_S:
            judged.update(member.folder_id for member in members if self._is_unjudged(member))
        judged.discard(self._own.folder_id)
        return tuple(sorted(judged))

    def mutually_reachable(self, folder_id: str, now: float) -> bool:
        """Whether this replica and I hear each other."""
        if folder_id == self._own.folder_id:
            return True
        peer = self._peers.get(folder_id)
        if peer is None or now - peer.last_received_at > REACHABLE_TIMEOUT_S:
            return False
        return self._own.folder_id in peer.heartbeat.receives_from

    def are_connected(self, one: str, other: str) -> bool:
        """Whether two replicas hear each other, by their newest heartbeats.

        `mutually_reachable` judges this replica's own links.
        """
        return other in self._senders_received_by(one) and one in self._senders_received_by(other)

    def is_steady(self, folder_id: str, now: float) -> bool:
        """Whether this replica has been in reach for long enough to be appended."""
        return self._reachable_for(folder_id, now, JOIN_MIN_REACHABLE_S)

    def is_established(self, folder_id: str, now: float) -> bool:
        """Whether this replica has been in reach for so long that it will hardly be replaced soon."""
        return self._reachable_for(folder_id, now, ESTABLISHED_MIN_REACHABLE_S)

    def is_lost(self, folder_id: str, now: float) -> bool:
        """Whether neither this replica nor any that has run as long heard that one for `DEAD_TIMEOUT_S`."""
        if folder_id == self._own.folder_id or not self.is_timed_out(folder_id, now, DEAD_TIMEOUT_S):
            return False
        observers = [
            peer.heartbeat
            for peer in self._peers.values()
            if now - peer.last_received_at <= REACHABLE_TIMEOUT_S
            and now - peer.received_since > DEAD_TIMEOUT_S
        ]
        return not any(folder_id in heartbeat.receives_from for heartbeat in observers)

    def _reachable_for(self, folder_id: str, now: float, duration_s: float) -> bool:
        peer = self._peers.get(folder_id)
        if peer is None or not self.mutually_reachable(folder_id, now):
            return False
        return now - peer.received_since >= duration_s

    def _senders_received_by(self, folder_id: str) -> tuple[str, ...]:
        peer = self._peers.get(folder_id)
        return peer.heartbeat.receives_from if peer else ()

    def _is_received_recently(self, peer: PeerStatus, now: float) -> bool:
        return now - max(peer.last_received_at, self._timeouts_count_from) <= REACHABLE_TIMEOUT_S

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
