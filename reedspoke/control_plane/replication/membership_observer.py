"""The members as a replica observes them for the choice of a view: their reachability and condition.

The observer combines the failure detector's state with the replica's own heartbeat, so that the choice of a
view needs no special case for the replica that chooses.
"""

from __future__ import annotations

from collections.abc import Callable

from reedspoke.control_plane.replication.copy_state import is_complete_for
from reedspoke.control_plane.replication.failure_detector import FailureDetector
from reedspoke.control_plane.replication.messages import Heartbeat
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import ESTABLISHED_MIN_REACHABLE_S, ReplicaSettings
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.views.membership_snapshot import MemberCondition, MembershipSnapshot
from reedspoke.control_plane.views.quorum import majority_size

OwnHeartbeat = Callable[[], Heartbeat]


class MembershipObserver:
    """Derives membership state from the failure detector; its only own state is the time of its start."""

    def __init__(
        self,
        settings: ReplicaSettings,
        outbox: Outbox,
        failure_detector: FailureDetector,
        own_heartbeat: OwnHeartbeat,
    ) -> None:
        self._settings = settings
        self._own = settings.member
        self._outbox = outbox
        self._failure_detector = failure_detector
        self._own_heartbeat = own_heartbeat
        self._started = outbox.now

    def reachable(self, folder_id: str) -> bool:
        """Whether this replica and that one receive each other's heartbeats."""
        return self._failure_detector.mutually_reachable(folder_id, self._outbox.now)

    def reaches_majority_of(self, view: View) -> bool:
        """Whether this replica and a majority of the view's voters receive each other's heartbeats."""
        reached = sum(self.reachable(voter.folder_id) for voter in view.voters)
        return reached >= majority_size(len(view.voters))

    def has_peer_not_draining(self) -> bool:
        """Whether another reachable replica is not about to shut down."""
        members = self._failure_detector.members(self._outbox.now)
        reached = [member for member in members if self.reachable(member.folder_id)]
        return any(not self.is_draining(member.folder_id) for member in reached)

    def is_draining(self, folder_id: str) -> bool:
        """Whether this replica has announced that its process is about to end."""
        heartbeat = self._heartbeat_of(folder_id)
        return heartbeat is not None and heartbeat.draining

    def received_for_s(self, address: str) -> float:
        """Seconds for which heartbeats of the replica at this address have arrived without a gap."""
        return self._failure_detector.received_for_s(address, self._outbox.now)

    def heartbeats_for_first_view(self, seeds: tuple[str, ...]) -> list[Heartbeat]:
        """Newest heartbeats of this replica, of seeds, and of other replicas that are reachable."""
        members = [
            member
            for member in self._failure_detector.members(self._outbox.now)
            if member.address in seeds or self.reachable(member.folder_id)
        ]
        heartbeats = (self._heartbeat_of(member.folder_id) for member in [self._own, *members])
        return [heartbeat for heartbeat in heartbeats if heartbeat is not None]

    def sees_undecided_view(self, view: View, folder_ids: list[str]) -> bool:
        """Whether one of these replicas has accepted a next view that may never have been decided."""
        heartbeats = (self._failure_detector.latest_heartbeat(folder_id) for folder_id in folder_ids)
        return any(
            heartbeat.has_undecided_view and heartbeat.view_number == view.number
            for heartbeat in heartbeats
            if heartbeat is not None
        )

    def snapshot(self, view: View) -> MembershipSnapshot:
        """The input for the choice of the view after this one."""
        now = self._outbox.now
        return MembershipSnapshot(
            conditions=self._conditions(view),
            is_connected=self._is_connected,
            is_lost=lambda folder_id: self._failure_detector.is_lost(folder_id, now),
            is_draining=self.is_draining,
            chain_minimum=self._settings.chain_minimum,
            voters_target=self._settings.voters_target,
        )

    def _conditions(self, view: View) -> dict[str, MemberCondition]:
        now = self._outbox.now
        detector = self._failure_detector
        joined_view = {link.member.folder_id: link.joined_view for link in view.chain}
        established = now - self._started >= ESTABLISHED_MIN_REACHABLE_S
        conditions = {self._own.folder_id: _condition(self._own_heartbeat(), joined_view, True, established)}
        for member in detector.members(now):
            folder_id = member.folder_id
            heartbeat = detector.latest_heartbeat(folder_id)
            if heartbeat is not None and self.reachable(folder_id):
                steady = heartbeat.view_number == view.number and detector.is_steady(folder_id, now)
                established = detector.is_established(folder_id, now)
                conditions[folder_id] = _condition(heartbeat, joined_view, steady, established)
        return conditions

    def _is_connected(self, one: str, other: str) -> bool:
        own = self._own.folder_id
        if own in (one, other):
            return self.reachable(other if one == own else one)
        return self._failure_detector.are_connected(one, other)

    def _heartbeat_of(self, folder_id: str) -> Heartbeat | None:
        if folder_id == self._own.folder_id:
            return self._own_heartbeat()
        return self._failure_detector.latest_heartbeat(folder_id)


def _condition(
    heartbeat: Heartbeat, joined_view: dict[str, int], steady: bool, established: bool
) -> MemberCondition:
    """The condition of a replica; `joined_view` maps chain members to the view that appended each."""
    joined = joined_view.get(heartbeat.member.folder_id)
    return MemberCondition(
        member=heartbeat.member,
        healthy=heartbeat.disk_ok,
        complete=joined is not None and is_complete_for(heartbeat.synced_since, joined),
        steady=steady,
        established=established,
        refuses_snapshot=joined is not None and heartbeat.synced_since == -joined,
        committed_sequence=heartbeat.committed_sequence,
    )
