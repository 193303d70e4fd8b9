"""Proposer of the single-decree Paxos that decides each next view; `agreement` describes the protocol.

`Proposer` owns the attempt that is under way, at most one at a time.
"""

from __future__ import annotations

from collections.abc import Container

from msgspec import Struct, field

from reedspoke.control_plane.replication.messages import (
    AcceptRequest,
    AcceptResponse,
    PrepareRequest,
    PrepareResponse,
    ProposalNumber,
    ProposalRejected,
)
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import (
    PROPOSAL_RESEND_INTERVAL_S,
    PROPOSAL_TIMEOUT_S,
    REJECTED_BACKOFF_S,
)
from reedspoke.control_plane.replication.view import Member, View
from reedspoke.control_plane.views.first_view import FIRST_VIEW_NUMBER
from reedspoke.control_plane.views.quorum import NEVER, majority_size


def acceptor_key(view_number: int, acceptor: Member) -> str:
    """Key of an acceptor: its folder id, or its address for the first view.

    No replica knows the folder ids of all seeds at the first start.
    """
    return acceptor.address if view_number == FIRST_VIEW_NUMBER else acceptor.folder_id


class ProposalAttempt(Struct):
    """One proposal, from its first request until it is decided, rejected or timed out.

    `acceptors` maps the key of each acceptor to its address. Times are seconds of the steady clock.
    """

    view_number: int
    proposal_number: ProposalNumber
    value: View
    acceptors: dict[str, str]
    started_at: float
    sent_at: float = NEVER
    released_at: float | None = None  # time of the read lease release, on the tail's clock
    promises: dict[str, PrepareResponse] = field(default_factory=dict)
    accepted_by: set[str] = field(default_factory=set)

    @property
    def is_prepared(self) -> bool:
        """Whether a majority has promised, so that phase 2 has begun."""
        return len(self.promises) >= majority_size(len(self.acceptors))

    @property
    def is_decided(self) -> bool:
        """Whether a majority has accepted the value."""
        return len(self.accepted_by) >= majority_size(len(self.acceptors))

    def request(self) -> PrepareRequest | AcceptRequest:
        """The request of the present phase."""
        if self.is_prepared:
            return AcceptRequest(self.view_number, self.proposal_number, self.value, self.released_at)
        return PrepareRequest(self.view_number, self.proposal_number)

    def responded(self) -> Container[str]:
        """Keys of the acceptors that have responded in the present phase."""
        return self.accepted_by if self.is_prepared else self.promises


class Proposer:
    """Runs one proposal attempt at a time.

    `name` is unique to each incarnation of the process, so that no proposal number is used twice.
    """

    def __init__(self, name: str, outbox: Outbox) -> None:
        self._name = name
        self._outbox = outbox
        self._attempt: ProposalAttempt | None = None
        self._largest_counter = 0
        self._backoff_until = NEVER

    @property
    def attempt(self) -> ProposalAttempt | None:
        """The attempt that is under way, if any."""
        return self._attempt

    def is_ready(self, now: float) -> bool:
        """Whether a new attempt may start."""
        return self._attempt is None and now >= self._backoff_until

    def start(self, value: View, acceptors: dict[str, str], promised: ProposalNumber) -> None:
        """Propose `value`; if the promises report an accepted value, that one is proposed instead.

        `promised` is the largest proposal number that this replica has promised as an acceptor.
        """
        self._largest_counter = max(self._largest_counter, promised.counter) + 1
        number = ProposalNumber(self._largest_counter, self._name)
        self._attempt = ProposalAttempt(value.number, number, value, acceptors, self._outbox.now)
        self._send(self._attempt)

    def tick(self) -> None:
        """Resend requests without a response, or end the attempt after `PROPOSAL_TIMEOUT_S`."""
        attempt = self._attempt
        if attempt is None:
            return
        if self._outbox.now - attempt.started_at > PROPOSAL_TIMEOUT_S:
            self._attempt = None
        elif self._outbox.now - attempt.sent_at >= PROPOSAL_RESEND_INTERVAL_S:
            self._send(attempt)

    def stop(self, decided_number: int) -> None:
        """Stop the attempt if its view is among those up to this number, which are decided."""
        if self._attempt is not None and self._attempt.view_number <= decided_number:
            self._attempt = None

    def handle_prepare_response(self, response: PrepareResponse) -> None:
        """Phase 1: record a promise; a majority of them begins phase 2.

        Later promises are ignored, as each proposal number has one value.
        """
        attempt = self._matching(response.view_number, response.proposal_number)
        key = acceptor_key(response.view_number, response.acceptor)
        if attempt is None or attempt.is_prepared or key not in attempt.acceptors:
            return
        attempt.promises[key] = response
        if attempt.is_prepared:
            attempt.value = _value_to_propose(attempt)
            self._send(attempt)

    def handle_accept_response(self, response: AcceptResponse) -> View | None:
        """Phase 2: record an acceptance; return the view once it is decided."""
        attempt = self._matching(response.view_number, response.proposal_number)
        key = acceptor_key(response.view_number, response.acceptor)
        if attempt is None or key not in attempt.acceptors:
            return None
        attempt.accepted_by.add(key)
        return attempt.value if attempt.is_decided else None

    def handle_rejection(self, rejection: ProposalRejected) -> None:
        """End the attempt, as an acceptor has promised a larger number, and back off for its proposer."""
        if self._matching(rejection.view_number, rejection.proposal_number) is None:
            return
        self._largest_counter = max(self._largest_counter, rejection.promised.counter)
        self._attempt = None
        self._backoff_until = self._outbox.now + REJECTED_BACKOFF_S

    def read_lease_released(self, released_at: float) -> None:
        """Resend the request with the time, on the tail's clock, at which it released its read lease."""
        if self._attempt is not None:
            self._attempt.released_at = released_at
            self._send(self._attempt)

    def _matching(self, view_number: int, proposal_number: ProposalNumber) -> ProposalAttempt | None:
        attempt = self._attempt
        if attempt is None or attempt.view_number != view_number:
            return None
        return attempt if attempt.proposal_number == proposal_number else None

    def _send(self, attempt: ProposalAttempt) -> None:
        """Send the request of the present phase to all acceptors that have not responded."""
        attempt.sent_at = self._outbox.now
        request = attempt.request()
        for key, address in attempt.acceptors.items():
            if key not in attempt.responded():
                self._outbox.send(address, request)


def _value_to_propose(attempt: ProposalAttempt) -> View:
    """The value accepted under the largest number, as it may have been decided; else the proposer's own."""
    newest = max(attempt.promises.values(), key=lambda promise: promise.accepted_proposal_number)
    return newest.accepted_view if newest.accepted_view is not None else attempt.value
