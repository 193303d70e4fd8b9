"""Grants of the voters: read leases for the tail, and confirmations that a replica's view was the newest.

Heartbeats request both. The read lease (Gray and Cheriton, 1989) lets the tail answer reads on its own: no
view with another tail is accepted until it has expired. A view confirmation blocks nothing, as it is a
statement about the past; see `views.majority_contact`.
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
    """Issues the grants of this replica as a voter. `ViewAgreement` owns the state of its vote."""

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

        A tail that does not receive this voter's heartbeats gets none. Otherwise it could renew its lease for
        as long as its own heartbeats arrive here, and the repair that replaces it would have to wait.
        """
        view, requested_at = self._agreement.view, heartbeat.lease_requested_at
        if requested_at is None or view is None or tail_member(view) != heartbeat.member:
            return
        reachable = self._failure_detector.mutually_reachable(heartbeat.member.folder_id, self._outbox.now)
        if reachable and self._agreement.may_grant_read_lease(heartbeat.view_number):
            self._agreement.read_lease_voter.grant(requested_at, self._outbox.now)
            grant = ReadLeaseGrant(self._own.folder_id, heartbeat.view_number, requested_at)
            self._outbox.send(heartbeat.member.address, grant)

    def confirm_view(self, heartbeat: Heartbeat) -> None:
        """Confirm to the sender that its view is the newest that this voter knows."""
        if self._agreement.may_confirm_view(heartbeat.view_number):
            confirmation = ViewConfirmation(self._own.folder_id, heartbeat.view_number, heartbeat.sent_at)
            self._outbox.send(heartbeat.member.address, confirmation)


class ReceivedGrants:
    """Owns the grants that voters of the present view have given to this replica."""

    def __init__(
        self, outbox: Outbox, register: ConfigurationRegister, chain: Chain, agreement: ViewAgreement
    ) -> None:
        self._outbox = outbox
        self._register = register
        self._chain = chain
        self._agreement = agreement
        self._read_lease = ReadLeaseHolder()
        self._contact = MajorityContact(outbox.now)
        self._requested: set[str] = set()  # voters that were sent an extra request for a confirmation

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
        """Whether a majority of voters has granted a read lease that has not expired."""
        view = self._agreement.view
        return view is not None and self._read_lease.is_held(view.voters, self._outbox.now)

    def enter_view(self) -> None:
        """Drop the grants of the former view, as the voters of a newer one issue their own."""
        self._read_lease.enter_view()
        self._contact.enter_view()
        self._requested.clear()

    # ---- the read lease, at the tail ----

    def may_request_read_lease(self) -> bool:
        """Whether to request a read lease: at a complete tail, unless it has just released one."""
        if not self._chain.is_tail or not self._chain.complete:
            return False
        return self._read_lease.may_request(self._outbox.now)

    def receive_lease_grant(self, grant: ReadLeaseGrant) -> None:
        """Record a read lease grant of a voter."""
        view = self._agreement.view
        if view is not None and view.number == grant.view_number:
            self._read_lease.record_grant(grant.folder_id, grant.requested_at)

    def release_read_lease(self, sender: str, request: ReadLeaseReleaseRequest) -> None:
        """Release the read lease, so that a proposer need not wait for its expiry."""
        view = self._agreement.view
        if view is None or view.number != request.view_number or not self._chain.is_tail:
            return
        self.release_own_read_lease()
        self._outbox.send(sender, ReadLeaseReleased(request.view_number, self._outbox.now))

    def release_own_read_lease(self) -> None:
        """Release every read lease requested until now."""
        self._read_lease.release(self._outbox.now)

    # ---- confirmations of the view ----

    def should_request_confirmation(self, heartbeat: Heartbeat) -> bool:
        """Whether the sender has not confirmed the present view yet; True once per sender and view."""
        view = self._agreement.view
        folder_id = heartbeat.member.folder_id
        if view is None or heartbeat.view_number != view.number or folder_id in self._requested:
            return False
        if self._contact.has_confirmed(folder_id):
            return False
        self._requested.add(folder_id)
        return True

    def receive_confirmation(self, confirmation: ViewConfirmation) -> None:
        """Record a voter's confirmation that the present view was the newest that it knew."""
        view = self._agreement.view
        if view is None or view.number != confirmation.view_number:
            return
        now = self._outbox.now
        in_chain = self._chain.in_chain and self._chain.complete
        committed_until = self._register.committed_until(now) if in_chain else None
        self._contact.record_confirmation(confirmation.folder_id, confirmation.requested_at, now)
        self._contact.update(view.voters, committed_until)
