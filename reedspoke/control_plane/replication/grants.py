"""Grants of the voters: of the tail's read lease, and that a replica's view was the newest at a known time.

Each heartbeat is a request for both kinds. The read lease (Gray and Cheriton 1989) lets the tail answer reads
alone: no view with another tail is accepted while it runs. A view confirmation blocks nothing: it is a
statement on the past, see `views.majority_contact`.
"""

from __future__ import annotations

from reedspoke.control_plane.replication.chain import Chain
from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
from reedspoke.control_plane.replication.failure_detector import FailureDetector
from reedspoke.control_plane.replication.messages import (
    Heartbeat,
    ReadLeaseGrant,
    ReadLeaseReleased,
    ReadLeaseReleaseRequest,
    ViewConfirmation,
)
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import ReplicaSettings
from reedspoke.control_plane.views.agreement import ViewAgreement
from reedspoke.control_plane.views.majority_contact import MajorityContact
from reedspoke.control_plane.views.read_lease import ReadLeaseHolder, tail_member


class VoterGrants:
    """What this replica grants as a voter. The state of its vote is in `ViewAgreement`."""

    def __init__(
        self,
        settings: ReplicaSettings,
        outbox: Outbox,
        failure_detector: FailureDetector,
        agreement: ViewAgreement,
    ) -> None:
        self._own = settings.member
        self._outbox = outbox
        self._failure_detector = failure_detector
        self._agreement = agreement

    def grant_read_lease(self, heartbeat: Heartbeat) -> None:
        """Grant the read lease that the tail of the present view requests.

        A tail that does not hear this voter gets none: it could go on for as long as its heartbeats arrive
        here, and the repair that replaces it would have to wait for its lease.
        """
        view, requested_at = self._agreement.view, heartbeat.lease_requested_at
        if requested_at is None or view is None or tail_member(view) != heartbeat.member:
            return
        reached = self._failure_detector.mutually_reachable(heartbeat.member.folder_id, self._outbox.now)
        if reached and self._agreement.may_grant_read_lease(heartbeat.view):
            self._agreement.read_lease_voter.grant(requested_at, self._outbox.now)
            grant = ReadLeaseGrant(self._own.folder_id, heartbeat.view, requested_at)
            self._outbox.send(heartbeat.member.address, grant)

    def confirm_view(self, heartbeat: Heartbeat) -> None:
        """Say that the view in which the sender acts is the newest known here."""
        if self._agreement.may_confirm_view(heartbeat.view):
            confirmation = ViewConfirmation(self._own.folder_id, heartbeat.view, heartbeat.sent_at)
            self._outbox.send(heartbeat.member.address, confirmation)


class ReceivedGrants:
    """What the voters of the present view have granted to this replica."""

    def __init__(
        self, outbox: Outbox, register: ConfigurationRegister, chain: Chain, agreement: ViewAgreement
    ) -> None:
        self._outbox = outbox
        self._register = register
        self._chain = chain
        self._agreement = agreement
        self._read_lease = ReadLeaseHolder()
        self._contact = MajorityContact(outbox.now)
        self._requested: set[str] = set()  # voters of which a confirmation was requested out of turn

    @property
    def majority_as_of(self) -> float | None:
        """The latest time as of which the view of this replica was certainly the newest."""
        return self._contact.majority_as_of

    @property
    def confirmed_as_of(self) -> float | None:
        """The latest time as of which the configuration committed here was certainly the newest."""
        return self._contact.confirmed_as_of

    def holds_majority(self, now: float) -> bool:
        """Whether a majority of voters has lately confirmed that this replica acts in the newest view."""
        return self._agreement.view is not None and self._contact.is_valid(now)

    def holds_read_lease(self) -> bool:
        """Whether a majority of voters has granted a read lease that has not run out."""
        view = self._agreement.view
        return view is not None and self._read_lease.is_held(view.voters, self._outbox.now)

    def enter_view(self) -> None:
        """A newer view: its voters grant anew."""
        self._read_lease.enter_view()
        self._contact.enter_view()
        self._requested.clear()

    # ---- the read lease, at the tail ----

    def may_request_read_lease(self) -> bool:
        """Whether the next heartbeat requests a read lease: that of a complete tail, unless just released."""
        if not self._chain.is_tail or not self._chain.complete:
            return False
        return self._read_lease.may_request(self._outbox.now)

    def receive_lease_grant(self, grant: ReadLeaseGrant) -> None:
        """A voter has granted the read lease."""
        view = self._agreement.view
        if view is not None and view.number == grant.view_number:
            self._read_lease.record_grant(grant.folder_id, grant.requested_at)

    def release_read_lease(self, sender: str, request: ReadLeaseReleaseRequest) -> None:
        """A proposer of a view with another tail need not wait for this lease to run out."""
        view = self._agreement.view
        if view is None or view.number != request.view_number or not self._chain.is_tail:
            return
        self.release_own_read_lease()
        self._outbox.send(sender, ReadLeaseReleased(request.view_number, self._outbox.now))

    def release_own_read_lease(self) -> None:
        """Give up every read lease requested until now."""
        self._read_lease.release(self._outbox.now)

    # ---- confirmations of the view ----

    def should_request_confirmation(self, heartbeat: Heartbeat) -> bool:
        """Whether a voter in the present view has not confirmed it; the request out of turn is made once."""
        view = self._agreement.view
        folder_id = heartbeat.member.folder_id
        if view is None or heartbeat.view != view.number or folder_id in self._requested:
            return False
        if self._contact.has_confirmed(folder_id):
            return False
        self._requested.add(folder_id)
        return True

    def receive_confirmation(self, confirmation: ViewConfirmation) -> None:
        """A voter has confirmed that the present view was the newest that it knew."""
        view = self._agreement.view
        if view is None or view.number != confirmation.view_number:
            return
        now = self._outbox.now
        in_chain = self._chain.in_chain and self._chain.complete
        committed_until = self._register.committed_until(now) if in_chain else None
        self._contact.record_confirmation(confirmation.folder_id, confirmation.requested_at, now)
        self._contact.update(view.voters, committed_until)
