"""Agreement on views: the voters of each view decide the next one, by single-decree Paxos.

Views are numbered, and view `n + 1` is decided by the voters of view `n` alone: a sequence of independent
instances of the protocol in "Paxos made simple" (Lamport, 2001), which reconfigures the replication chain as
the configuration master of "Vertical Paxos" (Lamport, Malkhi, Zhou, 2009) does, but without a separate
master: the voters of the present view decide. The first view has no view before it; it is decided by the
replicas at the seed addresses of the settings.

One instance:

1. A proposer chooses a proposal number above all that it knows, and sends it to the acceptors in a prepare
   request. Each promises to accept nothing below that number, and reports what it has accepted before.
2. With the promises of a majority, the proposer asks all acceptors to accept a view: the one accepted under
   the largest number among the promises, which may have been decided, or its own where there is none.
3. A view that a majority has accepted under one number is decided. The proposer sends it to the members of
   both views. A replica that receives a heartbeat or request of an older view replies with the newest one.

What differs from the paper:

- A decided view takes effect at a replica only once it is on its disk, and a replica votes on view `n + 2`
  only after `n + 1` has taken effect there. So each replica keeps the state of one instance at a time.
- An acceptor defers a view that would violate a read lease which it has granted (`read_lease`).
- Promises and acceptances are on disk before they are sent (`acceptor`). A voter that loses its disk becomes
  a new member with another folder id, and has no vote until a view includes it as a voter.

`ViewAgreement` owns the view that this replica acts in and the newest view that it has learned. They differ
while the latter is being stored.
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

PROPOSER_NAME_SEPARATOR = ":"  # separates folder id and incarnation


class ViewAgreement:
    """The newest view that this replica has on disk, its vote on the next one, and its own proposals.

    `on_enter` is called with each newer view once it is on disk.
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

    # ---- known views ----

    @property
    def view(self) -> View | None:
        """The view that this replica acts in."""
        return self._view

    @property
    def learned_number(self) -> int:
        """Number of the newest decided view that this replica has learned; 0 before the first."""
        return self._learned.number if self._learned else 0

    @property
    def is_behind(self) -> bool:
        """Whether this replica has learned a newer view than the one that it acts in."""
        return self.learned_number > self._view_number()

    @property
    def has_undecided_view(self) -> bool:
        """Whether this replica has accepted a next view that may never have been decided."""
        return self._acceptor.accepted_view(self._view_number() + 1) is not None

    def records(self) -> list[Struct]:
        """Records of the present and the newest view, and of the acceptor, for a rewritten log."""
        views = [self._view] if self._view is not None else []
        if self._learned is not None and self.is_behind:
            views.append(self._learned)
        return [*map(ViewRecord, views), *self._acceptor.records()]

    # ---- proposals ----

    def set_first_acceptors(self, seeds: tuple[str, ...]) -> None:
        """Take part in the decision on the first view, whose acceptors have these addresses."""
        self._first_acceptors = seeds

    def may_propose(self, is_reachable: Callable[[str], bool]) -> bool:
        """Whether neither this replica nor another reachable one has a proposal in flight."""
        now = self._outbox.now
        if not self._proposer.is_ready(now):
            return False
        other = self._acceptor.active_proposer(now)
        return other is None or other.startswith(self._own.folder_id) or not is_reachable(folder_of(other))

    def propose(self, value: View) -> None:
        """Propose the next view; ask the tail to release its read lease if the view conflicts with it."""
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
        """Whether this voter has accepted no view that conflicts with a lease for the tail of this view."""
        if self._view is None or self._view.number != view_number or not self._is_acceptor(view_number + 1):
            return False
        accepted = self._acceptor.accepted_view(view_number + 1)
        is_harmless = accepted is None or preserves_read_lease(self._view, accepted)
        return is_harmless and self.read_lease_voter.may_grant(self._outbox.now)

    def may_confirm_view(self, view_number: int) -> bool:
        """Whether this voter has neither learned nor accepted a view after this one."""
        if self._view_number() != view_number or self.is_behind or not self._is_acceptor(view_number + 1):
            return False
        return not self.has_undecided_view

    # ---- events ----

    def tick(self) -> None:
        """Resend requests without a response; store a learned view again after a failed store."""
        self._proposer.tick()
        self._store_learned()

    def receive(self, sender: str, message: Struct) -> bool:
        """Handle a message; return False if it is not a message of the agreement."""
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
        """Record a decided view, and store it if it is the newest."""
        if view.number > self.learned_number:
            self._learned = view
            self._proposer.stop(view.number)
            self._store_learned()

    def send_newest_view(self, address: str) -> None:
        """Send the newest decided view that is known here to another replica."""
        if self._learned is not None:
            self._outbox.send(address, ViewDecided(self._learned))

    # ---- handling of requests and decided views ----

    def _handle_request(self, sender: str, request: PrepareRequest | AcceptRequest) -> None:
        """Handle a request as an acceptor.

        A request for a view after the next one is ignored; the proposer resends it, and it is handled once
        this replica has entered the view before.
        """
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
    """Addresses of all voters and chain members of both views."""
    views = [view] if previous is None else [previous, view]
    members = [member for each in views for member in each.voters]
    members += [link.member for each in views for link in each.chain]
    return {member.address for member in members}
