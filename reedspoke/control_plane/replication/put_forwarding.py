"""Changes that operators submit at this replica: forwarded to the head, answered within a time limit."""

from __future__ import annotations

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import PutCompleted
from reedspoke.control_plane.replication.events import PutSubmitted
from reedspoke.control_plane.replication.messages import PutReply, PutRequest
from reedspoke.control_plane.replication.request_forwarding import PendingRequest, RequestForwarder
from reedspoke.control_plane.replication.settings import RESEND_BYTES_PER_S, RESEND_INTERVAL_S
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.views.majority_contact import ContactState


class PendingPutRequest(PendingRequest):
    """A change without an answer."""

    put: PutSubmitted
    sent_at: float = float("-inf")


class PutForwarder(RequestForwarder[PendingPutRequest]):
    """Sends each change to the head of the present view, and again to the head of each newer view."""

    def submit(self, put: PutSubmitted, view: View | None, contact: ContactState) -> None:
        """Forward an operator's change."""
        self._begin(PendingPutRequest(put, submitted_at=self._outbox.now), view, contact)

    def receive_reply(self, reply: PutReply) -> None:
        """Handle a head's reply. An error counts only from the head to which the change was sent last.

        The head of an earlier view may reject a change that the present head acknowledges.
        """
        pending = self._pending.get(reply.request_id)
        if pending is None or (reply.error and reply.view_number != pending.sent_view):
            return
        del self._pending[reply.request_id]
        error = ErrorCode(reply.error) if reply.error else None
        self._answer(pending.put, error, reply.message)

    def _is_due(self, call: PendingPutRequest) -> bool:
        wait = RESEND_INTERVAL_S + len(call.put.document) / RESEND_BYTES_PER_S
        return self._outbox.now - call.sent_at >= wait

    def _send(self, request: str, call: PendingPutRequest, view: View) -> None:
        call.sent_at = self._outbox.now
        put = call.put
        message = PutRequest(view.number, request, put.match, put.generation, put.document)
        self._outbox.send(view.chain[0].member.address, message)

    def _expire(self, call: PendingPutRequest) -> None:
        self._answer(call.put, ErrorCode.WRITE_UNCLEAR, "The head has not replied in time.")

    def _reject(self, call: PendingPutRequest) -> None:
        self._answer(call.put, ErrorCode.NO_QUORUM, "This machine cannot reach a majority of voters.")

    def _answer(self, put: PutSubmitted, error: ErrorCode | None, message: str) -> None:
        self._outbox.emit(PutCompleted(put.request_id, error, message))
