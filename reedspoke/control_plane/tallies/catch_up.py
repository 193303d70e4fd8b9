"""What this node pulls from whom: differences, or the state in chunks; and whether it may be read yet."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from reedspoke.control_plane.tallies.counts import START
from reedspoke.control_plane.tallies.messages import TallyCursor, TallyStateChunk, Vector
from reedspoke.control_plane.tallies.peer_contacts import NEVER, Peer, PeerContacts
from reedspoke.control_plane.tallies.settings import (
    APART_AFTER_S,
    FRESH_FOLDER_WAIT_S,
    PULL_DELAY_S,
    PULL_TIMEOUT_S,
)
from reedspoke.control_plane.tallies.version_vectors import covers


class StateTransfer(Struct):
    """The state of `source` is being taken in; it includes everything up to `vector`."""

    source: str
    incarnation: int
    vector: Vector
    active_at: float
    after: TallyCursor = START


class CatchUp:
    """Owns the pull and the transfer that are under way, and whether this node has caught up yet.

    `waits_for_peer` is whether this node began with an empty folder in a fleet that runs.
    """

    def __init__(self, now: float, waits_for_peer: bool) -> None:
        self.has_caught_up = False
        self.transfer: StateTransfer | None = None
        self._started_at = now
        self._waits_for_peer = waits_for_peer
        self._lacking_since: dict[str, float] = {}
        self._pulled_from = ""
        self._pulled_at = NEVER
        self._goals: dict[str, Vector] = {}  # what each peer had when it was first heard

    # ---- whether reads are answered ----

    def check_caught_up(self, contacts: PeerContacts, vector: Mapping[str, int], now: float) -> None:
        """Look whether this node has what its peers had when it came into contact with them."""
        if self.has_caught_up:
            return
        reached = {peer.address: peer for peer in contacts.in_contact(now)}
        for address, peer in reached.items():
            self._goals.setdefault(address, peer.vector)
        if any(peer.address not in reached for peer in contacts.expected(now)):
            return
        if not reached and now - self._started_at < self._patience_s():
            return
        self.has_caught_up = all(covers(vector, self._goals[address]) for address in reached)

    def _patience_s(self) -> float:
        return FRESH_FOLDER_WAIT_S if self._waits_for_peer else APART_AFTER_S

    # ---- what to pull ----

    def next_pull(self, contacts: PeerContacts, expected: Mapping[str, int], now: float) -> str | None:
        """The address of a peer to pull from now; `expected` is what this node has or is storing."""
        lacking = [peer for peer in contacts.in_contact(now) if not covers(expected, peer.vector)]
        self._lacking_since = {peer.address: self._lacking_since.get(peer.address, now) for peer in lacking}
        if self._is_under_way(now):
            return None
        due = [peer for peer in lacking if now - self._lacking_since[peer.address] >= PULL_DELAY_S]
        return self._choose(due)

    def pull_after_gap(self, address: str, now: float) -> str | None:
        """The peer that has sent adds behind a gap, unless a pull is under way."""
        return None if self._is_under_way(now) else address

    def _is_under_way(self, now: float) -> bool:
        """Whether a pull or a transfer is waited for: another pull would begin the transfer again."""
        transfer_at = NEVER if self.transfer is None else self.transfer.active_at
        return now - max(self._pulled_at, transfer_at) < PULL_TIMEOUT_S

    def _choose(self, due: list[Peer]) -> str | None:
        if not due:
            return None
        # After a pull that brought nothing, the next one goes to somebody else, if there is anybody.
        chosen = min(due, key=lambda peer: (peer.address == self._pulled_from, peer.address))
        return chosen.address

    def pull_sent(self, address: str, now: float) -> None:
        """A pull, or a request for a chunk, was sent."""
        self._pulled_from = address
        self._pulled_at = now

    def pull_answered(self, address: str) -> None:
        """Something has come from a peer: if it was the one that was asked, the next may be."""
        if address == self._pulled_from:
            self._pulled_at = NEVER
            self._pulled_from = ""

    # ---- transfer of the whole state ----

    def takes_chunk(self, sender: str, chunk: TallyStateChunk, now: float) -> bool:
        """Whether this chunk begins a transfer or is the next one of that under way."""
        transfer = self.transfer
        if chunk.after == START:
            if transfer is not None and now - transfer.active_at < PULL_TIMEOUT_S:
                return False
            # Only the first chunk's vector is sure to be included in all that follow it.
            self.transfer = StateTransfer(sender, chunk.incarnation, chunk.vector, now)
            return True
        if transfer is None or (transfer.source, transfer.after) != (sender, chunk.after):
            return False
        # A source that has started again may have lost its disk, and with it what stood behind this place.
        return chunk.incarnation == transfer.incarnation
