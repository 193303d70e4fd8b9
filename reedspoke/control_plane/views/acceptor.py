"""Acceptor of the single-decree Paxos that decides each next view; `agreement` describes the protocol.

`Acceptor` owns what this voter has promised and accepted for views that are not known to be decided. Every
response waits until the promise or acceptance in it is on disk: if a restart lost a promise, two values could
be decided for one view.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, structs

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.log_records import AcceptorRecord, RestoredState
from reedspoke.control_plane.replication.messages import (
    AcceptRequest,
    AcceptResponse,
    PrepareRequest,
    PrepareResponse,
    ProposalNumber,
    ProposalRejected,
)
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import PROPOSER_ACTIVE_TIMEOUT_S
from reedspoke.control_plane.replication.view import Member, View
from reedspoke.control_plane.views.read_lease import ReadLeaseVoter


class ActiveProposer(Struct, frozen=True):
    """A proposer that has sent this voter a request that was not rejected."""

    name: str
    last_request_at: float


class Acceptor:
    """Handles prepare and accept requests for views that are not decided yet."""

    def __init__(
        self, own: Member, outbox: Outbox, restored: RestoredState, read_lease: ReadLeaseVoter
    ) -> None:
        self._own = own
        self._outbox = outbox
        self._read_lease = read_lease
        self._states = restored.acceptors  # by view number, including states that are still being stored
        self._synced: dict[int, AcceptorRecord] = dict(restored.acceptors)  # only states that are on disk
        self._storing: AcceptorRecord | None = None
        self._active_proposer: ActiveProposer | None = None

    def records(self) -> list[Struct]:
        """Records of the acceptor's states, for a rewritten log."""
        return list(self._states.values())

    def enter_view(self, view: View) -> None:
        """Drop the states of views up to this one, which are decided and are not proposed any more."""
        self._active_proposer = None
        for number in [number for number in self._states if number <= view.number]:
            del self._states[number]
            self._synced.pop(number, None)

    def promised(self, view_number: int) -> ProposalNumber:
        """The largest proposal number promised for this view."""
        return self._state(view_number).promised

    def accepted_view(self, view_number: int) -> View | None:
        """The value that this acceptor has accepted for this view; None before it has accepted one."""
        return self._state(view_number).accepted_view

    def active_proposer(self, now: float) -> str | None:
        """Name of the proposer whose last request came within `PROPOSER_ACTIVE_TIMEOUT_S`, if any."""
        proposer = self._active_proposer
        if proposer is None or now - proposer.last_request_at > PROPOSER_ACTIVE_TIMEOUT_S:
            return None
        return proposer.name

    def handle_prepare(self, sender: str, request: PrepareRequest) -> None:
        """Phase 1: promise to accept nothing below this number, and report what was accepted before."""
        state = self._state(request.view_number)
        if request.proposal_number < state.promised:
            self._reject(sender, request, state.promised)
            return
        self._record_active_proposer(request.proposal_number)
        response = PrepareResponse(
            acceptor=self._own,
            view_number=request.view_number,
            proposal_number=request.proposal_number,
            accepted_proposal_number=state.accepted_proposal_number,
            accepted_view=state.accepted_view,
        )
        promised = structs.replace(state, promised=request.proposal_number)
        self._store_and_respond(promised, sender, response)

    def handle_accept(self, sender: str, request: AcceptRequest, present: View | None) -> None:
        """Phase 2: accept the view, unless a larger proposal number was promised.

        A request for a view that would violate a read lease gets no response; the proposer resends it.
        """
        state = self._state(request.view_number)
        if request.proposal_number < state.promised:
            self._reject(sender, request, state.promised)
            return
        self._record_active_proposer(request.proposal_number)
        if not self._read_lease.may_accept(present, request.view, request.released_at, self._outbox.now):
            return
        accepted = AcceptorRecord(
            view_number=request.view_number,
            promised=request.proposal_number,
            accepted_proposal_number=request.proposal_number,
            accepted_view=request.view,
        )
        response = AcceptResponse(self._own, request.view_number, request.proposal_number)
        self._store_and_respond(accepted, sender, response)

    def _state(self, view_number: int) -> AcceptorRecord:
        return self._states.get(view_number) or AcceptorRecord(view_number, ProposalNumber())

    def _record_active_proposer(self, proposal_number: ProposalNumber) -> None:
        self._active_proposer = ActiveProposer(proposal_number.proposer, self._outbox.now)

    def _store_and_respond(self, state: AcceptorRecord, sender: str, response: Struct) -> None:
        """Store the state, and send the response once it is on disk."""
        if self._synced.get(state.view_number) == state:
            self._outbox.send(sender, response)
            return
        self._states[state.view_number] = state
        if self._storing == state:
            return  # a duplicate request: the response is sent when the store under way ends
        self._storing = state
        self._outbox.store([state], self._respond_when_synced(state, sender, response))

    def _respond_when_synced(
        self, state: AcceptorRecord, sender: str, response: Struct
    ) -> Callable[[ErrorCode | None], None]:
        def on_end(error: ErrorCode | None) -> None:
            if self._storing == state:
                self._storing = None
            if error is None:
                self._synced[state.view_number] = state
                self._outbox.send(sender, response)

        return on_end

    def _reject(self, sender: str, request: PrepareRequest | AcceptRequest, promised: ProposalNumber) -> None:
        rejection = ProposalRejected(request.view_number, request.proposal_number, promised)
        self._outbox.send(sender, rejection)
