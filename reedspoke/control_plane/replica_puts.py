"""Changes that operators handed to this replica: forwarded to the head, answered within a bound."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.cluster.errors import ErrorCode
from reedspoke.control_plane.events import Put, PutAnswer, View
from reedspoke.control_plane.majority_contact import Contact
from reedspoke.control_plane.replica_messages import PutReply, PutRequest
from reedspoke.control_plane.replica_outbox import Outbox
from reedspoke.control_plane.replica_settings import CONTACT_WAIT_S, RESEND_BYTES_PER_S, RESEND_S


class OutstandingPut(Struct):
    """A change without answer; `sent_view` is the view whose head got it last."""

    put: Put
    came_at: float
    sent_view: int = 0  # 0: not sent yet
    sent_at: float = float("-inf")


class PutForwarder:
    """Sends each change to the head of the present view, and again to the next one's."""

    def __init__(self, name: str, outbox: Outbox, answer_limit_s: float) -> None:
        self._name = name
        self._outbox = outbox
        self._limit = answer_limit_s
        self._outstanding: dict[str, OutstandingPut] = {}
        self._count = 0

    def put(self, put: Put, view: View | None, contact: Contact) -> None:
        """An operator's change; it is sent once a majority of voters has granted."""
        self._count += 1
        request = f"{self._name}:{self._count}"
        self._outstanding[request] = OutstandingPut(put, self._outbox.now)
        self._advance(request, view, contact)

    def tick(self, view: View | None, contact: Contact) -> None:
        """Send again what may have been lost; answer what has waited too long."""
        for request in list(self._outstanding):
            self._advance(request, view, contact)

    def _advance(self, request: str, view: View | None, contact: Contact) -> None:
        outstanding = self._outstanding[request]
        waited = self._outbox.now - outstanding.came_at
        if waited >= self._limit:
            self._expire(request, outstanding)
        elif view is not None and contact is Contact.GRANTED:
            if self._due(outstanding, view):
                self._send(request, view)
        elif not outstanding.sent_view and (contact is Contact.NONE or waited >= CONTACT_WAIT_S):
            del self._outstanding[request]
            self._answer(outstanding.put, ErrorCode.NO_QUORUM, "This machine reaches no majority.")

    def reply(self, reply: PutReply) -> None:
        """The head's answer. A refusal counts only from the head that was asked last."""
        outstanding = self._outstanding.get(reply.request)
        if outstanding is None or (reply.error and reply.view != outstanding.sent_view):
            return
        del self._outstanding[reply.request]
        error = ErrorCode(reply.error) if reply.error else None
        self._answer(outstanding.put, error, reply.message)

    def _due(self, outstanding: OutstandingPut, view: View) -> bool:
        wait = RESEND_S + len(outstanding.put.document) / RESEND_BYTES_PER_S
        return outstanding.sent_view != view.number or self._outbox.now - outstanding.sent_at >= wait

    def _send(self, request: str, view: View) -> None:
        outstanding = self._outstanding[request]
        outstanding.sent_view = view.number
        outstanding.sent_at = self._outbox.now
        put = outstanding.put
        message = PutRequest(view.number, request, put.match, put.generation, put.document)
        self._outbox.send(view.chain[0].member.address, message)

    def _expire(self, request: str, outstanding: OutstandingPut) -> None:
        del self._outstanding[request]
        self._answer(outstanding.put, ErrorCode.WRITE_UNCLEAR, "The head has not answered in time.")

    def _answer(self, put: Put, error: ErrorCode | None, message: str) -> None:
        self._outbox.emit(PutAnswer(put.request_id, error, message))
