"""Agreement on the views: each next one is decided by the voters of the one before, then told to all."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.events import Member, View
from reedspoke.control_plane.replication.messages import (
    Accept,
    Accepted,
    Prepare,
    Promise,
    Rejected,
    Resigned,
    ResignRequest,
    ViewTold,
)
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import ReplicaSettings
from reedspoke.control_plane.storage.records import RestoredState, ViewRecord
from reedspoke.control_plane.views.acceptor import FIRST_VIEW, Acceptor
from reedspoke.control_plane.views.lease import VoterLease, keeps_lease, tail_of
from reedspoke.control_plane.views.proposer import Proposer, acceptor_key


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
        self._storing = False
        self._first_acceptors = restored.seeds
        self.voter_lease = VoterLease(outbox.now)
        self._acceptor = Acceptor(self._own, outbox, restored, self.voter_lease)
        self._proposer = Proposer(name, outbox)
        if self._view is not None:
            self._acceptor.enter(self._view)

    @property
    def view(self) -> View | None:
        """The view that this replica acts in."""
        return self._view

    @property
    def learned_number(self) -> int:
        """Number of the newest view heard of."""
        return self._learned.number if self._learned else 0

    @property
    def behind(self) -> bool:
        """Whether a newer view is known than the one that this replica acts in."""
        return self.learned_number > self._number()

    @property
    def undecided(self) -> bool:
        """Whether this replica has accepted a next view that may never have been decided."""
        return self._acceptor.accepted(self._number() + 1) is not None

    def records(self) -> list[Struct]:
        """What the log has to hold."""
        views: list[Struct] = [ViewRecord(self._learned)] if self._learned else []
        return views + self._acceptor.records()

    def may_vote_first(self, seeds: tuple[str, ...]) -> None:
        """This folder is one of the first start, which these addresses decide."""
        self._first_acceptors = seeds

    def may_propose(self, reachable: Callable[[str], bool]) -> bool:
        """Whether no proposal is under way, neither mine nor one of a replica in reach."""
        now = self._outbox.now
        if not self._proposer.ready(now):
            return False
        other = self._acceptor.busy_with(now)
        return other is None or other.startswith(self._own.folder_id) or not reachable(folder_of(other))

    def propose(self, value: View) -> None:
        """Start a proposal for the next view."""
        acceptors = {
            acceptor_key(value.number, acceptor): acceptor.address
            for acceptor in self._acceptors(value.number)
        }
        self._proposer.start(value, acceptors, self._acceptor.promised(value.number))
        if self._view is not None and not keeps_lease(self._view, value):
            self._outbox.send(tail_of(self._view).address, ResignRequest(self._view.number))

    def may_grant(self, view: int) -> bool:
        """Whether a grant to the tail of this view contradicts nothing that this voter has accepted."""
        if self._view is None or self._view.number != view or not self._is_acceptor(view + 1):
            return False
        accepted = self._acceptor.accepted(view + 1)
        harmless = accepted is None or keeps_lease(self._view, accepted)
        return harmless and self.voter_lease.may_grant(self._outbox.now)

    def may_confirm(self, view: int) -> bool:
        """Whether this voter can say that it knows of no view after this one, decided or accepted."""
        if self._number() != view or self.behind or not self._is_acceptor(view + 1):
            return False
        return not self.undecided

    def tick(self) -> None:
        """Time has passed."""
        self._proposer.tick()
        self._store_learned()

    def receive(self, sender: str, message: Struct) -> bool:
        """Handle a message; false where it is none of the agreement."""
        match message:
            case ViewTold(view=view):
                self.learn(view)
            case Prepare() | Accept():
                self._vote(sender, message)
            case Promise():
                self._proposer.promise(message)
            case Accepted():
                self._decide(self._proposer.accepted(message))
            case Rejected():
                self._proposer.rejected(message)
            case Resigned(view=view, at=at):
                if self._view is not None and self._view.number == view:
                    self._proposer.resigned(at)
            case _:
                return False
        return True

    def learn(self, view: View) -> None:
        """A decided view is known."""
        if view.number > self.learned_number:
            self._learned = view
            self._proposer.stop(view.number)
            self._store_learned()

    def tell(self, address: str) -> None:
        """Tell the newest view."""
        if self._learned is not None:
            self._outbox.send(address, ViewTold(self._learned))

    def _vote(self, sender: str, message: Prepare | Accept) -> None:
        if message.number <= self.learned_number:
            self.tell(sender)
        elif message.number == self._number() + 1 and self._is_acceptor(message.number):
            if isinstance(message, Prepare):
                self._acceptor.prepare(sender, message)
            else:
                self._acceptor.accept(sender, message, self._view)

    def _decide(self, view: View | None) -> None:
        if view is None:
            return
        before = self._view
        self.learn(view)
        for address in sorted(_addresses(before, view) - {self._own.address}):
            self.tell(address)

    def _number(self) -> int:
        return self._view.number if self._view else 0

    def _acceptors(self, number: int) -> Iterable[Member]:
        if number == FIRST_VIEW:
            return [Member(folder_id="", address=address) for address in self._first_acceptors]
        return self._view.voters if self._view else ()

    def _is_acceptor(self, number: int) -> bool:
        own_key = acceptor_key(number, self._own)
        return any(acceptor_key(number, acceptor) == own_key for acceptor in self._acceptors(number))

    def _store_learned(self) -> None:
        if self._learned is None or self._storing or not self.behind:
            return
        if self._outbox.disk_failed:
            return
        self._storing = True
        self._outbox.store([ViewRecord(self._learned)], self._entering(self._learned))

    def _entering(self, view: View) -> Callable[[ErrorCode | None], None]:
        def on_end(error: ErrorCode | None) -> None:
            self._storing = False
            if error is None:
                self._enter(view)
                self._store_learned()

        return on_end

    def _enter(self, view: View) -> None:
        self.voter_lease.enter(self._view, view)
        self._view = view
        self._acceptor.enter(view)
        self._on_enter(view)


def folder_of(proposer: str) -> str:
    """The folder id in a proposer's name."""
    return proposer.partition(":")[0]


def _addresses(before: View | None, view: View) -> set[str]:
    views = [view] if before is None else [before, view]
    members = [member for each in views for member in each.voters]
    members += [link.member for each in views for link in each.chain]
    return {member.address for member in members}
