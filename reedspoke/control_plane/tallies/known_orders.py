"""Decides whether a node has all operators' orders that were acknowledged before its process started.

Its own log does not suffice: other nodes may have acknowledged orders while it was down, and it may hold an
order that nobody was told of and that does not prevail. A quorum of recovered nodes has each acknowledged
order, as for the numbering of an order. Where more disks were lost than are tolerated there may be no such
quorum any more; then it suffices that no node is missing, because nothing else is left.
"""

from __future__ import annotations

from reedspoke.control_plane.tallies.messages import VersionVector
from reedspoke.control_plane.tallies.peer_contacts import PeerContacts
from reedspoke.control_plane.tallies.records import TallyState
from reedspoke.control_plane.tallies.version_vectors import covers


class KnownOrders:
    """Owns whether the orders are known, which never ends, and what the peers had at first contact.

    `copies` is the number of disks that have each acknowledged order. At the first start of a fleet there are
    no earlier orders.
    """

    def __init__(self, copies: int, started_at: float, *, is_first_start: bool) -> None:
        self.are_known = is_first_start
        self._copies = copies
        self._started_at = started_at
        self._required_vectors: dict[str, VersionVector] = {}  # of each recovered peer at first contact

    def update(self, contacts: PeerContacts, state: TallyState, now: float) -> None:
        """Take the present contacts and the present state into account."""
        if not self.are_known:
            self.are_known = self._has_quorum(contacts, state) or self._has_everything(contacts, state, now)

    def _has_quorum(self, contacts: PeerContacts, state: TallyState) -> bool:
        # Later adds need not be waited for: the peer's vector at first contact includes all earlier orders.
        recovered = contacts.recovered_since(self._started_at)
        for peer in recovered:
            self._required_vectors.setdefault(peer.address, peer.vector)
        vector = state.log.vector
        current = sum(covers(vector, self._required_vectors[peer.address]) for peer in recovered)
        return int(state.recovered) + current >= contacts.quorum(self._copies)

    def _has_everything(self, contacts: PeerContacts, state: TallyState, now: float) -> bool:
        reached = contacts.in_contact(now)
        if len(reached) + 1 < max(contacts.node_count, 2):
            return False
        return all(covers(state.log.vector, peer.vector) for peer in reached)
