"""Which peers can be reached both ways, and what each has on its disk, by the digests that they send.

A peer counts as in contact as of the time at which this node sent the newest digest that the peer has echoed:
packets that pass one way only bring no echo.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from msgspec import Struct, field

from reedspoke.control_plane.tallies.messages import TallyDigest, Vector
from reedspoke.control_plane.tallies.settings import APART_AFTER_S, FORGET_PEER_S, FRESH_CONTACT_S
from reedspoke.control_plane.tallies.version_vectors import covers

NEVER = float("-inf")
SEQUENCES_PER_S = 1_000_000  # a digest's sequence is the time at which it was sent, so that its echo tells it


class Peer(Struct):
    """One other node, by its address."""

    address: str
    folder_id: str = ""
    incarnation: int = 0
    previous_incarnation: int = 0
    received_sequence: int = 0
    sent_sequence: int = 0
    vector: Vector = field(default_factory=dict)
    writable: bool = True
    recovered: bool = False
    contact_as_of: float = NEVER
    heard_at: float = NEVER
    is_member: bool = True

    def takes(self, digest: TallyDigest) -> bool:
        """Whether a digest is newer than the last one, and not a late one of the process before."""
        if digest.incarnation == self.incarnation:
            return digest.sequence > self.received_sequence
        return digest.incarnation != self.previous_incarnation


class PeerContacts:
    """Owns what is known of each peer, and since when this process has listened without a stop."""

    def __init__(self, incarnation: int, now: float) -> None:
        self.listening_since = now
        self._incarnation = incarnation
        self._peers: dict[str, Peer] = {}

    # ---- updates ----

    def set_members(self, addresses: Iterable[str], now: float) -> None:
        """These are the other control plane nodes now."""
        members = set(addresses)
        for address in sorted(members - self._peers.keys()):
            self._peers[address] = Peer(address)
        for address, peer in list(self._peers.items()):
            peer.is_member = address in members
            if not peer.is_member and now - max(peer.heard_at, self.listening_since) > FORGET_PEER_S:
                del self._peers[address]

    def listen_anew(self, now: float) -> None:
        """This process was stopped, and has missed what the peers sent: nobody counts as gone yet."""
        self.listening_since = now

    def digest_sent(self, address: str, now: float) -> int:
        """The sequence of the next digest to a peer."""
        peer = self._peer(address)
        peer.sent_sequence = max(peer.sent_sequence + 1, math.ceil(now * SEQUENCES_PER_S))
        return peer.sent_sequence

    def digest_received(self, address: str, digest: TallyDigest, now: float) -> bool:
        """Take in a digest. False where a newer one has come before."""
        peer = self._peer(address)
        if not peer.takes(digest):
            return False
        if digest.incarnation != peer.incarnation:
            peer.previous_incarnation = peer.incarnation
            peer.incarnation = digest.incarnation
        peer.received_sequence = digest.sequence
        peer.folder_id = digest.folder_id
        peer.vector = digest.vector
        peer.writable = digest.writable
        peer.recovered = digest.recovered
        peer.heard_at = now
        if digest.echo_incarnation == self._incarnation and digest.echo:
            peer.contact_as_of = max(peer.contact_as_of, digest.echo / SEQUENCES_PER_S)
        return True

    def _peer(self, address: str) -> Peer:
        return self._peers.setdefault(address, Peer(address))

    # ---- queries ----

    @property
    def addresses(self) -> tuple[str, ...]:
        """All peers that digests are sent to."""
        return tuple(self._peers)

    def peer(self, address: str) -> Peer:
        """What is known of one peer."""
        return self._peer(address)

    def expected(self, now: float) -> list[Peer]:
        """The peers that are in contact, or may be: no round trip has failed for long enough yet."""
        return [
            peer
            for peer in self._peers.values()
            if peer.is_member and now - max(peer.contact_as_of, self.listening_since) < APART_AFTER_S
        ]

    def is_fresh(self, peer: Peer, now: float) -> bool:
        """Whether a round trip with a peer has succeeded as lately as digests are exchanged."""
        return now - peer.contact_as_of < FRESH_CONTACT_S

    def unreachable_addresses(self, now: float) -> list[str]:
        """The members with which no round trip succeeds at present."""
        return [
            peer.address for peer in self._peers.values() if peer.is_member and not self.is_fresh(peer, now)
        ]

    def in_contact(self, now: float) -> list[Peer]:
        """The peers with which a round trip has succeeded of late."""
        return [peer for peer in self._peers.values() if now - peer.contact_as_of < APART_AFTER_S]

    def copies_needed(self, copies: int, now: float) -> int:
        """Disks, with this one, that have to have an add: `copies`, or as many as are in reach.

        Only beside a partition is a disk that refuses not waited for: without one, an add on fewer disks
        could be lost with them.
        """
        expected = self.expected(now)
        is_complete = all(peer in expected for peer in self._peers.values() if peer.is_member)
        waited_for = [peer for peer in expected if is_complete or peer.writable]
        return min(copies, 1 + len(waited_for))

    def recovered_since(self, since: float) -> list[Peer]:
        """The recovered peers that have echoed a digest which was sent then or later."""
        return [peer for peer in self._peers.values() if peer.recovered and peer.contact_as_of >= since]

    def quorum(self, copies: int) -> int:
        """So many recovered nodes that one of them has each add that `copies` disks ever had."""
        nodes = 1 + sum(peer.is_member for peer in self._peers.values())
        return max(nodes - copies + 1, copies)

    def copies_of(self, required: Mapping[str, int]) -> int:
        """Disks of peers that have everything up to `required`."""
        holders = {peer.folder_id for peer in self._peers.values() if covers(peer.vector, required)}
        return len(holders - {""})
