"""Decides what this node pulls from which peer, and whether it has caught up, so that it may answer reads."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from reedspoke.control_plane.tallies.counts import START
from reedspoke.control_plane.tallies.messages import TallyCursor, TallyStateChunk, VersionVector
from reedspoke.control_plane.tallies.peer_contacts import NEVER, Peer, PeerContacts
from reedspoke.control_plane.tallies.settings import (
    CONTACT_TIMEOUT_S,
    EMPTY_FOLDER_WAIT_S,
    PULL_DELAY_S,
    PULL_TIMEOUT_S,
)
from reedspoke.control_plane.tallies.version_vectors import covers


class StateTransfer(Struct):
    """A transfer of the state of `source`, which includes everything up to `vector`, in chunks."""

    source: str
    incarnation: int
    vector: VersionVector
    active_at: float
    after: TallyCursor = START


class CatchUp:
    """Owns the pull and the transfer in progress, and whether this node has caught up.

    `waits_for_peer` is set if this node started with an empty folder in a running fleet.
    """

    def __init__(self, now: float, waits_for_peer: bool) -> None:
        self.has_caught_up = False
        self.transfer: StateTransfer | None = None
        self._started_at = now
        self._waits_for_peer = waits_for_peer
        self._lacking_since: dict[str, float] = {}  # when each peer was first seen to have more
        self._pulled_from = ""
        self._pulled_at = NEVER
        self._required_vectors: dict[str, VersionVector] = {}  # the vector of each peer at first contact

    # ---- whether this node may answer reads ----

    def check_caught_up(self, contacts: PeerContacts, vector: Mapping[str, int], now: float) -> None:
        """Update `has_caught_up`: whether this node has all that its peers had at first contact."""
        if self.has_caught_up:
            return
        reached = {peer.address: peer for peer in contacts.in_contact(now)}
        for address, peer in reached.items():
            self._required_vectors.setdefault(address, peer.vector)
        if any(peer.address not in reached for peer in contacts.expected(now)):
            return  # A peer without a round trip yet may have more.
        if not reached and now - self._started_at < self._first_contact_timeout_s():
            return
        self.has_caught_up = all(covers(vector, self._required_vectors[address]) for address in reached)

    def _first_contact_timeout_s(self) -> float:
        # A node with an empty folder waits longer, as it would answer with totals that lack all adds.
        return EMPTY_FOLDER_WAIT_S if self._waits_for_peer else CONTACT_TIMEOUT_S

    # ---- what to pull ----

    def next_pull(self, contacts: PeerContacts, expected: Mapping[str, int], now: float) -> str | None:
        """The address of a peer to pull from now; None if no peer has more or a pull is in progress.

        `expected` is the vector of what this node has or is storing.
        """
        lacking = [peer for peer in contacts.in_contact(now) if not covers(expected, peer.vector)]
        self._lacking_since = {peer.address: self._lacking_since.get(peer.address, now) for peer in lacking}
        if self._is_in_progress(now):
            return None
        due = [peer for peer in lacking if now - self._lacking_since[peer.address] >= PULL_DELAY_S]
        return self._choose_peer(due)

    def pull_after_gap(self, address: str, now: float) -> str | None:
        """The peer to pull from after it sent adds that follow a gap; None if a pull is in progress."""
        return None if self._is_in_progress(now) else address

    def _is_in_progress(self, now: float) -> bool:
        """Whether a pull or a transfer is in progress; another pull would restart the transfer."""
        transfer_at = NEVER if self.transfer is None else self.transfer.active_at
        return now - max(self._pulled_at, transfer_at) < PULL_TIMEOUT_S

    def _choose_peer(self, due: list[Peer]) -> str | None:
        if not due:
            return None
        # After a pull without an answer, the next one goes to another peer if possible.
        chosen = min(due, key=lambda peer: (peer.address == self._pulled_from, peer.address))
        return chosen.address

    def pull_sent(self, address: str, now: float) -> None:
        """Record that a pull, or a request for a chunk, was sent."""
        self._pulled_from = address
        self._pulled_at = now

    def pull_answered(self, address: str) -> None:
        """Record an answer of a peer: if the current pull went to it, the next pull may be sent."""
        if address == self._pulled_from:
            self._pulled_at = NEVER
            self._pulled_from = ""

    # ---- transfer of the whole state ----

    def accepts_chunk(self, sender: str, chunk: TallyStateChunk, now: float) -> bool:
        """Whether this chunk begins a transfer or is the next one of the transfer in progress."""
        transfer = self.transfer
        if chunk.after == START:
            if transfer is not None and now - transfer.active_at < PULL_TIMEOUT_S:
                return False
            # All chunks together include everything up to the vector of the first one. They may not include
            # later vectors, as the state may grow during the transfer in parts that were already sent.
            self.transfer = StateTransfer(sender, chunk.incarnation, chunk.vector, now)
            return True
        if transfer is None or (transfer.source, transfer.after) != (sender, chunk.after):
            return False
        # A source that was restarted may have lost its disk, and with it the state that was still to be sent.
        return chunk.incarnation == transfer.incarnation
