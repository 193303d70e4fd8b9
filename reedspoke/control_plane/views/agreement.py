"""Agreement on views: the voters of each view decide the next one, by single-decree Paxos.

Views are numbered, and view `n + 1` is decided by the voters of view `n` alone: a sequence of independent
instances of the protocol in "Paxos made simple" (Lamport, 2001), which reconfigures the replication chain as
the configuration master of "Vertical Paxos" (Lamport, Malkhi, Zhou, 2009) does, but without a master of its
own: the members of the chain decide themselves. The first view has no view before it; it is decided by the
seed addresses of the settings.

One instance:

1. A proposer draws a proposal number above all that it knows, and asks the acceptors to prepare for it. Each
   promises to accept nothing below that number, and tells what it has accepted before.
2. With the promises of a majority the proposer asks all to accept a view: the one accepted under the largest
   number among the promises, which may have been decided, or its own where there is none.
3. A view that a majority has accepted under one number is decided. The proposer tells the members of both
   views; whoever lacks a decided view is told by any replica that hears from it.

What differs from the paper:

- A decided view takes effect at a replica only once it is on its disk, and nobody votes on view `n + 2`
  before `n + 1` has taken effect there. So the state of one instance at a time is kept.
- An acceptor defers a view that would break a read lease which it has granted (`read_lease`).
- Promises and acceptances are on disk before they are told (`acceptor`); a voter that loses its disk is a new
  member with another folder id, and has no vote until a view gives it one.

`ViewAgreement` owns the newest view of this replica: the one it acts in and the newest one that it has
learned of, which differ while the latter is being stored.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.log_records import RestoredState, ViewRecord
from reedspoke.control_plane.replication.messages import (
    AcceptRequest,
    AcceptResponse,
    PrepareRequest,
    PrepareResponse,
    ProposalRejected,
    ReadLeaseReleased,
    ReadLeaseReleaseRequest,
    ViewDecided,
)
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import ReplicaSettings
from reedspoke.control_plane.replication.view import Member, View
from reedspoke.control_plane.views.acceptor import Acceptor
from reedspoke.control_plane.views.first_view import FIRST_VIEW_NUMBER
from reedspoke.control_plane.views.proposer import Proposer, acceptor_key
from reedspoke.control_plane.views.read_lease import ReadLeaseVoter, preserves_read_lease, tail_member

PROPOSER_NAME_SEPARATOR = ":"  # between folder id and incarnation


class ViewAgreement:
    """The newest view that this replica has on disk, its vote on the next one, and its own proposals.

    A newer view takes effect here, through `on_enter`, once it is on disk.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        name: str,
        outbox: Outbox,
        restored: RestoredState,
        on_enter: Callable[[View], None],
    ) -> None:
        self._own = settings.member
        self._outbox = outbox
        self._on_enter = on_enter
        self._view = restored.view
        self._learned = restored.view
        self._is_storing = False
        self._first_acceptors = restored.seeds
        self.read_lease_voter = ReadLeaseVoter(outbox.now)
        self._acceptor = Acceptor(self._own, outbox, restored, self.read_lease_voter)
        self._proposer = Proposer(name, outbox)
        if self._view is not None:
            self._acceptor.enter_view(self._view)

    # ---- what is known ----

    @property
    def view(self) -> View | None:
        """The view that this replica acts in."""
        return self._view

    @property
    def learned_number(self) -> int:
        """Number of the newest decided view known here, 0: none."""
        return self._learned.number if self._learned else 0

    @property
    def is_behind(self) -> bool:
        """Whether a newer view is known than the one that this replica acts in."""
        return self.learned_number > self._view_number()

    @property
    def has_undecided_view(self) -> bool:
        """Whether this replica has accepted a next view that may never have been decided."""
        return self._acceptor.accepted_view(self._view_number() + 1) is not None

    def records(self) -> list[Struct]:
        """What the log has to hold."""
        views: list[Struct] = [ViewRecord(self._learned)] if self._learned else []
        return views + self._acceptor.records()

    # ---- proposals ----

    def set_first_acceptors(self, seeds: tuple[str, ...]) -> None:
        """Take part in the first start, whose view these addresses decide."""
        self._first_acceptors = seeds

    def may_propose(self, is_reachable: Callable[[str], bool]) -> bool:
        """Whether no proposal is under way, neither an own one nor one of a replica that is reachable."""
        now = self._outbox.now
        if not self._proposer.is_ready(now):
            return False
        other = self._acceptor.active_proposer(now)
        return other is None or other.startswith(self._own.folder_id) or not is_reachable(folder_of(other))

    def propose(self, value: View) -> None:
        """Propose the next view; ask the tail to release its read lease where that view needs it."""
        acceptors = {
            acceptor_key(value.number, acceptor): acceptor.address
            for acceptor in self._acceptors(value.number)
        }
        self._proposer.start(value, acceptors, self._acceptor.promised(value.number))
        if self._view is not None and not preserves_read_lease(self._view, value):
            request = ReadLeaseReleaseRequest(self._view.number)
            self._outbox.send(tail_member(self._view).address, request)

    # ---- grants of this voter ----

    def may_grant_read_lease(self, view_number: int) -> bool:
        """Whether a lease for the tail of this view contradicts nothing that this voter has accepted."""
        if self._view is None or self._view.number != view_number or not self._is_acceptor(view_number + 1):
            return False
        accepted = self._acceptor.accepted_view(view_number + 1)
        is_harmless = accepted is None or preserves_read_lease(self._view, accepted)
        return is_harmless and self.read_lease_voter.may_grant(self._outbox.now)

    def may_confirm_view(self, view_number: int) -> bool:
        """Whether this voter can say that it knows of no view after this one, decided or accepted."""
        if self._view_number() != view_number or self.is_behind or not self._is_acceptor(view_number + 1):
            return False
        return not self.has_undecided_view

    # ---- events ----

    def tick(self) -> None:
        """Time has passed: retry what was not answered or not stored."""
        self._proposer.tick()
        self._store_learned()

    def receive(self, sender: str, message: Struct) -> bool:
        """Handle a message; False where it is none of the agreement."""
        match message:
            case ViewDecided(view=view):
                self.learn(view)
            case PrepareRequest() | AcceptRequest():
                self._handle_request(sender, message)
            case PrepareResponse():
                self._proposer.handle_prepare_response(message)
            case AcceptResponse():
                self._announce_decided(self._proposer.handle_accept_response(message))
            case ProposalRejected():
                self._proposer.handle_rejection(message)
            case ReadLeaseReleased(view_number=view_number, released_at=released_at):
                if self._view is not None and self._view.number == view_number:
                    self._proposer.read_lease_released(released_at)
            case _:
                return False
        return True

    def learn(self, view: View) -> None:
        """A decided view is known."""
        if view.number > self.learned_number:
            self._learned = view
            self._proposer.stop(view.number)
            self._store_learned()

    def send_newest_view(self, address: str) -> None:
        """Tell another replica the newest decided view."""
        if self._learned is not None:
            self._outbox.send(address, ViewDecided(self._learned))

    # ---- inside ----

    def _handle_request(self, sender: str, request: PrepareRequest | AcceptRequest) -> None:
        """As acceptor. Requests for views after the next one wait until this replica has entered it."""
        if request.view_number <= self.learned_number:
            self.send_newest_view(sender)
        elif request.view_number == self._view_number() + 1 and self._is_acceptor(request.view_number):
            if isinstance(request, PrepareRequest):
                self._acceptor.handle_prepare(sender, request)
            else:
                self._acceptor.handle_accept(sender, request, self._view)

    def _announce_decided(self, view: View | None) -> None:
        if view is None:
            return
        previous = self._view
        self.learn(view)
        for address in sorted(_addresses(previous, view) - {self._own.address}):
            self.send_newest_view(address)

    def _view_number(self) -> int:
        return self._view.number if self._view else 0

    def _acceptors(self, view_number: int) -> Iterable[Member]:
        if view_number == FIRST_VIEW_NUMBER:
            return [Member(folder_id="", address=address) for address in self._first_acceptors]
        return self._view.voters if self._view else ()

    def _is_acceptor(self, view_number: int) -> bool:
        own_key = acceptor_key(view_number, self._own)
        return any(
            acceptor_key(view_number, acceptor) == own_key for acceptor in self._acceptors(view_number)
        )

    def _store_learned(self) -> None:
        if self._learned is None or self._is_storing or not self.is_behind:
            return
        if self._outbox.disk_failed:
            return
        self._is_storing = True
        self._outbox.store([ViewRecord(self._learned)], self._enter_when_stored(self._learned))

    def _enter_when_stored(self, view: View) -> Callable[[ErrorCode | None], None]:
        def on_end(error: ErrorCode | None) -> None:
            self._is_storing = False
            if error is None:
                self._enter(view)
                self._store_learned()  # a newer view may have been learned during the store

        return on_end

    def _enter(self, view: View) -> None:
        self.read_lease_voter.enter_view(self._view, view)
        self._view = view
        self._acceptor.enter_view(view)
        self._on_enter(view)


def folder_of(proposer: str) -> str:
    """The folder id in a proposer's name."""
    return proposer.partition(PROPOSER_NAME_SEPARATOR)[0]


def _addresses(previous: View | None, view: View) -> set[str]:
    """Of all voters and members of the chain in both views."""
    views = [view] if previous is None else [previous, view]
    members = [member for each in views for member in each.voters]
    members += [link.member for each in views for link in each.chain]
    return {member.address for member in members}
