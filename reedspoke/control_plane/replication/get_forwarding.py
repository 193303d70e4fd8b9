"""Reads: forwarded to the tail, which answers while it holds the read lease."""

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
    """A read without answer; `held` is what this replica knew to be committed when it asked."""

    get: GetSubmitted
    held: CommittedConfiguration | None = None
    ask_again_at: float = float("-inf")


class GetForwarder(RequestForwarder[PendingGetRequest]):
    """Asks the tail until it answers or the bound is reached."""

    def __init__(
        self, name: str, outbox: Outbox, register: ConfigurationRegister, answer_limit_s: float
    ) -> None:
        super().__init__(name, outbox, answer_limit_s)
        self._register = register

    def get(self, get: GetSubmitted, view: View | None, contact: ContactState) -> None:
        """An operator's read."""
        self._begin(PendingGetRequest(get, came_at=self._outbox.now), view, contact)

    def reply(self, reply: GetReply) -> None:
        """The tail's answer."""
        outstanding = self._outstanding.get(reply.request)
        if outstanding is None:
            return
        if not reply.ready:
            outstanding.ask_again_at = min(outstanding.ask_again_at, self._outbox.now + GET_RETRY_INTERVAL_S)
            return
        del self._outstanding[reply.request]
        self._outbox.emit(_answer(outstanding, reply))

    def _is_due(self, call: PendingGetRequest) -> bool:
        return self._outbox.now >= call.ask_again_at

    def _send(self, request: str, call: PendingGetRequest, view: View) -> None:
        call.ask_again_at = self._outbox.now + RESEND_INTERVAL_S
        call.held = self._register.committed
        have = call.held.sequence if call.held else 0
        self._outbox.send(tail_member(view).address, GetRequest(view.number, request, have))

    def _expire(self, call: PendingGetRequest) -> None:
        self._refuse(call, "The newest configuration can't be told for certain.")

    def _turn_away(self, call: PendingGetRequest) -> None:
        self._refuse(call, "This machine reaches no majority.")

    def _refuse(self, call: PendingGetRequest, message: str) -> None:
        self._outbox.emit(GetCompleted(call.get.request_id, None, ErrorCode.NO_QUORUM, message))


def _answer(outstanding: PendingGetRequest, reply: GetReply) -> GetCompleted:
    request_id = outstanding.get.request_id
    if reply.entry is not None:
        return GetCompleted(request_id, committed_configuration(reply.entry))
    if reply.sequence and outstanding.held is not None and outstanding.held.sequence == reply.sequence:
        return GetCompleted(request_id, outstanding.held)
    if reply.sequence == 0:
        return GetCompleted(
            request_id, None, ErrorCode.NO_CONFIGURATION, "No configuration has been taken yet."
        )
    return GetCompleted(request_id, None, ErrorCode.NO_QUORUM, "The tail's answer does not fit.")
