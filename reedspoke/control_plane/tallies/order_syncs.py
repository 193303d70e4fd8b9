"""Syncs: a node gets the numbers of all orders, before it gives a new order its number.

The node asks all others what they have in the tallies that hold orders. A sync completes once a quorum of
recovered nodes has answered: one of them has each add that is on as many disks as an order requires. It also
waits, for a short time, for the other nodes in reach, because only a node that has answered tells of an order
that is in no log but its own.

A node of a version without these messages closes their connection. It still counts in the quorum once it has
echoed a digest sent since and this node has on its disk all that the peer has, as for `CatchUp`.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, field

from reedspoke.control_plane.tallies.events import OrderNumbers, SendOrderMessage, SyncCompleted
from reedspoke.control_plane.tallies.messages import (
    OrderNumbersReply,
    OrderNumbersRequest,
    TallyAdd,
    VersionVector,
)
from reedspoke.control_plane.tallies.peer_contacts import PeerContacts
from reedspoke.control_plane.tallies.settings import CALL_TIMEOUT_S, SYNC_GRACE_S
from reedspoke.control_plane.tallies.version_vectors import covers

REQUEST_ID_SHIFT = 32  # the incarnation is above these bits, the number of the request below


class OwnNumbers(Struct, frozen=True):
    """What this node contributes to a sync; `adds` as in `OrderNumbersReply`, `vector` of what is synced."""

    folder_id: str
    recovered: bool
    adds: tuple[TallyAdd, ...]
    vector: VersionVector


class WaitingSync(Struct):
    """A sync that began at `since`, and the replies so far by address."""

    call_id: int
    request_id: int
    since: float
    replies: dict[str, OrderNumbersReply] = field(default_factory=dict)


class OrderSyncs:
    """Owns the waiting syncs, which are dropped after CALL_TIMEOUT_S without a quorum.

    `own` returns what this node has at that moment.
    """

    def __init__(
        self, copies: int, incarnation: int, contacts: PeerContacts, own: Callable[[], OwnNumbers]
    ) -> None:
        self._copies = copies
        self._contacts = contacts
        self._own = own
        self._request_id = incarnation << REQUEST_ID_SHIFT
        self._waiting: list[WaitingSync] = []

    def may_reach_quorum(self, now: float) -> bool:
        """Whether enough nodes are reachable for a sync to complete."""
        return self._contacts.copies_needed(self._copies, now) == self._copies

    def begin(self, call_id: int, now: float) -> None:
        """Begin a sync; `requests` sends its requests."""
        self._request_id += 1
        self._waiting.append(WaitingSync(call_id, self._request_id, now))

    def requests(self) -> list[SendOrderMessage]:
        """The requests that have no reply yet; they are repeated, because messages may be lost."""
        return [
            SendOrderMessage(address, OrderNumbersRequest(sync.request_id))
            for sync in self._waiting
            for address in self._contacts.addresses
            if address not in sync.replies
        ]

    def reply_to(self, request: OrderNumbersRequest) -> OrderNumbersReply:
        """The reply to another node's request."""
        own = self._own()
        return OrderNumbersReply(request.request_id, own.folder_id, own.recovered, own.adds)

    def reply_received(self, sender: str, reply: OrderNumbersReply) -> None:
        """Record a reply. One to a sync that no longer waits is ignored."""
        for sync in self._waiting:
            if sync.request_id == reply.request_id:
                sync.replies[sender] = reply

    def completed(self, now: float) -> list[SyncCompleted]:
        """The syncs that are complete now; they no longer wait."""
        if not self._waiting:
            return []
        own = self._own()
        complete = [sync for sync in self._waiting if self._is_complete(sync, own, now)]
        self._waiting = [
            sync for sync in self._waiting if sync not in complete and now - sync.since < CALL_TIMEOUT_S
        ]
        return [SyncCompleted(sync.call_id, _numbers(sync, own)) for sync in complete]

    def _is_complete(self, sync: WaitingSync, own: OwnNumbers, now: float) -> bool:
        if not own.recovered or not self._has_quorum(sync, own):
            return False
        missing = [peer for peer in self._contacts.expected(now) if peer.address not in sync.replies]
        return not missing or now - sync.since >= SYNC_GRACE_S

    def _has_quorum(self, sync: WaitingSync, own: OwnNumbers) -> bool:
        answered = {address for address, reply in sync.replies.items() if reply.recovered}
        current = {
            peer.address
            for peer in self._contacts.recovered_since(sync.since)
            if covers(own.vector, peer.vector)
        }
        return 1 + len(answered | current) >= self._contacts.quorum(self._copies)


def _numbers(sync: WaitingSync, own: OwnNumbers) -> OrderNumbers:
    replies = sync.replies.values()
    return OrderNumbers(
        own=own.adds,
        others=tuple(add for reply in replies for add in reply.adds),
        folders=frozenset((own.folder_id, *(reply.folder_id for reply in replies))),
    )
