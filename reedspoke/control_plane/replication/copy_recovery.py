"""Recovery of a chain whose complete members are all out of reach, from a copy outside the chain.

A member of the chain that has not completed its own state transfer asks the reachable replicas for their
`CopyStatus`. If one of them has everything that was committed (`views.copy_search`), the member closes its
own transfer and proposes a view that begins with that replica. Why this is safe:

- The closed transfer is on disk before the view is proposed. So the member never becomes complete in the
  present view, and that view commits nothing, neither before nor after the decision on the next one.
- As for every view, the voters of the present view decide the next one, and decide only one.
- If the transfer is closed and the view is not decided, as a complete member is back, that member stays the
  head and this one is appended again.
"""

from __future__ import annotations

import logging

from msgspec import Struct, structs

from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
from reedspoke.control_plane.replication.copy_state import newest_complete_link
from reedspoke.control_plane.replication.messages import ClosedTransfer, CopyStatus, CopyStatusRequest
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.pending_transfers import PendingTransfer, PendingTransfers
from reedspoke.control_plane.replication.settings import (
    COPY_RECOVERY_DELAY_S,
    COPY_STATUS_INTERVAL_S,
    COPY_STATUS_TTL_S,
)
from reedspoke.control_plane.replication.view import Member, View
from reedspoke.control_plane.views.copy_search import find_whole_copy
from reedspoke.control_plane.views.membership_snapshot import MembershipSnapshot
from reedspoke.control_plane.views.next_view import choose_view_from_copy, has_complete_member


class ReceivedStatus(Struct, frozen=True):
    """The copy status of another replica, and when it arrived."""

    status: CopyStatus
    received_at: float


class CopyRecovery:
    """Owns the copy statuses of others, and since when no complete member of the chain has been reachable."""

    def __init__(
        self, own: Member, outbox: Outbox, register: ConfigurationRegister, transfers: PendingTransfers
    ) -> None:
        self._own = own
        self._outbox = outbox
        self._register = register
        self._transfers = transfers
        self._statuses: dict[str, ReceivedStatus] = {}
        self._needed_since: float | None = None
        self._requested_at = float("-inf")

    def enter_view(self) -> None:
        """Begin anew, as the chain of a newer view may have complete members."""
        self._needed_since = None
        self._requested_at = float("-inf")

    # ---- the copy of this replica ----

    def answer(self, sender: str, request: CopyStatusRequest) -> None:
        """Tell another replica which entries are on this one's disk, unless the disk is being rewritten."""
        if self._outbox.disk_ok and not self._register.installing_snapshot:
            self._outbox.send(sender, self._own_status(request.view_number, self._transfers.closed()))

    def _own_status(self, view_number: int, closed: list[PendingTransfer]) -> CopyStatus:
        return CopyStatus(
            member=self._own,
            view_number=view_number,
            complete_for=newest_complete_link(self._register.synced_since),
            sequence=self._register.sequence,
            closed_transfers=tuple(ClosedTransfer(each.joined_view, each.sources) for each in closed),
        )

    # ---- recovery ----

    def receive(self, status: CopyStatus) -> None:
        """Record the copy status of another replica."""
        self._statuses[status.member.folder_id] = ReceivedStatus(status, self._outbox.now)

    def next_view(self, view: View, snapshot: MembershipSnapshot) -> View | None:
        """The view that begins with a copy outside the chain; None while none is needed, found or allowed."""
        transfer = self._transfers.present
        if transfer is None or has_complete_member(view, snapshot) or not self._may_close():
            self._needed_since = None
            return None
        if not self._has_waited():
            return None
        self._request_statuses(view, snapshot)
        following = self._view_from_copy(view, transfer, snapshot)
        if following is None or self._transfers.is_closed(transfer.joined_view):
            return following
        self._close(transfer, following)
        return None  # It is proposed once the closed transfer is on disk.

    def _may_close(self) -> bool:
        """Whether no snapshot is being stored, and the disk holds what this replica believes."""
        return self._outbox.disk_ok and not self._register.installing_snapshot

    def _has_waited(self) -> bool:
        now = self._outbox.now
        if self._needed_since is None:
            self._needed_since = now
        return now - self._needed_since >= COPY_RECOVERY_DELAY_S

    def _request_statuses(self, view: View, snapshot: MembershipSnapshot) -> None:
        now = self._outbox.now
        if now - self._requested_at < COPY_STATUS_INTERVAL_S:
            return
        self._requested_at = now
        for condition in snapshot.conditions.values():
            if condition.member != self._own:
                self._outbox.send(condition.member.address, CopyStatusRequest(view.number))

    def _view_from_copy(
        self, view: View, transfer: PendingTransfer, snapshot: MembershipSnapshot
    ) -> View | None:
        """The view that is possible once this transfer is closed."""
        closed = {each.joined_view: each for each in (*self._transfers.closed(), transfer)}
        own = self._own_status(view.number, list(closed.values()))
        statuses = {**self._recent_statuses(snapshot), self._own.folder_id: own}
        committed = max(condition.committed_sequence for condition in snapshot.conditions.values())
        head = find_whole_copy(view.chain, statuses, max(committed, self._register.committed_sequence))
        if head is None:
            return None
        own_condition = structs.replace(snapshot.conditions[self._own.folder_id], refuses_snapshot=True)
        conditions = {**snapshot.conditions, self._own.folder_id: own_condition}
        return choose_view_from_copy(view, head, structs.replace(snapshot, conditions=conditions))

    def _recent_statuses(self, snapshot: MembershipSnapshot) -> dict[str, CopyStatus]:
        """The statuses of replicas that are reachable and healthy."""
        now = self._outbox.now
        return {
            folder_id: received.status
            for folder_id, received in self._statuses.items()
            if now - received.received_at <= COPY_STATUS_TTL_S
            and folder_id in snapshot.conditions
            and snapshot.conditions[folder_id].healthy
        }

    def _close(self, transfer: PendingTransfer, following: View) -> None:
        self._outbox.log(
            logging.WARNING,
            "state transfer closed",
            joined_view=transfer.joined_view,
            copy_at=following.chain[0].member.address,
        )
        self._transfers.close(transfer)
