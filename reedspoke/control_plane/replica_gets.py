"""Reads: forwarded to the tail, which answers while it holds the read lease."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from reedspoke.cluster.errors import ErrorCode
from reedspoke.control_plane.chain import Chain
from reedspoke.control_plane.chain_register import Register, committed_of
from reedspoke.control_plane.events import Committed, Get, GetAnswer, View
from reedspoke.control_plane.majority_contact import Contact
from reedspoke.control_plane.replica_messages import GetReply, GetRequest
from reedspoke.control_plane.replica_outbox import Outbox
from reedspoke.control_plane.replica_settings import CONTACT_WAIT_S, GET_RETRY_S, RESEND_S
from reedspoke.control_plane.view_lease import tail_of


class OutstandingGet(Struct):
    """A read without answer; `held` is what this replica knew to be committed when it asked."""

    get: Get
    came_at: float
    held: Committed | None = None
    sent_view: int = 0  # 0: not sent yet
    ask_again_at: float = float("-inf")


class GetForwarder:
    """Asks the tail until it answers or the bound is reached."""

    def __init__(self, name: str, outbox: Outbox, register: Register, answer_limit_s: float) -> None:
        self._name = name
        self._outbox = outbox
        self._register = register
        self._limit = answer_limit_s
        self._outstanding: dict[str, OutstandingGet] = {}
        self._count = 0

    def get(self, get: Get, view: View | None, contact: Contact) -> None:
        """An operator's read; it is sent once a majority of voters has granted."""
        self._count += 1
        request = f"{self._name}:{self._count}"
        self._outstanding[request] = OutstandingGet(get, self._outbox.now)
        self._advance(request, view, contact)

    def tick(self, view: View | None, contact: Contact) -> None:
        """Ask again where the tail was not ready or the message may have been lost."""
        for request in list(self._outstanding):
            self._advance(request, view, contact)

    def _advance(self, request: str, view: View | None, contact: Contact) -> None:
        outstanding = self._outstanding[request]
        waited = self._outbox.now - outstanding.came_at
        if waited >= self._limit:
            self._refuse(request, "The newest configuration can't be told for certain.")
        elif view is not None and contact is Contact.GRANTED:
            if self._due(outstanding, view):
                self._send(request, view)
        elif not outstanding.sent_view and (contact is Contact.NONE or waited >= CONTACT_WAIT_S):
            self._refuse(request, "This machine reaches no majority.")

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

    def _due(self, outstanding: OutstandingGet, view: View) -> bool:
        return outstanding.sent_view != view.number or self._outbox.now >= outstanding.ask_again_at

    def _send(self, request: str, view: View) -> None:
        outstanding = self._outstanding[request]
        outstanding.sent_view = view.number
        outstanding.ask_again_at = self._outbox.now + RESEND_S
        outstanding.held = self._register.committed
        have = outstanding.held.sequence if outstanding.held else 0
        self._outbox.send(tail_of(view).address, GetRequest(view.number, request, have))

    def _refuse(self, request: str, message: str) -> None:
        get = self._outstanding.pop(request).get
        self._outbox.emit(GetAnswer(get.request_id, None, ErrorCode.NO_QUORUM, message))


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
