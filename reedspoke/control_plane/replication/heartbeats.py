"""Heartbeats: sends the state of this replica to all others, and handles theirs.

A heartbeat is sent every `HEARTBEAT_INTERVAL_S`, and at once if the sender's condition or view changes. It
feeds the failure detector, requests the grants of the voters (`grants`), and carries the committed sequence
and the view number, so that a replica that has missed a commit or a view catches up.
"""

from __future__ import annotations

from msgspec import structs

from reedspoke.control_plane.replication.chain import Chain
from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
from reedspoke.control_plane.replication.failure_detector import FailureDetector
from reedspoke.control_plane.replication.first_start import FirstStart
from reedspoke.control_plane.replication.grants import ReceivedGrants, VoterGrants
from reedspoke.control_plane.replication.messages import Heartbeat
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.pending_transfers import PendingTransfers
from reedspoke.control_plane.replication.settings import HEARTBEAT_INTERVAL_S, ReplicaSettings
from reedspoke.control_plane.replication.view import Member, View
from reedspoke.control_plane.views.agreement import ViewAgreement


class Heartbeats:
    """Owns the time of the last heartbeat and its receivers; `draining` is set before the process ends."""

    def __init__(
        self,
        settings: ReplicaSettings,
        outbox: Outbox,
        failure_detector: FailureDetector,
        register: ConfigurationRegister,
        transfers: PendingTransfers,
        chain: Chain,
        agreement: ViewAgreement,
        first_start: FirstStart,
        voter_grants: VoterGrants,
        received_grants: ReceivedGrants,
    ) -> None:
        self._settings = settings
        self._outbox = outbox
        self._failure_detector = failure_detector
        self._register = register
        self._transfers = transfers
        self._chain = chain
        self._agreement = agreement
        self._first_start = first_start
        self._voter_grants = voter_grants
        self._received_grants = received_grants
        self.draining = False
        self._view_members: frozenset[Member] = frozenset()
        self._last_sent = float("-inf")
        self._last_condition = (True, 0)  # whether the disk works, and what is reported of the copy

    def own(self) -> Heartbeat:
        """The heartbeat of this replica, as of now."""
        view = self._agreement.view
        return Heartbeat(
            member=self._settings.member,
            view_number=view.number if view else 0,
            receives_from=self._failure_detector.receives_from(self._view_members, self._outbox.now),
            disk_ok=self._outbox.disk_ok,
            synced_since=self._synced_since(),
            committed_sequence=self._register.committed_sequence,
            draining=self.draining,
            bootstrap_seed=self._first_start.is_participant,
            has_undecided_view=self._agreement.has_undecided_view,
            sent_at=self._outbox.now,
            bootstrap_joiner=view is None
            and self._settings.bootstrap
            and not self._first_start.is_participant,
        )

    def tick(self) -> None:
        """Send a heartbeat if one is due or the condition of this replica has changed."""
        due = self._outbox.now - self._last_sent >= HEARTBEAT_INTERVAL_S
        if due or self._condition() != self._last_condition:
            self.broadcast()

    def enter_view(self, view: View) -> None:
        """Send a heartbeat with the newer view to all replicas."""
        self._view_members = frozenset([*view.voters, *(link.member for link in view.chain)])
        self.broadcast()

    def broadcast(self) -> None:
        """Send a heartbeat to every known replica, and issue the grants of this replica to itself."""
        self._last_sent = self._outbox.now
        self._last_condition = self._condition()
        heartbeat = self.own()
        if self._received_grants.may_request_read_lease():
            heartbeat = structs.replace(heartbeat, lease_requested_at=self._outbox.now)
            self._voter_grants.grant_read_lease(heartbeat)
        self._voter_grants.confirm_view(heartbeat)
        for address in sorted(self._addresses()):
            self._outbox.send(address, heartbeat)

    def receive(self, sender: str, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat of another replica."""
        self._failure_detector.record_heartbeat(heartbeat, self._outbox.now)
        self._voter_grants.grant_read_lease(heartbeat)
        self._voter_grants.confirm_view(heartbeat)
        if self._received_grants.should_request_confirmation(heartbeat):
            self._outbox.send(heartbeat.member.address, self.own())
        if heartbeat.view_number < self._agreement.learned_number:
            self._agreement.send_newest_view(sender)
        elif heartbeat.view_number > self._agreement.learned_number:
            self._outbox.send(sender, self.own())
        self._chain.record_committed(heartbeat.view_number, heartbeat.committed_sequence)

    def _synced_since(self) -> int:
        """What is reported of this replica's copy."""
        transfer = self._transfers.present
        if transfer is not None and self._transfers.refuses(transfer.joined_view):
            return -transfer.joined_view
        return self._register.reported_synced_since

    def _condition(self) -> tuple[bool, int]:
        return (self._outbox.disk_ok, self._synced_since())

    def _addresses(self) -> set[str]:
        """Addresses of the view's members, the seeds and senders of recent heartbeats, except its own."""
        addresses = {member.address for member in self._view_members}
        addresses.update(member.address for member in self._failure_detector.members(self._outbox.now))
        addresses.update(self._first_start.configured_seeds)
        return addresses - {self._settings.address}
