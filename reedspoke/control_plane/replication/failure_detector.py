"""Failure detector: reachability and state of the other replicas, from their heartbeats."""

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
    """The newest heartbeat of a replica, and since when its heartbeats have arrived without a gap."""

    heartbeat: Heartbeat
    last_received_at: float
    received_since: float


class FailureDetector:
    """Owns the newest heartbeat of each replica.

    A replica is reachable while both replicas receive each other's heartbeats: over a link that works in one
    direction only, neither may rely on the other.
    """

    def __init__(self, own: Member, now: float) -> None:
        self._own = own
        self._peers: dict[str, PeerStatus] = {}
        self._timeouts_count_from = now  # time-outs are measured from this time at the earliest

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a heartbeat. A new folder at the address of an older one replaces it."""
        folder_id = heartbeat.member.folder_id
        self._forget_other_folders(heartbeat.member)
        known = self._peers.get(folder_id)
        since = known.received_since if known and now - known.last_received_at <= REACHABLE_TIMEOUT_S else now
        self._peers[folder_id] = PeerStatus(heartbeat, now, since)

    def process_resumed(self, now: float) -> None:
        """Restart all time-outs after a stop of this process, in which it has received nothing."""
        self._timeouts_count_from = now

    def members(self, now: float) -> list[Member]:
        """All replicas whose heartbeats arrived within `DEAD_TIMEOUT_S`, members of the view or not."""
        return [
            peer.heartbeat.member
            for peer in self._peers.values()
            if now - peer.last_received_at <= DEAD_TIMEOUT_S
        ]

    def latest_heartbeat(self, folder_id: str) -> Heartbeat | None:
        """The newest heartbeat of this replica; None before the first."""
        peer = self._peers.get(folder_id)
        return peer.heartbeat if peer else None

    def received_for_s(self, address: str, now: float) -> float:
        """Seconds for which heartbeats of the replica at this address have arrived without a gap."""
        since = [
            peer.received_since for peer in self._peers.values() if peer.heartbeat.member.address == address
        ]
        return max((now - each for each in since), default=0.0)

    def is_timed_out(self, folder_id: str, now: float, limit: float) -> bool:
        """Whether `limit` seconds have passed since its last heartbeat and the last restart of time-outs."""
        peer = self._peers.get(folder_id)
        last_received_at = max(
            peer.last_received_at if peer else self._timeouts_count_from, self._timeouts_count_from
        )
        return now - last_received_at > limit

    def receives_from(self, members: Iterable[Member], now: float) -> tuple[str, ...]:
        """Folder ids of the replicas whose heartbeats arrive here.

        For `REACHABLE_TIMEOUT_S` after a restart of time-outs they include those of `members` from whose
        address no heartbeat has arrived yet.
        """
        received = {folder for folder, peer in self._peers.items() if self._is_received_recently(peer, now)}
        if now - self._timeouts_count_from <= REACHABLE_TIMEOUT_S:
            received.update(member.folder_id for member in members if self._is_unobserved(member))
        received.discard(self._own.folder_id)
        return tuple(sorted(received))

    def mutually_reachable(self, folder_id: str, now: float) -> bool:
        """Whether this process and that replica receive each other's heartbeats."""
        if folder_id == self._own.folder_id:
            return True
        peer = self._peers.get(folder_id)
        if peer is None or now - peer.last_received_at > REACHABLE_TIMEOUT_S:
            return False
        return self._own.folder_id in peer.heartbeat.receives_from

    def are_connected(self, one: str, other: str) -> bool:
        """Whether two other replicas receive each other's heartbeats, by the newest heartbeat of each.

        For links of this replica itself there is `mutually_reachable`.
        """
        return other in self._senders_received_by(one) and one in self._senders_received_by(other)

    def is_steady(self, folder_id: str, now: float) -> bool:
        """Whether this replica has been reachable for long enough to be appended to the chain."""
        return self._reachable_for(folder_id, now, JOIN_MIN_REACHABLE_S)

    def is_established(self, folder_id: str, now: float) -> bool:
        """Whether this replica has been reachable for so long that it is unlikely to be replaced soon."""
        return self._reachable_for(folder_id, now, ESTABLISHED_MIN_REACHABLE_S)

    def is_lost(self, folder_id: str, now: float) -> bool:
        """Whether this replica counts as lost, so that another may replace it as a voter.

        No heartbeat of it has arrived here for `DEAD_TIMEOUT_S`, and no other replica whose own heartbeats
        have arrived for longer than that reports to receive it.
        """
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

    def _is_unobserved(self, member: Member) -> bool:
        """Whether no heartbeat has arrived from this member's address so far."""
        return all(peer.heartbeat.member.address != member.address for peer in self._peers.values())

    def _forget_other_folders(self, member: Member) -> None:
        replaced = [
            folder_id
            for folder_id, peer in self._peers.items()
            if peer.heartbeat.member.address == member.address and folder_id != member.folder_id
        ]
        for folder_id in replaced:
            del self._peers[folder_id]
