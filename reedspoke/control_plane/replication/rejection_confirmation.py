"""Refusals of the head that wait until the tail has confirmed that the head's view is still in force.

A head that was cut off may lack changes that the others have acknowledged since, and must not refuse them.
A tail that holds its read lease in the same view rules that out.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from reedspoke.control_plane.replication.messages import GetReply, GetRequest
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import GET_RETRY_INTERVAL_S
from reedspoke.control_plane.replication.view import Member

KEY_PREFIX = "refusal "  # tells the keys from the names of reads

NO_ENTRY_REQUESTED = 2**62  # no sequence is larger, so that the tail sends no entry

OnConfirmed = Callable[[bool], None]


class PendingRejection(Struct):
    """A refusal that is not confirmed yet; `on_end` is told whether it was confirmed in time."""

    request: str
    on_end: OnConfirmed
    deadline: float
    requested_at: float


class RejectionConfirmer:
    """Asks the tail for each refusal, until it confirms or the deadline is reached.

    Each has a key of its own, so that an answer to an earlier question confirms nothing: the name of the
    refused request would come again where the head has been started anew, as the asker repeats it.
    """

    def __init__(self, name: str, outbox: Outbox) -> None:
        self._prefix = f"{KEY_PREFIX}{name}:"
        self._count = 0
        self._outbox = outbox
        self._pending: dict[str, PendingRejection] = {}
        self._view = 0
        self._tail: Member | None = None

    def enter_view(self, number: int, tail: Member) -> None:
        """A newer view: what waited is decided anew by its head."""
        self._view = number
        self._tail = tail
        self._pending.clear()

    def add(self, request: str, deadline: float, on_end: OnConfirmed) -> None:
        """Have a refusal confirmed."""
        self._count += 1
        key = f"{self._prefix}{self._count}"
        self._pending[key] = PendingRejection(request, on_end, deadline, self._outbox.now)
        self._request_confirmation(key)

    def is_pending(self, request: str) -> bool:
        """Whether a refusal of this request waits."""
        return any(rejection.request == request for rejection in self._pending.values())

    def receive_reply(self, reply: GetReply) -> bool:
        """The tail's answer; false where it belongs to a read."""
        if not reply.request.startswith(KEY_PREFIX):
            return False
        if reply.ready and reply.view == self._view and reply.request in self._pending:
            self._pending.pop(reply.request).on_end(True)
        return True

    def tick(self) -> None:
        """Ask again, or give up."""
        for key, rejection in list(self._pending.items()):
            if self._outbox.now >= rejection.deadline:
                del self._pending[key]
                rejection.on_end(False)
            elif self._outbox.now - rejection.requested_at >= GET_RETRY_INTERVAL_S:
                rejection.requested_at = self._outbox.now
                self._request_confirmation(key)

    def _request_confirmation(self, key: str) -> None:
        if self._tail is not None:
            self._outbox.send(self._tail.address, GetRequest(self._view, key, have=NO_ENTRY_REQUESTED))
