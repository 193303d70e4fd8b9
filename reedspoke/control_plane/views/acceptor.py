"""Acceptor of the single-decree Paxos that decides each next view; what it answers is on disk before."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, structs

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.events import Member, View
from reedspoke.control_plane.replication.messages import Accept, Accepted, Ballot, Prepare, Promise, Rejected
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import PROPOSER_BUSY_S
from reedspoke.control_plane.storage.records import AcceptorRecord, RestoredState
from reedspoke.control_plane.views.lease import VoterLease

FIRST_VIEW = 1


class Acceptor:
    """Promises and accepts for views that are not decided yet."""

    def __init__(self, own: Member, outbox: Outbox, restored: RestoredState, lease: VoterLease) -> None:
        self._own = own
        self._outbox = outbox
        self._lease = lease
        self._states = restored.acceptors
        self._synced: dict[int, AcceptorRecord] = dict(restored.acceptors)
        self._storing: AcceptorRecord | None = None
        self._heard_from: tuple[Ballot, float] | None = None

    def records(self) -> list[Struct]:
        """What the log has to hold."""
        return list(self._states.values())

    def enter(self, view: View) -> None:
        """Views up to this one are decided: their states are not needed, nobody is at work on them."""
        self._heard_from = None
        for number in [number for number in self._states if number <= view.number]:
            del self._states[number]
            self._synced.pop(number, None)

    def promised(self, number: int) -> Ballot:
        """The largest ballot promised for this view."""
        return self._state(number).promised

    def accepted(self, number: int) -> View | None:
        """What has been accepted for this view."""
        return self._state(number).accepted

    def busy_with(self, now: float) -> str | None:
        """The proposer that has been heard lately, if any."""
        if self._heard_from is None or now - self._heard_from[1] > PROPOSER_BUSY_S:
            return None
        return self._heard_from[0].proposer

    def prepare(self, sender: str, message: Prepare) -> None:
        """Phase 1."""
        state = self._state(message.number)
        if message.ballot < state.promised:
            self._reject(sender, message.number, message.ballot, state.promised)
            return
        self._heard_from = (message.ballot, self._outbox.now)
        promise = Promise(self._own, message.number, message.ballot, state.accepted_ballot, state.accepted)
        self._keep(structs.replace(state, promised=message.ballot), sender, promise)

    def accept(self, sender: str, message: Accept, present: View | None) -> None:
        """Phase 2; a view that would break a lease is left without answer, the proposer asks again."""
        state = self._state(message.number)
        if message.ballot < state.promised:
            self._reject(sender, message.number, message.ballot, state.promised)
            return
        self._heard_from = (message.ballot, self._outbox.now)
        if not self._lease.may_accept(present, message.view, message.resigned_at, self._outbox.now):
            return
        accepted = AcceptorRecord(message.number, message.ballot, message.ballot, message.view)
        self._keep(accepted, sender, Accepted(self._own, message.number, message.ballot))

    def _state(self, number: int) -> AcceptorRecord:
        return self._states.get(number) or AcceptorRecord(number, Ballot())

    def _keep(self, state: AcceptorRecord, sender: str, answer: Struct) -> None:
        """Answer once the state is on disk."""
        if self._synced.get(state.number) == state:
            self._outbox.send(sender, answer)
            return
        self._states[state.number] = state
        if self._storing == state:
            return  # answered when that store ends
        self._storing = state
        self._outbox.store([state], self._answer_when_synced(state, sender, answer))

    def _answer_when_synced(
        self, state: AcceptorRecord, sender: str, answer: Struct
    ) -> Callable[[ErrorCode | None], None]:
        def on_end(error: ErrorCode | None) -> None:
            if self._storing == state:
                self._storing = None
            if error is None:
                self._synced[state.number] = state
                self._outbox.send(sender, answer)

        return on_end

    def _reject(self, sender: str, number: int, ballot: Ballot, promised: Ballot) -> None:
        self._outbox.send(sender, Rejected(number, ballot, promised))
