"""Changes at the head of the chain: accepted one at a time, each after the generation that it builds on.

A rejection is final, also for a duplicate of the request that is still in the network. A change that builds
on a generation not reached yet may become valid, and stays pending. At its deadline it gets an unclear
answer, as does every other change that cannot be ruled out for good.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.chain import Chain
from reedspoke.control_plane.replication.change_decision import ChangeDecision, decide_change
from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
from reedspoke.control_plane.replication.entry import ChangeId, Entry, change_id_of
from reedspoke.control_plane.replication.messages import PutReply, PutRequest
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.rejection_confirmation import RejectionConfirmer
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.views.read_lease import tail_member

MAX_CACHED_REPLIES = 512
# Limit on the documents of pending changes: six of the largest size. Further changes get an unclear answer,
# and their submitters may retry them.
MAX_PENDING_BYTES = 24 * 1024 * 1024
# A pending change expires after this fraction of the forwarder's time limit, so that the reply is in time.
PENDING_TIME_FRACTION = 0.9


class PendingPut(Struct, eq=False):
    """A change without a final answer."""

    request: PutRequest
    reply_to: str
    change: ChangeId
    deadline: float


class HeadQueue:
    """Owns the pending changes of the present view and the latest replies.

    A duplicate request gets the same reply. A request of another view is ignored, as the head of that view
    decides it, so that no request is answered by two heads.
    """

    def __init__(
        self, name: str, outbox: Outbox, chain: Chain, register: ConfigurationRegister, answer_limit_s: float
    ) -> None:
        self._outbox = outbox
        self._chain = chain
        self._register = register
        self._limit_s = answer_limit_s * PENDING_TIME_FRACTION
        self._pending: list[PendingPut] = []
        self._replies: dict[str, PutReply] = {}
        self._view = 0
        self.rejections = RejectionConfirmer(name, outbox)

    def enter_view(self, view: View) -> None:
        """Drop the pending changes; the forwarders resend undecided ones to the head of the newer view."""
        self._view = view.number
        self.rejections.enter_view(view.number, tail_member(view))
        self._pending.clear()
        self._replies.clear()

    def receive(self, sender: str, request: PutRequest, majority_reached: bool) -> None:
        """Handle a change that this replica or another one has forwarded."""
        if request.view_number != self._view or not self._chain.is_head:
            return
        if request.request_id in self._replies:
            self._outbox.send(sender, self._replies[request.request_id])
            return
        if self._is_pending(request.request_id):
            return
        pending = self._pending_put(sender, request)
        if not majority_reached:
            self._expire(pending)
            return
        if self._is_full(request):
            self._reply(pending, ErrorCode.WRITE_UNCLEAR, "Too many changes are pending.")
            return
        self._pending.append(pending)
        self.advance()

    def tick(self) -> None:
        """Expire changes whose deadline has passed, and decide others if possible."""
        while self._pending and self._pending[0].deadline <= self._outbox.now:
            self._expire(self._pending.pop(0))
        self.rejections.tick()
        self.advance()

    def advance(self) -> None:
        """Decide as many pending changes as possible, and accept the first acceptable one."""
        if not self._pending or not self._may_decide():
            return
        decisions = [(pending, self._decide(pending)) for pending in self._pending]
        for pending, decision in decisions:
            if decision not in (ChangeDecision.ACCEPT, ChangeDecision.WAIT):
                self._pending.remove(pending)
                self._answer(pending, decision)
        following = [pending for pending, decision in decisions if decision is ChangeDecision.ACCEPT]
        if following:
            self._accept(following[0])

    def _may_decide(self) -> bool:
        chain = self._chain
        return chain.is_head and chain.complete and chain.can_replicate and self._register.nothing_in_flight

    def _decide(self, pending: PendingPut) -> ChangeDecision:
        return decide_change(pending.request, pending.change, self._register)

    def _answer(self, pending: PendingPut, decision: ChangeDecision) -> None:
        request = pending.request
        match decision:
            case ChangeDecision.ACKNOWLEDGE:
                self._reply(pending, None)
            case ChangeDecision.HISTORY_EXPIRED:
                message = "The change is older than the history of accepted changes."
                self._reply(pending, ErrorCode.WRITE_UNCLEAR, message)
            case ChangeDecision.STALE_MATCH:
                message = f"The newest generation is {self._register.generation}, not {request.match}."
                self._reject(pending, ErrorCode.CONFIGURATION_STALE_MATCH, message)
            case ChangeDecision.OLD_GENERATION:
                message = f"The generation must be above {request.match}."
                self._reject(pending, ErrorCode.CONFIGURATION_OLD_GENERATION, message)

    def _accept(self, pending: PendingPut) -> None:
        if not self._outbox.disk_ok:
            return

        def on_stored(stored: bool) -> None:
            if not stored and pending in self._pending:
                self._pending.remove(pending)
                self._reply(pending, ErrorCode.WRITE_UNCLEAR, "The disk of the head failed during the write.")

        self._chain.append(pending.request.generation, pending.request.document, on_stored)

    def _reject(self, pending: PendingPut, error: ErrorCode, message: str) -> None:
        def on_end(confirmed: bool) -> None:
            if confirmed:
                self._reply(pending, error, message)
            else:
                self._expire(pending)

        self.rejections.add(pending.request.request_id, pending.deadline, on_end)

    def _is_full(self, request: PutRequest) -> bool:
        """Whether this document would exceed the limit on pending documents; a single one never does."""
        pending = sum(len(other.request.document) for other in self._pending)
        return pending > 0 and pending + len(request.document) > MAX_PENDING_BYTES

    def _is_pending(self, request: str) -> bool:
        queued = any(pending.request.request_id == request for pending in self._pending)
        return queued or self.rejections.is_pending(request)

    def _expire(self, pending: PendingPut) -> None:
        """Give an unclear answer, as this head may still accept a duplicate that is in the network."""
        self._reply(pending, ErrorCode.WRITE_UNCLEAR, self._unclear_message(pending))

    def _unclear_message(self, pending: PendingPut) -> str:
        pending_entry = self._register.pending_entry
        stored = pending_entry is not None and change_id_of(pending_entry) == pending.change
        if stored or self._register.has_accepted(pending.change):
            return "The write is in progress and its result is not known yet."
        if pending.request.match > self._register.generation:
            return f"The change builds on generation {pending.request.match}, which is not in force yet."
        return "Too few machines are reachable to accept a change."

    def _reply(self, pending: PendingPut, error: ErrorCode | None, message: str = "") -> None:
        request = pending.request
        reply = PutReply(request.view_number, request.request_id, int(error or 0), message)
        self._replies[request.request_id] = reply
        if len(self._replies) > MAX_CACHED_REPLIES:
            del self._replies[next(iter(self._replies))]
        self._outbox.send(pending.reply_to, reply)

    def _pending_put(self, sender: str, request: PutRequest) -> PendingPut:
        entry = Entry(0, 0, request.generation, request.document)
        return PendingPut(request, sender, change_id_of(entry), self._outbox.now + self._limit_s)
