"""Reads of operators: forwarded to the tail, which answers while it holds the read lease."""

from __future__ import annotations

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
from reedspoke.control_plane.replication.effects import GetCompleted
from reedspoke.control_plane.replication.entry import CommittedConfiguration, committed_configuration
from reedspoke.control_plane.replication.events import GetSubmitted
from reedspoke.control_plane.replication.messages import GetReply, GetRequest
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.request_forwarding import PendingRequest, RequestForwarder
from reedspoke.control_plane.replication.settings import GET_RETRY_INTERVAL_S, RESEND_INTERVAL_S
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.views.majority_contact import ContactState
from reedspoke.control_plane.views.read_lease import tail_member


class PendingGetRequest(PendingRequest):
    """A read without an answer; `known` is the committed configuration when the request was last sent."""

    get: GetSubmitted
    known: CommittedConfiguration | None = None
    retry_at: float = float("-inf")


class GetForwarder(RequestForwarder[PendingGetRequest]):
    """Requests the configuration from the tail until it replies or the time limit is reached."""

    def __init__(
        self, name: str, outbox: Outbox, register: ConfigurationRegister, answer_limit_s: float
    ) -> None:
        super().__init__(name, outbox, answer_limit_s)
        self._register = register

    def submit(self, get: GetSubmitted, view: View | None, contact: ContactState) -> None:
        """Forward an operator's read."""
        self._begin(PendingGetRequest(get, submitted_at=self._outbox.now), view, contact)

    def receive_reply(self, reply: GetReply) -> None:
        """Handle the tail's reply; one that is not ready is retried."""
        pending = self._pending.get(reply.request_id)
        if pending is None:
            return
        if not reply.ready:
            pending.retry_at = min(pending.retry_at, self._outbox.now + GET_RETRY_INTERVAL_S)
            return
        del self._pending[reply.request_id]
        self._outbox.emit(_answer(pending, reply))

    def _is_due(self, call: PendingGetRequest) -> bool:
        return self._outbox.now >= call.retry_at

    def _send(self, request: str, call: PendingGetRequest, view: View) -> None:
        call.retry_at = self._outbox.now + RESEND_INTERVAL_S
        call.known = self._register.committed
        known_sequence = call.known.sequence if call.known else 0
        self._outbox.send(tail_member(view).address, GetRequest(view.number, request, known_sequence))

    def _expire(self, call: PendingGetRequest) -> None:
        self._fail(call, "The tail has not confirmed the newest configuration in time.")

    def _reject(self, call: PendingGetRequest) -> None:
        self._fail(call, "This machine cannot reach a majority of voters.")

    def _fail(self, call: PendingGetRequest, message: str) -> None:
        self._outbox.emit(GetCompleted(call.get.request_id, None, ErrorCode.NO_QUORUM, message))


def _answer(pending: PendingGetRequest, reply: GetReply) -> GetCompleted:
    request_id = pending.get.request_id
    if reply.entry is not None:
        return GetCompleted(request_id, committed_configuration(reply.entry))
    if reply.sequence and pending.known is not None and pending.known.sequence == reply.sequence:
        return GetCompleted(request_id, pending.known)
    if reply.sequence == 0:
        return GetCompleted(
            request_id, None, ErrorCode.NO_CONFIGURATION, "No configuration has been accepted yet."
        )
    return GetCompleted(request_id, None, ErrorCode.NO_QUORUM, "The tail's reply does not match the request.")
