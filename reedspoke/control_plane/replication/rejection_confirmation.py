"""Rejections of the head, which are deferred until the tail confirms that the head's view is in force.

A partitioned head may lack changes that the others have acknowledged in a newer view, and must not reject
them. While the tail of its view holds the read lease there is no newer view. The request for a confirmation
is a read.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from reedspoke.control_plane.replication.messages import GetReply, GetRequest
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import GET_RETRY_INTERVAL_S
from reedspoke.control_plane.replication.view import Member

KEY_PREFIX = "refusal "  # on the wire; distinguishes the keys from the request ids of reads

NO_ENTRY_REQUESTED = 2**62  # no sequence is larger, so that the tail sends no entry

OnConfirmed = Callable[[bool], None]


class PendingRejection(Struct):
    """An unconfirmed rejection; `on_end` is called with whether it was confirmed in time."""

    request: str
    on_end: OnConfirmed
    deadline: float
    requested_at: float


class RejectionConfirmer:
    """Requests a confirmation by the tail for each rejection until it replies or the deadline is reached.

    Each confirmation has a key of its own, so that a reply to an earlier request is not mistaken for it. The
    id of the rejected request would not be unique: the forwarder resends it after a restart of the head.
    """

    def __init__(self, name: str, outbox: Outbox) -> None:
        self._prefix = f"{KEY_PREFIX}{name}:"
        self._count = 0
        self._outbox = outbox
        self._pending: dict[str, PendingRejection] = {}
        self._view = 0
        self._tail: Member | None = None

    def enter_view(self, number: int, tail: Member) -> None:
        """Drop the pending rejections; the head of the newer view decides these changes again."""
        self._view = number
        self._tail = tail
        self._pending.clear()

    def add(self, request: str, deadline: float, on_end: OnConfirmed) -> None:
        """Request the confirmation of a rejection."""
        self._count += 1
        key = f"{self._prefix}{self._count}"
        self._pending[key] = PendingRejection(request, on_end, deadline, self._outbox.now)
        self._request_confirmation(key)

    def is_pending(self, request: str) -> bool:
        """Whether a rejection of this request waits for a confirmation."""
        return any(rejection.request == request for rejection in self._pending.values())

    def receive_reply(self, reply: GetReply) -> bool:
        """Handle a tail's reply; return False if it is the reply to a read."""
        if not reply.request_id.startswith(KEY_PREFIX):
            return False
        if reply.ready and reply.view_number == self._view and reply.request_id in self._pending:
            self._pending.pop(reply.request_id).on_end(True)
        return True

    def tick(self) -> None:
        """Resend requests, and end those whose deadline has passed."""
        for key, rejection in list(self._pending.items()):
            if self._outbox.now >= rejection.deadline:
                del self._pending[key]
                rejection.on_end(False)
            elif self._outbox.now - rejection.requested_at >= GET_RETRY_INTERVAL_S:
                rejection.requested_at = self._outbox.now
                self._request_confirmation(key)

    def _request_confirmation(self, key: str) -> None:
        if self._tail is not None:
            self._outbox.send(
                self._tail.address, GetRequest(self._view, key, known_sequence=NO_ENTRY_REQUESTED)
            )
