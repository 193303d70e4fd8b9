"""Changes at the head of the chain: accepted one at a time, each once what it builds on is in force.

A rejection is final, also for a duplicate of the request that is still in the network. A change that builds
on a generation not reached yet may become valid, and stays pending; at its deadline it gets no clear answer,
as does all else that is not ruled out for good.
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
# Of documents: six of the largest. A forwarder sends again what got no clear answer.
MAX_PENDING_BYTES = 24 * 1024 * 1024
PENDING_TIME_FRACTION = 0.9  # of the forwarder's own limit


class PendingPut(Struct, eq=False):
    """A change that has no final answer yet."""

    request: PutRequest
    reply_to: str
    change: ChangeId
    deadline: float


class HeadQueue:
    """Owns the pending changes of the present view and the latest replies.

    A request that came twice is decided once; one of another view is ignored, as the head of that view
    decides it. So no change is answered by two heads.
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
        """A newer view: the forwarders send again what is still undecided."""
        self._view = view.number
        self.rejections.enter_view(view.number, tail_member(view))
        self._pending.clear()
        self._replies.clear()

    def receive(self, sender: str, request: PutRequest, majority_reached: bool) -> None:
        """A change, forwarded by another replica or by this one."""
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
            self._reply(pending, ErrorCode.WRITE_UNCLEAR, "Too many changes wait.")
            return
        self._pending.append(pending)
        self.advance()

    def tick(self) -> None:
        """Give up on what has waited too long."""
        while self._pending and self._pending[0].deadline <= self._outbox.now:
            self._expire(self._pending.pop(0))
        self.rejections.tick()
        self.advance()

    def advance(self) -> None:
        """Decide as many as possible."""
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
                self._reply(pending, ErrorCode.WRITE_UNCLEAR, "The disk failed during the write.")

        self._chain.append(pending.request.generation, pending.request.document, on_stored)

    def _reject(self, pending: PendingPut, error: ErrorCode, message: str) -> None:
        def on_end(confirmed: bool) -> None:
            if confirmed:
                self._reply(pending, error, message)
            else:
                self._expire(pending)

        self.rejections.add(pending.request.request_id, pending.deadline, on_end)

    def _is_full(self, request: PutRequest) -> bool:
        """Whether the documents that wait would take too much memory with this one; one alone never does."""
        pending = sum(len(other.request.document) for other in self._pending)
        return pending > 0 and pending + len(request.document) > MAX_PENDING_BYTES

    def _is_pending(self, request: str) -> bool:
        queued = any(pending.request.request_id == request for pending in self._pending)
        return queued or self.rejections.is_pending(request)

    def _expire(self, pending: PendingPut) -> None:
        """Give no clear answer: after a restart this head may still accept a duplicate in the network."""
        self._reply(pending, ErrorCode.WRITE_UNCLEAR, self._why_unclear(pending))

    def _why_unclear(self, pending: PendingPut) -> str:
        pending_entry = self._register.pending_entry
        stored = pending_entry is not None and change_id_of(pending_entry) == pending.change
        if stored or self._register.has_accepted(pending.change):
            return "The write is under way, its end is not known yet."
        if pending.request.match > self._register.generation:
            return f"Generation {pending.request.match}, which the change builds on, is not in force yet."
        return "Too few machines are in reach to take a change."

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
