"""Tracks by digests which peers are reachable in both directions, and what each has on its disk.

Nodes send each other digests at short intervals: the version vector of what is on their disk, and an echo of
the newest digest that they have received. An incarnation identifies one process of a node.

The last round trip with a peer is dated to the time at which this node sent the newest digest that the peer
has echoed. If packets pass in one direction only, there is no echo and so no round trip.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from msgspec import Struct, field

from reedspoke.control_plane.tallies.messages import TallyDigest, VersionVector
from reedspoke.control_plane.tallies.settings import CONTACT_TIMEOUT_S, FRESH_ROUND_TRIP_S, PEER_TTL_S
from reedspoke.control_plane.tallies.version_vectors import covers

NEVER = float("-inf")
SEQUENCES_PER_S = 1_000_000  # the sequence of a digest encodes the time at which it was sent


class Peer(Struct):
    """The state of one other node, identified by its address."""

    address: str
    folder_id: str = ""
    incarnation: int = 0
    previous_incarnation: int = 0
    received_sequence: int = 0  # the sequence of its newest digest
    sent_sequence: int = 0  # the sequence of the newest digest sent to it
    vector: VersionVector = field(default_factory=dict)
    writable: bool = True  # whether its disk works
    recovered: bool = False  # whether it counts in quorums
    last_round_trip_at: float = NEVER
    digest_received_at: float = NEVER
    is_member: bool = True

    def accepts(self, digest: TallyDigest) -> bool:
        """Whether a digest is newer than the last one, and not a late one of the previous process."""
        if digest.incarnation == self.incarnation:
            return digest.sequence > self.received_sequence
        return digest.incarnation != self.previous_incarnation


class PeerContacts:
    """Owns the state of each peer.

    `observed_since` is the time since which this process has run without a pause; contact time-outs begin no
    earlier.
    """

    def __init__(self, incarnation: int, now: float) -> None:
        self.observed_since = now
        self._incarnation = incarnation
        self._peers: dict[str, Peer] = {}

    # ---- updates ----

    def set_members(self, addresses: Iterable[str], now: float) -> None:
        """Set the addresses of the other control plane nodes."""
        members = set(addresses)
        for address in sorted(members - self._peers.keys()):
            self._peers[address] = Peer(address)
        for address, peer in list(self._peers.items()):
            peer.is_member = address in members
            if not peer.is_member and now - max(peer.digest_received_at, self.observed_since) > PEER_TTL_S:
                del self._peers[address]

    def restart_contact_timeout(self, now: float) -> None:
        """Restart all contact time-outs after this process was paused and missed digests of its peers."""
        self.observed_since = now

    def digest_sent(self, address: str, now: float) -> int:
        """Record that a digest is sent to a peer, and return its sequence."""
        peer = self._peer(address)
        peer.sent_sequence = max(peer.sent_sequence + 1, math.ceil(now * SEQUENCES_PER_S))
        return peer.sent_sequence

    def digest_received(self, address: str, digest: TallyDigest, now: float) -> bool:
        """Update the peer from its digest. False if the digest is outdated and was ignored."""
        peer = self._peer(address)
        if not peer.accepts(digest):
            return False
        if digest.incarnation != peer.incarnation:
            peer.previous_incarnation = peer.incarnation
            peer.incarnation = digest.incarnation
        peer.received_sequence = digest.sequence
        peer.folder_id = digest.folder_id
        peer.vector = digest.vector
        peer.writable = digest.writable
        peer.recovered = digest.recovered
        peer.digest_received_at = now
        if digest.echo_incarnation == self._incarnation and digest.echo:
            peer.last_round_trip_at = max(peer.last_round_trip_at, digest.echo / SEQUENCES_PER_S)
        return True

    def _peer(self, address: str) -> Peer:
        return self._peers.setdefault(address, Peer(address))

    # ---- queries ----

    @property
    def addresses(self) -> tuple[str, ...]:
        """The addresses of all peers to which digests are sent."""
        return tuple(self._peers)

    @property
    def node_count(self) -> int:
        """The number of control plane nodes, this one included."""
        return 1 + sum(peer.is_member for peer in self._peers.values())

    def peer(self, address: str) -> Peer:
        """The state of one peer."""
        return self._peer(address)

    def expected(self, now: float) -> list[Peer]:
        """The members that are not known to be unreachable: their contact time-out has not passed."""
        return [
            peer
            for peer in self._peers.values()
            if peer.is_member and now - max(peer.last_round_trip_at, self.observed_since) < CONTACT_TIMEOUT_S
        ]

    def is_fresh(self, peer: Peer, now: float) -> bool:
        """Whether the last round trip with a peer is as recent as the interval of digests allows."""
        return now - peer.last_round_trip_at < FRESH_ROUND_TRIP_S

    def unreachable_addresses(self, now: float) -> list[str]:
        """The members without a recent round trip."""
        return [
            peer.address for peer in self._peers.values() if peer.is_member and not self.is_fresh(peer, now)
        ]

    def in_contact(self, now: float) -> list[Peer]:
        """The peers with a round trip within the contact time-out."""
        return [peer for peer in self._peers.values() if now - peer.last_round_trip_at < CONTACT_TIMEOUT_S]

    def copies_needed(self, copies: int, now: float) -> int:
        """The number of disks, this one included, that must store an add before it is acknowledged.

        It is `copies`, or the number of reachable nodes if that is less. Failed disks of reachable nodes are
        left out only during a partition: otherwise an add on fewer disks could be lost with them.
        """
        expected = self.expected(now)
        is_complete = all(peer in expected for peer in self._peers.values() if peer.is_member)
        waited_for = [peer for peer in expected if is_complete or peer.writable]
        return min(copies, 1 + len(waited_for))

    def recovered_since(self, since: float) -> list[Peer]:
        """The recovered peers that have echoed a digest sent at the time `since` or later."""
        return [peer for peer in self._peers.values() if peer.recovered and peer.last_round_trip_at >= since]

    def quorum(self, copies: int) -> int:
        """How many recovered nodes it takes for one of them to have any add stored on `copies` disks."""
        return max(self.node_count - copies + 1, copies)

    def copies_covering(self, required: Mapping[str, int]) -> int:
        """The number of disks of peers that have everything up to `required`."""
        holders = {peer.folder_id for peer in self._peers.values() if covers(peer.vector, required)}
        return len(holders - {""})
