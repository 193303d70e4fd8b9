"""Proposer of the single-decree Paxos that decides each next view."""

from __future__ import annotations

from msgspec import Struct, field

from reedspoke.control_plane.replication.events import Member, View
from reedspoke.control_plane.replication.messages import (
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promise,
    Rejected,
)
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import (
    PROPOSAL_LIMIT_S,
    PROPOSAL_RESEND_S,
    REJECTED_PAUSE_S,
)
from reedspoke.control_plane.views.acceptor import FIRST_VIEW
from reedspoke.control_plane.views.lease import majority


def acceptor_key(number: int, acceptor: Member) -> str:
    """The first view is decided by addresses, as no one knows all folders then; later ones by folders."""
    return acceptor.address if number == FIRST_VIEW else acceptor.folder_id


class Attempt(Struct):
    """One ballot; `acceptors` has the address of each acceptor by its key."""

    number: int
    ballot: Ballot
    value: View
    acceptors: dict[str, str]
    started: float
    sent_at: float = float("-inf")
    resigned_at: float | None = None
    promises: dict[str, Promise] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)

    @property
    def prepared(self) -> bool:
        """Whether a majority has promised."""
        return len(self.promises) >= majority(len(self.acceptors))

    @property
    def decided(self) -> bool:
        """Whether a majority has accepted."""
        return len(self.accepted) >= majority(len(self.acceptors))


class Proposer:
    """Runs one attempt at a time. `name` differs in each life of the process: no ballot is used twice."""

    def __init__(self, name: str, outbox: Outbox) -> None:
        self._name = name
        self._outbox = outbox
        self._attempt: Attempt | None = None
        self._round = 0
        self._paused_until = float("-inf")

    @property
    def attempt(self) -> Attempt | None:
        """The attempt that runs."""
        return self._attempt

    def ready(self, now: float) -> bool:
        """Whether a new attempt may start."""
        return self._attempt is None and now >= self._paused_until

    def start(self, value: View, acceptors: dict[str, str], promised: Ballot) -> None:
        """Propose `value`; where another was accepted before, that one is carried on instead."""
        self._round = max(self._round, promised.round) + 1
        ballot = Ballot(self._round, self._name)
        self._attempt = Attempt(value.number, ballot, value, acceptors, self._outbox.now)
        self._send()

    def tick(self) -> None:
        """Send again, or give up."""
        attempt = self._attempt
        if attempt is None:
            return
        if self._outbox.now - attempt.started > PROPOSAL_LIMIT_S:
            self._attempt = None
        elif self._outbox.now - attempt.sent_at >= PROPOSAL_RESEND_S:
            self._send()

    def stop(self, decided_number: int) -> None:
        """Views up to this number are decided."""
        if self._attempt is not None and self._attempt.number <= decided_number:
            self._attempt = None

    def promise(self, message: Promise) -> None:
        """An acceptor has promised."""
        attempt = self._matching(message.number, message.ballot)
        key = acceptor_key(message.number, message.acceptor)
        if attempt is None or attempt.prepared or key not in attempt.acceptors:
            return
        attempt.promises[key] = message
        if attempt.prepared:
            attempt.value = _value_to_carry(attempt)
            self._send()

    def accepted(self, message: Accepted) -> View | None:
        """An acceptor has accepted; the view, once it is decided."""
        attempt = self._matching(message.number, message.ballot)
        key = acceptor_key(message.number, message.acceptor)
        if attempt is None or key not in attempt.acceptors:
            return None
        attempt.accepted.add(key)
        return attempt.value if attempt.decided else None

    def rejected(self, message: Rejected) -> None:
        """An acceptor has promised a larger ballot: leave the other proposer some time."""
        if self._matching(message.number, message.ballot) is None:
            return
        self._round = max(self._round, message.promised.round)
        self._attempt = None
        self._paused_until = self._outbox.now + REJECTED_PAUSE_S

    def resigned(self, at: float) -> None:
        """The present tail has given up its lease."""
        if self._attempt is not None:
            self._attempt.resigned_at = at
            self._send()

    def _matching(self, number: int, ballot: Ballot) -> Attempt | None:
        attempt = self._attempt
        if attempt is None or attempt.number != number or attempt.ballot != ballot:
            return None
        return attempt

    def _send(self) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        attempt.sent_at = self._outbox.now
        message: Prepare | Accept = Prepare(attempt.number, attempt.ballot)
        if attempt.prepared:
            message = Accept(attempt.number, attempt.ballot, attempt.value, attempt.resigned_at)
        for key, address in attempt.acceptors.items():
            if key not in (attempt.accepted if attempt.prepared else attempt.promises):
                self._outbox.send(address, message)


def _value_to_carry(attempt: Attempt) -> View:
    """The value accepted with the largest ballot, else the proposer's own."""
    newest = max(attempt.promises.values(), key=lambda promise: promise.accepted_ballot)
    return newest.accepted if newest.accepted is not None else attempt.value
