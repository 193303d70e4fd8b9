"""Reads: forwarded to the tail, which answers while it holds the read lease."""

from __future__ import annotations

from collections.abc import Callable

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.chain import Chain
from reedspoke.control_plane.replication.chain_register import Register, committed_of
from reedspoke.control_plane.replication.events import Committed, Get, GetAnswer, View
from reedspoke.control_plane.replication.forwarding import Forwarder, Outstanding
from reedspoke.control_plane.replication.messages import GetReply, GetRequest
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import GET_RETRY_S, RESEND_S
from reedspoke.control_plane.views.majority_contact import ContactState
from reedspoke.control_plane.views.read_lease import tail_member


class OutstandingGet(Outstanding):
    """A read without answer; `held` is what this replica knew to be committed when it asked."""

    get: Get
    held: Committed | None = None
    ask_again_at: float = float("-inf")


class GetForwarder(Forwarder[OutstandingGet]):
    """Asks the tail until it answers or the bound is reached."""

    def __init__(self, name: str, outbox: Outbox, register: Register, answer_limit_s: float) -> None:
        super().__init__(name, outbox, answer_limit_s)
        self._register = register

    def get(self, get: Get, view: View | None, contact: ContactState) -> None:
        """An operator's read."""
        self._begin(OutstandingGet(get, came_at=self._outbox.now), view, contact)

    def reply(self, reply: GetReply) -> None:
        """The tail's answer."""
        outstanding = self._outstanding.get(reply.request)
        if outstanding is None:
            return
        if not reply.ready:
            outstanding.ask_again_at = min(outstanding.ask_again_at, self._outbox.now + GET_RETRY_S)
            return
        del self._outstanding[reply.request]
        self._outbox.emit(_answer(outstanding, reply))

    def _is_due(self, call: OutstandingGet) -> bool:
        return self._outbox.now >= call.ask_again_at

    def _send(self, request: str, call: OutstandingGet, view: View) -> None:
        call.ask_again_at = self._outbox.now + RESEND_S
        call.held = self._register.committed
        have = call.held.sequence if call.held else 0
        self._outbox.send(tail_member(view).address, GetRequest(view.number, request, have))

    def _expire(self, call: OutstandingGet) -> None:
        self._refuse(call, "The newest configuration can't be told for certain.")

    def _turn_away(self, call: OutstandingGet) -> None:
        self._refuse(call, "This machine reaches no majority.")

    def _refuse(self, call: OutstandingGet, message: str) -> None:
        self._outbox.emit(GetAnswer(call.get.request_id, None, ErrorCode.NO_QUORUM, message))


class TailReader:
    """Answers reads at the tail."""

    def __init__(
        self, outbox: Outbox, chain: Chain, register: Register, holds_lease: Callable[[], bool]
    ) -> None:
        self._outbox = outbox
        self._chain = chain
        self._register = register
        self._holds_lease = holds_lease

    def receive(self, sender: str, request: GetRequest, view: View | None) -> None:
        """A read has come, from another replica or from this one."""
        number = view.number if view else 0
        ready = number == request.view and self._may_answer()
        if not ready:
            self._outbox.send(sender, GetReply(number, request.request, ready=False))
            return
        sequence = self._register.sequence
        entry = self._register.entry if sequence > request.have else None
        self._outbox.send(sender, GetReply(number, request.request, True, sequence, entry))

    def _may_answer(self) -> bool:
        chain = self._chain
        newest_committed = self._register.committed_sequence == self._register.sequence
        return chain.is_tail and chain.complete and newest_committed and self._holds_lease()


def _answer(outstanding: OutstandingGet, reply: GetReply) -> GetAnswer:
    request_id = outstanding.get.request_id
    if reply.entry is not None:
        return GetAnswer(request_id, committed_of(reply.entry))
    if reply.sequence and outstanding.held is not None and outstanding.held.sequence == reply.sequence:
        return GetAnswer(request_id, outstanding.held)
    if reply.sequence == 0:
        return GetAnswer(request_id, None, ErrorCode.NO_CONFIGURATION, "No configuration has been taken yet.")
    return GetAnswer(request_id, None, ErrorCode.NO_QUORUM, "The tail's answer does not fit.")
