"""Changes at the head of the chain: taken one at a time, in the order in which they came."""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from reedspoke.cluster.errors import ErrorCode
from reedspoke.control_plane.chain import Chain
from reedspoke.control_plane.chain_register import Register
from reedspoke.control_plane.change_history import Acknowledged
from reedspoke.control_plane.events import View
from reedspoke.control_plane.replica_messages import Entry, PutReply, PutRequest
from reedspoke.control_plane.replica_outbox import Outbox
from reedspoke.control_plane.replica_records import acknowledged
from reedspoke.control_plane.replica_refusals import Refusals
from reedspoke.control_plane.view_lease import tail_of

REPLIES_KEPT = 512
WAIT_SHARE = 0.9  # of the asker's own limit


class WaitingPut(Struct):
    """A change that has no final answer yet."""

    request: PutRequest
    reply_to: str
    change: Acknowledged
    deadline: float


class HeadQueue:
    """Decides changes. A request that came twice is decided once; one of another view is not taken at all."""

    def __init__(self, outbox: Outbox, chain: Chain, register: Register, answer_limit_s: float) -> None:
        self._outbox = outbox
        self._chain = chain
        self._register = register
        self._limit = answer_limit_s * WAIT_SHARE
        self._waiting: deque[WaitingPut] = deque()
        self._replies: dict[str, PutReply] = {}
        self._view = 0
        self.refusals = Refusals(outbox)

    def enter(self, view: View) -> None:
        """A newer view: the askers send again what is still undecided."""
        self._view = view.number
        self.refusals.enter(view.number, tail_of(view))
        self._waiting.clear()
        self._replies.clear()

    def receive(self, sender: str, request: PutRequest, majority_reached: bool) -> None:
        """A change has come, from another replica or from this one."""
        if request.view != self._view or not self._chain.is_head:
            return
        if request.request in self._replies:
            self._outbox.send(sender, self._replies[request.request])
            return
        if self._is_waiting(request.request):
            return
        waiting = self._waiting_put(sender, request)
        if not majority_reached:
            self._expire(waiting)
            return
        self._waiting.append(waiting)
        self.advance()

    def tick(self) -> None:
        """Give up on what has waited too long."""
        while self._waiting and self._waiting[0].deadline <= self._outbox.now:
            self._expire(self._waiting.popleft())
        self.refusals.tick()
        self.advance()

    def advance(self) -> None:
        """Decide as many as possible."""
        while self._waiting and self._may_decide():
            waiting = self._waiting[0]
            if not self._decide(waiting):
                return
            self._waiting.popleft()

    def _may_decide(self) -> bool:
        chain = self._chain
        return chain.is_head and chain.complete and chain.long_enough and self._register.settled

    def _decide(self, waiting: WaitingPut) -> bool:
        """Whether the change is decided; otherwise it has been taken or waits for the disk."""
        request = waiting.request
        if self._register.knows(waiting.change):
            self._reply(waiting, None)
        elif request.match != self._register.generation:
            message = f"The newest generation is {self._register.generation}, not {request.match}."
            self._refuse(waiting, ErrorCode.CONFIGURATION_STALE_MATCH, message)
        elif request.generation <= self._register.generation:
            message = f"The generation must be above {self._register.generation}."
            self._refuse(waiting, ErrorCode.CONFIGURATION_OLD_GENERATION, message)
        else:
            self._take(waiting)
            return False
        return True

    def _take(self, waiting: WaitingPut) -> None:
        if not self._outbox.disk_ok:
            return

        def on_stored(stored: bool) -> None:
            if not stored and waiting in self._waiting:
                self._waiting.remove(waiting)
                self._reply(waiting, ErrorCode.WRITE_UNCLEAR, "The disk failed during the write.")

        self._chain.append(waiting.request.generation, waiting.request.document, on_stored)

    def _refuse(self, waiting: WaitingPut, error: ErrorCode, message: str) -> None:
        def on_end(confirmed: bool) -> None:
            if confirmed:
                self._reply(waiting, error, message)
            else:
                self._expire(waiting)

        self.refusals.add(waiting.request.request, waiting.deadline, on_end)

    def _is_waiting(self, request: str) -> bool:
        queued = any(waiting.request.request == request for waiting in self._waiting)
        return queued or self.refusals.has(request)

    def _expire(self, waiting: WaitingPut) -> None:
        if self._held(waiting.change):
            self._reply(waiting, ErrorCode.WRITE_UNCLEAR, "The write is under way, its end is not known yet.")
        else:
            self._reply(waiting, ErrorCode.NO_QUORUM, "Too few machines are in reach to take a change.")

    def _held(self, change: Acknowledged) -> bool:
        storing = self._register.storing
        return self._register.knows(change) or (storing is not None and acknowledged(storing) == change)

    def _reply(self, waiting: WaitingPut, error: ErrorCode | None, message: str = "") -> None:
        request = waiting.request
        reply = PutReply(request.view, request.request, int(error or 0), message)
        self._replies[request.request] = reply
        if len(self._replies) > REPLIES_KEPT:
            del self._replies[next(iter(self._replies))]
        self._outbox.send(waiting.reply_to, reply)

    def _waiting_put(self, sender: str, request: PutRequest) -> WaitingPut:
        entry = Entry(0, 0, request.generation, request.document)
        return WaitingPut(request, sender, acknowledged(entry), self._outbox.now + self._limit)
